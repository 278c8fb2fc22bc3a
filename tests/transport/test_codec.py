"""Frames and jobs under seeded fuzzing: whole or refused, never guessed at, never a crash."""

import contextlib
import random

import orjson
import pytest

from tests.support.json_noise import noise
from yarrowloom.common.errors import InvalidInputError
from yarrowloom.jobs.submission import Submission, parse_submission
from yarrowloom.transport.envelope import Frame, FrameDecoder, FrameEncoder, pack_frame
from yarrowloom.transport.message_kinds import Lane

JOB = {
    "task-spec": "x",
    "stages": [
        {"task-count": 2, "cpus": 5, "gang": True, "affinity": "r"},
        {"task-count": 1, "depends-on": [0], "checkpoints": True},
    ],
    "first-run-ms": 5,
    "period-ms": 7,
    "repeat-count": 2,
}


@pytest.mark.parametrize("seed", range(60))
def test_frames_in_any_pieces(seed: int) -> None:
    rng = random.Random(seed)
    sent = [
        Frame(
            lane=rng.randint(1, 3),
            source=f"a{i}",
            node_id="u#1",
            incarnation=rng.getrandbits(50),
            sequence=i + 1,
            body=rng.randbytes(rng.randint(0, 2000)),
        )
        for i in range(8)
    ]
    encoded = b"".join(pack_frame(frame=f) for f in sent)
    cut, got, at = FrameDecoder(), [], 0
    while at < len(encoded):
        n = rng.randint(1, 700)
        got += cut.feed(encoded[at : at + n])
        at += n
    assert got == sent
    torn = bytearray(encoded)
    torn[rng.randrange(len(torn))] ^= 1 << rng.randint(0, 7)
    with contextlib.suppress(ValueError):
        FrameDecoder().feed(bytes(torn))


@pytest.mark.parametrize("seed", range(60))
def test_the_short_way_reads_and_writes_frames_as_the_long_way_does(seed: int) -> None:
    rng = random.Random(seed)
    cut, number = FrameDecoder(), 0
    for _ in range(6):
        lane, source, incarnation = rng.choice(list(Lane)), rng.choice(["a", "", "b:1"]), rng.choice([0, 7, 1 << 50])
        sealer = FrameEncoder(lane=lane, source=source, node_id=source + "#0", incarnation=incarnation)
        for _ in range(rng.randint(1, 4)):
            number += rng.choice([1, 1, 200, 1 << 40])
            body = rng.randbytes(rng.choice([1, 126, 127, 128, 20000]))
            want = Frame(
                lane=int(lane),
                source=source,
                node_id=source + "#0",
                incarnation=incarnation,
                sequence=number,
                body=body,
            )
            encoded = sealer.encode(sequence=number, body=body)
            assert encoded == pack_frame(frame=want)
            assert cut.feed(encoded) == [want]
    torn = bytearray(encoded)
    torn[rng.randrange(4, len(torn))] ^= 1 << rng.randint(0, 7)
    try:
        fresh, known = FrameDecoder().feed(bytes(torn)), cut.feed(bytes(torn))
    except ValueError:
        return
    assert known == fresh


def parse_or_refusal(*, body: bytes) -> Submission | InvalidInputError:
    """The parsed submission, or the error that refuses it; any other error goes to the test."""
    try:
        return parse_submission(body=body)
    except InvalidInputError as err:
        return err


@pytest.mark.parametrize("seed", range(300))
def test_jobs_are_whole_or_refused_with_places(seed: int) -> None:
    rng = random.Random(seed)
    body = orjson.dumps(noise(rng=rng, document=JOB)) if seed % 10 else rng.randbytes(40)
    job = parse_or_refusal(body=body)
    if isinstance(job, InvalidInputError):
        assert job.findings
        assert all(f.place for f in job.findings)
        return
    for at, step in enumerate(job.steps):
        assert step.task_count >= 1
        assert all(0 <= d < at for d in step.depends_on)
