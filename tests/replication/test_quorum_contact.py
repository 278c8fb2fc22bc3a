"""A primary serves only in contact with a majority of its epoch's witnesses."""

from collections.abc import Iterable

import pytest

from yarrowloom.node.node_base import JOB_GROUPS
from yarrowloom.replication.epoch import Epoch
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import config

SETTLE_S = 6.0


def newest(sim: Sim, *, group_id: int) -> Epoch:
    """The newest epoch of a group that any running process knows."""
    known = [sim.core(ip).replicas[group_id].epoch for ip in sim.core_ips if sim.procs[ip].up]
    return max((e for e in known if e is not None), key=lambda e: e.number)


def machine(node_id: str) -> str:
    """The address of the machine that a node id names."""
    return node_id.split(":")[0]


def split(sim: Sim, *, left: Iterable[str]) -> None:
    """Cut these core machines off from all others; each side keeps its own links."""
    left = set(left)
    for a in left:
        for b in {*sim.core_ips, *sim.edge_ips} - left:
            sim.cut(a=a, b=b)


def holders(epoch: Epoch) -> list[str]:
    return [machine(node_id) for node_id in (epoch.primary, *epoch.backups)]


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_primary_with_all_backups_on_the_smaller_side_confirms_nothing(seed: int, losses: int) -> None:
    sim, _, _, _ = cluster(seed=seed, cores=7, losses=losses)
    sim.run(seconds=SETTLE_S)
    epoch = newest(sim, group_id=0)
    assert len(epoch.witnesses) == 7
    assert len(epoch.backups) == losses
    small = holders(epoch)
    split(sim, left=small)
    sim.run(seconds=2.0)
    primary = small[0]
    status, _ = sim.ask(ip=primary, method="PUT", path="/config", document=config(version=4), headers={"if-match": "3"})
    assert status in (0, 503)
    assert sim.ask(ip=primary, method="GET", path="/config")[0] in (0, 503)
    assert sim.serving(group_id=0) == []
    sim.heal()
    sim.run(seconds=SETTLE_S)
    assert all(len(sim.serving(group_id=group_id)) == 1 for group_id in range(JOB_GROUPS + 1))
    status, _ = sim.ask(
        ip=sim.core_ips[0], method="PUT", path="/config", document=config(version=4), headers={"if-match": "3"}
    )
    assert status == 200
    assert sim.ask(ip=primary, method="GET", path="/config")[1]["config-version"] == 4


@pytest.mark.parametrize("seed", [4, 5])
def test_service_is_back_without_election_after_the_partition_heals(seed: int) -> None:
    """All holders stood together, so none had a reason to campaign: contact alone brings the service back."""
    sim, _, _, _ = cluster(seed=seed, cores=7)
    sim.run(seconds=SETTLE_S)
    before = newest(sim, group_id=0)
    split(sim, left=holders(before))
    sim.run(seconds=4.0)
    assert sim.serving(group_id=0) == []
    sim.heal()
    assert sim.until(cond=lambda: len(sim.serving(group_id=0)) == 1, limit=1.0)
    assert newest(sim, group_id=0).number == before.number


@pytest.mark.parametrize("seed", [6, 7])
def test_primary_without_contact_yields_to_a_backup_that_has_it(seed: int) -> None:
    """Only the primary is cut off from the other witnesses; its backup still reaches them all."""
    sim, _, _, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=SETTLE_S)
    epoch = newest(sim, group_id=0)
    primary, backup = holders(epoch)
    for other in {*sim.core_ips} - {primary, backup}:
        sim.cut(a=primary, b=other)
    assert sim.until(cond=lambda: sim.serving(group_id=0) == [backup], limit=4.0)
    status, _ = sim.ask(ip=backup, method="PUT", path="/config", document=config(version=4), headers={"if-match": "3"})
    assert status == 200


@pytest.mark.parametrize("seed", [8, 9])
def test_witness_that_lost_its_disk_is_no_contact(seed: int) -> None:
    """Its node id is new: it neither votes nor answers for the old one until an epoch admits it."""
    sim, _, _, _ = cluster(seed=seed, cores=5)
    sim.run(seconds=SETTLE_S)
    epoch = newest(sim, group_id=0)
    others = [ip for ip in sim.core_ips if ip not in holders(epoch)]
    for ip in others:
        sim.kill(ip=ip, power=True)
        sim.wipe(ip=ip)
        sim.boot(ip=ip)
    sim.run(seconds=4.0)
    for ip in others:
        node = sim.core(ip)
        assert node.node_id not in newest(sim, group_id=0).witnesses
        assert node.replicas[0].acceptor.promised is None
    assert sim.serving(group_id=0) == []
    assert newest(sim, group_id=0).number == epoch.number


def test_contact_costs_few_frames_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    """Frames of contact stay below 2.5 a second for each witness and group, both ways counted once."""
    from yarrowloom.transport.message_kinds import Kind

    sim, _, _, _ = cluster(seed=10, cores=9)
    sim.run(seconds=SETTLE_S)
    counted: dict[tuple[Kind, str], int] = {}
    whole = sim._send

    def send(ip: str, proc: object, dst: str, kind: Kind, body: bytes) -> None:
        if kind in (Kind.LEADER_LEASE_REQUEST, Kind.LEADER_LEASE_GRANTED):
            counted[kind, dst] = counted.get((kind, dst), 0) + 1
        whole(ip, proc, dst, kind, body)  # type: ignore[arg-type]

    monkeypatch.setattr(sim, "_send", send)
    span = 20.0
    sim.run(seconds=span)
    pings = sum(n for (kind, _), n in counted.items() if kind is Kind.LEADER_LEASE_REQUEST) / span
    groups = JOB_GROUPS + 1
    assert pings <= groups * (1 * 5 + 7 * 2.5) + 0.5
