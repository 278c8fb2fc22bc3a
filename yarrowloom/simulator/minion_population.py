"""Simulated clusters with many minions, and measurements of how fast all are attached again."""

from ..agent.minion import Phase
from .caller import SimCaller
from .cluster import Sim
from .errors import SimulationError
from .judges.oracle import Oracle
from .minions import SimMinion
from .sample_config import config


def populated_cluster(
    *, seed: int, minions: int, cores: int = 5, edges: int = 2, rack: int = 12, **kw: float
) -> tuple[Sim, Oracle, SimCaller, list[SimMinion]]:
    """Build a configured cluster in which all minions send heartbeats within a second; `rack` of them share a rack."""
    sim = Sim(seed=seed, cores=cores, edges=edges, **kw)  # type: ignore[arg-type]
    oracle = Oracle(sim=sim)
    fleet = []
    for i in range(minions):
        zone = i // rack % len(sim.zones)
        fleet.append(
            SimMinion(
                sim=sim,
                oracle=oracle,
                minion_id=f"i-{i}",
                zone=f"z{zone}",
                cap=(4000, 8000, 0),
                work=0.5,
                labels=("a", f"r{zone}-{i // rack}"),
            )
        )
    sim.run(seconds=1.0)
    status, _ = sim.ask(
        ip=sim.core_ips[0], method="PUT", path="/config", document=config(version=3), headers={"if-match": "0"}
    )
    if status != 200:
        raise SimulationError(text=f"the configuration was answered {status}")
    return sim, oracle, SimCaller(sim=sim, oracle=oracle), fleet


def attached(*, sim: Sim) -> dict[str, str]:
    """Return for each minion the machine whose agent is trusted and has attached it to all groups."""
    out: dict[str, str] = {}
    for ip in sim.core_ips:
        if not sim.procs[ip].up:
            continue
        node = sim.core(ip)
        node.now = sim.now
        if node.trusted():
            for m in node.agent.minions.values():
                if m.phase is Phase.KNOWN and all(group_id in m.attachments for group_id in node.groups()):
                    out[m.minion_id] = ip
    return out


def serves(*, sim: Sim) -> bool:
    """Return whether every group is served."""
    return all(sim.serving(group_id=group_id) for group_id in range(2))


def loads(*, sim: Sim) -> dict[str, int]:
    """Return for each core machine the number of minions that it owns according to group 0."""
    registry = sim.core(sim.serving(group_id=0)[0]).registry
    return {
        ip: sum(registry.ownership.minion_count(node_id=u) for u in registry.members if u.split(":")[0] == ip)
        for ip in sim.core_ips
    }


def back(*, sim: Sim, n: int, limit: float = 40.0) -> tuple[float, float]:
    """Run the cluster; return the seconds until every group is served, and until `n` minions are attached."""
    t0 = sim.now
    if not sim.until(cond=lambda: serves(sim=sim), limit=limit):
        raise SimulationError(text=f"not all groups are served after {limit:g} s")
    served_s = sim.now - t0
    if not sim.until(cond=lambda: len(attached(sim=sim)) >= n, limit=limit):
        raise SimulationError(text=f"{len(attached(sim=sim))} of {n} minions are attached after {limit:g} s")
    return served_s, sim.now - t0
