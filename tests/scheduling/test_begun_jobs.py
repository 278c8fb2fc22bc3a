"""A job is pending until a minion is seen to run a task of it: an order alone begins nothing."""

from typing import Any

import pytest

from yarrowloom.agent.task_runs import TaskRuns
from yarrowloom.scheduling.begun_jobs import BegunJobs
from yarrowloom.simulator.minions import SimMinion
from yarrowloom.simulator.workload import Day, task

WHOLE_MINION = 4000


def pending(day: Day) -> Any:
    status, document = day.sim.ask(
        ip=day.sim.edge_ips[0], method="GET", path="/fast/", headers={"host": "h.example", "x-deadline-ms": "3000"}
    )
    assert status == 200
    return document["pending"]


def fill_all_but_one(day: Day) -> SimMinion:
    """Fill all minions but one, which is returned."""
    day.job(task(n=len(day.fleet) - 1, cpus=WHOLE_MINION))
    assert day.sim.until(cond=lambda: sum(bool(minion.running) for minion in day.fleet) == 2, limit=3.0)
    day.sim.run(seconds=1.5)
    assert pending(day) == 0
    return next(minion for minion in day.fleet if not minion.running)


# Guards against waiting jobs that are neither counted nor shown as pending, as their first order met a lost minion
# (review case 3, MIXED).
def test_jobs_whose_first_order_met_a_lost_minion_are_counted_as_pending() -> None:
    day = Day(seed=7401, minions=3, work=60.0)
    fill_all_but_one(day).crash()
    waiting = [day.job(task(n=1)) for _ in range(3)]
    for _ in range(8):
        day.sim.run(seconds=1.0)
        assert pending(day) == 3
    assert [day.client.state(job_id=job_id) for job_id in waiting] == [(200, "pending")] * 3


# Guards against the same for an order that left in a response which the minion never got.
def test_a_job_whose_order_was_sent_but_not_carried_out_is_pending(monkeypatch: pytest.MonkeyPatch) -> None:
    day = Day(seed=7402, minions=3, work=60.0)
    free = fill_all_but_one(day)
    monkeypatch.setattr(free, "begin", lambda **_: free.crash())
    waiting = day.job(task(n=1))
    assert day.sim.until(cond=lambda: not free.up, limit=3.0)
    for _ in range(8):
        day.sim.run(seconds=1.0)
        assert pending(day) == 1
    assert day.client.state(job_id=waiting) == (200, "pending")


# Guards against counts that take over two seconds to follow, and against jobs that stay pending though they run.
def test_a_job_is_active_soon_after_a_task_has_begun() -> None:
    day = Day(seed=7403, minions=3, work=60.0)
    job_id = day.job(task(n=2, long_running=True))
    assert day.sim.until(cond=lambda: job_id in day.judge.begun, limit=3.0)
    day.sim.run(seconds=2.0)
    assert day.client.state(job_id=job_id) == (200, "active")
    assert pending(day) == 0


# Guards against a report of a begin that comes while the primary does not serve: for as long it drops all messages.
def test_a_begin_that_was_dropped_is_told_again(monkeypatch: pytest.MonkeyPatch) -> None:
    day = Day(seed=7405, minions=3, work=60.0)
    job_id = day.job(task(n=2, long_running=True))
    with monkeypatch.context() as dropping:
        dropping.setattr(BegunJobs, "report", lambda *_: None)
        assert day.sim.until(cond=lambda: job_id in day.judge.begun, limit=3.0)
        day.sim.run(seconds=1.5)
        assert day.client.state(job_id=job_id) == (200, "pending")
    day.sim.run(seconds=4.0)
    assert day.client.state(job_id=job_id) == (200, "active")


# Guards against a report of a begin that is lost with the primary it was meant for.
def test_a_new_primary_learns_which_tasks_have_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    day = Day(seed=7404, minions=3, work=60.0)
    job_id = day.job(task(n=2, long_running=True))
    with monkeypatch.context() as unheard:
        unheard.setattr(TaskRuns, "_tell_begun", lambda *_: None)
        assert day.sim.until(cond=lambda: job_id in day.judge.begun, limit=3.0)
        day.sim.run(seconds=2.0)
        assert day.client.state(job_id=job_id) == (200, "pending")
        day.sim.kill(ip=day.sim.serving(group_id=1)[0])
    assert day.sim.until(cond=lambda: bool(day.sim.serving(group_id=1)), limit=10.0)
    day.sim.run(seconds=6.0)
    assert day.client.state(job_id=job_id) == (200, "active")
