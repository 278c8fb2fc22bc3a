"""Jobs do not stand still while there is room for them (issue 48, LOST)."""

from typing import Any

import pytest

from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle

MINIONS = 4
CORES = 4000
STANDSTILL_S = 3.0  # the rule's bound
MANY = 150  # jobs: several times as many as ends of backoff are taken up at a time


def lasting(*, cpus: int, count: int = 1, **more: object) -> list[dict[str, Any]]:
    """A step whose tasks run until they are stopped."""
    return [{"task-count": count, "cpus": cpus, "mem-mb": 10, "long-running": True, **more}]


def has_begun(oracle: Oracle, *, job_id: str) -> bool:
    return any(task.startswith(job_id) for task in (*oracle.alive, *oracle.done))


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
