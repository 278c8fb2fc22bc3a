"""Calls: the predictor against an oracle on seeded streams; floods, clock steps, the off switch, bounds."""

import random
from collections.abc import Iterator
from typing import Any

import orjson
import pytest

from yarrowloom.jobs.submission import Step, parse_submission
from yarrowloom.prediction import Basis, History, Prediction, call_times, history, queue_key, successor_jobs
from yarrowloom.prediction.accuracy import Accuracy
from yarrowloom.prediction.forecast import MAX_PREDICTIONS

T0 = 1_700_000_000_000


def steps(*rows: dict[str, Any]) -> list[Step]:
    out: list[Step] = parse_submission(
        body=orjson.dumps({"task-spec": "x", "stages": list(rows) or [{"task-count": 1}]})
    ).steps
    return out


class Stream:
    """Jobs in the order of time; `hits` and `asked` count predictions made just before against what then came."""

    def __init__(self) -> None:
        self.h = History()
        self.n = 0

    def job(self, *, at: int, q: str = "q", rows: list[Step] | None = None, **more: Any) -> None:
        self.n += 1
        self.h.note_job(at_ms=at, job_id=f"{self.n:016x}", queue=q, service=f"s-{q}", steps=rows or steps(), **more)

    def ask(self, *, now: int, horizon: int = 5000, q: str = "q") -> Prediction | None:
        return next((p for p in self.h.predict(now_ms=now, horizon_ms=horizon) if p.queue == q), None)


def periodic(*, rng: random.Random, period: int, jitter: float, n: int, start: int = T0) -> Iterator[int]:
    for i in range(n):
        yield start + i * period + round(rng.gauss(0, jitter * period))


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(("period", "jitter"), [(2_000, 0.0), (7_000, 0.02), (60_000, 0.03), (3_600_000, 0.01)])
def test_period_is_found_and_its_phase_kept(seed: int, period: int, jitter: float) -> None:
    s, rng = Stream(), random.Random(seed)
    right = told = 0
    for i, at in enumerate(periodic(rng=rng, period=period, jitter=jitter, n=80)):
        if i >= 16:
            p = s.ask(now=at - period // 4, horizon=period // 2)
            told += p is not None
            right += p is not None and p.earliest_ms - 150 <= at <= p.latest_ms + 150 and p.confidence > 0.6
        s.job(at=at)
    assert told >= 60, (told, right)
    assert right >= 0.9 * told, (told, right)


@pytest.mark.parametrize("seed", range(10))
def test_period_with_calls_left_out_and_strays(seed: int) -> None:
    s, rng = Stream(), random.Random(seed)
    right = told = 0
    for i, at in enumerate(periodic(rng=rng, period=10_000, jitter=0.01, n=120)):
        if rng.random() < 0.1:
            continue
        if i >= 40:
            p = s.ask(now=at - 2_000)
            told += p is not None
            right += p is not None and p.earliest_ms - 300 <= at <= p.latest_ms + 300
        s.job(at=at)
        if rng.random() < 0.05:
            s.job(at=at + rng.randint(1_000, 8_000))
    assert told >= 50, (told, right)
    assert right >= 0.8 * told, (told, right)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("mean", [800, 3_000])
def test_poisson_chance_is_calibrated(seed: int, mean: int) -> None:
    """Of the calls said to come within 2 s with a chance, about that share comes."""
    s, rng = Stream(), random.Random(seed)
    at, said, came, asked = float(T0), 0.0, 0, 0
    for i in range(400):
        nxt = at + rng.expovariate(1 / mean)
        if i > 40:
            p = s.ask(now=int(at) + 300, horizon=2_000)
            if p is not None and nxt > at + 300:
                asked += 1
                said += p.confidence
                came += nxt <= at + 2_300
        at = nxt
        s.job(at=int(at))
    assert asked > 40, (asked, said, came)
    assert abs(said - came) / asked < 0.25, (asked, said, came)


def test_burst_sizes_are_expected_and_bounded() -> None:
    s = Stream()
    for i in range(20):
        for j in range(12):
            s.job(at=T0 + 30_000 * i + 10 * j)
    p = s.ask(now=T0 + 30_000 * 20 - 2_000)
    assert p is not None
    assert 8 <= p.job_count <= 13
    for j in range(50_000):
        s.job(at=T0 + 30_000 * 20 + j // 1000)
    p = s.ask(now=T0 + 30_000 * 21 - 2_000)
    assert p is None or p.job_count <= call_times.MAX_EXPECTED_JOBS


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("by_end", [False, True])
def test_followers(seed: int, by_end: bool) -> None:
    """B comes 2 to 3 s after A, which comes at random; nothing else tells of B."""
    s, rng = Stream(), random.Random(seed)
    at, right, told = T0, 0, 0
    a, b = steps({"task-count": 4}), steps({"task-count": 9, "gang": True, "affinity": "r1"})
    for i in range(60):
        at += rng.randint(15_000, 90_000)
        s.job(at=at, q="a", rows=a)
        t = at
        if by_end:
            t += rng.randint(500, 4_000)
            s.h.note_over(at_ms=t, job_id=f"{s.n:016x}", queue="a", steps=a, is_complete=True)
        then = t + rng.randint(2_000, 3_000)
        if i >= 15:
            p = s.ask(now=t + 500, q="b", horizon=5_000)
            told += p is not None and p.basis is Basis.SUCCESSOR
            right += p is not None and p.earliest_ms <= then <= p.latest_ms
        s.job(at=then, q="b", rows=b)
    assert told >= 35
    assert right >= 0.85 * told
    assert p is not None
    assert (p.task_count, p.is_gang, p.preferred_label, p.service) == (9, True, "r1", "s-b")


def test_chance_neighbours_are_no_followers() -> None:
    s, rng = Stream(), random.Random(3)
    ats = sorted((T0 + rng.randint(0, 3_600_000), q) for q in "ab" for _ in range(700))
    for at, q in ats:
        s.job(at=at, q=q)
        assert not any(
            p.basis is Basis.SUCCESSOR and p.confidence > 0.95 for p in s.h.predict(now_ms=at + 10, horizon_ms=300)
        )


def test_what_comes_all_the_time_follows_nothing() -> None:
    """B always comes soon after A, but it always comes soon; only a follower that is rare by itself is one."""
    pair = successor_jobs.SuccessorPair()
    for lag in (300, 500, 800, 400, 600, 700):
        pair.record_trigger()
        pair.record_successor(lag_ms=lag)
    assert pair.confidence(jobs_per_ms=1 / 500) == 0.0
    assert pair.confidence(jobs_per_ms=1 / 60_000) > 0.8
    for _ in range(12):
        pair.record_trigger()
    assert pair.confidence(jobs_per_ms=1 / 60_000) == 0.0


def test_trust_has_hysteresis() -> None:
    accuracy = Accuracy()
    states = []
    for ok in [True] * 4 + [False] * 7 + [True] * 2 + [False] * 6 + [True] * 14:
        accuracy.record(came_true=ok)
        states.append(accuracy.trust.value)
    flips = [b for a, b in zip(["fresh", *states], states, strict=False) if a != b]
    assert flips == ["on", "off", "on"]
    assert states[6] == "on"
    assert states[-8] == "off"
    assert Accuracy.load(accuracy.dump()).dump() == accuracy.dump()


@pytest.mark.parametrize("seed", range(8))
def test_confidence_in_a_loose_period_is_what_comes_true(seed: int) -> None:
    s, rng = Stream(), random.Random(seed)
    said, came, told = 0.0, 0, 0
    at = T0
    for i in range(300):
        at += 20_000 + (round(rng.uniform(-1, 1) * 9_000) if rng.random() < 0.6 else 0)
        kind = next(iter(s.h.proven_kinds.values()), None)
        beat = kind.calls.next_due_time(now_ms=kind.calls.last_call_ms + 1_000) if kind is not None else None
        if i > 30 and kind is not None and beat is not None:
            told += 1
            said += beat.chance
            came += abs(at - beat.at_ms) <= kind.calls.tolerance_ms()
        s.job(at=at)
    assert told == 0 or abs(said - came) / told < 0.2, (told, said, came)


@pytest.mark.parametrize("seed", range(6))
def test_jobs_of_all_sizes_are_expected_for_their_queue_as_a_whole(seed: int) -> None:
    """No two alike, so no kind is called often; the queue is. Its room holds most of them."""
    s, rng = Stream(), random.Random(seed)
    told = fits = 0
    for i in range(120):
        at = T0 + 10_000 * i + rng.randint(-300, 300)
        rows = steps({"task-count": rng.randint(2, 9), "cpus": rng.randint(500, 20_000), "gpus": rng.randint(1, 8)})
        got = [p for p in s.h.predict(now_ms=at - 2_000, horizon_ms=4_000) if p.queue == "q"]
        assert len({p.kind.endswith("/*") for p in got}) <= 1
        if i >= 30:
            told += len(got) == 1 and got[0].kind == queue_key(queue="q") and abs(got[0].likely_ms - at) < 1_000
            fits += any(p.shape.cpu_millicores >= rows[0].cpu_millicores for p in got)
        s.job(at=at, rows=rows)
    assert told >= 80, (told, fits)
    assert fits >= 35, (told, fits)


def test_change_of_regime_switches_off_and_comes_back() -> None:
    """Wrong predictions switch the kind off by themselves; once the calls are regular again it is back."""
    s, rng = Stream(), random.Random(4)
    at = T0
    for _ in range(40):
        at += 10_000
        s.job(at=at)
    assert s.ask(now=at + 8_000) is not None
    for _ in range(40):
        at += round(10 ** rng.uniform(2.6, 6))
        s.job(at=at)
    p = s.ask(now=at + 8_000)
    assert p is None or p.basis is not Basis.PERIOD
    for _ in range(40):
        at += 4_000
        s.job(at=at)
    p = s.ask(now=at + 3_000)
    assert p is not None
    assert abs(p.likely_ms - at - 4_000) < 300
    assert p.confidence > 0.8


def test_silence_ends_predictions_without_any_event() -> None:
    s = Stream()
    for i in range(40):
        s.job(at=T0 + 5_000 * i)
    end = T0 + 5_000 * 39
    seen = [s.ask(now=end + 5_000 * k + 2_000) for k in range(8)]
    confs = [p.confidence if p is not None else 0.0 for p in seen]
    assert confs[0] > 0.8
    assert confs == sorted(confs, reverse=True)
    assert confs[-1] == 0.0


@pytest.mark.parametrize("jump", [-3_600_000, -30_000, -1_500, 1_500, 30_000, 3_600_000])
def test_clock_steps_cost_a_few_calls_at_most(jump: int) -> None:
    s = Stream()
    for i in range(40):
        s.job(at=T0 + 6_000 * i)
        s.job(at=T0 + 6_000 * i + 1_000, q="other", rows=steps({"task-count": 1, "cpus": 9}))
    shifted = T0 + 40 * 6_000 + jump
    for p in s.h.predict(now_ms=shifted, horizon_ms=5_000):
        assert shifted <= p.earliest_ms <= p.likely_ms <= p.latest_ms <= shifted + 60_000
    for i in range(12):
        s.job(at=shifted + 6_000 * i)
        s.job(at=shifted + 6_000 * i + 1_000, q="other", rows=steps({"task-count": 1, "cpus": 9}))
    p2 = s.ask(now=shifted + 6_000 * 11 + 4_000)
    assert p2 is not None
    assert abs(p2.likely_ms - shifted - 6_000 * 12) < 400


def test_known_times_are_told_without_learning_until_the_job_is_over() -> None:
    s = Stream()
    s.job(at=T0, first_run_ms=T0 + 1_000, period_ms=4_000, repeat_count=3)
    assert [p.likely_ms - T0 for k in range(6) for p in s.h.predict(now_ms=T0 + 2_000 * k, horizon_ms=1_999)] == [
        1_000,
        5_000,
        9_000,
    ]
    p = s.ask(now=T0, horizon=60_000)
    assert p is not None
    assert (p.basis, p.job_count, p.confidence) == (Basis.TIMED, 3.0, 1.0)
    s.h.note_over(at_ms=T0 + 3_000, job_id=f"{1:016x}", queue="q", steps=steps(), is_complete=False)
    assert s.ask(now=T0 + 3_000, horizon=60_000) is None


def test_floods_cost_at_most_the_bounds_and_push_out_no_proven_kind() -> None:
    s, rng = Stream(), random.Random(7)
    at = T0
    for _ in range(20):
        at += 5_000
        s.job(at=at, q="good")
    for i in range(20_000):
        s.job(
            at=at + i // 10,
            q=f"x{rng.randint(0, 10**9)}",
            rows=steps({"task-count": rng.randint(1, 200)}),
            **(
                {"first_run_ms": rng.randint(0, 10**14), "period_ms": rng.randint(0, 10), "repeat_count": 5}
                if i % 3 == 0
                else {}
            ),
        )
    assert "good" in {k.queue for k in s.h.proven_kinds.values()}
    _bounds(s.h)


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
def test_fuzz(seed: int) -> None:
    """Any events in any order: bounds hold, predictions are sane, asking changes nothing, a reload goes on alike."""
    rng = random.Random(seed)
    s, twin = Stream(), History()
    at = T0
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
            for h in (s.h, twin):
                h.note_job(at_ms=at, job_id=job_id, queue=q, service="s", steps=rows, **more)
        else:
            done = rng.random() < 0.8
            for h in (s.h, twin):
                h.note_over(at_ms=at, job_id=job_id, queue=q, steps=rows, is_complete=done)
        if i % 60 == 0:
            was = s.h.dump()
            now = at + rng.randint(-(10**5), 10**5)
            for p in s.h.predict(now_ms=now, horizon_ms=20_000):
                assert p.earliest_ms <= p.likely_ms <= p.latest_ms
                assert now <= p.earliest_ms <= now + 20_000
                assert 0 < p.confidence <= 1
                assert 1 <= p.job_count <= call_times.MAX_EXPECTED_JOBS
            _bounds(s.h)
            assert s.h.dump() == was
            twin = History()
            twin.load(orjson.loads(orjson.dumps(was)))
            assert twin.dump() == was
    assert twin.dump() == s.h.dump()
