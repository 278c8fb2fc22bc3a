"""Proofs for guards of the agent: each test takes one out of the code, and the judge names its rule."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.mutant_proof import assert_guard_is_needed, settle, stream
from tests.support.simulated_work import Day, task
from yarrowloom.agent import failure_detector
from yarrowloom.agent.heartbeat import MinionHeartbeat
from yarrowloom.agent.messages import StoppedRun
from yarrowloom.agent.minion import Minion
from yarrowloom.agent.task_runs import TaskRuns
from yarrowloom.node.core import CoreNode

# -- LIMIT


def test_limit_is_broken_if_leases_do_not_count_against_capacity() -> None:
    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(Minion, "free", lambda self: self.capacity)

    assert_guard_is_needed(
        rule="LIMIT", scenario=lambda: stream(day=Day(seed=4001, minions=4, work=1.0)), remove_guard=remove_guard
    )


def test_limit_is_broken_if_a_stopped_run_frees_its_lease_before_its_end_is_listed() -> None:
    def scenario() -> Day:
        day = Day(seed=4002, minions=2, work=5.0)
        for _ in range(12):
            day.job(task(n=4, cpus=2000))
            day.sim.run(seconds=0.3)
            for job_id in day.job_ids[::2]:
                if job_id not in day.judge.asked:
                    day.client.drop(job_id=job_id)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = TaskRuns.request_stop

        def request_stop(self: TaskRuns, stopped: StoppedRun) -> Minion | None:
            minion = real(self, stopped)
            run = minion.runs.get(stopped.task) if minion is not None else None
            if minion is not None and run is not None and run.run == stopped.run:
                self._leases.remove(minion, lease_id=run.lease_id)  # the scheduler is told of the capacity too
            return minion

        patch.setattr(TaskRuns, "request_stop", request_stop)

    assert_guard_is_needed(rule="LIMIT", scenario=scenario, remove_guard=remove_guard)


# -- TWICE


def test_twice_is_broken_if_a_minion_is_lost_before_its_longest_hold_is_over() -> None:
    def scenario() -> Day:
        day = Day(seed=4003, minions=4, work=6.0)
        day.job(task(n=8))
        day.sim.run(seconds=1.0)
        day.judge.trouble(seconds=3.0)
        for m in day.fleet[:2]:
            m.mute = day.sim.now + 3.0
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(failure_detector, "SLOW_CLOCK_FACTOR", 0.3)

    assert_guard_is_needed(rule="TWICE", scenario=scenario, remove_guard=remove_guard)


def test_twice_is_broken_if_an_end_is_acknowledged_before_its_group_has_it() -> None:
    def scenario() -> Day:
        day = Day(seed=4014, minions=6)
        day.sim.loss = 0.05
        day.judge.trouble(seconds=60.0)
        return stream(day=day)

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        def note(self: Minion) -> None:
            self.last_acknowledged_end = max([self.last_acknowledged_end, *self.ends])
            self.ends.clear()

        patch.setattr(Minion, "skip_acknowledged_ends", note)

    assert_guard_is_needed(rule="TWICE", scenario=scenario, remove_guard=remove_guard)


def test_twice_is_broken_if_an_agent_acts_without_the_controllers_lease() -> None:
    def scenario() -> Day:
        day = Day(seed=4005, minions=9, work=20.0, cores=5)
        day.job(task(n=36))
        day.sim.run(seconds=2.0)
        day.judge.trouble(seconds=40.0)
        cut = next(
            ip
            for ip in day.sim.core_ips
            if day.sim.core(ip).agent.minions
            and not any(ip in day.sim.serving(group_id=group_id) for group_id in (0, 1))
        )
        for ip in day.sim.core_ips:
            if ip != cut:
                day.sim.cut(a=cut, b=ip)
        day.sim.at(delay=12.0, fn=day.sim.heal)
        settle(day=day, seconds=40.0)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(CoreNode, "trusted", lambda self: True)

    assert_guard_is_needed(rule="TWICE", scenario=scenario, remove_guard=remove_guard)


def test_twice_is_broken_if_listed_ends_are_ignored_at_an_attachment() -> None:
    """After a change of primary all minions are attached anew; what ended meanwhile is on their lists only."""

    def scenario() -> Day:
        day = Day(seed=4018, minions=6, cores=5)
        day.judge.trouble(seconds=30.0)
        for _ in range(3):
            for _ in range(8):
                day.job(task(n=4))
                day.sim.run(seconds=0.2)
            main = day.sim.serving(group_id=1)[0]
            day.sim.kill(ip=main)
            day.sim.at(delay=1.0, fn=lambda main=main: day.sim.boot(ip=main))  # type: ignore[misc]
            day.sim.run(seconds=2.5)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(Minion, "has_listed_end", lambda self, task, run: False)

    assert_guard_is_needed(rule="TWICE", scenario=scenario, remove_guard=remove_guard)


# -- UNASKED


def cancelled(*, seed: int) -> Day:
    day = Day(seed=seed, work=30.0)
    for i in range(4):
        day.job(task(n=3, long_running=i == 0))
    day.sim.run(seconds=2.0)
    for job_id in day.job_ids:
        day.client.drop(job_id=job_id)
    settle(day=day)
    return day


def test_unasked_is_broken_if_cancelled_runs_are_not_stopped() -> None:
    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(TaskRuns, "request_stop", lambda self, stopped: None)

    assert_guard_is_needed(rule="UNASKED", scenario=lambda: cancelled(seed=4008), remove_guard=remove_guard)


# -- DRAIN, EVAC


def test_drain_is_broken_if_a_draining_minion_stays_open() -> None:
    def scenario() -> Day:
        day = Day(seed=4015, minions=3, work=1.0)
        day.judge.trouble(seconds=9.0)
        day.fleet[0].drain()
        return stream(day=day)

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = Minion.record_heartbeat

        def record_heartbeat(self: Minion, *, heartbeat: MinionHeartbeat, now: float) -> None:
            real(self, heartbeat=heartbeat, now=now)
            self.is_draining = False

        patch.setattr(Minion, "record_heartbeat", record_heartbeat)

    assert_guard_is_needed(rule="DRAIN", scenario=scenario, remove_guard=remove_guard)


def test_evac_is_broken_if_evacuations_are_ignored() -> None:
    def scenario() -> Day:
        day = Day(seed=4016, work=1.0)
        day.evacuate(zone="z0", on=True)
        return stream(day=day, seconds=8.0)

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(CoreNode, "evacuated", lambda self, zone: False)

    assert_guard_is_needed(rule="EVAC", scenario=scenario, remove_guard=remove_guard)


# -- GANG


def test_gang_is_broken_if_a_lost_order_is_not_sent_again() -> None:
    """An answer that comes too late is dropped by the minion with the start that it carries."""

    def scenario() -> Day:
        day = Day(seed=4017)
        drop_answers(day=day)
        for _ in range(6):
            day.job(task(n=4, cpus=3000, gang=True))
            day.sim.run(seconds=0.5)
        settle(day=day)
        return day

    def remove_guard(patch: pytest.MonkeyPatch) -> None:
        real = TaskRuns.reconcile

        def reconcile(self: TaskRuns, minion: Minion, *, after_heartbeat: bool) -> None:
            real(self, minion, after_heartbeat=False)

        patch.setattr(TaskRuns, "reconcile", reconcile)

    assert_guard_is_needed(rule="GANG", scenario=scenario, remove_guard=remove_guard)


def drop_answers(*, day: Day) -> None:
    """Every fifth answer that brings a start comes to nothing."""
    count = [0]
    for m in day.fleet:
        real = m.answer

        def answer(*, document: dict[str, Any], sent: float, real: Callable[..., None] = real, m: Any = m) -> None:
            count[0] += bool(document.get("started"))
            if document.get("started") and count[0] % 5 == 0:
                m.miss()
            else:
                real(document=document, sent=sent)

        m.answer = answer  # type: ignore[method-assign]
