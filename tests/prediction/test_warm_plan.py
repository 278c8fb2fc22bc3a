"""Warming: the bounds hold for any predictions, wrong ones back off, figures add up."""

import bisect
import random
from typing import Any

import pytest

from yarrowloom.prediction import Bounds, Form, Prediction, Room, Warm, Why
from yarrowloom.prediction import warm_plan as warm_mod

ON = Bounds(on=True, core_s=1200.0, tasks=16, expiry_ms=4000.0, lead_ms=400.0, least=0.6)


def pred(**more: Any) -> Prediction:
    base: dict[str, Any] = {
        "kind": "k",
        "why": Why.PERIOD,
        "early": 1000,
        "likely": 1200,
        "late": 1500,
        "queue": "q",
        "service": "s",
        "form": Form(1000, 64, 0, ""),
        "gang": False,
        "tight": False,
        "n": 2,
        "near": "",
        "confidence": 0.9,
        "jobs": 1.0,
    }
    return Prediction(**{**base, **more})


def rich(*, bounds: Bounds = ON) -> Warm:
    """One whose purse has filled."""
    w = Warm(bounds=bounds)
    w.plan(now_ms=-(10**6), steady=-600_000.0, preds=[])
    w.plan(now_ms=0, steady=0.0, preds=[])
    return w


def test_room_is_wanted_only_shortly_before_the_call_and_expires() -> None:
    w = rich()
    assert w.plan(now_ms=500, steady=500.0, preds=[pred()]) == []
    got = w.plan(now_ms=700, steady=700.0, preds=[pred()])
    assert [(r.kind, r.n, r.until) for r in got] == [("k", 2, 700.0 + 800 + 400)]
    assert w.plan(now_ms=1900, steady=1900.0, preds=[]) == []
    assert (w.hits, w.misses) == (0, 1)
    assert w.held == pytest.approx(2 * 1.2)


def test_hit_closes_the_room_and_charges_only_what_was_held() -> None:
    w = rich()
    w.plan(now_ms=900, steady=900.0, preds=[pred()])
    w.hit(kind="k", steady=1400.0, wait_ms=12)
    assert (w.hits, w.misses, w.rooms) == (1, 0, {})
    assert w.held == pytest.approx(2 * 0.5)
    w.hit(kind="k", steady=1500.0, wait_ms=900)
    got = w.report()
    assert (got["hits"], got["cold"], got["warm-ms"]["p50"], got["cold-ms"]["p50"]) == (1, 1, 16, 1024)


def test_a_gang_is_kept_whole_or_not_at_all_other_work_in_part() -> None:
    w = rich(bounds=Bounds(on=True, tasks=5))
    assert w.plan(now_ms=900, steady=900.0, preds=[pred(gang=True, n=6)]) == []
    assert [r.n for r in w.plan(now_ms=900, steady=900.0, preds=[pred(kind="b", n=6)])] == [5]
    assert w.plan(now_ms=900, steady=900.0, preds=[pred(kind="c", n=1)])[0].kind == "b"


def test_off_gives_everything_up_without_a_miss() -> None:
    w = rich()
    w.plan(now_ms=900, steady=900.0, preds=[pred()])
    w.set(bounds=Bounds(on=False), steady=950.0)
    assert w.plan(now_ms=960, steady=960.0, preds=[pred(kind="x")]) == []
    assert w.misses == 0
    assert w.gone == 1
    assert Bounds().on is False


def test_a_new_holder_begins_with_nothing() -> None:
    w = Warm(bounds=ON)
    assert w.plan(now_ms=1000, steady=5.0, preds=[pred()]) == []


def test_misses_back_off_and_a_hit_restores() -> None:
    """Always wrong: the longer the rarer. Once right, kept warm at once again."""
    w = rich()
    begun, t = 0, 0.0
    for _ in range(3000):
        t += 100.0
        before = set(w.rooms)
        begun += bool(set(r.kind for r in w.plan(now_ms=0, steady=t, preds=[pred(early=0, likely=0, late=0)])) - before)
    assert begun <= 10
    assert w.misses >= 5
    assert w.report()["off"] == ["k"]
    for _ in range(10):
        w.began_cold(kind="k", wait_ms=500)
    assert w.plan(now_ms=0, steady=t + 1, preds=[pred(early=0, likely=0, late=0)])
    w.hit(kind="k", steady=t + 2, wait_ms=1)
    assert w.report()["off"] == []
    assert w.plan(now_ms=0, steady=t + 3, preds=[pred(early=0, likely=0, late=0)])


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
    bounds = Bounds(
        on=True,
        core_s=rng.choice([50.0, 1000.0, 5000.0]),
        tasks=rng.choice([1, 8, 64]),
        expiry_ms=rng.choice([500.0, 4000.0, 60_000.0]),
        lead_ms=400.0,
        least=0.5,
    )
    w = Warm(bounds=bounds)
    t, wall_now = 0.0, 10**12
    log: list[tuple[float, float, float]] = []  # from, to, cores
    open_rooms: dict[str, Room] = {}

    def follow(*, now: float) -> None:
        for kind, room in list(open_rooms.items()):
            if w.rooms.get(kind) is not room:
                log.append((room.since, min(now, room.until), room.cores))
                del open_rooms[kind]
        open_rooms.update(w.rooms)

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
                    early=early,
                    likely=early,
                    late=late,
                    service=f"s{rng.randint(0, 1)}",
                    n=rng.choice([1, 4, 20_000]),
                    gang=rng.random() < 0.3,
                    confidence=rng.random(),
                    jobs=rng.choice([1.0, 64.0]),
                    form=Form(rng.choice([0, 500, 32_000, 1 << 31]), 1, rng.choice([0, 8]), ""),
                )
            )
        w.plan(now_ms=wall_now, steady=t, preds=preds)
        follow(now=t)
        for service in ("s0", "s1"):
            assert sum(r.n for r in w.rooms.values() if r.service == service) <= bounds.tasks
        for kind in list(w.rooms):
            if rng.random() < 0.2:
                w.hit(kind=kind, steady=t, wait_ms=5)
            elif rng.random() < 0.1:
                w.lost(kind=kind, steady=t)
        follow(now=t)
        assert len(w.rooms) <= 2 * bounds.tasks
        assert len(w.back) <= warm_mod.KINDS
        assert len(w.by) <= warm_mod.KINDS
    w.drop(steady=t)
    follow(now=t)
    assert w.held == pytest.approx(sum((b - a) * c / 1000 for a, b, c in log))
    assert worst_minute(log=log) <= bounds.core_s * (1 + 1e-9)
    assert w.report()["core-s-left"] >= 0


def test_the_worthiest_come_first_when_the_purse_is_short() -> None:
    w = rich(bounds=Bounds(on=True, core_s=24.0, tasks=99))
    rows = [pred(kind="cheap", n=1), pred(kind="dear", n=10), pred(kind="sure", n=1, confidence=0.99)]
    got = w.plan(now_ms=900, steady=900.0, preds=rows)
    assert [r.kind for r in got][:2] == ["sure", "cheap"]
    heavy = rich(bounds=Bounds(on=True, core_s=24.0, tasks=99))
    assert heavy.plan(now_ms=900, steady=900.0, preds=rows, weight={"q": 5.0})[0].kind == "sure"


def test_light_queues_leave_half_the_purse_to_the_weightiest() -> None:
    """A stream of small sure calls can't drain what the urgent queue needs."""
    w = rich(bounds=Bounds(on=True, core_s=40.0, tasks=99))
    small = [pred(kind=f"s{i}", queue="small", early=0, likely=0, late=10**6) for i in range(50)]
    weight = {"urgent": 100.0, "small": 1.0}
    w.plan(now_ms=0, steady=0.0, preds=small, weight=weight)
    assert w.rooms
    assert sum(r.cores * (r.until - r.since) / 1000 for r in w.rooms.values()) <= 10.0
    got = w.plan(now_ms=0, steady=0.0, preds=[pred(kind="u", queue="urgent", early=0, late=10**6)], weight=weight)
    assert got[0].kind == "u"
