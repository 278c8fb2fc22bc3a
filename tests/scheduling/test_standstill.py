"""Jobs do not stand still while there is room for them (issue 48, LOST)."""

from typing import Any

import pytest

from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle

MINIONS = 4
CORES = 4000
STANDSTILL_S = 3.0  # the rule's bound
BURST_S = 6
LARGE_S = 9.0  # of the rule: a lasting task may stand for 6 s, and 3 s beside room for it
MANY = 150  # jobs: several times as many as ends of backoff are taken up at a time


def lasting(*, cpus: int, count: int = 1, **more: object) -> list[dict[str, Any]]:
    """A step whose tasks run until they are stopped."""
    return [{"task-count": count, "cpus": cpus, "mem-mb": 10, "long-running": True, **more}]


def has_begun(oracle: Oracle, *, job_id: str) -> bool:
    return any(task.startswith(job_id) for task in (*oracle.alive, *oracle.done))


# Guards against small jobs that are kept off free minions by urgent ones that fit nowhere (review/4, LOST).
@pytest.mark.parametrize("seed", range(3))
def test_jobs_start_in_time_beside_a_stream_of_urgent_jobs_that_fit_nowhere(seed: int) -> None:
    sim, oracle, caller, _ = cluster(seed=4800 + seed, minions=MINIONS, cap=(CORES, 8000, 0))
    caller.submit(stages=lasting(cpus=500, count=MINIONS, **{"anti-affinity": 1}), queue="slow")
    sim.run(seconds=2.0)
    assert len(oracle.alive) == MINIONS

    def submit_urgent(left: int) -> None:
        caller.submit(stages=[{"task-count": 1, "cpus": CORES, "mem-mb": 10}])
        if left:
            sim.at(delay=1.0, fn=lambda: submit_urgent(left - 1))

    submit_urgent(BURST_S)
    sim.run(seconds=1.0)
    small = caller.submit(stages=[{"task-count": 1, "cpus": 500, "mem-mb": 10}], queue="slow")
    assert sim.until(cond=lambda: has_begun(oracle, job_id=small), limit=STANDSTILL_S)


# Guards against lasting tasks that never find a whole minion beside small tasks that take all that comes free (LOST).
@pytest.mark.parametrize("seed", range(3))
def test_a_large_lasting_task_starts_beside_a_stream_of_small_tasks(seed: int) -> None:
    sim, oracle, caller, _ = cluster(seed=4840 + seed, minions=MINIONS, cap=(CORES, 8000, 0), work=1.5)

    def submit_small() -> None:
        caller.submit(stages=[{"task-count": 3, "cpus": 1300, "mem-mb": 10, "estimate-ms": 1500}], queue="slow")
        sim.at(delay=0.3, fn=submit_small)

    submit_small()
    sim.run(seconds=5.0)
    large = caller.submit(stages=lasting(cpus=CORES), queue="slow")
    assert sim.until(cond=lambda: has_begun(oracle, job_id=large), limit=LARGE_S)


# Guards against lasting tasks that wait behind earlier ranks for as long as there are any (LOST).
@pytest.mark.parametrize("seed", range(3))
def test_a_lasting_task_starts_beside_a_stream_of_an_earlier_rank(seed: int) -> None:
    sim, oracle, caller, _ = cluster(seed=4850 + seed, minions=MINIONS, cap=(CORES, 8000, 0), work=1.5)

    def submit_urgent() -> None:
        caller.submit(stages=[{"task-count": 6, "cpus": 1000, "mem-mb": 10, "estimate-ms": 1500}])
        sim.at(delay=0.3, fn=submit_urgent)

    submit_urgent()
    sim.run(seconds=8.0)
    job_id = caller.submit(stages=lasting(cpus=1000), queue="slow")
    assert sim.until(cond=lambda: has_begun(oracle, job_id=job_id), limit=LARGE_S)


# Guards against waits that begin anew with each new primary, which follow one another after losses (LOST).
def test_nothing_is_kept_from_a_job_that_waited_under_the_former_primary() -> None:
    sim, _, caller, _ = cluster(seed=4830, minions=MINIONS, cap=(CORES, 8000, 0))
    caller.submit(stages=lasting(cpus=500, count=MINIONS, **{"anti-affinity": 1}), queue="slow")
    sim.run(seconds=2.0)
    waiting = caller.submit(stages=[{"task-count": 1, "cpus": CORES, "mem-mb": 10}])
    sim.run(seconds=0.5)
    former = sim.serving(group_id=1)
    sim.kill(ip=former[0])
    assert sim.until(cond=lambda: sim.serving(group_id=1) not in ([], former), limit=10.0)
    sim.run(seconds=1.0)  # less than a job may be kept off by others
    queue = sim.core(sim.serving(group_id=1)[0]).schedulers[1].context.queue
    assert queue.groups[waiting, "0.0"].takes_kept_capacity


# Guards against gangs that are kept off free minions while a wider gang waits for busy ones (LOST).
@pytest.mark.parametrize("seed", range(3))
def test_a_gang_starts_in_time_beside_minions_nominated_for_a_wider_one(seed: int) -> None:
    sim, oracle, caller, _ = cluster(seed=4820 + seed, minions=2 * MINIONS, cap=(CORES, 8000, 0))
    caller.submit(stages=lasting(cpus=CORES, count=2), queue="slow")
    sim.run(seconds=2.0)
    gang = {"cpus": CORES, "mem-mb": 10, "gang": True}
    caller.submit(stages=[{"task-count": 2 * MINIONS - 1, **gang}], queue="slow")
    sim.run(seconds=4.0)
    narrow = caller.submit(stages=[{"task-count": 2, **gang}], queue="slow")
    assert sim.until(cond=lambda: has_begun(oracle, job_id=narrow), limit=STANDSTILL_S)


# Guards against groups that get no further cycle, though there is room, once many backoffs end together (LOST).
@pytest.mark.parametrize("seed", range(6))
def test_a_job_gets_further_cycles_beside_many_that_fit_nowhere(seed: int) -> None:
    sim, oracle, caller, _ = cluster(seed=4810 + seed, minions=MINIONS, cap=(CORES, 8000, 0))
    caller.submit(stages=lasting(cpus=500, count=MINIONS, **{"anti-affinity": 1}), queue="slow")
    sim.run(seconds=2.0)
    primary = sim.serving(group_id=1)[0]
    capacity = sim.core(primary).schedulers[1].context.capacity
    for minion in capacity.minions.values():
        minion.avoid_until = sim.now + 4.0  # it ends by time alone: no capacity grows then
    for _ in range(MANY):
        caller.submit(stages=lasting(cpus=CORES), queue="slow")
    small = caller.submit(stages=lasting(cpus=10), queue="slow")
    sim.run(seconds=1.5)
    sim.freeze(ip=primary, seconds=1.0)  # the backoffs of all groups end meanwhile
    sim.run(seconds=2.0)
    assert not has_begun(oracle, job_id=small)
    assert sim.until(cond=lambda: has_begun(oracle, job_id=small), limit=STANDSTILL_S)
