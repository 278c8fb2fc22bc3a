"""A burst beyond what the processors can carry is worked off; nobody is taken for dead meanwhile."""

from typing import Any

import pytest

from yarrowloom.node.node_base import JOB_GROUPS
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.minions import SimMinion

JOB: dict[str, Any] = {"task-count": 4, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}
SPEED = 0.1  # of this project's development machine: a tenth of the jobs makes the same backlog
BURST_S = 8.0
JOBS_PER_S = 150


class Burst:
    """What a burst did to a cluster."""

    def __init__(self, *, sim: Sim, oracle: Oracle, caller: SimCaller, fleet: list[SimMinion]) -> None:
        self.sim, self.oracle, self.caller, self.fleet = sim, oracle, caller, fleet
        sim.run(seconds=4.0)
        self.before = self.state()
        self.unserved: list[float] = []
        self.most = 0
        self.job_ids: list[str] = []
        spent = {ip: sim.procs[ip].spent for ip in sim.core_ips}
        for _ in range(round(BURST_S / 0.1)):
            self.job_ids += [caller.submit(stages=[JOB]) for _ in range(round(JOBS_PER_S / 10))]
            self.watch(seconds=0.1)
            self.most = max(self.most, self.waiting())
        self.busiest = max(sim.procs[ip].spent - spent[ip] for ip in sim.core_ips) / BURST_S

    def state(self) -> tuple[list[int], dict[str, int], set[str]]:
        """Epochs, fences, minions whose hold ran out."""
        epochs = [
            self.sim.core(ip).replicas[group_id].epoch for group_id in range(JOB_GROUPS + 1) for ip in self.sim.core_ips
        ]
        return (
            [e.number for e in epochs if e is not None],
            {m.minion_id: m.fence for m in self.fleet},
            {m.minion_id for m in self.fleet if m.lapsed >= 0},
        )

    def waiting(self) -> int:
        """Inputs that wait in all processes."""
        return sum(len(p.input_scheduler) for p in self.sim.procs.values() if p.input_scheduler is not None)

    def watch(self, *, seconds: float) -> None:
        """Time goes on; every group must be served all the while."""
        for _ in range(round(seconds / 0.05)):
            self.sim.run(seconds=0.05)
            if any(len(self.sim.serving(group_id=group_id)) != 1 for group_id in range(JOB_GROUPS + 1)):
                self.unserved.append(self.sim.now)

    def nobody_was_taken_for_dead(self) -> None:
        """Promises held, epochs and fences are as before, no rule is broken."""
        assert self.unserved == []
        assert self.state() == self.before
        assert self.before[2] == set()
        assert self.oracle.broken == []


@pytest.mark.parametrize("seed", [101])
def test_a_burst_beyond_capacity_is_worked_off_and_nobody_is_taken_for_dead(seed: int) -> None:
    sim, oracle, caller, fleet = cluster(seed=seed, cores=5, edges=4, minions=60, cap=(16000, 64000, 0), speed=SPEED)
    burst = Burst(sim=sim, oracle=oracle, caller=caller, fleet=fleet)
    assert burst.busiest > 0.95
    assert burst.most > 300
    burst.watch(seconds=15.0)
    burst.nobody_was_taken_for_dead()
    assert burst.waiting() < 20
    assert set(burst.job_ids) == set(oracle.accepted)
    assert len(oracle.done) == 4 * len(burst.job_ids)


def test_placing_that_falls_behind_for_want_of_room_harms_nobody_else() -> None:
    """The same burst onto a quarter of the room: placing takes all the time there is, and beats still pass it."""
    sim, oracle, caller, fleet = cluster(seed=103, cores=5, edges=4, minions=60, cap=(4000, 64000, 0), speed=SPEED)
    burst = Burst(sim=sim, oracle=oracle, caller=caller, fleet=fleet)
    assert burst.busiest > 0.95
    assert burst.most > 300
    burst.watch(seconds=10.0)
    burst.nobody_was_taken_for_dead()
