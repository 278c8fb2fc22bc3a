"""The scheduling cycle against a brute-force oracle; its work against the number of minions."""

import itertools
import random

import pytest

from tests.support.capacity_reports import attach, capacity_of, report
from yarrowloom.common.resources import Resources
from yarrowloom.scheduling import scheduling_cycle as cycle
from yarrowloom.scheduling.capacity import ClusterCapacity
from yarrowloom.scheduling.scheduling_cycle import Decision, PlacementRequest


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
def test_alike_members_are_placed_if_any_placement_exists(seed: int) -> None:
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


def test_minions_near_the_data_go_first_then_the_tightest_fit() -> None:
    capacity = ClusterCapacity()
    for minion_id, rack, free in (
        ("wide", "r0", [4000, 9, 4]),
        ("fit", "r0", [1500, 9, 1]),
        ("data", "r1", [4000, 9, 4]),
    ):
        attach(capacity, minion_id, labels=("k", rack), total=Resources(4000, 9, 4))
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


def test_retried_member_avoids_where_it_failed_unless_nothing_else_has_capacity() -> None:
    capacity = capacity_of(random.Random(1), n=0)
    for minion_id in ("a", "b"):
        attach(capacity, minion_id, labels=("k", "r"), total=Resources(1000, 1, 0))
    report(capacity, ["a", 1000, 1, 0], ["b", 1000, 1, 0])
    request = PlacementRequest(
        service="s", size=Resources(1000, 1, 0), members=[0], min_count=1, failed_minion_ids=frozenset({"a"})
    )
    assert cycle.run_cycle(capacity=capacity, request=request).placements == [(0, "b")]
    report(capacity, closed=["b"])
    assert cycle.run_cycle(capacity=capacity, request=request).placements == [(0, "a")]


@pytest.mark.parametrize("scale", [1, 8, 64])
def test_a_cycle_visits_what_it_touches_not_all_minions(scale: int) -> None:
    """The count of index entries visited by a cycle of five is the same at 20 and 1,280 minions."""
    capacity = ClusterCapacity()
    for i in range(20 * scale):
        attach(capacity, f"m{i:05}", labels=("k", f"r{i // 12}"), total=Resources(32000, 64000, 8))
        report(capacity, [f"m{i:05}", 1000 if i % 4 else 9000, 64000, i % 9])
    before = capacity.visited
    got = cycle.run_cycle(
        capacity=capacity,
        request=PlacementRequest(service="s", size=Resources(2000, 1, 1), members=[0, 1, 2, 3, 4], min_count=5),
    )
    assert got.feasible
    assert capacity.visited - before <= 5
