"""The grown deployments: two machines may lose their disks at once, while all processes end and start again."""

import pytest

from tests.simfleet import HOST, cluster, config
from tests.simnet import Sim


def holders(sim: Sim, *, g: int) -> list[str]:
    """The machines that the newest epoch of a group names as primary and backup."""
    epochs = [sim.core(ip).reps[g].epoch for ip in sim.core_ips]
    newest = max((e for e in epochs if e is not None), key=lambda e: e["n"])
    return [newest["p"].split(":")[0], newest["b"].split(":")[0]]


def strike(sim: Sim, *, wiped: list[str]) -> None:
    """All core processes end; two come back without their disks, within a second."""
    for ip in sim.core_ips:
        sim.kill(ip=ip)
    for ip in wiped:
        sim.wipe(ip=ip)
    sim.run(seconds=0.7)
    for ip in sim.core_ips:
        sim.boot(ip=ip)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_configuration_survives_the_loss_of_both_holders_disks(seed: int) -> None:
    """Seen on akat-yl-grown trouble-2: primary and backup of group 0 lost their disks after an acknowledgement."""
    sim, _oracle, _caller, _fleet = cluster(seed=seed, minions=6, cores=5)
    status, _ = sim.ask(ip=sim.core_ips[0], method="PUT", path="/config", doc=config(version=4),
                        headers={"if-match": "3"})
    assert status == 200
    strike(sim, wiped=holders(sim, g=0))
    sim.run(seconds=6.0)
    found = [sim.ask(ip=ip, method="GET", path="/config", limit=4.0) for ip in sim.core_ips]
    assert [s for s, _ in found] == [200] * len(found)
    assert {d["config-version"] for _, d in found} == {4}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_survive_the_loss_of_both_holders_disks(seed: int) -> None:
    """What was acknowledged is known afterwards: 410 for an accepted job is a loss."""
    sim, oracle, caller, _fleet = cluster(seed=seed, minions=6, cores=5)
    jid = caller.submit(stages=[{"task-count": 2, "cpus": 500, "mem-mb": 100, "estimate-ms": 500}])
    assert sim.until(cond=lambda: jid in oracle.accepted, limit=3.0)
    strike(sim, wiped=holders(sim, g=1))
    sim.run(seconds=6.0)
    status, doc = sim.ask(ip=sim.edge_ips[0], method="GET", path=f"/fast/{jid}",
                          headers={"host": HOST, "x-deadline-ms": "3000"})
    assert status == 200, (status, doc)
