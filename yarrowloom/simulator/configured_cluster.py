"""A simulated cluster with a configuration, minions and a client."""

from typing import Unpack

from .caller import SimCaller
from .cluster import Sim
from .errors import SimulationError
from .judges.oracle import Oracle
from .machines.machine_set import ClusterOptions
from .minions import SimMinion
from .sample_config import config


def cluster(
    *,
    seed: int,
    minions: int = 6,
    work: float = 0.5,
    cap: tuple[int, int, int] = (4000, 8000, 0),
    fail: float = 0.0,
    **kw: Unpack[ClusterOptions],
) -> tuple[Sim, Oracle, SimCaller, list[SimMinion]]:
    """A configured cluster with minions."""
    sim = Sim(seed=seed, **kw)
    oracle = Oracle(sim=sim)
    fleet = [
        SimMinion(
            sim=sim,
            oracle=oracle,
            minion_id=f"i-{i}",
            zone=f"z{i % len(sim.zones)}",
            cap=cap,
            work=work,
            labels=("a", f"r{i % len(sim.zones)}"),
            fail=fail,
        )
        for i in range(minions)
    ]
    sim.run(seconds=1.0)
    for ip in sim.core_ips:
        status, _ = sim.ask(ip=ip, method="PUT", path="/config", document=config(version=3), headers={"if-match": "0"})
        if status == 200:
            break
    if status != 200:
        raise SimulationError(text=f"the configuration was answered {status}")
    sim.run(seconds=2.0)
    return sim, oracle, SimCaller(sim=sim, oracle=oracle), fleet
