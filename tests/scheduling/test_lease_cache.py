"""Idle leases: taken for tasks of their size, given back after a while, void with their attachment."""

import pytest

from tests.support.capacity_reports import attach, report
from yarrowloom.common.resources import NO_RESOURCES, Resources
from yarrowloom.scheduling.capacity import ClusterCapacity
from yarrowloom.scheduling.lease_cache import MAX_IDLE_S, HeldLease, LeaseCache

SIZE = Resources(1000, 10, 0)
TOTAL = Resources(4000, 40, 0)


@pytest.fixture
def cache() -> LeaseCache:
    capacity = ClusterCapacity()
    attach(capacity, "m", labels=("k", "r"), total=TOTAL)
    report(capacity, ["m", 2000, 20, 0])
    return LeaseCache(capacity=capacity)


def lease(*, lease_id: int, attachment: int = 1) -> HeldLease:
    return HeldLease(agent_id="a", minion_id="m", lease_id=lease_id, attachment=attachment, size=SIZE, idle_since=0.0)


def test_idle_lease_counts_as_free_until_it_is_taken(cache: LeaseCache) -> None:
    minion = cache.capacity.minions["m"]
    assert cache.put(lease=lease(lease_id=1), now=1.0)
    assert cache.put(lease=lease(lease_id=2), now=1.0)
    assert minion.free == Resources(4000, 40, 0)
    assert [taken.lease_id for taken in cache.take(minion_id="m", size=SIZE, count=1)] == [2]
    assert minion.free == Resources(3000, 30, 0)
    assert cache.take(minion_id="m", size=Resources(1, 1, 0), count=1) == []


def test_lease_that_was_idle_for_too_long_is_given_back_once(cache: LeaseCache) -> None:
    cache.put(lease=lease(lease_id=1), now=1.0)
    cache.put(lease=lease(lease_id=2), now=1.2)
    assert cache.take_expired(now=1.0 + MAX_IDLE_S - 0.01) == []
    assert [expired.lease_id for expired in cache.take_expired(now=1.0 + MAX_IDLE_S)] == [1]
    assert [expired.lease_id for expired in cache.take_expired(now=9.0)] == [2]
    assert cache.take_expired(now=9.0) == []
    assert cache.capacity.minions["m"].idle_leased == NO_RESOURCES


def test_lease_of_an_earlier_attachment_is_void(cache: LeaseCache) -> None:
    assert not cache.put(lease=lease(lease_id=1, attachment=7), now=1.0)
    cache.put(lease=lease(lease_id=2), now=1.0)
    cache.forget(minion_id="m")
    assert cache.take(minion_id="m", size=SIZE, count=9) == []
    assert cache.take_expired(now=9.0) == []
