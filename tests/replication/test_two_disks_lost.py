"""The grown deployments: two machines may lose their disks at once, while all processes end and start again."""

from functools import partial

import pytest

from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import HOST, config


def holders(sim: Sim, *, group_id: int, which: tuple[int, int]) -> list[str]:
    """Two of the machines that the newest epoch of a group names: 0 is the primary, the backups follow."""
    epochs = [sim.core(ip).replicas[group_id].epoch for ip in sim.core_ips]
    newest = max((e for e in epochs if e is not None), key=lambda e: e.number)
    assert len(newest.backups) == 2
    rows = [node_id.split(":")[0] for node_id in (newest.primary, *newest.backups)]
    return [rows[i] for i in which]


def strike(sim: Sim, *, group_id: int, which: tuple[int, int]) -> None:
    """All core processes end; two come back without their disks, within a second."""
    assert sim.until(
        cond=lambda: all(
            len(r.epoch.witnesses) == 5 for r in sim.core(sim.core_ips[0]).replicas.values() if r.epoch is not None
        ),
        limit=3.0,
    )
    wiped = holders(sim, group_id=group_id, which=which)
    for ip in sim.core_ips:
        sim.kill(ip=ip)
    for ip in wiped:
        sim.wipe(ip=ip)
    sim.run(seconds=0.7)
    for ip in sim.core_ips:
        sim.boot(ip=ip)


@pytest.mark.parametrize("which", [(0, 1), (0, 2), (1, 2)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_configuration_survives_the_loss_of_both_holders_disks(seed: int, which: tuple[int, int]) -> None:
    """Seen on akat-yl-grown trouble-2: primary and backup of group 0 lost their disks after an acknowledgement."""
    sim, _oracle, _caller, _fleet = cluster(seed=seed, minions=6, cores=5, losses=2)
    status, _ = sim.ask(
        ip=sim.core_ips[0], method="PUT", path="/config", document=config(version=4), headers={"if-match": "3"}
    )
    assert status == 200
    strike(sim, group_id=0, which=which)
    sim.run(seconds=6.0)
    found = [sim.ask(ip=ip, method="GET", path="/config", limit=4.0) for ip in sim.core_ips]
    assert [s for s, _ in found] == [200] * len(found)
    assert {d["config-version"] for _, d in found} == {4}


@pytest.mark.parametrize("which", [(0, 1), (0, 2), (1, 2)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_survive_the_loss_of_both_holders_disks(seed: int, which: tuple[int, int]) -> None:
    """What was acknowledged is known afterwards: 410 for an accepted job is a loss."""
    sim, oracle, caller, _fleet = cluster(seed=seed, minions=6, cores=5, losses=2)
    job_id = caller.submit(stages=[{"task-count": 2, "cpus": 500, "mem-mb": 100, "estimate-ms": 500}])
    assert sim.until(cond=lambda: job_id in oracle.accepted, limit=3.0)
    strike(sim, group_id=1, which=which)
    sim.run(seconds=6.0)
    status, document = sim.ask(
        ip=sim.edge_ips[0], method="GET", path=f"/fast/{job_id}", headers={"host": HOST, "x-deadline-ms": "3000"}
    )
    assert status == 200, (status, document)


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_with_two_backups_through_two_losses_at_once(seed: int) -> None:
    """Two machines at once, disks and all, in the middle of work; then one more after they are back."""
    sim, oracle, caller, _fleet = cluster(seed=20 + seed, minions=8, cores=5, losses=2, edges=2)
    job_ids = []
    for i in range(20):
        job_ids.append(caller.submit(stages=[{"task-count": 3, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}]))
        sim.run(seconds=0.2)
        if i in (6, 19):
            gone = sim.rng.sample(sim.core_ips, 2)
            for ip in gone:
                sim.kill(ip=ip, power=True)
                sim.wipe(ip=ip)
                sim.at(delay=2.0, fn=partial(sim.boot, ip=ip))
            sim.run(seconds=12.0)
    epochs = [
        max(
            (e for ip in sim.core_ips if (e := sim.core(ip).replicas[group_id].epoch) is not None),
            key=lambda e: e.number,
        )
        for group_id in (0, 1)
    ]
    assert [len(e.backups) for e in epochs] == [2, 2]
    end = sim.now + 40
    left = [j for j in job_ids if j in oracle.accepted]
    while left and sim.now < end:
        left = [j for j in left if caller.state(job_id=j)[1] != "complete"]
        sim.run(seconds=0.5)
    assert left == []
    assert oracle.broken == []
