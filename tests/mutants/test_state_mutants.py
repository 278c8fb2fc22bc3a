"""Proofs for guards of records, jobs and edges: each test takes one out, and the judge names its rule."""

from typing import Any

import pytest
from msgspec.structs import replace

from tests.support.mutant_proof import assert_guard_is_needed, settle
from tests.support.simulated_work import Day, Worker, task
from yarrowloom.common.effects import Effect
from yarrowloom.jobs.effects import JobEffect, UnitReady
from yarrowloom.jobs.events import RunOutcome, TaskEnded
from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.node import edge
from yarrowloom.replication.replica import Replica
from yarrowloom.transport.effects import Reply

# -- ORDER


def test_order_a_step_waits_for_those_it_depends_on() -> None:
    def scenario() -> Day:
        day = Day(seed=4006)
        for _ in range(4):
            day.job(task(n=4), task(n=2, depends_on=[0]))
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Jobs._begin_run

        def begin_run(self: Jobs, *, job_id: str, run: int) -> list[JobEffect]:
            effects = real(self, job_id=job_id, run=run)
            return effects + [
                UnitReady(job_id=job_id, unit_key=f"{run}.{index}")
                for index, step in enumerate(self.jobs[job_id].steps)
                if step.depends_on
            ]

        patch.setattr(Jobs, "_begin_run", begin_run)

    assert_guard_is_needed(rule="ORDER", scenario=scenario, remove_guard=remove_guard)


# -- BUDGET


def test_budget_failed_runs_are_counted() -> None:
    def scenario() -> Day:
        day = Day(seed=4007, tries=2)
        job_ids = [day.job(task(n=3)), day.job(task(n=3, gang=True))]
        day.world.doomed |= set(job_ids)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Jobs._end_task
        patch.setattr(Jobs, "_end_task", lambda self, event: real(self, replace(event, max_attempts=99)))

    assert_guard_is_needed(rule="BUDGET", scenario=scenario, remove_guard=remove_guard)


# -- UNASKED


def test_unasked_progress_is_kept_apart_by_task() -> None:
    def scenario() -> Day:
        day = Day(seed=4009, minions=6, work=12.0)
        for _ in range(3):
            day.job(task(n=4, checkpoints=True))
        day.sim.run(seconds=3.5)
        day.judge.trouble(seconds=3.0)
        for m in day.fleet[:3]:
            m.drain()
        settle(day=day, seconds=25.0)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Jobs._end_task

        def end_task(self: Jobs, event: TaskEnded) -> list[JobEffect]:
            effects = real(self, event)
            job = self.jobs.get(event.job_id)
            unit = job.units.get(event.unit_key) if job is not None else None
            if unit is not None and event.saved_progress:
                unit.saved_progress = [event.saved_progress] * len(unit.saved_progress)
            return effects

        patch.setattr(Jobs, "_end_task", end_task)

    assert_guard_is_needed(rule="UNASKED", scenario=scenario, remove_guard=remove_guard)


# -- REFUSED


def test_refused_a_call_that_was_passed_on_is_not_refused() -> None:
    def scenario() -> Day:
        day = Day(seed=4010)
        day.judge.trouble(seconds=9.0)
        for ip in day.sim.core_ips:
            day.sim.cut(a=ip, b=day.sim.edge_ips[0], one_way=True)
        for _ in range(4):
            day.job(task())
        day.sim.at(delay=4.0, fn=day.sim.heal)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = edge.job_response
        patch.setattr(edge, "job_response", lambda *, result: real(result=replace(result, was_sent=False)))

    assert_guard_is_needed(rule="REFUSED", scenario=scenario, remove_guard=remove_guard)


# -- MIXED


def test_mixed_only_done_ends_complete_a_job() -> None:
    def scenario() -> Day:
        day = Day(seed=4011, work=10.0)
        day.job(task(n=4))
        day.sim.run(seconds=0.5)
        day.judge.trouble(seconds=4.0)
        for m in day.fleet[:4]:
            m.drain()
        settle(day=day, seconds=25.0)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Jobs._end_task
        patch.setattr(Jobs, "_end_task", lambda self, event: real(self, replace(event, outcome=RunOutcome.DONE)))

    assert_guard_is_needed(rule="MIXED", scenario=scenario, remove_guard=remove_guard)


def test_mixed_a_step_is_finished_only_when_no_task_is_left() -> None:
    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Jobs._finish_unit

        def finish_unit(self: Jobs, *, job_id: str, unit_key: str) -> list[JobEffect]:
            job = self.jobs[job_id]
            for unit in job.units.values():
                unit.unfinished_tasks = 0
            return real(self, job_id=job_id, unit_key=unit_key)

        patch.setattr(Jobs, "_finish_unit", finish_unit)

    def scenario() -> Day:
        day = Day(seed=4012)
        for _ in range(4):
            day.job(task(n=2), task(n=4, weight=4))
        settle(day=day)
        return day

    assert_guard_is_needed(rule="MIXED", scenario=scenario, remove_guard=remove_guard)


# -- LOST


def test_lost_a_job_is_acknowledged_only_when_it_is_on_both_disks() -> None:
    def scenario() -> Day:
        day = Day(seed=4013, work=2.0)
        day.judge.trouble(seconds=9.0)
        for _ in range(20):
            day.job(task(n=1))
            day.sim.run(seconds=0.004)
        for ip in day.sim.core_ips:
            day.sim.kill(ip=ip, power=True)
            day.sim.boot(ip=ip)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Replica.commit

        def commit(self: Replica, *, event: dict[str, Any], then: Effect | None = None) -> Any:
            if isinstance(then, Reply):
                self.environment.effect(effect=then)
                then = None
            return real(self, event=event, then=then)

        patch.setattr(Replica, "commit", commit)

    assert_guard_is_needed(rule="LOST", scenario=scenario, remove_guard=remove_guard)


def busiest(*, day: Day) -> Worker:
    """The minion that runs the most, of those in good order."""
    return max((m for m in day.fleet if m.up and m.state == "ready"), key=lambda m: (len(m.running), m.minion_id))


def gang_holder(*, day: Day, gangs: set[str]) -> Worker:
    """The minion that runs the most, of those with a member of one of these gangs: its crash breaks the others."""
    rows = [m for m in day.fleet if m.up and any(task.split(".", 1)[0] in gangs for task in m.running)]
    return max(rows, key=lambda m: (len(m.running), m.minion_id))


def losses() -> Day:
    """A crash, a drain, a hold that ends, under gangs and single tasks that have one try each."""
    day = Day(seed=4014, work=6.0, minions=10, tries=1)
    day.judge.trouble(seconds=30.0)
    gangs: set[str] = set()
    for i in range(4):
        gangs.add(day.job(task(n=4, cpus=2500, gang=True), queue="slow"))
        day.job(task(n=5), queue="slow")
        day.sim.run(seconds=0.6)
        if i == 1:
            gang_holder(day=day, gangs=gangs).crash()
        if i == 2:
            busiest(day=day).drain()
        if i == 3:
            hit = busiest(day=day)
            hit.mute = hit.hold + 0.1  # it hears nothing until its hold is over
    settle(day=day)
    return day


def astray() -> Day:
    """Leases are granted, but the orders on them get lost: those starts never were."""
    day = Day(seed=4015, work=1.0, minions=10, tries=1)
    day.judge.trouble(seconds=5.0)
    home = day.sim.serving(group_id=1)[0]
    for i in range(12):
        day.job(task(n=3))
        day.sim.run(seconds=0.004)
        for ip in day.sim.core_ips if i == 7 else ():
            if ip != home:
                day.sim.cut(a=home, b=ip, one_way=True)
    day.sim.run(seconds=0.05)
    day.sim.heal()
    settle(day=day)
    return day


def test_lost_only_failures_fail_a_job() -> None:
    real = Jobs._end_task
    assert losses().judge.broken == []
    assert astray().judge.broken == []
    for how in ("lost", "lapsed", "void", "stopped", "broken"):

        def end_task(self: Jobs, event: TaskEnded, how: str = how) -> list[JobEffect]:
            return real(self, replace(event, outcome=RunOutcome.FAILED) if event.outcome == how else event)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Jobs, "_end_task", end_task)
            assert "LOST" in (astray if how == "void" else losses)().judge.rules(), how
