"""The first lease of an epoch: it counts from the INSTALL that each backup answered."""

import pytest

from yarrowloom.replication.roles import Role
from yarrowloom.replication.timing import LEASE_S
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.machines.process import Proc
from yarrowloom.transport.message_kinds import Kind

LATE_S = 0.76  # the witnesses' answers come after the fourth INSTALL


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lease_does_not_outlast_what_the_backup_answered(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The backup answers the first INSTALL at once, the other witnesses only a later one; then all links of the
    primary are cut: the backup takes over before a lease counted from the last INSTALL would end."""
    sim, _, _, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=6.0)
    primary = sim.serving(group_id=0)[0]
    replica = sim.core(primary).replicas[0]
    others = sorted(u for u in replica.epoch.witnesses if u != sim.core(primary).node_id) if replica.epoch else []
    backup = others[0].split(":")[0]
    begun: list[float] = []
    whole = sim._send

    def send(ip: str, proc: Proc, dst: str, kind: Kind, body: bytes) -> None:
        if kind is Kind.INSTALL_EPOCH and ip == primary and not begun and b'"g":0' in body:
            begun.append(sim.now)
        late = begun and sim.now - begun[0] < LATE_S
        if kind is Kind.EPOCH_INSTALLED and late and ip not in (primary, backup):
            return
        whole(ip, proc, dst, kind, body)

    monkeypatch.setattr(sim, "_send", send)
    sim.core(primary).now = sim.now
    replica.start_election(reason="test", avoid=others[1:])
    assert sim.until(cond=lambda: replica.role is Role.PRIMARY and bool(begun), limit=3.0)
    assert sim.now - begun[0] >= LATE_S
    other = sim.core(backup).replicas[0]
    for ip in sim.core_ips:
        if ip != primary:
            sim.cut(a=primary, b=ip)
    assert replica.lease.valid_until <= other.last_heartbeat + LEASE_S
    for _ in range(120):
        sim.run(seconds=0.02)
        assert len(sim.serving(group_id=0)) <= 1
    assert sim.serving(group_id=0) == [backup]


@pytest.mark.parametrize("seed", [4, 5])
def test_backup_without_the_snapshot_does_not_confirm_the_epoch(seed: int) -> None:
    """It would be counted as a holder, with a lease, though it holds nothing."""
    sim, _, _, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=6.0)
    primary = sim.serving(group_id=0)[0]
    replica = sim.core(primary).replicas[0]
    assert replica.epoch is not None
    for ip in sim.core_ips:
        if ip != primary:
            sim.core(ip).replicas[0]._install_snapshot = lambda *, epoch: False  # type: ignore[method-assign]
    sim.core(primary).now = sim.now
    replica.start_election(reason="test")
    for _ in range(60):
        sim.run(seconds=0.05)
        assert sim.serving(group_id=0) == [] or replica.epoch.backups == ()
