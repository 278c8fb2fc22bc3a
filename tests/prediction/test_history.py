"""The history as a whole: queues and kinds, changes, clock steps, floods, reloads."""

import random
from typing import Any

import orjson
import pytest

from tests.support.job_stream import START_MS, JobStream, steps
from yarrowloom.common.records import MalformedRecordError
from yarrowloom.prediction import Basis, History, call_times, history, queue_key, successor_jobs
from yarrowloom.prediction.forecast import MAX_PREDICTIONS


@pytest.mark.parametrize("seed", range(6))
def test_jobs_of_all_sizes_are_expected_for_their_queue_as_a_whole(seed: int) -> None:
    """No two alike, so no kind is called often; the queue is. Its room holds most of them."""
    stream, rng = JobStream(), random.Random(seed)
    told = fits = 0
    for i in range(120):
        at = START_MS + 10_000 * i + rng.randint(-300, 300)
        rows = steps({"task-count": rng.randint(2, 9), "cpus": rng.randint(500, 20_000), "gpus": rng.randint(1, 8)})
        got = [p for p in stream.history.predict(now_ms=at - 2_000, horizon_ms=4_000) if p.queue == "q"]
        assert len({p.kind.endswith("/*") for p in got}) <= 1
        if i >= 30:
            told += len(got) == 1 and got[0].kind == queue_key(queue="q") and abs(got[0].likely_ms - at) < 1_000
            fits += any(p.shape.cpu_millicores >= rows[0].cpu_millicores for p in got)
        stream.submit(at_ms=at, job_steps=rows)
    assert told >= 80, (told, fits)
    assert fits >= 35, (told, fits)


def test_predictions_stop_when_calls_turn_irregular_and_come_back() -> None:
    """Wrong predictions switch the kind off by themselves; once the calls are regular again it is back."""
    stream, rng = JobStream(), random.Random(4)
    at = START_MS
    for _ in range(40):
        at += 10_000
        stream.submit(at_ms=at)
    assert stream.expected(now_ms=at + 8_000) is not None
    for _ in range(40):
        at += round(10 ** rng.uniform(2.6, 6))
        stream.submit(at_ms=at)
    p = stream.expected(now_ms=at + 8_000)
    assert p is None or p.basis is not Basis.PERIOD
    for _ in range(40):
        at += 4_000
        stream.submit(at_ms=at)
    p = stream.expected(now_ms=at + 3_000)
    assert p is not None
    assert abs(p.likely_ms - at - 4_000) < 300
    assert p.confidence > 0.8


@pytest.mark.parametrize("jump", [-3_600_000, -30_000, -1_500, 1_500, 30_000, 3_600_000])
def test_a_step_of_the_clock_costs_a_few_calls_at_most(jump: int) -> None:
    stream = JobStream()
    for i in range(40):
        stream.submit(at_ms=START_MS + 6_000 * i)
        stream.submit(at_ms=START_MS + 6_000 * i + 1_000, queue="other", job_steps=steps({"task-count": 1, "cpus": 9}))
    shifted = START_MS + 40 * 6_000 + jump
    for p in stream.history.predict(now_ms=shifted, horizon_ms=5_000):
        assert shifted <= p.earliest_ms <= p.likely_ms <= p.latest_ms <= shifted + 60_000
    for i in range(12):
        stream.submit(at_ms=shifted + 6_000 * i)
        stream.submit(at_ms=shifted + 6_000 * i + 1_000, queue="other", job_steps=steps({"task-count": 1, "cpus": 9}))
    p2 = stream.expected(now_ms=shifted + 6_000 * 11 + 4_000)
    assert p2 is not None
    assert abs(p2.likely_ms - shifted - 6_000 * 12) < 400


def test_floods_cost_at_most_the_bounds_and_push_out_no_proven_kind() -> None:
    stream, rng = JobStream(), random.Random(7)
    at = START_MS
    for _ in range(20):
        at += 5_000
        stream.submit(at_ms=at, queue="good")
    for i in range(20_000):
        stream.submit(
            at_ms=at + i // 10,
            queue=f"x{rng.randint(0, 10**9)}",
            job_steps=steps({"task-count": rng.randint(1, 200)}),
            **(
                {"first_run_ms": rng.randint(0, 10**14), "period_ms": rng.randint(0, 10), "repeat_count": 5}
                if i % 3 == 0
                else {}
            ),
        )
    assert "good" in {k.queue for k in stream.history.proven_kinds.values()}
    _bounds(stream.history)


def _bounds(h: History) -> None:
    assert len(h.new_kinds) <= history.MAX_NEW_KINDS
    assert len(h.proven_kinds) <= history.MAX_PROVEN_KINDS
    assert len(h.timed_jobs) <= history.MAX_TIMED_JOBS
    assert not set(h.new_kinds) & set(h.proven_kinds)
    assert h.successors.pair_count == sum(len(m) for m in h.successors.pairs.values()) <= successor_jobs.MAX_PAIRS
    assert all(len(m) <= successor_jobs.MAX_SUCCESSORS for m in h.successors.pairs.values())
    assert len(h.successors.recent_triggers) <= successor_jobs.MAX_RECENT_TRIGGERS
    for kind in [*h.new_kinds.values(), *h.proven_kinds.values()]:
        c = kind.calls
        assert len(c.gaps_ms) <= call_times.MAX_GAPS
        assert len(c.shapes) <= call_times.MAX_SHAPES
        assert len(c.label_weights) <= call_times.MAX_LABELS
    got = h.predict(now_ms=h.newest_ms - h.clock_shift_ms, horizon_ms=10**9)
    assert len(got) <= MAX_PREDICTIONS
    assert (
        h.candidates_weighed
        <= history.MAX_PROVEN_KINDS
        + history.MAX_TIMED_JOBS
        + successor_jobs.MAX_RECENT_TRIGGERS * successor_jobs.MAX_SUCCESSORS
    )


@pytest.mark.parametrize("seed", range(12))
def test_any_events_keep_the_bounds_and_a_reload_goes_on_alike(seed: int) -> None:
    """Any events in any order: bounds hold, predictions are sane, asking changes nothing, a reload goes on alike."""
    rng = random.Random(seed)
    stream, twin = JobStream(), History()
    at = START_MS
    for i in range(800):
        at += rng.choice([0, 0, 1, 50, 300, 1000, 5000, 5000, 5000, 100_000, -1000, -(10**7), 10**8])
        q = f"q{rng.randint(0, rng.choice([3, 300]))}"
        rows = steps(
            *(
                {
                    "task-count": rng.choice([1, 3, 6_000]),
                    "cpus": rng.choice([0, 500, 1 << 31]),
                    "gpus": rng.choice([0, 8, 1 << 20]),
                    "gang": rng.random() < 0.3,
                    "affinity": rng.choice(["", "r1", f"r{i}"]),
                    "depends-on": [0] if k else [],
                }
                for k in range(rng.randint(1, 3))
            )
        )
        job_id = f"{rng.randint(0, 500):016x}"
        if rng.random() < 0.7:
            more = (
                {
                    "first_run_ms": at + rng.randint(-(10**6), 10**6),
                    "period_ms": rng.choice([0, 1, 5000]),
                    "repeat_count": rng.choice([1, 10**9]),
                }
                if rng.random() < 0.1
                else {}
            )
            for h in (stream.history, twin):
                h.note_job(at_ms=at, job_id=job_id, queue=q, service="s", steps=rows, **more)
        else:
            done = rng.random() < 0.8
            for h in (stream.history, twin):
                h.note_over(at_ms=at, job_id=job_id, queue=q, steps=rows, is_complete=done)
        if i % 60 == 0:
            was = stream.history.dump()
            now = at + rng.randint(-(10**5), 10**5)
            for p in stream.history.predict(now_ms=now, horizon_ms=20_000):
                assert p.earliest_ms <= p.likely_ms <= p.latest_ms
                assert now <= p.earliest_ms <= now + 20_000
                assert 0 < p.confidence <= 1
                assert 1 <= p.job_count <= call_times.MAX_EXPECTED_JOBS
            _bounds(stream.history)
            assert stream.history.dump() == was
            twin = History()
            twin.load(orjson.loads(orjson.dumps(was)))
            assert twin.dump() == was
    assert twin.dump() == stream.history.dump()


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"kinds": [["q/*", ["q"]]]}, "not enough values"),
        ({"follow": {"r": [["k", "birth", 0]], "p": []}}, "'birth' is not a valid TriggerEvent"),
        ({"runs": {"r": [], "s": []}}, "KeyError\\('m'\\)"),
    ],
)
def test_a_malformed_snapshot_is_refused_and_changes_nothing(change: dict[str, Any], text: str) -> None:
    stream = JobStream()
    for i in range(5):
        stream.submit(at_ms=START_MS + 1_000 * i)
    before = stream.history.dump()
    with pytest.raises(MalformedRecordError, match=text):
        stream.history.load({**before, **change})
    assert stream.history.dump() == before
