"""When kinds are called: the predictor against an oracle on seeded streams."""

import random

import pytest

from tests.support.job_stream import START_MS, JobStream, periodic
from yarrowloom.prediction import call_times


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(("period", "jitter"), [(2_000, 0.0), (7_000, 0.02), (60_000, 0.03), (3_600_000, 0.01)])
def test_a_period_is_found_and_its_phase_kept(seed: int, period: int, jitter: float) -> None:
    stream, rng = JobStream(), random.Random(seed)
    right = told = 0
    for i, at in enumerate(periodic(rng=rng, period_ms=period, jitter=jitter, count=80)):
        if i >= 16:
            p = stream.expected(now_ms=at - period // 4, horizon_ms=period // 2)
            told += p is not None
            right += p is not None and p.earliest_ms - 150 <= at <= p.latest_ms + 150 and p.confidence > 0.6
        stream.submit(at_ms=at)
    assert told >= 60, (told, right)
    assert right >= 0.9 * told, (told, right)


@pytest.mark.parametrize("seed", range(10))
def test_a_period_survives_missed_and_stray_calls(seed: int) -> None:
    stream, rng = JobStream(), random.Random(seed)
    right = told = 0
    for i, at in enumerate(periodic(rng=rng, period_ms=10_000, jitter=0.01, count=120)):
        if rng.random() < 0.1:
            continue
        if i >= 40:
            p = stream.expected(now_ms=at - 2_000)
            told += p is not None
            right += p is not None and p.earliest_ms - 300 <= at <= p.latest_ms + 300
        stream.submit(at_ms=at)
        if rng.random() < 0.05:
            stream.submit(at_ms=at + rng.randint(1_000, 8_000))
    assert told >= 50, (told, right)
    assert right >= 0.8 * told, (told, right)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("mean", [800, 3_000])
def test_the_chance_of_random_calls_is_what_comes_true(seed: int, mean: int) -> None:
    """Of the calls said to come within 2 s with a chance, about that share comes."""
    stream, rng = JobStream(), random.Random(seed)
    at, said, came, asked = float(START_MS), 0.0, 0, 0
    for i in range(400):
        nxt = at + rng.expovariate(1 / mean)
        if i > 40:
            p = stream.expected(now_ms=int(at) + 300, horizon_ms=2_000)
            if p is not None and nxt > at + 300:
                asked += 1
                said += p.confidence
                came += nxt <= at + 2_300
        at = nxt
        stream.submit(at_ms=int(at))
    assert asked > 40, (asked, said, came)
    assert abs(said - came) / asked < 0.25, (asked, said, came)


def test_the_size_of_bursts_is_expected_and_bounded() -> None:
    stream = JobStream()
    for i in range(20):
        for j in range(12):
            stream.submit(at_ms=START_MS + 30_000 * i + 10 * j)
    p = stream.expected(now_ms=START_MS + 30_000 * 20 - 2_000)
    assert p is not None
    assert 8 <= p.job_count <= 13
    for j in range(50_000):
        stream.submit(at_ms=START_MS + 30_000 * 20 + j // 1000)
    p = stream.expected(now_ms=START_MS + 30_000 * 21 - 2_000)
    assert p is None or p.job_count <= call_times.MAX_EXPECTED_JOBS


@pytest.mark.parametrize("seed", range(8))
def test_confidence_in_a_loose_period_is_what_comes_true(seed: int) -> None:
    stream, rng = JobStream(), random.Random(seed)
    said, came, told = 0.0, 0, 0
    at = START_MS
    for i in range(300):
        at += 20_000 + (round(rng.uniform(-1, 1) * 9_000) if rng.random() < 0.6 else 0)
        kind = next(iter(stream.history.proven_kinds.values()), None)
        beat = kind.calls.next_due_time(now_ms=kind.calls.last_call_ms + 1_000) if kind is not None else None
        if i > 30 and kind is not None and beat is not None:
            told += 1
            said += beat.chance
            came += abs(at - beat.at_ms) <= kind.calls.tolerance_ms()
        stream.submit(at_ms=at)
    assert told == 0 or abs(said - came) / told < 0.2, (told, said, came)


def test_silence_ends_predictions_without_any_event() -> None:
    stream = JobStream()
    for i in range(40):
        stream.submit(at_ms=START_MS + 5_000 * i)
    end = START_MS + 5_000 * 39
    seen = [stream.expected(now_ms=end + 5_000 * k + 2_000) for k in range(8)]
    confs = [p.confidence if p is not None else 0.0 for p in seen]
    assert confs[0] > 0.8
    assert confs == sorted(confs, reverse=True)
    assert confs[-1] == 0.0
