"""Proofs for guards of the scheduler: each test takes one out of the code, and the judge names its rule."""

from typing import Any

import msgspec
import pytest

from tests.support.mutant_proof import assert_guard_is_needed, settle, stream
from tests.support.simulated_work import Day, task
from yarrowloom.agent import lease_selection, leases
from yarrowloom.agent.messages import LeaseRequest, StoppedRun
from yarrowloom.agent.minion import Minion
from yarrowloom.agent.minion_table import MinionTable
from yarrowloom.jobs.model import Job
from yarrowloom.scheduling import scheduling_cycle as cycle
from yarrowloom.scheduling.binding import Binding
from yarrowloom.scheduling.cancellation import Cancellation
from yarrowloom.scheduling.capacity import ClusterCapacity
from yarrowloom.scheduling.effects import StartedRun
from yarrowloom.scheduling.queue_policy import QueuePolicy
from yarrowloom.scheduling.scheduler import Scheduler
from yarrowloom.scheduling.scheduling_queue import SchedulingQueue


def without(*, name: str) -> tuple[tuple[str, cycle.Filter], ...]:
    return tuple(row for row in cycle.FILTERS if row[0] != name)


def blind(*, patch: pytest.MonkeyPatch, **more: Any) -> None:
    """The agent's own look at what the cycle chose passes over some of the metadata."""
    real = lease_selection.select_minions

    def select_minions(*, table: MinionTable, request: LeaseRequest) -> list[Minion]:
        return real(table=table, request=msgspec.structs.replace(request, **more))

    patch.setattr(leases, "select_minions", select_minions)


def test_route_a_task_goes_only_where_its_label_is() -> None:
    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(cycle, "FILTERS", without(name="label"))
        blind(patch=patch, required_label="")

    assert_guard_is_needed(
        rule="ROUTE", scenario=lambda: stream(day=Day(seed=4101, minions=9), requires="r1"), remove_guard=remove_guard
    )


def test_route_members_keep_apart() -> None:
    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(cycle, "FILTERS", without(name="spread"))
        patch.setattr(cycle, "_is_within_task_limit", lambda snapshot, request, minion: True)
        blind(patch=patch, max_per_minion=0)

    assert_guard_is_needed(
        rule="ROUTE", scenario=lambda: stream(day=Day(seed=4102, minions=9), anti_affinity=1), remove_guard=remove_guard
    )


def test_route_a_task_goes_only_to_its_service() -> None:
    def scenario() -> Day:
        day = Day(seed=4103, minions=6, aux=3)
        for _ in range(8):
            day.job(task(n=5), queue="side")
            day.job(task(n=2))
            day.sim.run(seconds=0.3)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(QueuePolicy, "service", lambda self, *, job: "svc")

    assert_guard_is_needed(rule="ROUTE", scenario=scenario, remove_guard=remove_guard)


def test_gang_nothing_binds_below_the_criterion() -> None:
    """Half of a gang has room: without the criterion that half starts and waits alone."""

    def scenario() -> Day:
        day = Day(seed=4104, minions=4, work=6.0)
        day.job(task(n=2, cpus=4000))
        day.sim.run(seconds=0.3)
        day.job(task(n=4, cpus=4000, gang=True))
        settle(day=day, seconds=24.0)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(cycle, "placement_feasible", lambda *, placed, request: placed > 0)

    assert_guard_is_needed(rule="GANG", scenario=scenario, remove_guard=remove_guard)


def test_order_a_repeated_job_starts_no_sooner_than_due() -> None:
    def scenario() -> Day:
        day = Day(seed=4105)
        day.timed(task(n=2), first=4.0, period=3.0, count=2)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Scheduler.tick

        def tick(self: Scheduler) -> None:
            self.context.environment.wall_now += 3.0
            try:
                real(self)
            finally:
                self.context.environment.wall_now -= 3.0

        patch.setattr(Scheduler, "tick", tick)

    assert_guard_is_needed(rule="ORDER", scenario=scenario, remove_guard=remove_guard)


def test_unasked_an_order_that_waits_for_its_disk_does_not_leave_for_a_cancelled_job() -> None:
    """The start is on its way to the disks when the job is cancelled: it must not be ordered afterwards."""

    def scenario() -> Day:
        day = Day(seed=4106, work=20.0, sync_s=0.4)
        for _ in range(4):
            job_id = day.job(task(n=3))
            day.sim.until(cond=lambda job_id=job_id: job_id in day.judge.accepted, limit=6.0)  # type: ignore[misc]
            day.client.drop(job_id=job_id)
            day.sim.run(seconds=2.0)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real_orders = Binding.send_orders

        def send_orders(self: Binding, runs: list[StartedRun]) -> None:
            """Takes every job for one that has not ended."""
            with pytest.MonkeyPatch.context() as inner:
                inner.setattr(Job, "has_ended", False)
                real_orders(self, runs)

        patch.setattr(Binding, "send_orders", send_orders)
        real = Cancellation.send_stops

        def send_stops(self: Cancellation, runs: list[StoppedRun]) -> None:
            """Stops that are told again would mend it."""
            if not self.pending:
                real(self, runs)

        patch.setattr(Cancellation, "send_stops", send_stops)

    assert_guard_is_needed(rule="UNASKED", scenario=scenario, remove_guard=remove_guard)


def test_lost_a_parked_group_is_woken_by_room_and_by_time() -> None:
    def scenario() -> Day:
        day = Day(seed=4107, minions=4, work=3.0)
        for _ in range(6):
            day.job(task(n=4, cpus=2000))
        settle(day=day, seconds=30.0)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(ClusterCapacity, "take_grown", lambda self: {})
        patch.setattr(SchedulingQueue, "take_backoff_ended", lambda self, *, now, limit: [])

    assert_guard_is_needed(rule="LOST", scenario=scenario, remove_guard=remove_guard)
