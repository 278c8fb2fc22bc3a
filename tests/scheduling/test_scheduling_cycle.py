"""The group cycle against a brute-force oracle; its work against what waits and how many minions there are."""

import itertools
import random

import pytest

from tests.support.capacity_reports import report
from yarrowloom.common.resources import Resources
from yarrowloom.scheduling import scheduling_cycle as cycle
from yarrowloom.scheduling.capacity import ClusterCapacity, MinionCapacity
from yarrowloom.scheduling.pod_group import Phase, PodGroup, Priority
from yarrowloom.scheduling.scheduling_cycle import Decision, PlacementRequest
from yarrowloom.scheduling.scheduling_queue import SchedulingQueue, UnschedulableScan

RACKS = ("r0", "r1", "r2")


def capacity_of(rng: random.Random, *, n: int, most: int = 4) -> ClusterCapacity:
    """A few minions with some capacity."""
    capacity = ClusterCapacity()
    for i in range(n):
        cap = Resources(most * 1000, 4000, most)
        capacity.attach(
            minion=MinionCapacity(
                minion_id=f"m{i}",
                agent_id="a",
                fence=1,
                attachment=i,
                service="s",
                zone="z",
                labels=(rng.choice("ab"), rng.choice(RACKS)),
                total=cap,
            )
        )
        free = [rng.randint(0, cap.millicores), rng.randint(0, cap.memory_mb), rng.randint(0, cap.gpus)]
        report(capacity, [f"m{i}", *free])
    return capacity


def request_of(rng: random.Random, *, n: int) -> PlacementRequest:
    size = Resources(rng.randint(0, 3) * 500, rng.randint(0, 2) * 500, rng.randint(0, 2))
    if size == Resources(0, 0, 0):
        size = Resources(500, 0, 0)
    return PlacementRequest(
        service="s",
        size=size,
        members=list(range(n)),
        min_count=rng.choice([1, n]),
        required_label=rng.choice(["", "", "a"]),
        preferred_label=rng.choice(["", "r0"]),
        only_preferred=rng.random() < 0.2,
        same_rack=rng.random() < 0.25,
        max_per_minion=rng.choice([0, 0, 1, 2]),
        tasks_by_minion={"m0": 1} if rng.random() < 0.2 else {},
        nominated_for_others=frozenset({"m1"}) if rng.random() < 0.2 else frozenset(),
        reserved_labels=("b",) if rng.random() < 0.15 else (),
    )


def allowed(*, capacity: ClusterCapacity, request: PlacementRequest, minion_ids: tuple[str, ...]) -> bool:
    """The filters, written down once more: may these members go to these minions together?"""
    for minion_id in set(minion_ids):
        minion, n = capacity.minions[minion_id], minion_ids.count(minion_id)
        need = Resources(request.size.millicores * n, request.size.memory_mb * n, request.size.gpus * n)
        if (
            not minion.free.holds(need)
            or (request.required_label and request.required_label not in minion.labels)
            or minion_id in request.nominated_for_others
        ):
            return False
        if (request.only_preferred and request.preferred_label and request.preferred_label not in minion.labels) or any(
            x in minion.labels for x in request.reserved_labels
        ):
            return False
        if request.max_per_minion and n + request.tasks_by_minion.get(minion_id, 0) > request.max_per_minion:
            return False
    return not request.same_rack or len({capacity.minions[minion_id].rack for minion_id in minion_ids}) <= 1


def most_placed(*, capacity: ClusterCapacity, request: PlacementRequest) -> int:
    """By trying all: the most members that any placement serves."""
    for n in range(len(request.members), 0, -1):
        if any(
            allowed(capacity=capacity, request=request, minion_ids=minion_ids)
            for minion_ids in itertools.combinations_with_replacement(sorted(capacity.minions), n)
        ):
            return n
    return 0


@pytest.mark.parametrize("seed", range(300))
def test_homogeneous_groups_are_placed_if_any_placement_exists(seed: int) -> None:
    rng = random.Random(seed)
    capacity = capacity_of(rng, n=rng.randint(1, 4))
    request = request_of(rng, n=rng.randint(1, 4))
    if request.only_preferred and not request.preferred_label:
        request.only_preferred = False
    best = most_placed(capacity=capacity, request=request)
    before = {minion_id: minion.free for minion_id, minion in capacity.minions.items()}
    got = cycle.run_cycle(capacity=capacity, request=request)
    assert got.feasible == (best >= request.min_count)
    assert {
        minion_id: minion.free for minion_id, minion in capacity.minions.items()
    } == before  # reservations die with the cycle
    if not got.feasible:
        assert got.placements == []  # nothing binds below the criterion
        return
    assert len(got.placements) >= request.min_count
    assert allowed(capacity=capacity, request=request, minion_ids=tuple(minion_id for _, minion_id in got.placements))
    assert [i for i, _ in got.placements] == request.members[: len(got.placements)]  # in their order
    if not request.same_rack:
        assert len(got.placements) == best
    again = cycle.run_cycle(capacity=capacity, request=request)
    assert (again.placements, again.rejections) == (got.placements, got.rejections)  # same input, same decision


def test_tightest_fit_and_data_first() -> None:
    capacity = ClusterCapacity()
    for minion_id, rack, free in (
        ("wide", "r0", [4000, 9, 4]),
        ("fit", "r0", [1500, 9, 1]),
        ("data", "r1", [4000, 9, 4]),
    ):
        capacity.attach(
            minion=MinionCapacity(
                minion_id=minion_id,
                agent_id="a",
                fence=1,
                attachment=1,
                service="s",
                zone="z",
                labels=("k", rack),
                total=Resources(4000, 9, 4),
            )
        )
        report(capacity, [minion_id, *free])

    def first(near: str) -> Decision:
        return cycle.run_cycle(
            capacity=capacity,
            request=PlacementRequest(
                service="s", size=Resources(1000, 1, 1), members=[0], min_count=1, preferred_label=near
            ),
        )

    assert first("").placements == [(0, "fit")]
    assert first("r1").placements == [(0, "data")]


def test_retried_member_avoids_where_it_failed_unless_nothing_else_has_room() -> None:
    capacity = capacity_of(random.Random(1), n=0)
    for minion_id in ("a", "b"):
        capacity.attach(
            minion=MinionCapacity(
                minion_id=minion_id,
                agent_id="a",
                fence=1,
                attachment=1,
                service="s",
                zone="z",
                labels=("k", "r"),
                total=Resources(1000, 1, 0),
            )
        )
    report(capacity, ["a", 1000, 1, 0], ["b", 1000, 1, 0])
    request = PlacementRequest(
        service="s", size=Resources(1000, 1, 0), members=[0], min_count=1, failed_minion_ids=frozenset({"a"})
    )
    assert cycle.run_cycle(capacity=capacity, request=request).placements == [(0, "b")]
    report(capacity, closed=["b"])
    assert cycle.run_cycle(capacity=capacity, request=request).placements == [(0, "a")]


def test_a_minion_that_fails_three_jobs_in_a_row_is_shy_but_a_bad_job_is_not_its_defect() -> None:
    capacity = capacity_of(random.Random(2), n=8)
    for _ in range(9):
        assert not capacity.record_failure(minion_id="m0", job_id="poison", now=1.0)
    assert [capacity.record_failure(minion_id="m1", job_id=j, now=1.0) for j in "abc"] == [False, False, True]
    request = PlacementRequest(service="s", size=Resources(0, 0, 0), members=[0] * 900, min_count=1, now=1.1)
    assert "m1" not in {minion_id for _, minion_id in cycle.run_cycle(capacity=capacity, request=request).placements}
    capacity.record_success(minion_id="m1")
    assert capacity.minions["m1"].avoid_until == 0.0


@pytest.mark.parametrize("seed", range(20))
def test_index_follows_every_change(seed: int) -> None:
    """The capacity's index against a plain scan, through random reports, reservations and losses."""
    rng = random.Random(seed)
    capacity = capacity_of(rng, n=6)
    size = Resources(800, 0, 1)
    for step in range(200):
        minion_id = f"m{rng.randint(0, 5)}"
        minion = capacity.minions.get(minion_id)
        move = rng.randint(0, 4)
        if minion is None or move == 0:
            capacity.attach(
                minion=MinionCapacity(
                    minion_id=minion_id,
                    agent_id="a",
                    fence=1,
                    attachment=step,
                    service="s",
                    zone="z",
                    labels=("a", "r0"),
                    total=Resources(4000, 4000, 4),
                )
            )
        elif move == 1:
            report(capacity, [minion_id, rng.randint(0, 4000), 4000, rng.randint(0, 4)])
        elif move == 2:
            report(capacity, closed=[minion_id])
        elif move == 3:
            capacity.add_in_flight(minion=minion, size=size, count=rng.choice([1, -1]))
        else:
            capacity.remove(minion_id=minion_id)
        scan = sorted(
            (max(s.free.gpus, 0), s.free.millicores, s.minion_id)
            for s in capacity.minions.values()
            if s.is_open and max(s.free.gpus, 0) >= 1 and s.free.millicores >= 800
        )
        assert [s.minion_id for s in capacity.tightest_first(service="s", size=size)] == [
            minion_id for _, _, minion_id in scan
        ]
        index = capacity.services["s"]
        assert index.minion_count == sum(s.is_open for s in capacity.minions.values())
        assert (
            index.free
            == Resources(*(sum(p) for p in zip(*(s.free for s in capacity.minions.values() if s.is_open), strict=True)))
            if index.minion_count
            else True
        )


def group_of(i: int, *, size: Resources, rank: int = 1) -> PodGroup:
    return PodGroup(
        job_id=f"{i:016x}",
        unit_key="0.0",
        service="s",
        size=size,
        priority=Priority(False, rank, float(i), 0.0, f"{i:016x}", "0.0"),
        waiting_since=0.0,
    )


@pytest.mark.parametrize("scale", [1, 8, 64])
def test_a_cycle_visits_what_it_touches_not_all_minions(scale: int) -> None:
    """The count of index entries visited by a cycle of five is the same at 20 and 1,280 minions."""
    capacity = ClusterCapacity()
    for i in range(20 * scale):
        capacity.attach(
            minion=MinionCapacity(
                minion_id=f"m{i:05}",
                agent_id="a",
                fence=1,
                attachment=1,
                service="s",
                zone="z",
                labels=("k", f"r{i // 12}"),
                total=Resources(32000, 64000, 8),
            )
        )
        report(capacity, [f"m{i:05}", 1000 if i % 4 else 9000, 64000, i % 9])
    before = capacity.visited
    got = cycle.run_cycle(
        capacity=capacity,
        request=PlacementRequest(service="s", size=Resources(2000, 1, 1), members=[0, 1, 2, 3, 4], min_count=5),
    )
    assert got.feasible
    assert capacity.visited - before <= 5


@pytest.mark.parametrize("waiting", [50, 400, 3200])
def test_a_slice_looks_at_a_bounded_number_of_groups(waiting: int) -> None:
    """What waits without hope is passed over, a bounded number a slice, and the pass goes on where it stopped."""
    queue = SchedulingQueue()
    for i in range(waiting):
        group = group_of(i, size=Resources(4000, 1, 4) if i != waiting - 1 else Resources(100, 1, 0))
        queue.add(group=group)
        heap_popped = queue.pop(service="s", scan=UnschedulableScan(looks_left=1))
        assert heap_popped is group
        queue.mark_unschedulable(group=group, now=0.0)
    scan = UnschedulableScan()
    scan.add_grown(sizes=[Resources(1000, 8, 1)])
    slices = 0
    found = None
    while found is None and slices < 100:
        scan.resume(blocking_ranks={}, looks=400)
        found = queue.pop(service="s", scan=scan)
        slices += 1
        assert scan.looks_left >= 0
    assert found is not None
    assert found.size.millicores == 100
    assert slices <= waiting // 400 + 1


def test_earlier_rank_goes_first_and_timestamps_survive_requeues() -> None:
    queue = SchedulingQueue()
    rows = [
        group_of(3, size=Resources(1, 1, 0), rank=2),
        group_of(2, size=Resources(1, 1, 0)),
        group_of(1, size=Resources(1, 1, 0)),
    ]
    for group in rows:
        queue.add(group=group)
    scan = UnschedulableScan(looks_left=10)
    first = queue.pop(service="s", scan=scan)
    assert first is rows[2]
    queue.activate(group=first)
    assert [queue.pop(service="s", scan=scan) for _ in range(3)] == [rows[2], rows[1], rows[0]]
    assert queue.pop(service="s", scan=scan) is None


def test_backoff_doubles_and_ends() -> None:
    queue = SchedulingQueue()
    group = group_of(1, size=Resources(1, 1, 0))
    queue.add(group=group)
    now, waits = 0.0, []
    for _ in range(7):
        assert queue.pop(service="s", scan=UnschedulableScan(looks_left=1)) is group
        queue.mark_unschedulable(group=group, now=now)
        waits.append(group.backoff_until - now)
        assert queue.take_backoff_ended(now=group.backoff_until - 1e-6) == []
        now = group.backoff_until
        assert queue.take_backoff_ended(now=now) == [group]
        queue.activate(group=group)
    assert waits[:3] == pytest.approx([0.1, 0.2, 0.4])
    assert waits[-1] == pytest.approx(2.0)
    queue.remove(job_id=group.job_id, unit_key=group.unit_key)
    assert group.phase is Phase.GONE
    assert queue.waiting_work.get(("s", 1), [0, 0]) == [0, 0]


@pytest.mark.parametrize("grows", [True, False])
def test_a_group_that_waits_for_ever_leaves_few_entries(grows: bool) -> None:
    """Each end of its backoff brought another entry that came to life with the next."""
    queue = SchedulingQueue()
    groups = [group_of(i, size=Resources(1, 1, 0)) for i in range(20)]
    for group in groups:
        queue.add(group=group)
    now = 0.0
    for _ in range(200):
        scan = UnschedulableScan(looks_left=100)
        while (popped := queue.pop(service="s", scan=scan)) is not None:
            queue.mark_unschedulable(group=popped, now=now)
        now += 2.0
        for group in queue.take_backoff_ended(now=now):
            queue.activate(group=group)
        if grows:
            scan.add_grown(sizes=[Resources(9, 9, 0)])
        scan.resume(blocking_ranks={}, looks=100)
        while (popped := queue.pop(service="s", scan=scan)) is not None:
            queue.mark_unschedulable(group=popped, now=now)
    assert len(queue.unschedulable["s"]) <= 64 + 2 * 20 + 1
    assert len(queue.active["s"]) <= 40
    assert len(queue.backoffs) <= 40
