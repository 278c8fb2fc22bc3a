"""A member that ends in order hands its copies over first, and says so if it cannot."""

import pytest

from tests.replication.test_quorum_contact import holders, newest
from yarrowloom.node.draining import CORE_DRAIN_MINIMUM_S, GRACE_RESERVE_S
from yarrowloom.node.node_base import JOB_GROUPS
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import HOST, config

SETTLE_S = 6.0
GRACE_S = 6.0
CATCH_UP_S = 4.0


def leave(sim: Sim, *, ip: str) -> float:
    """SIGTERM as the runtime takes it; seconds until the process ended."""
    proc, begun = sim.procs[ip], sim.now
    node = sim.core(ip)
    sim.step(ip, proc, node.leave)
    sim.run(seconds=CORE_DRAIN_MINIMUM_S)
    while not node.may_end() and sim.now - begun < GRACE_S - GRACE_RESERVE_S:
        sim.run(seconds=0.05)
    sim.kill(ip=ip)
    return sim.now - begun


def version(sim: Sim) -> int:
    """The configuration that a running core tells; 0: none does."""
    ip = next(ip for ip in sim.core_ips if sim.procs[ip].up)
    status, document = sim.ask(ip=ip, method="GET", path="/config")
    return int(document["config-version"]) if status == 200 else 0


def served(sim: Sim) -> bool:
    return all(len(sim.serving(group_id=group_id)) == 1 for group_id in range(JOB_GROUPS + 1))


def change(sim: Sim, *, to: int) -> None:
    ip = next(ip for ip in sim.core_ips if sim.procs[ip].up)
    status, _ = sim.ask(
        ip=ip, method="PUT", path="/config", document=config(version=to), headers={"if-match": str(to - 1)}
    )
    assert status == 200


@pytest.mark.parametrize("after", [0.1, 0.5, 1.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_leaving_primary_without_backup_has_its_state_stored_elsewhere_first(seed: int, after: float) -> None:
    """Its backup is lost with its disk, the primary is told to end before the loss is mended, and its machine goes."""
    sim, oracle, caller, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=SETTLE_S)
    change(sim, to=4)
    job_id = caller.submit(stages=[{"task-count": 2, "cpus": 500, "mem-mb": 100, "estimate-ms": 500}])
    assert sim.until(cond=lambda: job_id in oracle.accepted, limit=3.0)
    primary, backup = holders(newest(sim, group_id=0))
    sim.kill(ip=backup, power=True)
    sim.wipe(ip=backup)
    sim.run(seconds=after)
    assert leave(sim, ip=primary) <= GRACE_S - GRACE_RESERVE_S
    sim.wipe(ip=primary)
    assert sim.until(cond=lambda: served(sim), limit=CATCH_UP_S)
    assert version(sim) == 4
    status, _ = sim.ask(
        ip=sim.edge_ips[0], method="GET", path=f"/fast/{job_id}", headers={"host": HOST, "x-deadline-ms": "3000"}
    )
    assert status == 200


@pytest.mark.parametrize("seed", [4, 5, 6])
def test_leaving_backup_is_replaced_before_it_ends(seed: int) -> None:
    """Right after its end the primary is lost with its disk: the copy must be with a third member by then."""
    sim, _, _, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=SETTLE_S)
    change(sim, to=4)
    primary, backup = holders(newest(sim, group_id=0))
    assert leave(sim, ip=backup) < 1.0
    assert backup not in holders(newest(sim, group_id=0))
    sim.wipe(ip=backup)
    sim.kill(ip=primary, power=True)
    sim.wipe(ip=primary)
    assert sim.until(cond=lambda: served(sim), limit=CATCH_UP_S)
    assert version(sim) == 4


@pytest.mark.parametrize("seed", [7, 8])
def test_leaving_primary_is_no_holder_when_it_ends(seed: int) -> None:
    sim, _, _, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=SETTLE_S)
    change(sim, to=4)
    primary, backup = holders(newest(sim, group_id=0))
    assert leave(sim, ip=primary) < 1.0
    assert all(primary not in holders(newest(sim, group_id=group_id)) for group_id in range(JOB_GROUPS + 1))
    sim.wipe(ip=primary)
    sim.kill(ip=backup, power=True)
    sim.wipe(ip=backup)
    assert sim.until(cond=lambda: served(sim), limit=CATCH_UP_S)
    assert version(sim) == 4


@pytest.mark.parametrize("leavers", [2, 3])
@pytest.mark.parametrize("seed", [12, 13])
def test_members_that_leave_at_once_end_within_the_grace_time_and_lose_nothing(seed: int, leavers: int) -> None:
    """They end within the grace time, the last of all only then, and with their disks back nothing is missing."""
    sim, _, _, _ = cluster(seed=seed, cores=3)
    sim.run(seconds=SETTLE_S)
    change(sim, to=4)
    begun = sim.now
    left = list(sim.core_ips)[:leavers]
    for ip in left:
        sim.step(ip, sim.procs[ip], sim.core(ip).leave)
    sim.run(seconds=CORE_DRAIN_MINIMUM_S)
    while len(left) > (leavers == 3) and sim.now - begun < GRACE_S - GRACE_RESERVE_S:
        for ip in [ip for ip in left if sim.core(ip).may_end()]:
            sim.kill(ip=ip)
            left.remove(ip)
        sim.run(seconds=0.05)
    assert sim.now - begun < 3.5, left
    for ip in left:
        assert sim.core(ip).only_copies() == [] or not sim.core(ip).may_end()
        sim.kill(ip=ip)
    for ip in sim.core_ips:
        if not sim.procs[ip].up:
            sim.boot(ip=ip)
    assert sim.until(cond=lambda: served(sim), limit=CATCH_UP_S)
    assert version(sim) == 4


def test_leaving_core_without_peers_reports_that_it_holds_the_only_copy() -> None:
    sim, _, _, _ = cluster(seed=9, cores=1, zones=1)
    node = sim.core(sim.core_ips[0])
    assert leave(sim, ip=sim.core_ips[0]) < 1.0
    assert node.only_copies() == list(range(JOB_GROUPS + 1))


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize("seed", [10, 11])
def test_seeds_replaced_one_after_another_leave_epochs_of_live_members(seed: int, cores: int) -> None:
    """Each leaves in order, an empty one starts at another address; every epoch names living members in the end,
    and one more loss right after the catch-up time leaves all that was acknowledged."""
    sim, _, _, _ = cluster(seed=seed, cores=cores)
    sim.run(seconds=SETTLE_S)
    config_version = 3
    for i, old in enumerate(list(sim.core_ips)):
        spare = f"10.{old.split('.')[1]}.0.{20 + i}"
        leave(sim, ip=old)
        sim.wipe(ip=old)
        sim.core_ips[sim.core_ips.index(old)] = spare
        sim.boot(ip=spare)
        sim.run(seconds=CATCH_UP_S)
        config_version += 1
        change(sim, to=config_version)
    sim.run(seconds=CATCH_UP_S)
    live = {sim.node_ids[ip] for ip in sim.core_ips}
    for group_id in range(JOB_GROUPS + 1):
        epoch = newest(sim, group_id=group_id)
        assert {epoch.primary, *epoch.backups} <= live, epoch
        assert set(epoch.witnesses) <= live, epoch
    lost = sim.serving(group_id=0)[0]
    sim.kill(ip=lost, power=True)
    sim.wipe(ip=lost)
    assert sim.until(cond=lambda: served(sim), limit=CATCH_UP_S)
    assert version(sim) == config_version
