"""Lives of a process: told apart without a clock, in whatever order their connections and frames come."""

from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.sample_config import config


def running(*, seed: int) -> Sim:
    """A cluster with its first configuration."""
    sim = Sim(seed=seed, cores=3, edges=2)
    sim.run(seconds=2.0)
    change(sim, version=1, base=0)
    return sim


def change(sim: Sim, *, version: int, base: int) -> None:
    """A configuration is accepted and in force everywhere within two seconds."""
    ip = sim.serving(group_id=0)[0]
    status, _ = sim.ask(
        ip=ip, method="PUT", path="/config", document=config(version=version), headers={"if-match": str(base)}
    )
    assert status == 200

    def applied() -> bool:
        tables = [proc.node.table for proc in sim.procs.values()]
        return all(table is not None and table.config_version == version for table in tables)

    assert sim.until(cond=applied, limit=2.0), {ip: proc.node.config_version() for ip, proc in sim.procs.items()}


def restart(sim: Sim, *, ips: list[str]) -> None:
    """Each process ends and begins anew half a second later."""
    for ip in ips:
        sim.kill(ip=ip)
    sim.run(seconds=0.5)
    for ip in ips:
        sim.boot(ip=ip)
    sim.run(seconds=2.0)


def test_processes_that_restart_after_their_clocks_went_back_are_heard() -> None:
    """Seen on the bench: clocks 4.8 s ahead for 3 s, a core and an edge restarted meanwhile and once more after."""
    sim = running(seed=1)
    main = sim.serving(group_id=0)[0]
    core = next(ip for ip in sim.core_ips if ip != main)
    edge = sim.edge_ips[0]
    sim.skew.update({core: 4.8, edge: 4.8})
    restart(sim, ips=[core, edge])
    sim.skew.clear()
    restart(sim, ips=[core, edge])
    change(sim, version=2, base=1)


def test_a_primary_that_restarts_after_its_clock_went_back_an_hour_takes_part_again() -> None:
    sim = running(seed=2)
    for version in range(2, 5):
        main = sim.serving(group_id=0)[0]
        sim.skew[main] = sim.skew.get(main, 0.0) - 3600.0
        restart(sim, ips=[main])
        assert sim.until(cond=lambda: bool(sim.serving(group_id=0)), limit=5.0)
        change(sim, version=version, base=version - 1)
