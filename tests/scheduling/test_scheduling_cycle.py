"""The group cycle against a brute-force oracle; its work against what waits and how many minions there are."""

import itertools
import random

import pytest

from yarrowloom.scheduling import scheduling_cycle as cycle
from yarrowloom.scheduling.capacity import Room, Size, Spot
from yarrowloom.scheduling.pod_group import Backlog, Group, Phase, Walk
from yarrowloom.scheduling.scheduling_cycle import Ask, Decision

RACKS = ("r0", "r1", "r2")


def room_of(rng: random.Random, *, n: int, most: int = 4) -> Room:
    """A few minions with some room."""
    room = Room()
    for i in range(n):
        cap = Size(most * 1000, 4000, most)
        room.attach(
            spot=Spot(
                minion_id=f"m{i}",
                agent="a",
                fence=1,
                seq=i,
                service="s",
                zone="z",
                labels=(rng.choice("ab"), rng.choice(RACKS)),
                cap=cap,
            )
        )
        free: list[int | str] = [f"m{i}", rng.randint(0, cap.cpu), rng.randint(0, cap.mem), rng.randint(0, cap.gpu)]
        room.report(node_id="a", rows=[free], shut=[], now=1.0)
    return room


def ask_of(rng: random.Random, *, n: int) -> Ask:
    size = Size(rng.randint(0, 3) * 500, rng.randint(0, 2) * 500, rng.randint(0, 2))
    if size == Size(0, 0, 0):
        size = Size(500, 0, 0)
    return Ask(
        service="s",
        size=size,
        members=list(range(n)),
        need=rng.choice([1, n]),
        req=rng.choice(["", "", "a"]),
        near=rng.choice(["", "r0"]),
        strict=rng.random() < 0.2,
        tight=rng.random() < 0.25,
        apart=rng.choice([0, 0, 1, 2]),
        there={"m0": 1} if rng.random() < 0.2 else {},
        off=frozenset({"m1"}) if rng.random() < 0.2 else frozenset(),
        shun=("b",) if rng.random() < 0.15 else (),
    )


def allowed(*, room: Room, ask: Ask, minion_ids: tuple[str, ...]) -> bool:
    """The filters, written down once more: may these members go to these minions together?"""
    for minion_id in set(minion_ids):
        spot, n = room.spots[minion_id], minion_ids.count(minion_id)
        need = Size(ask.size.cpu * n, ask.size.mem * n, ask.size.gpu * n)
        if not spot.free.holds(need) or (ask.req and ask.req not in spot.labels) or minion_id in ask.off:
            return False
        if (ask.strict and ask.near and ask.near not in spot.labels) or any(x in spot.labels for x in ask.shun):
            return False
        if ask.apart and n + ask.there.get(minion_id, 0) > ask.apart:
            return False
    return not ask.tight or len({room.spots[minion_id].rack for minion_id in minion_ids}) <= 1


def most_placed(*, room: Room, ask: Ask) -> int:
    """By trying all: the most members that any placement serves."""
    for n in range(len(ask.members), 0, -1):
        if any(
            allowed(room=room, ask=ask, minion_ids=minion_ids)
            for minion_ids in itertools.combinations_with_replacement(sorted(room.spots), n)
        ):
            return n
    return 0


@pytest.mark.parametrize("seed", range(300))
def test_homogeneous_groups_are_placed_if_any_placement_exists(seed: int) -> None:
    rng = random.Random(seed)
    room = room_of(rng, n=rng.randint(1, 4))
    ask = ask_of(rng, n=rng.randint(1, 4))
    if ask.strict and not ask.near:
        ask.strict = False
    best = most_placed(room=room, ask=ask)
    before = {minion_id: spot.free for minion_id, spot in room.spots.items()}
    got = cycle.run(room=room, ask=ask)
    assert got.feasible == (best >= ask.need)
    assert {minion_id: spot.free for minion_id, spot in room.spots.items()} == before  # reservations die with the cycle
    if not got.feasible:
        assert got.placed == []  # nothing binds below the criterion
        return
    assert len(got.placed) >= ask.need
    assert allowed(room=room, ask=ask, minion_ids=tuple(minion_id for _, minion_id in got.placed))
    assert [i for i, _ in got.placed] == ask.members[: len(got.placed)]  # in their order
    if not ask.tight:
        assert len(got.placed) == best
    again = cycle.run(room=room, ask=ask)
    assert (again.placed, again.refused) == (got.placed, got.refused)  # same input, same decision


def test_tightest_fit_and_data_first() -> None:
    room = Room()
    for minion_id, rack, free in (
        ("wide", "r0", [4000, 9, 4]),
        ("fit", "r0", [1500, 9, 1]),
        ("data", "r1", [4000, 9, 4]),
    ):
        room.attach(
            spot=Spot(
                minion_id=minion_id,
                agent="a",
                fence=1,
                seq=1,
                service="s",
                zone="z",
                labels=("k", rack),
                cap=Size(4000, 9, 4),
            )
        )
        room.report(node_id="a", rows=[[minion_id, *free]], shut=[], now=1.0)

    def first(near: str) -> Decision:
        return cycle.run(room=room, ask=Ask(service="s", size=Size(1000, 1, 1), members=[0], need=1, near=near))

    assert first("").placed == [(0, "fit")]
    assert first("r1").placed == [(0, "data")]


def test_retried_member_avoids_where_it_failed_unless_nothing_else_has_room() -> None:
    room = room_of(random.Random(1), n=0)
    for minion_id in ("a", "b"):
        room.attach(
            spot=Spot(
                minion_id=minion_id,
                agent="a",
                fence=1,
                seq=1,
                service="s",
                zone="z",
                labels=("k", "r"),
                cap=Size(1000, 1, 0),
            )
        )
    room.report(node_id="a", rows=[["a", 1000, 1, 0], ["b", 1000, 1, 0]], shut=[], now=1.0)
    ask = Ask(service="s", size=Size(1000, 1, 0), members=[0], need=1, sore=frozenset({"a"}))
    assert cycle.run(room=room, ask=ask).placed == [(0, "b")]
    room.report(node_id="a", rows=[], shut=["b"], now=1.0)
    assert cycle.run(room=room, ask=ask).placed == [(0, "a")]


def test_a_minion_that_fails_three_jobs_in_a_row_is_shy_but_a_bad_job_is_not_its_defect() -> None:
    room = room_of(random.Random(2), n=8)
    for _ in range(9):
        assert not room.failed(minion_id="m0", job_id="poison", now=1.0)
    assert [room.failed(minion_id="m1", job_id=j, now=1.0) for j in "abc"] == [False, False, True]
    ask = Ask(service="s", size=Size(0, 0, 0), members=[0] * 900, need=1, now=1.1)
    assert "m1" not in {minion_id for _, minion_id in cycle.run(room=room, ask=ask).placed}
    room.worked(minion_id="m1")
    assert room.spots["m1"].shy == 0.0


@pytest.mark.parametrize("seed", range(20))
def test_index_follows_every_change(seed: int) -> None:
    """The room's index against a plain scan, through random reports, reservations and losses."""
    rng = random.Random(seed)
    room = room_of(rng, n=6)
    size = Size(800, 0, 1)
    for step in range(200):
        minion_id = f"m{rng.randint(0, 5)}"
        spot = room.spots.get(minion_id)
        move = rng.randint(0, 4)
        if spot is None or move == 0:
            room.attach(
                spot=Spot(
                    minion_id=minion_id,
                    agent="a",
                    fence=1,
                    seq=step,
                    service="s",
                    zone="z",
                    labels=("a", "r0"),
                    cap=Size(4000, 4000, 4),
                )
            )
        elif move == 1:
            room.report(
                node_id="a", rows=[[minion_id, rng.randint(0, 4000), 4000, rng.randint(0, 4)]], shut=[], now=1.0
            )
        elif move == 2:
            room.report(node_id="a", rows=[], shut=[minion_id], now=1.0)
        elif move == 3:
            room.reserve(spot=spot, size=size, n=rng.choice([1, -1]))
        else:
            room.drop(minion_id=minion_id)
        scan = sorted(
            (max(s.free.gpu, 0), s.free.cpu, s.minion_id)
            for s in room.spots.values()
            if s.open and max(s.free.gpu, 0) >= 1 and s.free.cpu >= 800
        )
        assert [s.minion_id for s in room.ordered(service="s", size=size)] == [minion_id for _, _, minion_id in scan]
        shelf = room.shelves["s"]
        assert shelf.count == sum(s.open for s in room.spots.values())
        assert (
            shelf.free == Size(*(sum(p) for p in zip(*(s.free for s in room.spots.values() if s.open), strict=True)))
            if shelf.count
            else True
        )


def group_of(i: int, *, size: Size, rank: int = 1) -> Group:
    return Group(
        job_id=f"{i:016x}",
        key="0.0",
        service="s",
        size=size,
        prio=(False, rank, float(i), 0.0, f"{i:016x}", "0.0"),
        since=0.0,
    )


@pytest.mark.parametrize("scale", [1, 8, 64])
def test_a_cycle_visits_what_it_touches_not_all_minions(scale: int) -> None:
    """The count of index entries visited by a cycle of five is the same at 20 and 1,280 minions."""
    room = Room()
    for i in range(20 * scale):
        room.attach(
            spot=Spot(
                minion_id=f"m{i:05}",
                agent="a",
                fence=1,
                seq=1,
                service="s",
                zone="z",
                labels=("k", f"r{i // 12}"),
                cap=Size(32000, 64000, 8),
            )
        )
        room.report(node_id="a", rows=[[f"m{i:05}", 1000 if i % 4 else 9000, 64000, i % 9]], shut=[], now=1.0)
    before = room.looks
    got = cycle.run(room=room, ask=Ask(service="s", size=Size(2000, 1, 1), members=[0, 1, 2, 3, 4], need=5))
    assert got.feasible
    assert room.looks - before <= 5


@pytest.mark.parametrize("waiting", [50, 400, 3200])
def test_a_slice_looks_at_a_bounded_number_of_groups(waiting: int) -> None:
    """What waits without hope is passed over, a bounded number a slice, and the pass goes on where it stopped."""
    log = Backlog()
    for i in range(waiting):
        group = group_of(i, size=Size(4000, 1, 4) if i != waiting - 1 else Size(100, 1, 0))
        log.add(group=group)
        heap_popped = log.pop(service="s", walk=Walk(looks=1))
        assert heap_popped is group
        log.park(group=group, now=0.0)
    walk = Walk()
    walk.grow(sizes=[Size(1000, 8, 1)])
    slices = 0
    found = None
    while found is None and slices < 100:
        walk.begin(top={})
        walk.looks = 400
        found = log.pop(service="s", walk=walk)
        slices += 1
        assert walk.looks >= 0
    assert found is not None
    assert found.size.cpu == 100
    assert slices <= waiting // 400 + 1


def test_earlier_rank_goes_first_and_timestamps_survive_requeues() -> None:
    log = Backlog()
    rows = [group_of(3, size=Size(1, 1, 0), rank=2), group_of(2, size=Size(1, 1, 0)), group_of(1, size=Size(1, 1, 0))]
    for group in rows:
        log.add(group=group)
    walk = Walk(looks=10)
    first = log.pop(service="s", walk=walk)
    assert first is rows[2]
    log.wake(group=first)
    assert [log.pop(service="s", walk=walk) for _ in range(3)] == [rows[2], rows[1], rows[0]]
    assert log.pop(service="s", walk=walk) is None


def test_backoff_doubles_and_ends() -> None:
    log = Backlog()
    group = group_of(1, size=Size(1, 1, 0))
    log.add(group=group)
    now, waits = 0.0, []
    for _ in range(7):
        assert log.pop(service="s", walk=Walk(looks=1)) is group
        log.park(group=group, now=now)
        waits.append(group.again - now)
        assert log.due(now=group.again - 1e-6) == []
        now = group.again
        assert log.due(now=now) == [group]
        log.wake(group=group)
    assert waits[:3] == pytest.approx([0.1, 0.2, 0.4])
    assert waits[-1] == pytest.approx(2.0)
    log.remove(job_id=group.job_id, key=group.key)
    assert group.phase is Phase.GONE
    assert log.load.get(("s", 1), [0, 0]) == [0, 0]


@pytest.mark.parametrize("grows", [True, False])
def test_a_group_that_waits_for_ever_leaves_few_entries(grows: bool) -> None:
    """Each end of its backoff brought another entry that came to life with the next."""
    log = Backlog()
    groups = [group_of(i, size=Size(1, 1, 0)) for i in range(20)]
    for group in groups:
        log.add(group=group)
    now = 0.0
    for _ in range(200):
        walk = Walk(looks=100)
        while (popped := log.pop(service="s", walk=walk)) is not None:
            log.park(group=popped, now=now)
        now += 2.0
        for group in log.due(now=now):
            log.wake(group=group)
        if grows:
            walk.grow(sizes=[Size(9, 9, 0)])
        walk.begin(top={})
        walk.looks = 100
        while (popped := log.pop(service="s", walk=walk)) is not None:
            log.park(group=popped, now=now)
    assert len(log.parked["s"]) <= 64 + 2 * 20 + 1
    assert len(log.active["s"]) <= 40
    assert len(log.wait) <= 40
