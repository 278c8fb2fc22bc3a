"""Warming: the bounds hold for any predictions, wrong ones back off, figures add up."""

import bisect
import random
from typing import Any

import pytest

from yarrowloom.prediction import Basis, Prediction, TaskShape, WarmLimits, WarmPlanner, WarmRequest, warm_plan

ON = WarmLimits(
    is_on=True, max_core_s_per_minute=1200.0, max_tasks=16, max_hold_ms=4000.0, lead_ms=400.0, min_confidence=0.6
)


def pred(**more: Any) -> Prediction:
    base: dict[str, Any] = {
        "kind": "k",
        "basis": Basis.PERIOD,
        "earliest_ms": 1000,
        "likely_ms": 1200,
        "latest_ms": 1500,
        "queue": "q",
        "service": "s",
        "shape": TaskShape(1000, 64, 0, ""),
        "is_gang": False,
        "prefers_same_rack": False,
        "task_count": 2,
        "preferred_label": "",
        "confidence": 0.9,
        "job_count": 1.0,
    }
    return Prediction(**{**base, **more})


def rich(*, limits: WarmLimits = ON) -> WarmPlanner:
    """One whose budget has filled."""
    w = WarmPlanner(limits=limits)
    w.plan(wall_now_ms=-(10**6), steady_ms=-600_000.0, predictions=[])
    w.plan(wall_now_ms=0, steady_ms=0.0, predictions=[])
    return w


def test_room_is_wanted_only_shortly_before_the_call_and_expires() -> None:
    w = rich()
    assert w.plan(wall_now_ms=500, steady_ms=500.0, predictions=[pred()]) == []
    got = w.plan(wall_now_ms=700, steady_ms=700.0, predictions=[pred()])
    assert [(r.kind, r.task_count, r.until_ms) for r in got] == [("k", 2, 700.0 + 800 + 400)]
    assert w.plan(wall_now_ms=1900, steady_ms=1900.0, predictions=[]) == []
    assert (w.figures.hits, w.figures.misses) == (0, 1)
    assert w.figures.held_core_s == pytest.approx(2 * 1.2)


def test_hit_closes_the_room_and_charges_only_what_was_held() -> None:
    w = rich()
    w.plan(wall_now_ms=900, steady_ms=900.0, predictions=[pred()])
    w.hit(kind="k", steady_ms=1400.0, wait_ms=12)
    assert (w.figures.hits, w.figures.misses, w.requests) == (1, 0, {})
    assert w.figures.held_core_s == pytest.approx(2 * 0.5)
    w.hit(kind="k", steady_ms=1500.0, wait_ms=900)
    got = w.report()
    assert (got["hits"], got["cold"], got["warm-ms"]["p50"], got["cold-ms"]["p50"]) == (1, 1, 16, 1024)


def test_a_gang_is_kept_whole_or_not_at_all_other_work_in_part() -> None:
    w = rich(limits=WarmLimits(is_on=True, max_tasks=5))
    assert w.plan(wall_now_ms=900, steady_ms=900.0, predictions=[pred(is_gang=True, task_count=6)]) == []
    assert [
        r.task_count for r in w.plan(wall_now_ms=900, steady_ms=900.0, predictions=[pred(kind="b", task_count=6)])
    ] == [5]
    assert w.plan(wall_now_ms=900, steady_ms=900.0, predictions=[pred(kind="c", task_count=1)])[0].kind == "b"


def test_off_gives_everything_up_without_a_miss() -> None:
    w = rich()
    w.plan(wall_now_ms=900, steady_ms=900.0, predictions=[pred()])
    w.change_limits(limits=WarmLimits(is_on=False), steady_ms=950.0)
    assert w.plan(wall_now_ms=960, steady_ms=960.0, predictions=[pred(kind="x")]) == []
    assert w.figures.misses == 0
    assert w.figures.given_up == 1
    assert WarmLimits().is_on is False


def test_a_new_holder_begins_with_nothing() -> None:
    w = WarmPlanner(limits=ON)
    assert w.plan(wall_now_ms=1000, steady_ms=5.0, predictions=[pred()]) == []


def test_misses_back_off_and_a_hit_restores() -> None:
    """Always wrong: the longer the rarer. Once right, kept warm at once again."""
    w = rich()
    begun, t = 0, 0.0
    for _ in range(3000):
        t += 100.0
        before = set(w.requests)
        at_once = pred(earliest_ms=0, likely_ms=0, latest_ms=0)
        kinds = {r.kind for r in w.plan(wall_now_ms=0, steady_ms=t, predictions=[at_once])}
        begun += bool(kinds - before)
    assert begun <= 10
    assert w.figures.misses >= 5
    assert w.report()["off"] == ["k"]
    for _ in range(10):
        w.started_cold(kind="k", wait_ms=500)
    assert w.plan(wall_now_ms=0, steady_ms=t + 1, predictions=[pred(earliest_ms=0, likely_ms=0, latest_ms=0)])
    w.hit(kind="k", steady_ms=t + 2, wait_ms=1)
    assert w.report()["off"] == []
    assert w.plan(wall_now_ms=0, steady_ms=t + 3, predictions=[pred(earliest_ms=0, likely_ms=0, latest_ms=0)])


def worst_minute(*, log: list[tuple[float, float, float]]) -> float:
    """Most core-seconds held in any 60 s: all held so far is linear between begins and ends, so one of those is an
    end of the worst minute."""
    edges: dict[float, float] = {}
    for a, b, c in log:
        edges[a] = edges.get(a, 0.0) + c
        edges[b] = edges.get(b, 0.0) - c
    times = sorted(edges)
    total, rate, sums = 0.0, 0.0, []
    for i, t in enumerate(times):
        total += rate * (t - times[i - 1]) / 1000 if i else 0.0
        rate += edges[t]
        sums.append((total, rate))

    def upto(t: float) -> float:
        i = bisect.bisect_right(times, t) - 1
        return sums[i][0] + sums[i][1] * (t - times[i]) / 1000 if i >= 0 else 0.0

    return max((max(upto(t + 60_000) - upto(t), upto(t) - upto(t - 60_000)) for t in times), default=0.0)


def test_the_oracle_finds_the_worst_minute() -> None:
    assert worst_minute(log=[(0, 10_000, 2), (65_000, 100_000, 1), (30_000, 40_000, 1)]) == pytest.approx(35)
    assert worst_minute(log=[(0, 10_000, 2), (55_000, 100_000, 1)]) == pytest.approx(45)


@pytest.mark.parametrize("seed", range(25))
def test_bounds_hold_whatever_comes(seed: int) -> None:
    """Adversarial predictions, wall clock steps, hits and losses at random: an oracle adds up what is held."""
    rng = random.Random(seed)
    bounds = WarmLimits(
        is_on=True,
        max_core_s_per_minute=rng.choice([50.0, 1000.0, 5000.0]),
        max_tasks=rng.choice([1, 8, 64]),
        max_hold_ms=rng.choice([500.0, 4000.0, 60_000.0]),
        lead_ms=400.0,
        min_confidence=0.5,
    )
    w = WarmPlanner(limits=bounds)
    t, wall_now = 0.0, 10**12
    log: list[tuple[float, float, float]] = []  # from, to, cores
    open_rooms: dict[str, WarmRequest] = {}

    def follow(*, now: float) -> None:
        for kind, room in list(open_rooms.items()):
            if w.requests.get(kind) is not room:
                log.append((room.since_ms, min(now, room.until_ms), room.cores))
                del open_rooms[kind]
        open_rooms.update(w.requests)

    for _ in range(600):
        t += rng.choice([0.0, 1.0, 50.0, 50.0, 50.0, 300.0, 3000.0])
        wall_now += rng.choice([50, 50, 50, -(10**6), 10**6])
        preds = []
        for _ in range(rng.choice([0, 1, 5, 80])):
            early = wall_now + rng.randint(-10_000, 1_000)
            late = early + rng.choice([0, 100, 10**7])
            preds.append(
                pred(
                    kind=f"k{rng.randint(0, 40)}",
                    earliest_ms=early,
                    likely_ms=early,
                    latest_ms=late,
                    service=f"s{rng.randint(0, 1)}",
                    task_count=rng.choice([1, 4, 20_000]),
                    is_gang=rng.random() < 0.3,
                    confidence=rng.random(),
                    job_count=rng.choice([1.0, 64.0]),
                    shape=TaskShape(rng.choice([0, 500, 32_000, 1 << 31]), 1, rng.choice([0, 8]), ""),
                )
            )
        w.plan(wall_now_ms=wall_now, steady_ms=t, predictions=preds)
        follow(now=t)
        for service in ("s0", "s1"):
            assert sum(r.task_count for r in w.requests.values() if r.service == service) <= bounds.max_tasks
        for kind in list(w.requests):
            if rng.random() < 0.2:
                w.hit(kind=kind, steady_ms=t, wait_ms=5)
            elif rng.random() < 0.1:
                w.give_up(kind=kind, steady_ms=t)
        follow(now=t)
        assert len(w.requests) <= 2 * bounds.max_tasks
        assert len(w.backoffs) <= warm_plan.MAX_KINDS
        assert len(w.figures.by_kind) <= warm_plan.MAX_KINDS
    w.give_up_all(steady_ms=t)
    follow(now=t)
    assert w.figures.held_core_s == pytest.approx(sum((b - a) * c / 1000 for a, b, c in log))
    assert worst_minute(log=log) <= bounds.max_core_s_per_minute * (1 + 1e-9)
    assert w.report()["core-s-left"] >= 0


def test_the_worthiest_come_first_when_the_purse_is_short() -> None:
    w = rich(limits=WarmLimits(is_on=True, max_core_s_per_minute=24.0, max_tasks=99))
    rows = [
        pred(kind="cheap", task_count=1),
        pred(kind="dear", task_count=10),
        pred(kind="sure", task_count=1, confidence=0.99),
    ]
    got = w.plan(wall_now_ms=900, steady_ms=900.0, predictions=rows)
    assert [r.kind for r in got][:2] == ["sure", "cheap"]
    heavy = rich(limits=WarmLimits(is_on=True, max_core_s_per_minute=24.0, max_tasks=99))
    assert heavy.plan(wall_now_ms=900, steady_ms=900.0, predictions=rows, weights={"q": 5.0})[0].kind == "sure"


def test_light_queues_leave_half_the_purse_to_the_weightiest() -> None:
    """A stream of small sure calls can't drain what the urgent queue needs."""
    w = rich(limits=WarmLimits(is_on=True, max_core_s_per_minute=40.0, max_tasks=99))
    small = [pred(kind=f"s{i}", queue="small", earliest_ms=0, likely_ms=0, latest_ms=10**6) for i in range(50)]
    weight = {"urgent": 100.0, "small": 1.0}
    w.plan(wall_now_ms=0, steady_ms=0.0, predictions=small, weights=weight)
    assert w.requests
    assert sum(r.cores * (r.until_ms - r.since_ms) / 1000 for r in w.requests.values()) <= 10.0
    got = w.plan(
        wall_now_ms=0,
        steady_ms=0.0,
        predictions=[pred(kind="u", queue="urgent", earliest_ms=0, latest_ms=10**6)],
        weights=weight,
    )
    assert got[0].kind == "u"
