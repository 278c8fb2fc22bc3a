"""Run times: quantiles against an oracle on seeded streams, changes, bad input, bounds."""

import math
import random
from typing import Any

import orjson
import pytest

from yarrowloom.jobs.submission import Step, parse_submission
from yarrowloom.prediction import History, run_times, slow_minions


def step(**more: Any) -> Step:
    out: Step = parse_submission(
        body=orjson.dumps(
            {"task-spec": "x", "stages": [{"task-count": 2, "cpus": 1000, "mem-mb": 100, "estimate-ms": 1000, **more}]}
        )
    ).steps[0]
    return out


def feed(
    h: History, *, rng: random.Random, n: int, ratio: float, sigma: float, q: str = "q", est: int = 0, tag: str = ""
) -> None:
    for i in range(n):
        guess = est or rng.choice([400, 1000, 5000])
        h.note_end(
            queue=q,
            step=step(**{"estimate-ms": guess}),
            task=f"{q}{tag}{ratio}.0.0.{i}",
            run_id=1,
            outcome="done",
            ran_ms=guess * ratio * math.exp(rng.gauss(0, sigma)),
        )


def test_from_the_first_job_on_the_estimate_stands() -> None:
    t = History().run_time(queue="q", step=step())
    assert (round(t.p50), t.run_count, t.confidence) == (1000, 0, 0.0)
    assert t.p50 <= t.p90 <= t.p95 <= 2100


@pytest.mark.parametrize("seed", range(20))
def test_quantiles_cover_what_they_say(seed: int) -> None:
    """Asked before each run, p90 and p95 cover about their share of runs, p50 about half."""
    rng = random.Random(seed)
    h = History()
    ratio, sigma = rng.uniform(0.3, 4), rng.uniform(0.05, 0.6)
    under = {"p50": 0, "p90": 0, "p95": 0}
    total = 1500
    for i in range(total):
        guess = rng.choice([300, 900, 4000])
        ms = guess * ratio * math.exp(rng.gauss(0, sigma))
        st = step(**{"estimate-ms": guess})
        if i >= 40:
            t = h.run_time(queue="q", step=st)
            for name in under:
                under[name] += ms <= getattr(t, name)
        h.note_end(queue="q", step=st, task=f"a.0.0.{i}", run_id=1, outcome="done", ran_ms=ms)
    share = {k: v / (total - 40) for k, v in under.items()}
    assert 0.42 <= share["p50"] <= 0.58, share
    assert 0.85 <= share["p90"] <= 0.97, share
    assert 0.92 <= share["p95"] <= 1.0, share


@pytest.mark.parametrize("to", [0.2, 0.5, 2.0, 8.0])
def test_follows_a_change_within_few_runs(to: float) -> None:
    h = History()
    rng = random.Random(1)
    feed(h, rng=rng, n=200, ratio=1.0, sigma=0.1)
    feed(h, rng=rng, n=10, ratio=to, sigma=0.1, tag="x")
    assert 0.7 * to < h.run_time(queue="q", step=step()).p50 / 1000 < 1.4 * to


def test_a_single_outlier_moves_no_median() -> None:
    h = History()
    feed(h, rng=random.Random(2), n=100, ratio=1.0, sigma=0.05)
    before = h.run_time(queue="q", step=step()).p50
    h.note_end(queue="q", step=step(), task="z.0.0.0", run_id=1, outcome="done", ran_ms=10**9)
    assert abs(h.run_time(queue="q", step=step()).p50 / before - 1) < 0.05


def test_random_estimates_are_seen_through() -> None:
    """Where the estimate says nothing, the run time itself is used."""
    h, rng = History(), random.Random(3)
    for i in range(64):
        h.note_end(
            queue="q",
            step=step(**{"estimate-ms": int(10 ** rng.uniform(1, 6))}),
            task=f"a.0.0.{i}",
            run_id=1,
            outcome="done",
            ran_ms=2000 * math.exp(rng.gauss(0, 0.1)),
        )
    for guess in (10, 1_000_000):
        assert 1500 < h.run_time(queue="q", step=step(**{"estimate-ms": guess})).p90 < 3500


def test_far_runs_are_brought_to_near_ones() -> None:
    h, rng = History(), random.Random(4)
    for i in range(64):
        far = rng.choice([1.0, 3.0])
        h.note_end(
            queue="q", step=step(), task=f"a.0.0.{i}", run_id=1, outcome="done", ran_ms=1500 * far, remote_factor=far
        )
    assert round(h.run_time(queue="q", step=step()).p95) == pytest.approx(1500, rel=0.01)
    assert round(h.run_time(queue="q", step=step(), remote_factor=3.0).p95) == pytest.approx(4500, rel=0.01)


@pytest.mark.parametrize("how", ["failed", "stopped", "lapsed", "broken", "alone", "refused", "lost", "void"])
def test_only_whole_done_runs_count_and_only_once(how: str) -> None:
    h = History()
    for i in range(50):
        h.note_end(queue="q", step=step(), task=f"a.0.0.{i}", run_id=1, outcome=how, ran_ms=7)
        h.note_end(queue="q", step=step(), task=f"b.0.0.{i}", run_id=1, outcome="done", ran_ms=7, began_afresh=False)
        h.note_end(
            queue="q", step=step(**{"long-running": True}), task=f"c.0.0.{i}", run_id=1, outcome="done", ran_ms=7
        )
    assert h.dump() == History().dump()
    h.note_end(queue="q", step=step(), task="d.0.0.0", run_id=2, outcome="done", ran_ms=7)
    once = h.dump()
    for _ in range(5):
        h.note_end(queue="q", step=step(), task="d.0.0.0", run_id=2, outcome="done", ran_ms=70000)
    assert h.dump() == once


@pytest.mark.parametrize("est", [0, 1, 1 << 42])
@pytest.mark.parametrize("ms", [0, 1, 3000.5, 1e18, -5])
def test_bad_input_harms_only_its_own_kind(est: int, ms: float) -> None:
    h = History()
    feed(h, rng=random.Random(5), n=40, ratio=2.0, sigma=0.05)
    before = h.run_time(queue="q", step=step())
    for i in range(300):
        h.note_end(
            queue="bad", step=step(**{"estimate-ms": est}), task=f"x.0.0.{i}", run_id=1, outcome="done", ran_ms=ms
        )
        h.note_end(queue="q", step=step(**{"estimate-ms": 0}), task=f"y.0.0.{i}", run_id=1, outcome="done", ran_ms=ms)
    assert h.run_time(queue="q", step=step()) == before
    t = h.run_time(queue="bad", step=step(**{"estimate-ms": est}))
    assert 0 < t.p50 <= t.p90 <= t.p95 < math.inf


def test_bounded_whatever_comes() -> None:
    """Floods of queues and shapes stay within the bounds; what is in use outlives a flood smaller than the table."""
    h, rng = History(), random.Random(6)
    feed(h, rng=rng, n=40, ratio=3.0, sigma=0.01)
    for i in range(20_000):
        h.note_end(
            queue=f"q{rng.randint(0, 5000)}",
            step=step(cpus=rng.randint(0, 1 << 31)),
            task=f"f.0.0.{i}",
            run_id=1,
            outcome="done",
            ran_ms=rng.choice([0, 10, 1e30]),
        )
        if i % 50 == 0:
            h.note_end(
                queue="q", step=step(), task=f"g.0.0.{i}", run_id=1, outcome="done", ran_ms=3000, minion_id=f"n{i}"
            )
    assert len(h.run_times.slow_minions.minions) <= slow_minions.MAX_MINIONS
    assert len(h.run_times.windows) <= run_times.MAX_KEYS
    assert len(h.run_times.seen_ends) <= run_times.MAX_SEEN_ENDS
    assert all(len(window.runs) <= run_times.MAX_RUNS for window in h.run_times.windows.values())
    assert 2800 < h.run_time(queue="q", step=step()).p50 < 3300


@pytest.mark.parametrize("seed", range(8))
def test_slow_minions_are_told_apart_from_slow_kinds(seed: int) -> None:
    """Two of ten minions three times as slow: the others' quantiles stay, and a change that all see is none of theirs.
    Once they are well again they are like the others."""
    h, rng = History(), random.Random(seed)

    def run(*, n: int, ratio: float, slow: float, tag: str) -> None:
        for i in range(n):
            minion_id = f"m{rng.randint(0, 9)}"
            h.note_end(
                queue="q",
                step=step(),
                task=f"{tag}.0.0.{i}",
                run_id=1,
                outcome="done",
                minion_id=minion_id,
                ran_ms=1000 * ratio * math.exp(rng.gauss(0, 0.05)) * (slow if minion_id in ("m0", "m1") else 1),
            )

    run(n=400, ratio=1.0, slow=3.0, tag="a")
    assert 900 < h.run_time(queue="q", step=step()).p90 < 1400
    assert 2300 < h.run_time(queue="q", step=step(), minion_id="m0").p50 < 3800
    assert h.run_time(queue="q", step=step(), minion_id="m5") == h.run_time(queue="q", step=step())
    run(n=200, ratio=4.0, slow=3.0, tag="b")
    assert 3600 < h.run_time(queue="q", step=step()).p50 < 4600
    assert h.run_time(queue="q", step=step(), minion_id="m5") == h.run_time(queue="q", step=step())
    run(n=400, ratio=4.0, slow=1.0, tag="c")
    assert h.run_time(queue="q", step=step(), minion_id="m0") == h.run_time(queue="q", step=step())
    assert 3600 < h.run_time(queue="q", step=step()).p50 < 4600


@pytest.mark.parametrize("seed", range(10))
def test_round_trip_and_determinism(seed: int) -> None:
    """Loaded at any moment from JSON, the twin goes on to the same state and the same answers."""
    rng = random.Random(seed)
    one, two = History(), History()
    for i in range(3000):
        args: dict[str, Any] = {
            "queue": f"q{rng.choice([0, 1, rng.randint(0, 400)])}",
            "task": f"{rng.randint(0, 900)}.0.0.1",
            "step": step(**{"estimate-ms": rng.choice([0, 5, 900])}),
            "run_id": rng.randint(1, 3),
            "outcome": rng.choice(["done", "done", "failed"]),
            "ran_ms": rng.expovariate(0.001),
            "minion_id": rng.choice(["", f"m{rng.randint(0, 700)}", f"m{rng.randint(0, 7)}"]),
        }
        one.note_end(**args)
        two.note_end(**args)
        if i % 300 == 7:
            two = History()
            two.load(orjson.loads(orjson.dumps(one.dump())))
    assert one.dump() == two.dump()
    assert one.run_time(queue="q1", step=step()) == two.run_time(queue="q1", step=step())
