"""Proofs for guards of the placing: each test takes one out of the code, and the judge names its rule."""

from typing import Any

import msgspec
import pytest

from tests.support.mutant_proof import assert_guard_is_needed, settle, stream
from tests.support.simulated_work import Day, task
from yarrowloom.agent import lease_selection, leases
from yarrowloom.agent.messages import LeaseRequest
from yarrowloom.agent.minion import Minion
from yarrowloom.agent.minion_table import MinionTable
from yarrowloom.jobs.model import Job
from yarrowloom.scheduling import scheduling_cycle as cycle
from yarrowloom.scheduling.binding import Binding
from yarrowloom.scheduling.capacity import Room
from yarrowloom.scheduling.job_queue import Desk
from yarrowloom.scheduling.pod_group import Backlog
from yarrowloom.scheduling.scheduler import Placer


def without(*, name: str) -> tuple[tuple[str, cycle.Filter], ...]:
    return tuple(row for row in cycle.FILTERS if row[0] != name)


def blind(*, patch: pytest.MonkeyPatch, **more: Any) -> None:
    """The agent's own look at what the cycle chose passes over some of the metadata."""
    real = lease_selection.select_minions

    def select_minions(*, table: MinionTable, request: LeaseRequest) -> list[Minion]:
        return real(table=table, request=msgspec.structs.replace(request, **more))

    patch.setattr(leases, "select_minions", select_minions)


def test_route_a_task_goes_only_where_its_label_is() -> None:
    def out(p: pytest.MonkeyPatch) -> None:
        p.setattr(cycle, "FILTERS", without(name="label"))
        blind(patch=p, required_label="")

    assert_guard_is_needed(
        rule="ROUTE", scenario=lambda: stream(day=Day(seed=4101, minions=9), requires="r1"), remove_guard=out
    )


def test_route_members_keep_apart() -> None:
    def out(p: pytest.MonkeyPatch) -> None:
        p.setattr(cycle, "FILTERS", without(name="spread"))
        p.setattr(cycle, "_spread", lambda snap, ask, spot: True)
        blind(patch=p, max_per_minion=0)

    assert_guard_is_needed(
        rule="ROUTE", scenario=lambda: stream(day=Day(seed=4102, minions=9), anti_affinity=1), remove_guard=out
    )


def test_route_a_task_goes_only_to_its_service() -> None:
    def story() -> Day:
        day = Day(seed=4103, minions=6, aux=3)
        for _ in range(8):
            day.job(task(n=5), queue="side")
            day.job(task(n=2))
            day.sim.run(seconds=0.3)
        settle(day=day)
        return day

    def out(p: pytest.MonkeyPatch) -> None:
        p.setattr(Desk, "service", lambda self, *, job: "svc")

    assert_guard_is_needed(rule="ROUTE", scenario=story, remove_guard=out)


def test_gang_nothing_binds_below_the_criterion() -> None:
    """Half of a gang has room: without the criterion that half starts and waits alone."""

    def story() -> Day:
        day = Day(seed=4104, minions=4, work=6.0)
        day.job(task(n=2, cpus=4000))
        day.sim.run(seconds=0.3)
        day.job(task(n=4, cpus=4000, gang=True))
        settle(day=day, seconds=24.0)
        return day

    def out(p: pytest.MonkeyPatch) -> None:
        p.setattr(cycle, "placement_feasible", lambda *, placed, ask: placed > 0)

    assert_guard_is_needed(rule="GANG", scenario=story, remove_guard=out)


def test_order_a_repeated_job_starts_no_sooner_than_due() -> None:
    def story() -> Day:
        day = Day(seed=4105)
        day.timed(task(n=2), first=4.0, period=3.0, count=2)
        settle(day=day)
        return day

    def out(p: pytest.MonkeyPatch) -> None:
        real = Placer.tick

        def tick(self: Placer) -> None:
            self.environment.wall_now += 3.0
            try:
                real(self)
            finally:
                self.environment.wall_now -= 3.0

        p.setattr(Placer, "tick", tick)

    assert_guard_is_needed(rule="ORDER", scenario=story, remove_guard=out)


def test_unasked_an_order_that_waits_for_its_disk_does_not_leave_for_a_cancelled_job() -> None:
    """The start is on its way to the disks when the job is cancelled: it must not be ordered afterwards."""

    def story() -> Day:
        day = Day(seed=4106, work=20.0, sync_s=0.4)
        for _ in range(4):
            job_id = day.job(task(n=3))
            day.sim.until(cond=lambda job_id=job_id: job_id in day.judge.accepted, limit=6.0)  # type: ignore[misc]
            day.client.drop(job_id=job_id)
            day.sim.run(seconds=2.0)
        settle(day=day)
        return day

    def out(p: pytest.MonkeyPatch) -> None:
        real_orders = Binding.orders

        def orders(self: Binding, rows: list[Any]) -> None:
            with pytest.MonkeyPatch.context() as while_ordering:
                while_ordering.setattr(Job, "has_ended", False)
                real_orders(self, rows)

        p.setattr(Binding, "orders", orders)
        real = Binding.stops

        def stops(self: Binding, rows: list[Any]) -> None:
            """Stops that are told again would mend it."""
            if not self.halting:
                real(self, rows)

        p.setattr(Binding, "stops", stops)

    assert_guard_is_needed(rule="UNASKED", scenario=story, remove_guard=out)


def test_lost_a_parked_group_is_woken_by_room_and_by_time() -> None:
    def story() -> Day:
        day = Day(seed=4107, minions=4, work=3.0)
        for _ in range(6):
            day.job(task(n=4, cpus=2000))
        settle(day=day, seconds=30.0)
        return day

    def out(p: pytest.MonkeyPatch) -> None:
        p.setattr(Room, "take_grown", lambda self: {})
        p.setattr(Backlog, "due", lambda self, *, now: [])

    assert_guard_is_needed(rule="LOST", scenario=story, remove_guard=out)
