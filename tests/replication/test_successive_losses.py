"""Losses in a row: a full set of holders is there again within the time to catch up, then the next loss comes."""

from typing import Any

import pytest

from tests.replication.test_handover import CATCH_UP_S, change, served, version
from tests.replication.test_quorum_contact import holders, newest
from yarrowloom.node.node_base import JOB_GROUPS
from yarrowloom.replication.timing import BACKUP_TIMEOUT_S, LEADER_TIMEOUT_S, LEASE_RENEWAL_S, TAKEOVER_STAGGER_S
from yarrowloom.simulator import configured_cluster
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.machines.process import Proc
from yarrowloom.transport.message_kinds import Kind

SETTLE_S = 6.0
TICK_S = 0.06
SLOW_FACTOR = 30
# A copy, a promise, a vote and the installation are each synced by the slowest member; the campaigns of both groups
# share its disk. Half as long again as its mean is the simulated disk's longest sync.
SYNCS = 4 * (JOB_GROUPS + 1)


class HarshSim(Sim):
    """One member with a slow disk; checkpoints that take their time on their sender's link."""

    def __init__(self, **kw: Any) -> None:
        self.slow = ""
        self.copy_s = 0.0
        self.free: dict[str, float] = {}
        super().__init__(**kw)

    def _sync(self, ip: str, proc: Proc) -> None:
        usual = self.sync_s
        self.sync_s = usual * SLOW_FACTOR if ip == self.slow else usual
        super()._sync(ip, proc)
        self.sync_s = usual

    def _send(self, ip: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
        send = super()._send
        if kind is not Kind.SNAPSHOT or not self.copy_s or ip == dst:
            send(ip, proc, dst, kind, body)
            return
        self.free[ip] = max(self.now, self.free.get(ip, 0.0)) + self.copy_s
        self.at(delay=self.free[ip] - self.now, fn=lambda: send(ip, proc, dst, kind, body))


def start(monkeypatch: pytest.MonkeyPatch, *, seed: int, cores: int, losses: int) -> HarshSim:
    monkeypatch.setattr(configured_cluster, "Sim", HarshSim)
    sim, _, _, _ = cluster(seed=seed, cores=cores, losses=losses, minions=2)
    assert isinstance(sim, HarshSim)
    sim.run(seconds=SETTLE_S)
    change(sim, to=4)
    return sim


def lose(sim: Sim, *, ip: str) -> None:
    sim.kill(ip=ip, power=True)
    sim.wipe(ip=ip)


def full(sim: Sim, *, losses: int) -> bool:
    """Both groups are served, by as many live holders as the budget wants and the members allow."""
    live = {sim.node_ids[ip] for ip in sim.core_ips if sim.procs[ip].up}
    want = min(losses + 1, len(live))
    for group_id in range(JOB_GROUPS + 1):
        epoch = newest(sim, group_id=group_id)
        named = {epoch.primary, *epoch.backups}
        if len(named) < want or not named <= live or not sim.serving(group_id=group_id):
            return False
    return True


def time_to_full(sim: Sim, *, losses: int, limit: float = 15.0) -> float:
    begun = sim.now
    while not full(sim, losses=losses) and sim.now - begun < limit:
        sim.run(seconds=0.02)
    return sim.now - begun


def bound(*, losses: int, slow_sync_s: float, copy_s: float) -> float:
    """Detection (by the last of the backups), and the steps of one campaign."""
    detection = max(BACKUP_TIMEOUT_S + LEASE_RENEWAL_S, LEADER_TIMEOUT_S + TAKEOVER_STAGGER_S * (losses - 1)) + TICK_S
    return detection + copy_s * losses + SYNCS * slow_sync_s * 1.5 / 2 + 4 * TICK_S


@pytest.mark.parametrize("lost", ["primary", "backup"])
@pytest.mark.parametrize(("cores", "losses"), [(3, 1), (5, 1), (9, 1), (5, 2), (9, 2)])
@pytest.mark.parametrize(("slow", "copy_s"), [(False, 0.0), (True, 0.0), (False, 1.0)])
def test_all_holders_are_there_again_in_time_for_the_next_loss(
    monkeypatch: pytest.MonkeyPatch, cores: int, losses: int, lost: str, slow: bool, copy_s: float
) -> None:
    """Three cores with one lost have nobody left for a second one to be made up from: there only the time counts."""
    sim = start(monkeypatch, seed=50 + cores + losses, cores=cores, losses=losses)
    named = holders(newest(sim, group_id=0))
    sim.slow = named[-1] if slow else ""
    sim.copy_s = copy_s
    lose(sim, ip=named[0] if lost == "primary" else named[1])
    spent = time_to_full(sim, losses=losses)
    most = bound(losses=losses, slow_sync_s=sim.sync_s * (SLOW_FACTOR if slow else 1), copy_s=copy_s)
    assert spent <= min(most, CATCH_UP_S), (spent, most)
    if cores == 3:
        return
    sim.copy_s = 0.0
    for ip in holders(newest(sim, group_id=0))[:losses]:
        lose(sim, ip=ip)
    left = sum(sim.procs[ip].up for ip in sim.core_ips)
    if 2 * left > len(newest(sim, group_id=0).witnesses):
        assert sim.until(cond=lambda: served(sim), limit=CATCH_UP_S)
    else:  # beyond the budget in witnesses, so the lost machines come back, empty
        for ip in sim.core_ips:
            if not sim.procs[ip].up:
                sim.boot(ip=ip)
        sim.run(seconds=CATCH_UP_S)
        assert sim.serving(group_id=0) == []  # empty ones have no vote: nothing is made up
        return
    assert version(sim) == 4


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("cores", "losses"), [(3, 1), (4, 1), (5, 1), (5, 2)])
def test_losses_at_the_pace_of_catching_up_lose_nothing(
    monkeypatch: pytest.MonkeyPatch, seed: int, cores: int, losses: int
) -> None:
    """Members are lost with their disks, as many at once as the budget names, and come back empty at the same
    address; each time when the last ones have had their time to catch up."""
    sim = start(monkeypatch, seed=seed, cores=cores, losses=losses)
    config_version = 4
    for _ in range(6):
        lost = holders(newest(sim, group_id=0))[:losses]
        for ip in lost:
            lose(sim, ip=ip)
        sim.run(seconds=0.5)
        for ip in lost:
            sim.boot(ip=ip)
        sim.run(seconds=CATCH_UP_S)
        config_version += 1
        change(sim, to=config_version)
    live = {sim.node_ids[ip] for ip in sim.core_ips}
    sim.run(seconds=CATCH_UP_S)
    for group_id in range(JOB_GROUPS + 1):
        epoch = newest(sim, group_id=group_id)
        assert {epoch.primary, *epoch.backups, *epoch.witnesses} <= live
    assert version(sim) == config_version
