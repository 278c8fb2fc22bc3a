"""Kinds that follow others are told from those that come by chance."""

import random

import pytest

from tests.support.job_stream import START_MS, JobStream, steps
from yarrowloom.prediction import Basis
from yarrowloom.prediction.successor_jobs import SuccessorPair


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("by_end", [False, True])
def test_a_successor_is_expected_after_its_trigger(seed: int, by_end: bool) -> None:
    """B comes 2 to 3 s after A, which comes at random; nothing else tells of B."""
    stream, rng = JobStream(), random.Random(seed)
    at, right, told = START_MS, 0, 0
    a, b = steps({"task-count": 4}), steps({"task-count": 9, "gang": True, "affinity": "r1"})
    for i in range(60):
        at += rng.randint(15_000, 90_000)
        stream.submit(at_ms=at, queue="a", job_steps=a)
        t = at
        if by_end:
            t += rng.randint(500, 4_000)
            stream.history.note_over(at_ms=t, job_id=f"{stream.job_count:016x}", queue="a", steps=a, is_complete=True)
        then = t + rng.randint(2_000, 3_000)
        if i >= 15:
            p = stream.expected(now_ms=t + 500, queue="b", horizon_ms=5_000)
            told += p is not None and p.basis is Basis.SUCCESSOR
            right += p is not None and p.earliest_ms <= then <= p.latest_ms
        stream.submit(at_ms=then, queue="b", job_steps=b)
    assert told >= 35
    assert right >= 0.85 * told
    assert p is not None
    assert (p.task_count, p.is_gang, p.preferred_label, p.service) == (9, True, "r1", "s-b")


def test_kinds_that_come_by_chance_are_no_successors() -> None:
    stream, rng = JobStream(), random.Random(3)
    ats = sorted((START_MS + rng.randint(0, 3_600_000), q) for q in "ab" for _ in range(700))
    for at, q in ats:
        stream.submit(at_ms=at, queue=q)
        predictions = stream.history.predict(now_ms=at + 10, horizon_ms=300)
        assert not any(p.basis is Basis.SUCCESSOR and p.confidence > 0.95 for p in predictions)


def test_a_kind_that_comes_all_the_time_follows_nothing() -> None:
    """B always comes soon after A, but it always comes soon; only a follower that is rare by itself is one."""
    pair = SuccessorPair()
    for lag in (300, 500, 800, 400, 600, 700):
        pair.record_trigger()
        pair.record_successor(lag_ms=lag)
    assert pair.confidence(jobs_per_ms=1 / 500) == 0.0
    assert pair.confidence(jobs_per_ms=1 / 60_000) > 0.8
    for _ in range(12):
        pair.record_trigger()
    assert pair.confidence(jobs_per_ms=1 / 60_000) == 0.0
