"""The digest of a simulated run: what changes it, what does not, and what the command prints."""

import os
import re
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from yarrowloom.simulator.digest import NO_KIND, RunDigest
from yarrowloom.simulator.run import RunSettings, run_simulation
from yarrowloom.transport.message_kinds import Kind

ROOT = Path(__file__).resolve().parents[2]
BODY = b'{"g":1,"n":[2.5,"a"],"ttl":30.0}'
JSON_TYPE = ("content-type", "application/json")
RETRY_AFTER = ("retry-after", "1")


def simulate(*flags: str, hash_seed: int = 0) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "yarrowloom.py", "simulate", "--seconds=5", *flags],
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        cwd=ROOT,
        capture_output=True,
        text=True,
    )


def digest_of_run(*, seed: int) -> str:
    digest = RunDigest()
    run_simulation(settings=RunSettings(seed=seed, seconds=3.0), digest=digest)
    return digest.hexdigest()


def add_frame(
    digest: RunDigest,
    *,
    at_s: float = 100.25,
    source: str = "10.0.0.1",
    destination: str = "10.1.0.2",
    kind: int = Kind.CALL,
    body: bytes = BODY,
) -> None:
    digest.frame(at_s=at_s, source=source, destination=destination, kind=kind, body=body)


def add_record(digest: RunDigest, *, at_s: float = 100.25, machine: str = "10.0.0.1", body: bytes = BODY) -> None:
    digest.record(at_s=at_s, machine=machine, body=body)


def add_response(
    digest: RunDigest,
    *,
    at_s: float = 100.25,
    source: str = "10.0.0.1",
    destination: str = "op",
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE, RETRY_AFTER),
    body: bytes = BODY,
) -> None:
    digest.response(at_s=at_s, source=source, destination=destination, status=status, headers=headers, body=body)


def digest_of(*additions: Callable[[RunDigest], None]) -> str:
    digest = RunDigest()
    for add in additions:
        add(digest)
    return digest.hexdigest()


def test_one_seed_has_one_digest_and_another_seed_another() -> None:
    first = digest_of_run(seed=5)
    assert first == digest_of_run(seed=5)
    assert first != digest_of_run(seed=6)


def test_the_digest_does_not_change_the_run() -> None:
    settings = RunSettings(seed=5, seconds=3.0)
    plain, digested = run_simulation(settings=settings), run_simulation(settings=settings, digest=RunDigest())
    assert plain.lines() == digested.lines()
    assert list(map(str, plain.story.events)) == list(map(str, digested.story.events))


def test_each_part_of_a_run_is_taken() -> None:
    """Frames of processes and marks of lanes; records of boots, of steps and of a journal that moves on; responses to
    each kind of caller."""
    taken = Recorder()
    run_simulation(settings=RunSettings(seed=4137, seconds=20.0, size=5), digest=taken)
    assert {int(Kind.HEARTBEAT), int(Kind.ACCEPT), int(Kind.CALL), NO_KIND} <= taken.kinds
    assert taken.checkpoint_ends > 5  # more than the one that each of five core nodes writes at its boot
    assert {"op", "caller"} < taken.callers
    assert "" not in taken.callers


class Recorder(RunDigest):
    """Keeps what it was given, in short."""

    def __init__(self) -> None:
        super().__init__()
        self.kinds: set[int] = set()
        self.checkpoint_ends = 0
        self.callers: set[str] = set()

    def frame(self, *, at_s: float, source: str, destination: str, kind: int, body: bytes) -> None:
        self.kinds.add(kind)

    def record(self, *, at_s: float, machine: str, body: bytes) -> None:
        self.checkpoint_ends += b'"end":true' in body

    def response(
        self,
        *,
        at_s: float,
        source: str,
        destination: str,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        self.callers.add(destination)


@pytest.mark.parametrize(
    "changed",
    [
        lambda digest: add_frame(digest, at_s=100.25 + 2e-14),
        lambda digest: add_frame(digest, source="10.2.0.3"),
        lambda digest: add_frame(digest, destination="10.2.0.3"),
        lambda digest: add_frame(digest, kind=Kind.REPLY),
        lambda digest: add_frame(digest, body=BODY.replace(b'"ttl"', b'"until"')),
        lambda digest: add_frame(digest, body=BODY.replace(b"30.0", b"30.5")),
        lambda digest: add_frame(digest, body=BODY.replace(b"2.5", b"2")),
        lambda digest: add_frame(digest, body=b""),
        lambda digest: add_record(digest),
        lambda digest: add_response(digest),
        lambda digest: None,
    ],
)
def test_a_changed_frame_changes_the_digest(changed: Callable[[RunDigest], None]) -> None:
    assert digest_of(changed) != digest_of(add_frame)


@pytest.mark.parametrize(
    "changed",
    [
        lambda digest: add_record(digest, at_s=100.5),
        lambda digest: add_record(digest, machine="10.2.0.3"),
        lambda digest: add_record(digest, body=BODY.replace(b'"g"', b'"group"')),
        lambda digest: add_record(digest, body=BODY.replace(b'"a"', b'"b"')),
    ],
)
def test_a_changed_record_changes_the_digest(changed: Callable[[RunDigest], None]) -> None:
    assert digest_of(changed) != digest_of(add_record)


@pytest.mark.parametrize(
    "changed",
    [
        lambda digest: add_response(digest, at_s=100.5),
        lambda digest: add_response(digest, source="10.2.0.3"),
        lambda digest: add_response(digest, destination="caller"),
        lambda digest: add_response(digest, status=201),
        lambda digest: add_response(digest, headers=(JSON_TYPE,)),
        lambda digest: add_response(digest, headers=(JSON_TYPE, ("retry-after", "2"))),
        lambda digest: add_response(digest, body=b""),
        lambda digest: add_response(digest, body=b"not JSON"),
    ],
)
def test_a_changed_response_changes_the_digest(changed: Callable[[RunDigest], None]) -> None:
    assert digest_of(changed) != digest_of(add_response)


def test_the_order_of_two_sends_changes_the_digest() -> None:
    def add_other(digest: RunDigest) -> None:
        add_frame(digest, destination="10.2.0.3")

    assert digest_of(add_frame, add_other) != digest_of(add_other, add_frame)


def test_the_order_of_keys_and_headers_does_not_change_the_digest() -> None:
    reordered = b'{"ttl": 30.0, "n": [2.5, "a"], "g": 1}'
    assert digest_of(lambda digest: add_frame(digest, body=reordered)) == digest_of(add_frame)
    assert digest_of(lambda digest: add_record(digest, body=reordered)) == digest_of(add_record)
    assert digest_of(
        lambda digest: add_response(digest, headers=(RETRY_AFTER, JSON_TYPE), body=reordered)
    ) == digest_of(add_response)


def test_a_state_inside_a_checkpoint_is_compared_without_the_order_of_its_keys() -> None:
    def add(text: bytes) -> Callable[[RunDigest], None]:
        return lambda digest: add_record(digest, body=b'{"k":"ck","st":"%b"}' % text.replace(b'"', b'\\"'))

    assert digest_of(add(b'{"a":1,"b":{}}')) == digest_of(add(b'{"b":{},"a":1}'))
    assert digest_of(add(b'{"a":1,"b":{}}')) != digest_of(add(b'{"a":2,"b":{}}'))
    assert digest_of(add(b'{"a":1}')) != digest_of(add(b'{"c":1}'))
    assert digest_of(add(b"{not JSON}")) != digest_of(add(b"{no JSON}"))


def test_the_command_prints_the_digest_as_its_last_line() -> None:
    plain, digested = simulate("--seed=5"), simulate("--seed=5", "--digest")
    assert plain.returncode == digested.returncode == 0
    *report, last = digested.stdout.splitlines()
    assert report == plain.stdout.splitlines()
    assert re.fullmatch("[0-9a-f]{64}", last)


def test_the_order_of_hashes_does_not_change_the_digest() -> None:
    outputs = {simulate("--seed=4137", "--size=5", "--digest", hash_seed=number).stdout for number in (1, 2, 3)}
    assert len(outputs) == 1
    assert outputs != {""}


def test_a_digest_flag_with_another_value_is_refused() -> None:
    done = simulate("--digest=7")
    assert done.returncode == 64
    assert "--digest" in done.stderr
    assert "Traceback" not in done.stderr
