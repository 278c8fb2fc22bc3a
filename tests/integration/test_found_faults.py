"""Faults found that are not mended yet; each names its cause. A test moves out of here once it passes."""

import pytest

from tests.integration.test_fault_days import load
from tests.support.simulated_work import Day, task


@pytest.mark.parametrize("seed", range(3))
def test_a_task_that_fails_is_tried_elsewhere(seed: int) -> None:
    """One idle cluster, one minion that fails all it starts, one small job after the other: none may use all its tries
    up there. Cause: the lease of a failed run goes back to the pool and the same task is bound to it at once
    (scheduling/job_queue.py `ends` and `_idle`, then `pump`), and nothing counts a minion's failures."""
    day = Day(seed=2200 + seed, minions=9, tries=3)
    day.fleet[seed].sick = "grey"
    for _ in range(12):
        day.job(task(n=3))
        day.sim.run(seconds=0.5)
    day.finish()
    assert [j for j in day.job_ids if day.judge.shows[j] == "failed"] == []


def test_one_minion_that_fails_all_does_not_fail_jobs_under_load() -> None:
    """The same among all kinds of work; a gang's failures count for all its members."""
    day = Day(seed=2203, minions=9, tries=3)
    day.fleet[3].sick = "grey"
    load(day=day, seconds=10.0, more=1.5)
    day.finish()
    assert [j for j in day.job_ids if day.judge.shows.get(j) == "failed"] == []


def test_a_gang_with_anti_affinity_starts() -> None:
    """Four members, one a minion, and six idle minions, two an agent: it never starts. Cause: the plan of an
    attempt takes as many members from one agent as its minions have room for, whatever the limit a minion
    (place/gang.py `want`); the agent keeps to the limit, so the attempt comes short, every time."""
    day = Day(seed=4017, minions=6)
    day.job(task(n=4, gang=True, anti_affinity=1))
    day.finish(limit=15.0)


def test_minions_booked_for_a_gang_are_let_go_when_one_of_them_is_gone() -> None:
    """A gang has four of six minions booked, two others are full, one of the four crashes: for up to ten seconds the
    three idle ones take nothing of the gang's rank (by the page of rules LOST, if it is so at the end: nothing running
    for 3 s, room twice over, under half in use). Cause: place/gang.py `sweep` drops a booking for its end or its age,
    never for a minion that is gone."""
    day = Day(seed=2227, minions=6, work=4.0)
    first = day.job(task(n=4, cpus=4000))
    day.sim.run(seconds=0.5)
    day.job(task(n=2, cpus=4000, long_running=True))
    day.sim.run(seconds=0.2)
    day.job(task(n=4, cpus=3000, gang=True))
    day.sim.run(seconds=2.3)
    next(m for m in day.fleet if any(t.startswith(first) for t in m.running)).crash()
    day.sim.run(seconds=3.0)
    small = day.job(task(n=1, cpus=500))
    day.sim.run(seconds=4.0)
    day.judge.close()
    assert small in day.judge.begun, day.judge.broken


def test_placing_and_agent_do_not_go_round_without_end() -> None:
    """A late job of the first rank and a fresh one of the second want one shape, and a gang of the second has booked
    the minion whose room comes free. The request is made for the late job, which the booking does not bind; the lease
    is offered to the fresh one first, which may not take it, and goes back (scheduling/scheduler.py), and at
    once the next request goes out: a busy loop of the processor where both are one node."""
    day = Day(seed=1, minions=2, work=11.0)
    day.job(task(n=8))
    day.sim.run(seconds=0.3)
    day.job(task(n=2))
    day.sim.run(seconds=6.7)
    day.job(task(n=2, cpus=3000, gang=True), queue="slow")
    day.sim.run(seconds=2.5)
    day.job(task(n=2), queue="slow")
    day.sim.run(seconds=10.0)
