"""A core node that starts again: with all that its journal tells, or with a new identity where it can't be replayed."""

import pathlib
import traceback
from typing import Any

import orjson
import pytest
from msgspec.structs import replace

from tests.support.recorded_log import RecordedLog
from tests.support.ring_cluster import RingSim
from yarrowloom.common.log import Log
from yarrowloom.node.core import CoreNode
from yarrowloom.node.recovery import last_snapshot, records_since, recover
from yarrowloom.replication import Replica
from yarrowloom.replication.log_replay import ReplayError
from yarrowloom.replication.replica_storage import ReplicaStorage
from yarrowloom.replication.roles import Role
from yarrowloom.replication.stored_records import StateRecord, StoredRecord
from yarrowloom.simulator import configured_cluster
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.sample_config import config
from yarrowloom.storage import SNAPSHOT_END
from yarrowloom.transactions import TransactionConflictError

STAGES = [{"task-count": 3, "cpus": 300, "mem-mb": 100, "estimate-ms": 300}]
Held = dict[tuple[int, int, int], bytes]


def ringed(
    monkeypatch: pytest.MonkeyPatch, folder: pathlib.Path, seed: int, **kw: Any
) -> tuple[RingSim, Oracle, SimCaller]:
    """A configured cluster on real ring files."""
    monkeypatch.setattr(configured_cluster, "Sim", lambda **more: RingSim(folder=folder, **more))
    sim, oracle, caller, _ = cluster(seed=seed, **kw)
    assert isinstance(sim, RingSim)
    return sim, oracle, caller


def load(sim: Sim, caller: SimCaller, *, seconds: float, version: int) -> int:
    """Jobs and changes of the configuration, many a second."""
    end = sim.now + seconds
    while sim.now < end:
        for _ in range(4):
            caller.submit(stages=STAGES)
        for _ in range(4):
            sim.run(seconds=0.025)
            if isinstance(sim, RingSim):
                probe(sim)
        status, _ = sim.ask(
            ip=sim.core_ips[0],
            method="PUT",
            path="/config",
            document=config(version=version + 1),
            headers={"if-match": str(version)},
            limit=1.0,
        )
        version += status == 200
    return version


def states(node: CoreNode) -> dict[int, tuple[int, int, bytes]]:
    """By group: epoch, number of the last event, and the state, of the copies that count."""
    return {
        group_id: (
            replica.state_epoch,
            replica.last_applied,
            orjson.dumps(replica.state.dump(), option=orjson.OPT_SORT_KEYS),
        )
        for group_id, replica in node.replicas.items()
        if replica.role is not Role.IDLE
    }


def replayed(sim: RingSim, ip: str) -> CoreNode:
    """What a process of this machine would start with now."""
    return recover(
        settings=sim.settings(ip=ip, first=False),
        records=sim._ring(ip).load(),
        now=sim.now,
        rand=0.5,
        log=Log(name="sim", level="error"),
        token="x",
    )


def probe(sim: RingSim) -> None:
    """Each journal gives a beginning of what its process has."""
    for ip in sim.core_ips:
        live, again = sim.core(ip), replayed(sim, ip)
        assert again.node_id == live.node_id, f"journal of {ip} unusable"
        now = states(live)
        for group_id, (base, applied, state) in states(again).items():
            if group_id in now and now[group_id][0] == base:
                assert applied <= now[group_id][1], (ip, group_id)
                assert applied < now[group_id][1] or state == now[group_id][2], (ip, group_id)


def agree(sim: RingSim) -> None:
    """All copies of one group's newest epoch are equal, and so are those that the journals tell."""
    for group_id in (0, 1):
        primary = sim.core(sim.serving(group_id=group_id)[0]).replicas[group_id]
        epoch = primary.epoch
        assert epoch is not None
        for node_id in (epoch.primary, *epoch.backups):
            ip = node_id.split(":")[0]
            want = states(sim.core(sim.serving(group_id=group_id)[0]))[group_id]
            assert states(sim.core(ip))[group_id] == want, (group_id, ip)
            again = replayed(sim, ip)
            assert again.node_id == sim.node_ids[ip]
            replica = again.replicas[group_id]
            assert (replica.state_epoch, replica.last_applied) == want[:2], (group_id, ip)
            assert orjson.dumps(replica.state.dump(), option=orjson.OPT_SORT_KEYS) == want[2], (group_id, ip)


def old_number(monkeypatch: pytest.MonkeyPatch) -> None:
    """A snapshot carries the number of the last event sent, as it did before events had numbers."""
    records = ReplicaStorage.records

    def sent(self: ReplicaStorage, *, with_state: bool) -> list[StoredRecord]:
        assert isinstance(self, Replica)
        queued = sum(pending.event is not None for pending in self.pipeline.pending_events)
        return [
            replace(record, last_applied=record.last_applied - queued) if isinstance(record, StateRecord) else record
            for record in records(self, with_state=with_state)
        ]

    monkeypatch.setattr(ReplicaStorage, "records", sent)


def _starts_tasks(event: dict[str, Any]) -> bool:
    """Whether an event begins runs: a transaction that writes place entries."""
    return event["t"] == "tx" and any(value is not None and value[0] == "place" for _, _, value in event["b"]["w"])


def quiet(sim: Sim) -> None:
    """Until no batch is under way and all disks have what was written."""
    assert sim.until(cond=lambda: all(sim.serving(group_id=group_id) for group_id in (0, 1)), limit=20.0)
    assert sim.until(
        cond=lambda: all(
            not p.disk
            and not p.disk_busy
            and all(r.pipeline.in_flight is None and not r.pipeline.pending_events for r in p.node.replicas.values())
            for p in sim.procs.values()
            if isinstance(p.node, CoreNode) and p.up
        ),
        limit=20.0,
    )


def play(*, seed: int, power: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Members end and start again under load."""
    sim, oracle, caller = ringed(monkeypatch, tmp_path, seed, sync_s=0.03, minions=12)
    version = 3
    for turn in range(4):
        version = load(sim, caller, seconds=2.0, version=version)
        ip = sim.serving(group_id=turn % 2)[0] if turn < 3 else sim.core_ips[turn % 3]
        before = states(sim.core(ip))
        sim.kill(ip=ip, power=power)
        sim.run(seconds=0.3)
        sim.boot(ip=ip)
        for group_id, (base, applied, _) in states(sim.core(ip)).items():
            assert base == before[group_id][0]
            assert applied <= before[group_id][1]
    version = load(sim, caller, seconds=2.0, version=version)
    assert sum(sim.rotations.values()) > 40, (sim.rotations, version)
    assert version > 20, (sim.rotations, version)
    sim.run(seconds=8.0)
    quiet(sim)
    agree(sim)
    assert sim.core(sim.serving(group_id=0)[0]).registry.config_version == version
    jobs = sim.core(sim.serving(group_id=1)[0]).jobs[1].jobs
    assert set(oracle.accepted) <= set(jobs)
    assert not oracle.broken


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_members_that_restart_under_load_catch_up_and_never_lead_with_old_state(
    seed: int, power: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play(seed=seed, power=power, tmp_path=tmp_path, monkeypatch=monkeypatch)


@pytest.mark.parametrize("seed", [3, 6])  # of seeds 1 to 6, those in which an event waits as the ring moves on
def test_with_the_old_number_a_journal_is_unusable_under_load(
    seed: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old_number(monkeypatch)
    with pytest.raises(AssertionError, match="unusable"):
        play(seed=seed, power=False, tmp_path=tmp_path, monkeypatch=monkeypatch)


@pytest.mark.parametrize("old", [False, True])
def test_a_start_that_waits_while_a_snapshot_is_taken_is_replayed_once(
    old: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen on the bench as a core process that ended by itself, over and over, with an assertion of `_start`."""
    if old:
        old_number(monkeypatch)
    sim, _, caller, _ = cluster(seed=1)
    for _ in range(20):
        caller.submit(stages=STAGES)
    ip = sim.serving(group_id=1)[0]
    node = sim.core(ip)

    def waits() -> bool:
        sim.run(seconds=0.0005)
        pending_events = [pending.event for pending in node.replicas[1].pipeline.pending_events]
        return any(event is not None and _starts_tasks(event) for event in pending_events)

    assert any(waits() for _ in range(4000))
    journal = [*node.snapshot_records(), SNAPSHOT_END]
    begin = len(sim.disks[ip].synced)
    sim.run(seconds=1.0)
    quiet(sim)
    journal += sim.disks[ip].synced[begin:]
    again = CoreNode(
        settings=sim.settings(ip=ip, first=False),
        node_id=node.node_id,
        incarnation=2,
        log=RecordedLog(),
        first=False,
        now=sim.now,
    )
    if old:
        with pytest.raises(ReplayError) as caught:
            again.restore(records=journal)
        assert isinstance(caught.value.__cause__, TransactionConflictError)
        assert traceback.extract_tb(caught.value.__cause__.__traceback__)[-1].name == "_change_placements"
    else:
        again.restore(records=journal)
        assert states(again)[1] == states(node)[1]


def spoil(disk: list[bytes], *, how: str) -> None:
    """Make a journal one that can't be replayed."""
    batches = [i for i, raw in enumerate(disk) if b'"k":"lg","g":1' in raw]
    if how == "gap":
        del disk[batches[-2]]
    elif how == "reducer":
        record = orjson.loads(disk[batches[-1]])
        record["evs"][-1]["t"] = "nothing"
        disk[batches[-1]] = orjson.dumps(record)
    elif how == "malformed":
        disk[batches[-1]] = b'{"k":"lg","g":1}'
    elif how == "no json":
        disk[batches[-1]] = b"\xff\xfe"
    else:
        begin = last_snapshot(records=disk)
        disk[begin] = b'{"k":"id","uid":7}'


@pytest.mark.parametrize("how", ["gap", "reducer", "malformed", "no json", "identity"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_node_whose_journal_cannot_be_replayed_says_so_and_is_refilled(seed: int, how: str) -> None:
    sim, oracle, caller, _ = cluster(seed=seed)
    version = load(sim, caller, seconds=2.0, version=3)
    ip = sim.serving(group_id=1)[0]
    sim.kill(ip=ip)
    spoil(sim.disks[ip].synced, how=how)
    log = RecordedLog()
    found = recover(
        settings=sim.settings(ip=ip, first=True),
        records=sim.disks[ip].synced,
        now=sim.now,
        rand=0.5,
        log=log,
        token="new",
    )
    ((event, fields),) = log.rows
    assert event == "journal-unusable"
    assert fields["cause"]
    assert fields["record"] in range(len(sim.disks[ip].synced))
    assert found.node_id == f"{ip}:7000#new"
    assert all(replica.state_epoch < 0 and replica.epoch is None for replica in found.replicas.values())
    old = sim.node_ids[ip]
    sim.boot(ip=ip, first=True)
    assert sim.node_ids[ip] not in (old, f"{ip}:7000#0")
    node = sim.core(ip)
    led: list[int] = []
    for _ in range(40):
        sim.run(seconds=0.1)
        led += [
            group_id for group_id, replica in node.replicas.items() if replica.is_serving() and replica.last_applied < 1
        ]
    assert not led
    version = load(sim, caller, seconds=2.0, version=version)
    sim.run(seconds=6.0)
    assert sim.procs[ip].up
    assert sim.core(ip) is node
    members = sim.core(sim.serving(group_id=0)[0]).registry.members
    assert node.node_id in members
    assert old not in members
    for group_id in (0, 1):
        replica = sim.core(sim.serving(group_id=group_id)[0]).replicas[group_id]
        assert replica.epoch is not None
        assert node.node_id in replica.epoch.witnesses
        assert old not in replica.epoch.witnesses
    assert node.table is not None
    assert node.table.config_version == version
    assert not oracle.broken
    sim.kill(ip=ip)
    sim.boot(ip=ip)
    assert sim.node_ids[ip] == node.node_id  # the new identity is in the journal: it is no newcomer again


def test_a_node_without_a_whole_snapshot_never_said_anything() -> None:
    """It is a first member where the settings say so, else a new one; one that was cut off does not count."""
    sim = Sim(seed=1)
    ip = sim.core_ips[0]
    head = sim.core(ip).snapshot_records()

    def start(*, records: list[bytes], first: bool) -> str:
        return recover(
            settings=sim.settings(ip=ip, first=first),
            records=records,
            now=1.0,
            rand=0.5,
            log=Log(name="sim", level="error"),
            token="new",
        ).node_id

    assert last_snapshot(records=head) == -1
    assert last_snapshot(records=[*head, SNAPSHOT_END]) == 0
    assert start(records=[], first=True) == start(records=head, first=True) == f"{ip}:7000#0"
    assert start(records=[], first=False) == start(records=head, first=False) == f"{ip}:7000#new"
    assert start(records=[*head, SNAPSHOT_END, *head], first=False) == f"{ip}:7000#0"
    assert records_since(records=[*head, SNAPSHOT_END, *head], begin=0) == [*head, SNAPSHOT_END]
