"""How long a cluster takes to serve again after all its processes were killed and came back, by number of minions.

    target/v/bin/python docs/experiments/recover.py [--minions 100,300,750,1500] [--edges 30] [--speed 0.5] [--for-s 6]

Simulated cluster (`yarrowloom/simulator/`): five core nodes, processor time of each input charged over the speed;
sockets and the start of a process are left out. Minions keep running. Times are simulated seconds from the return of
the processes.
"""

import argparse
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.minions import SimMinion

CORES = 5
CAPACITY = (32_000, 131_072, 8)  # thousandths of a core, megabytes, accelerators
JOBS_PER_S_A_MINION = 0.1
STAGE = {"task-count": 5, "cpus": 3700, "mem-mb": 11_000, "gpus": 1, "estimate-ms": 1200}
WORK_S = 1.5
DOWN_S = 0.7
LOOK_S = 0.05
ATTACHED_SHARE = 0.95


@dataclass(kw_only=True)
class Scene:
    """A loaded cluster whose processes have just come back. `marks`: seconds from then to each event first seen."""

    sim: Sim
    oracle: Oracle
    fleet: list[SimMinion]
    back: float
    marks: dict[str, float] = field(default_factory=dict)

    def mark(self, *, event: str, seen: bool) -> None:
        """Take note of an event."""
        if seen:
            self.marks.setdefault(event, self.sim.now - self.back)

    def attached(self) -> int:
        """Minions that a placing node has attached and whose room counts."""
        placers = [placer for ip in self.sim.core_ips for placer in self.sim.core(ip).placers.values()]
        return max((sum(spot.open for spot in placer.room.spots.values()) for placer in placers), default=0)


def load(*, sim: Sim, caller: SimCaller, minions: int) -> None:
    """Hand jobs in for ever, at a rate that fits the number of minions."""

    def feed() -> None:
        caller.submit(stages=[STAGE], queue="fast" if caller.n % 2 else "slow")
        sim.at(delay=1.0 / (minions * JOBS_PER_S_A_MINION), fn=feed)

    feed()


def begin(*, minions: int, edges: int, speed: float) -> Scene:
    """Load a cluster, kill all its processes, bring them back."""
    sim, oracle, caller, fleet = cluster(
        seed=7, minions=minions, cores=CORES, edges=edges, cap=CAPACITY, work=WORK_S, speed=speed
    )
    sim.until(cond=lambda: sum(minion.fence > 0 for minion in fleet) == minions, limit=20.0)
    sim.run(seconds=3.0)
    load(sim=sim, caller=caller, minions=minions)
    sim.run(seconds=5.0)
    nodes = [*sim.core_ips, *sim.edge_ips]
    for ip in nodes:
        sim.kill(ip=ip)
    sim.run(seconds=DOWN_S)
    for ip in nodes:
        sim.boot(ip=ip)
    return Scene(sim=sim, oracle=oracle, fleet=fleet, back=sim.now)


def measure(*, scene: Scene, for_s: float) -> None:
    """Play on and take note of what happens when."""
    sim, minions = scene.sim, len(scene.fleet)
    accepted, done = len(scene.oracle.accepted), len(scene.oracle.done)
    runs = {minion.minion_id: dict(minion.top) for minion in scene.fleet}
    while sim.now - scene.back < for_s:
        sim.run(seconds=LOOK_S)
        scene.mark(event="both groups serve", seen=bool(sim.serving(group_id=0) and sim.serving(group_id=1)))
        scene.mark(event="all edges ready", seen=all(sim.procs[ip].node.ready() for ip in sim.edge_ips))  # type: ignore[union-attr]
        scene.mark(event="first job accepted", seen=len(scene.oracle.accepted) > accepted)
        scene.mark(event="first start", seen=any(dict(minion.top) != runs[minion.minion_id] for minion in scene.fleet))
        scene.mark(event="95% attached", seen=scene.attached() >= ATTACHED_SHARE * minions)
    accepted, done = len(scene.oracle.accepted) - accepted, len(scene.oracle.done) - done
    times = ", ".join(f"{event} {at:.2f}" for event, at in sorted(scene.marks.items(), key=lambda row: row[1]))
    print(f"minions={minions}: {times}; {accepted} jobs accepted, {done} tasks done; broken {scene.oracle.broken[:3]}")


def main() -> None:
    """Read the flags, run the sizes."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--minions", default="100,300,750,1500")
    parser.add_argument("--edges", type=int, default=30)
    parser.add_argument("--speed", type=float, default=0.5)
    parser.add_argument("--for-s", type=float, default=6.0)
    flags = parser.parse_args()
    for minions in map(int, flags.minions.split(",")):
        scene = begin(minions=minions, edges=flags.edges, speed=flags.speed)
        measure(scene=scene, for_s=flags.for_s)


if __name__ == "__main__":
    main()
