"""The scheduling queue: order, backoff, and how much of what waits a slice looks at."""

import pytest

from yarrowloom.common.resources import Resources
from yarrowloom.scheduling.pod_group import Phase, PodGroup, Priority
from yarrowloom.scheduling.scheduling_queue import SchedulingQueue, UnschedulableScan


def group_of(i: int, *, size: Resources, rank: int = 1) -> PodGroup:
    return PodGroup(
        job_id=f"{i:016x}",
        unit_key="0.0",
        service="s",
        size=size,
        priority=Priority(False, rank, float(i), 0.0, f"{i:016x}", "0.0"),
        waiting_since=0.0,
    )


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
        assert queue.take_backoff_ended(now=group.backoff_until - 1e-6, limit=8) == []
        now = group.backoff_until
        assert queue.take_backoff_ended(now=now, limit=8) == [group]
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
        for group in queue.take_backoff_ended(now=now, limit=len(groups)):
            queue.activate(group=group)
        if grows:
            scan.add_grown(sizes=[Resources(9, 9, 0)])
        scan.resume(blocking_ranks={}, looks=100)
        while (popped := queue.pop(service="s", scan=scan)) is not None:
            queue.mark_unschedulable(group=popped, now=now)
    assert len(queue.unschedulable["s"]) <= 64 + 2 * 20 + 1
    assert len(queue.active["s"]) <= 40
    assert len(queue.backoffs) <= 40
