"""Wrote the files under `data/`, once, with the code of e33ab77.

It is not to be run again to make a test pass: the files stand for disks in the field. A new kind of record or event
gets a case of its own, beside those that are there. `python -m tests.storage.write_data FOLDER` writes into an empty
folder.
"""

import gzip
import itertools
import pathlib
import shutil
import sys
import tempfile
from collections.abc import Iterator
from typing import Any

import orjson

from tests.storage.stored_data import RING_BYTES, RING_FILES, SEEDS, open_folder, start_node
from tests.support.ring_cluster import RingSim
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.jobs.submission import parse_submission
from yarrowloom.node.core import CoreNode
from yarrowloom.node.messages import RegistryUpdate
from yarrowloom.simulator import configured_cluster
from yarrowloom.simulator.sample_config import config
from yarrowloom.storage import SNAPSHOT_END, RingJournal
from yarrowloom.transport.message_kinds import Kind

START_MS = 1_700_000_000_000
UIDS = tuple(f"{ip}:7000#0" for ip in SEEDS)
RECORD_HEAD_BYTES = 16


class DiskWriter:
    """A node and its ring: records are written as the process does it."""

    def __init__(self, *, folder: pathlib.Path, ip: str) -> None:
        self.folder, self.ip = folder, ip
        self.ring = RingJournal(folder=str(folder), file_bytes=RING_BYTES, salt=itertools.count(1).__next__)
        assert self.ring.load() == []
        self.node: CoreNode = start_node(ip=ip, records=[], blank=True, learn=True)
        self.move_on()

    def move_on(self) -> None:
        """Begin the next file with a checkpoint."""
        self.ring.begin_file(snapshot=[*self.node.snapshot_records(), SNAPSHOT_END])

    def write(self) -> None:
        """Write what the node wants on its disk."""
        bodies = [body for body, _ in self.node.out.writes]
        self.node.out.writes.clear()
        if bodies:
            self.ring.append(bodies=bodies)

    def message(self, *, source: str, kind: Kind, group: int, **body: Any) -> None:
        """Give the node a message of a group."""
        self.node.replicas[group].on(node_id=source, kind=kind, body={"g": group, **body})
        self.write()

    def log(self, *, source: str, group: int, events: list[dict[str, Any]], first: int = 0) -> None:
        """The primary's batch, which the node takes as a backup."""
        replica = self.node.replicas[group]
        first = first or replica.last_applied + 1
        self.message(
            source=source, kind=Kind.APPEND_BATCH, group=group, n=replica.state_epoch, first=first, evs=events, t=1.0
        )


def configuration(*, version: int, rank: int = 0, more: int = 8) -> dict[str, Any]:
    """A valid configuration."""
    document = config(version=version, more=more)
    document["route-table"][0]["rank"] = rank
    return document


def registry_events() -> Iterator[list[dict[str, Any]]]:
    """Batches with every event of the registry."""
    registry = Registry()

    def order(*, method: str, base: int, document: dict[str, Any]) -> dict[str, Any]:
        event = registry.evaluate_config_request(method=method, if_match=str(base), body=orjson.dumps(document))
        assert event is not None
        registry.apply_event(event)
        document_of_event: dict[str, Any] = event.document()
        return document_of_event

    yield [order(method="PUT", base=0, document=configuration(version=3))]
    yield [order(method="PUT", base=3, document=configuration(version=4, rank=5))]
    change = {"config-version": 9, "upserts": {"service-table": [{"name": "other", "conn-limit": 2.5}]}}
    yield [order(method="PATCH", base=4, document={**change, "removals": {"route-table": ["x1", "x2"]}})]
    members = [
        {"t": "enrol", "uid": node_id, "info": {"site": f"z{i}", "name": SEEDS[i], "ctl": f"{SEEDS[i]}:8000"}}
        for i, node_id in enumerate(UIDS)
    ]
    yield [
        *members,
        {"t": "enrol", "uid": "10.0.0.9:7000#ab", "info": {"site": "z0", "name": "n", "ctl": "10.0.0.9:1"}},
    ]
    yield [{"t": "drop", "uid": "10.0.0.9:7000#ab"}, {"t": "drop", "uid": "10.0.0.8:7000#unknown"}]
    infos = [{"site": f"z{i % 3}", "svc": "svc", "labels": ["a", f"r{i % 2}"]} for i in range(5)]
    yield [{"t": "own", "ms": [[f"i-{i}", UIDS[i % 3], info] for i, info in enumerate(infos)]}]
    yield [{"t": "own", "ms": [["i-1", UIDS[2], {}], ["i-2", UIDS[2], {"site": "z1"}]]}]
    yield [{"t": "gone", "m": "i-3", "f": 9}, {"t": "gone", "m": "i-1", "f": 1}, {"t": "gone", "m": "i-99", "f": 1}]
    yield [{"t": "evac", "site": "z1", "on": True}, {"t": "evac", "site": "z2", "on": True}]
    yield [{"t": "evac", "site": "z1", "on": False}]


def job(*, number: int, stages: list[dict[str, Any]], at: int, queue: str = "fast", **more: Any) -> dict[str, Any]:
    """The event that a job's submission makes."""
    row = parse_submission(body=orjson.dumps({"task-spec": f"spec {number} \u00e9", "stages": stages, **more}))
    return {"t": "job", "id": f"{number:016x}", "j": {**row.document(), "svc": "svc", "q": queue, "at": at}}


def start(*, number: int, unit: str, rows: list[tuple[int, int, str]], at: int) -> dict[str, Any]:
    """The event of started runs: (index, run, minion) each; without a time where `at` is 0, as older ones were."""
    event = {"t": "start", "id": f"{number:016x}", "u": unit, "x": [list(row) for row in rows]}
    return {**event, "at": at} if at else event


def end(*, number: int, unit: str, index: int, run: int, how: str, at: int, saved: str = "", tries: int = 3) -> Any:
    """The event of a run's end."""
    event = {"t": "end", "id": f"{number:016x}", "u": unit, "i": index, "run": run, "how": how, "v": saved, "mt": tries}
    return {**event, "at": at} if at else event


PLAIN = [{"task-count": 2, "cpus": 500, "mem-mb": 64, "estimate-ms": 900}]
CHAIN = [
    {"task-count": 2, "cpus": 100, "checkpoints": True, "requires": "a", "affinity": "r1", "anti-affinity": 1},
    {"task-count": 1, "gpus": 1, "depends-on": [0], "duplicate": True},
]
GANG = [{"task-count": 3, "cpus": 700, "gang": True, "same-rack": True, "checkpoints": True, "estimate-ms": 5000}]
LONG = [{"task-count": 2, "cpus": 50, "long-running": True}]


def job_events() -> Iterator[list[dict[str, Any]]]:
    """Batches with every event of a job group, in most of its forms."""
    t = START_MS
    a, b = "i-1", "i-2"
    yield [job(number=1, stages=PLAIN, at=t), job(number=2, stages=CHAIN, at=t + 5), job(number=1, stages=PLAIN, at=t)]
    yield [start(number=1, unit="0.0", rows=[(0, 1, a), (1, 1, b)], at=t + 20)]
    yield [end(number=1, unit="0.0", index=i, run=1, how="done", at=t + 900 + i) for i in (0, 1)]
    yield [start(number=2, unit="0.0", rows=[(0, 1, a), (1, 1, "i-9")], at=t + 950)]
    yield [end(number=2, unit="0.0", index=0, run=1, how="done", at=t + 1900)]
    task = f"{2:016x}.0.0.1"
    yield [{"t": "lost", "m": "i-9", "x": [[task, 1]], "v": {task: "saved-7"}}]
    yield [start(number=2, unit="0.0", rows=[(1, 2, b)], at=t + 2100), {"t": "lost", "m": b, "x": None, "v": {}}]
    yield [start(number=2, unit="0.0", rows=[(1, 3, a)], at=t + 2300)]
    yield [job(number=3, stages=GANG, at=t + 2400)]
    yield [start(number=3, unit="0.0", rows=[(0, 1, a), (1, 1, a), (2, 1, b)], at=t + 2500)]
    yield [end(number=3, unit="0.0", index=1, run=1, how="failed", at=t + 2900, saved="ck-2")]
    yield [end(number=3, unit="0.0", index=0, run=1, how="stopped", at=t + 2950)]
    yield [end(number=3, unit="0.0", index=2, run=1, how="alone", at=t + 2960)]
    yield [start(number=3, unit="0.0", rows=[(0, 2, a), (1, 2, b), (2, 2, b)], at=t + 3100)]
    times: dict[str, Any] = {"first-run-ms": t + 4000, "period-ms": 1000, "repeat-count": 3}
    yield [job(number=4, stages=PLAIN, at=t + 3200, **times), {"t": "due", "id": f"{4:016x}", "k": 0}]
    yield [start(number=4, unit="0.0", rows=[(0, 1, a), (1, 1, b)], at=t + 4010)]
    yield [end(number=4, unit="0.0", index=i, run=1, how="done", at=t + 4500) for i in (0, 1)]
    yield [{"t": "due", "id": f"{4:016x}", "k": 1}, {"t": "due", "id": f"{4:016x}", "k": 1}]
    yield [job(number=n, stages=PLAIN, at=t + 5000 + n) for n in (5, 6, 7, 8)]
    yield [
        start(number=5, unit="0.0", rows=[(0, 1, a)], at=t + 5100),
        {"t": "cancel", "id": f"{5:016x}", "at": t + 5200},
    ]
    yield [end(number=5, unit="0.0", index=0, run=1, how="stopped", at=t + 5300)]
    yield [{"t": "cancel", "id": f"{6:016x}", "at": t + 5400}, {"t": "cancel", "id": f"{99:016x}"}]
    yield [start(number=7, unit="0.0", rows=[(0, 1, a), (1, 1, b)], at=t + 5500)]
    yield [end(number=7, unit="0.0", index=0, run=1, how="failed", at=t + 5600, tries=2)]
    yield [start(number=7, unit="0.0", rows=[(0, 2, b)], at=t + 5700)]
    yield [end(number=7, unit="0.0", index=0, run=2, how="failed", at=t + 5800, tries=2)]
    yield [start(number=8, unit="0.0", rows=[(0, 1, a), (1, 1, b)], at=0)]
    yield [end(number=8, unit="0.0", index=0, run=1, how="void", at=0, tries=1)]
    yield [end(number=8, unit="0.0", index=1, run=1, how="lapsed", at=t + 5900, saved="half")]
    yield [job(number=9, stages=LONG, at=t + 6000), start(number=9, unit="0.0", rows=[(0, 1, a)], at=t + 6100)]
    yield [job(number=10, stages=LONG, at=t + 6100), job(number=11, stages=PLAIN, at=t + 6200, queue="slow")]
    yield [{"t": "cancel", "id": f"{10:016x}"}, {"t": "forget", "ids": [f"{6:016x}", f"{9:016x}", f"{98:016x}"]}]
    yield [job(number=12, stages=PLAIN, at=t + 6300), start(number=12, unit="0.0", rows=[(1, 1, a)], at=t + 6400)]
    yield [{"t": "cancel", "id": f"{12:016x}", "at": t + 6500}]
    yield [job(number=13, stages=PLAIN, at=t + 6600), start(number=13, unit="0.0", rows=[(0, 1, a)], at=t + 6700)]
    yield [end(number=13, unit="0.0", index=0, run=1, how="failed", at=t + 6800)]
    yield [start(number=13, unit="0.0", rows=[(0, 2, a)], at=t + 6900)]


def later_events() -> Iterator[list[dict[str, Any]]]:
    """Events that go on with what a snapshot holds of the jobs of `job_events`."""
    t = START_MS + 3_000_000
    yield [end(number=2, unit="0.0", index=1, run=3, how="done", at=t)]
    yield [end(number=3, unit="0.0", index=1, run=2, how="done", at=t + 10)]
    yield [start(number=4, unit="1.0", rows=[(1, 1, "i-2")], at=t + 20), {"t": "due", "id": f"{4:016x}", "k": 2}]
    yield [end(number=13, unit="0.0", index=0, run=2, how="failed", at=t + 30, tries=2)]
    yield [{"t": "lost", "m": "i-1", "x": None, "v": {}}, {"t": "forget", "ids": [f"{13:016x}", f"{1:016x}"]}]


def periodic_calls() -> Iterator[list[dict[str, Any]]]:
    """Two kinds of jobs, one of which follows the other each minute: a history from which it can be predicted."""
    for i in range(14):
        at = START_MS + 100_000 + 60_000 * i
        for number, queue, later in ((100 + i, "rebuild", 0), (200 + i, "deploy", 5_000)):
            stage = {"task-count": 1, "cpus": 500, "mem-mb": 64, "estimate-ms": 900, "affinity": "r1"}
            yield [job(number=number, stages=[stage], at=at + later, queue=queue)]
            yield [start(number=number, unit="0.0", rows=[(0, 1, f"i-{i % 2}")], at=at + later + 40)]
            yield [end(number=number, unit="0.0", index=0, run=1, how="done", at=at + later + 900 + 10 * i)]
    yield [{"t": "forget", "ids": [f"{n + i:016x}" for n in (100, 200) for i in range(14)]}]


def log_all(*, disk: DiskWriter) -> None:
    """Let a backup of both groups take all events."""
    for events in registry_events():
        disk.log(source=UIDS[0], group=0, events=events)
    for events in job_events():
        disk.log(source=UIDS[1], group=1, events=events)
    disk.log(source=UIDS[0], group=0, events=[{"t": "evac", "site": "z1", "on": False}], first=1)  # known: no event


def epoch(*, number: int, tag: str, backups: tuple[str, ...], primary: str = UIDS[1]) -> dict[str, Any]:
    """An epoch of which all three are witnesses."""
    return {"n": number, "p": primary, "b": list(backups), "w": list(UIDS), "t": tag}


def copy_of(*, disk: DiskWriter, group: int, number: int, tag: str, source: str) -> None:
    """A copy for an epoch not yet decided, with what the node itself holds."""
    replica = disk.node.replicas[group]
    text = orjson.dumps(replica.state.dump()).decode()
    disk.message(
        source=source, kind=Kind.SNAPSHOT, group=group, inst=number, tag=tag, applied=replica.last_applied, st=text
    )


def write_events(*, folder: pathlib.Path) -> DiskWriter:
    """One file: a first snapshot and every kind of event after it."""
    disk = DiskWriter(folder=folder, ip=SEEDS[2])
    log_all(disk=disk)
    return disk


def write_snapshots(*, folder: pathlib.Path) -> DiskWriter:
    """All four files in use: snapshots of everything, votes, epochs, copies for epochs not yet decided."""
    disk = DiskWriter(folder=folder, ip=SEEDS[2])
    log_all(disk=disk)
    disk.move_on()
    for events in periodic_calls():
        disk.log(source=UIDS[1], group=1, events=events)
    disk.move_on()
    tag, other = f"{UIDS[1]}/104.5000/7", f"{UIDS[0]}/104.6000/8"
    copy_of(disk=disk, group=1, number=1, tag=tag, source=UIDS[1])
    copy_of(disk=disk, group=1, number=1, tag=other, source=UIDS[0])
    vote = epoch(number=1, tag=tag, backups=(UIDS[2],))
    disk.message(source=UIDS[1], kind=Kind.PREPARE, group=1, n=1, bal=[1, UIDS[1], 1])
    disk.message(source=UIDS[1], kind=Kind.ACCEPT, group=1, n=1, bal=[1, UIDS[1], 1], val=vote)
    disk.message(source=UIDS[1], kind=Kind.INSTALL_EPOCH, group=1, e=vote, t=1.5)
    disk.log(source=UIDS[1], group=1, events=[job(number=300, stages=GANG, at=START_MS + 2_000_000)])
    copy_of(disk=disk, group=1, number=2, tag=f"{UIDS[0]}/109.0000/9", source=UIDS[0])
    vote = epoch(number=2, tag=f"{UIDS[0]}/109.0000/9", backups=(UIDS[1],), primary=UIDS[0])
    disk.message(source=UIDS[0], kind=Kind.PREPARE, group=1, n=2, bal=[2, UIDS[0], 3])
    disk.message(source=UIDS[0], kind=Kind.ACCEPT, group=1, n=2, bal=[2, UIDS[0], 3], val=vote)
    disk.message(source=UIDS[1], kind=Kind.PREPARE, group=0, n=1, bal=[4, UIDS[1], 2])
    for number in range(2):
        disk.move_on()
        events = [{"t": "evac", "site": f"z{number}", "on": True}]
        disk.log(source=UIDS[0], group=0, events=events)
    for events in later_events():
        disk.log(source=UIDS[1], group=1, events=events)
    return disk


def write_proposer(*, folder: pathlib.Path) -> DiskWriter:
    """A restarted primary: its own copy for the next epoch; of the other group it holds a decided epoch and no copy."""
    disk = DiskWriter(folder=folder, ip=SEEDS[1])
    for events in registry_events():
        disk.log(source=UIDS[0], group=0, events=events)
    replica = disk.node.replicas[1]
    disk.node.roster.registry = RegistryUpdate(members=dict(disk.node.registry.members))
    while not replica.pending_snapshots:
        disk.node.now += 0.5
        replica.tick()
    disk.write()
    away = epoch(number=1, tag=f"{UIDS[0]}/101.0000/1", backups=(UIDS[2],), primary=UIDS[0])
    disk.message(source=UIDS[0], kind=Kind.INSTALL_EPOCH, group=0, e=away, t=2.0)
    return disk


def write_torn(*, folder: pathlib.Path) -> None:
    """The last record was cut off by a loss of power."""
    disk = write_events(folder=folder)
    path, position = folder / "ring-1", disk.ring._position
    disk.ring.close()
    raw = bytearray(path.read_bytes())
    raw[position - 20 : position + RECORD_HEAD_BYTES] = bytes(20 + RECORD_HEAD_BYTES)
    path.write_bytes(raw)


def write_lost(*, folder: pathlib.Path) -> None:
    """The newest file is gone, and another one says that it was durable."""
    disk = DiskWriter(folder=folder, ip=SEEDS[2])
    for events in registry_events():
        disk.log(source=UIDS[0], group=0, events=events)
    disk.move_on()
    disk.ring.close()
    (folder / f"ring-{disk.ring._highest_file % RING_FILES}").write_bytes(bytes(RING_BYTES))


def write_older(*, folder: pathlib.Path) -> None:
    """Forms that are read and no longer written: an identity without a life's number, a registry without its two
    memories of orders, jobs without a history."""
    disk = write_events(folder=folder / "whole")
    disk.ring.close()
    records = [orjson.loads(raw) for raw in disk.node.snapshot_records()]
    for record in records:
        if record["k"] == "id":
            del record["inc"]
        elif record["k"] == "st" and record["g"] == 0:
            del record["st"]["changes"], record["st"]["zones"]
        elif record["k"] == "st":
            record["st"] = record["st"]["jobs"]
    shutil.rmtree(folder / "whole")
    ring = RingJournal(folder=str(folder), file_bytes=RING_BYTES, salt=itertools.count(1).__next__)
    ring.load()
    ring.begin_file(snapshot=[*(orjson.dumps(record) for record in records), SNAPSHOT_END])
    ring.close()


def write_unused(*, folder: pathlib.Path) -> None:
    """Files were made and nothing was written."""
    ring = RingJournal(folder=str(folder), file_bytes=RING_BYTES)
    ring.load()
    ring.close()


def write_cluster(*, folder: pathlib.Path) -> list[str]:
    """The disks of a simulated cluster under load, with changes of the configuration and processes that end."""
    salts = itertools.count(1)

    class SaltedSim(RingSim):
        def _ring(self, ip: str) -> RingJournal:
            return RingJournal(folder=str(self.folder / ip), file_bytes=RING_BYTES, salt=salts.__next__)

    usual = RingSim.__base__
    setattr(configured_cluster, "Sim", lambda **more: SaltedSim(folder=folder, **more))  # noqa: B010
    try:
        sim, _, caller, _ = configured_cluster.cluster(seed=21, minions=4, fail=0.2)
    finally:
        setattr(configured_cluster, "Sim", usual)  # noqa: B010
    version = 3
    for turn in range(3):
        jobs = [caller.submit(stages=stages) for stages in (PLAIN, GANG, [{"task-count": 2, "cpus": 100}])]
        sim.run(seconds=1.0)
        caller.cancel(job_id=jobs[turn % 3])
        document, match = config(version=version + 1), {"if-match": str(version)}
        status, _ = sim.ask(ip=sim.core_ips[turn], method="PUT", path="/config", document=document, headers=match)
        version += status == 200
        sim.kill(ip=sim.core_ips[turn], power=True)
        sim.run(seconds=1.5)
        sim.boot(ip=sim.core_ips[turn])
        sim.run(seconds=2.5)
    for ip in sim.core_ips:
        sim.kill(ip=ip)
    return list(sim.core_ips)


def keep(
    *, files: pathlib.Path, out: pathlib.Path, ip: str, live: DiskWriter | None = None, learn: bool = True
) -> None:
    """Pack a folder's ring files and store beside them what they hold. Reading may change files, so a copy is read."""
    out.mkdir(parents=True)
    for path in sorted(files.glob("ring-*")):
        (out / f"{path.name}.gz").write_bytes(gzip.compress(path.read_bytes(), mtime=0))
    read = files.with_name(files.name + "-read")
    shutil.copytree(files, read)
    document = open_folder(folder=read, ip=ip, learn=learn).document()
    if live is not None:  # what is recovered is what the node that wrote it held
        assert document["snapshot"][1:] == [orjson.loads(raw) for raw in live.node.snapshot_records()][1:]
    rows = {part: ",\n".join(orjson.dumps(row).decode() for row in document[part]) for part in ("records", "snapshot")}
    head = f'"ip":"{ip}","learn":{str(learn).lower()},"verdict":"{document["verdict"]}"'
    text = f'{{{head},\n"records":[\n{rows["records"]}\n],\n"snapshot":[\n'
    (out / "expected.json").write_text(f"{text}{rows['snapshot']}\n]}}\n")


def main() -> None:
    """Write all cases into the folder named."""
    out = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory() as name:
        work = pathlib.Path(name)
        keep(files=work / "events", out=out / "events", ip=SEEDS[2], live=write_events(folder=work / "events"))
        keep(
            files=work / "snapshots",
            out=out / "snapshots",
            ip=SEEDS[2],
            live=write_snapshots(folder=work / "snapshots"),
        )
        keep(files=work / "proposer", out=out / "proposer", ip=SEEDS[1], live=write_proposer(folder=work / "proposer"))
        for case, write in (
            ("torn", write_torn),
            ("lost", write_lost),
            ("older", write_older),
            ("unused", write_unused),
        ):
            write(folder=work / case)
            keep(files=work / case, out=out / case, ip=SEEDS[2])
        for number, ip in enumerate(write_cluster(folder=work / "cluster")):
            keep(files=work / "cluster" / ip, out=out / f"cluster-{number}", ip=ip, learn=False)


if __name__ == "__main__":
    main()
