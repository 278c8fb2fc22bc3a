"""The capacity index against a plain scan; minions that fail."""

import random
from collections.abc import Iterable

import pytest

from tests.support.capacity_reports import attach, capacity_of, report
from yarrowloom.common.resources import NO_RESOURCES, Resources
from yarrowloom.scheduling import scheduling_cycle as cycle
from yarrowloom.scheduling.scheduling_cycle import PlacementRequest


def total(amounts: Iterable[Resources]) -> Resources:
    summed = NO_RESOURCES
    for amount in amounts:
        summed = summed.plus(amount)
    return summed


def test_minion_is_avoided_after_three_jobs_failed_in_a_row_but_not_after_one_that_fails_everywhere() -> None:
    capacity = capacity_of(random.Random(2), n=8)
    for _ in range(9):
        assert not capacity.record_failure(minion_id="m0", job_id="poison", now=1.0)
    assert [capacity.record_failure(minion_id="m1", job_id=j, now=1.0) for j in "abc"] == [False, False, True]
    request = PlacementRequest(service="s", size=Resources(0, 0, 0), members=[0] * 900, min_count=1, now=1.1)
    assert "m1" not in {minion_id for _, minion_id in cycle.run_cycle(capacity=capacity, request=request).placements}
    capacity.record_success(minion_id="m1")
    assert capacity.minions["m1"].avoid_until == 0.0


@pytest.mark.parametrize("seed", range(20))
def test_index_equals_a_scan_after_every_change(seed: int) -> None:
    """The capacity's index against a plain scan, through random reports, reservations and losses."""
    rng = random.Random(seed)
    capacity = capacity_of(rng, n=6)
    size = Resources(800, 0, 1)
    for step in range(200):
        minion_id = f"m{rng.randint(0, 5)}"
        minion = capacity.minions.get(minion_id)
        move = rng.randint(0, 4)
        if minion is None or move == 0:
            attach(capacity, minion_id, labels=("a", "r0"), total=Resources(4000, 4000, 4), attachment=step)
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
        open_minions = [minion for minion in capacity.minions.values() if minion.is_open]
        assert index.total == total(minion.total for minion in open_minions)
        for name, rack in index.racks.items():
            of_rack = [minion for minion in open_minions if minion.rack == name]
            assert rack.minion_ids == {minion.minion_id for minion in of_rack}
            assert rack.free == total(minion.free.above_zero() for minion in of_rack)
