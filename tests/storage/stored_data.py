"""Opens the stored data under `data/` as a core process does at its start.

All that the tests of stored data use of the product stands here: a rename changes this module and no data. What is
compared is encoded: records as they stand on the disk, and the snapshot that a recovered node would write.
"""

import gzip
import pathlib
from dataclasses import dataclass
from typing import Any, get_args

import orjson

from yarrowloom.cluster_state.registry_events import REGISTRY_EVENTS
from yarrowloom.common.defaults import SHIPPED, Defaults
from yarrowloom.common.log import Log
from yarrowloom.common.settings import NodeSettings
from yarrowloom.jobs.events import job_event_tags
from yarrowloom.node.core import NODE_RECORDS, CoreNode
from yarrowloom.node.recovery import recover
from yarrowloom.replication.stored_records import AnyStoredRecord
from yarrowloom.storage import JournalState, RingJournal

DATA = pathlib.Path(__file__).parent / "data"
RING_FILES = 4
SEEDS = ("10.0.0.1", "10.1.0.2", "10.2.0.3")
RING_BYTES = 256 << 10


@dataclass(frozen=True, slots=True, kw_only=True)
class Opened:
    """What the current code makes of a folder of ring files."""

    verdict: str
    records: list[Any]  # all that the ring holds, in order, parsed
    snapshot: list[Any]  # what the recovered node would write as its first snapshot, parsed

    def document(self) -> dict[str, Any]:
        """The form in which the expectation is stored."""
        return {"verdict": self.verdict, "records": self.records, "snapshot": self.snapshot}


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownKinds:
    """The kinds that the current code reads."""

    records: frozenset[str]
    registry_events: frozenset[str]
    job_events: frozenset[str]


def settings(*, ip: str) -> NodeSettings:
    """The settings of a core process of three, with two backups for each group."""
    return NodeSettings(
        name=ip,
        role="core",
        ip=ip,
        zone=f"z{ip.split('.')[1]}",
        zones={"z0": "r", "z1": "r", "z2": "r"},
        binds={"control": f"{ip}:8000"},
        ports=(7000, 7015),
        seeds=tuple(f"{seed}:8000" for seed in SEEDS),
        bootstrap=True,
        losses=2,
        data_dir="/d",
        disk_mb=64,
        memory_mb=256,
        heartbeat_interval_ms=1400,
    )


def start_node(*, ip: str, records: list[bytes], blank: bool, learn: bool) -> CoreNode:
    """A core node that starts with these records; `learn`: it keeps the history for predictions."""
    defaults: Defaults = {**SHIPPED, "learn": {"on": learn}}
    return recover(
        settings=settings(ip=ip),
        records=records,
        blank=blank,
        log=Log(name="stored-data", level="error"),
        now=500.0,
        rand=0.5,
        token="new",
        defaults=defaults,
    )


def open_folder(*, folder: pathlib.Path, ip: str, learn: bool) -> Opened:
    """Read the ring files of a folder and recover a node from them, as `open_core` does."""
    ring = RingJournal(folder=str(folder), file_bytes=RING_BYTES)
    records = ring.load()
    verdict = ring.state
    ring.close()
    usable = [] if verdict is JournalState.LOST else records
    node = start_node(ip=ip, records=usable, blank=verdict is JournalState.EMPTY, learn=learn)
    return Opened(
        verdict=verdict.value,
        records=[orjson.loads(record) for record in records],
        snapshot=[orjson.loads(record) for record in node.snapshot_records()],
    )


def known_kinds() -> KnownKinds:
    """The kinds that the reducers and the replay of records dispatch on."""
    record_kinds = [str(record_class.__struct_config__.tag) for record_class in get_args(AnyStoredRecord)]
    return KnownKinds(
        records=frozenset({*record_kinds, *NODE_RECORDS}),
        registry_events=REGISTRY_EVENTS.tags,
        job_events=job_event_tags(),
    )


def unpack(*, case: pathlib.Path, folder: pathlib.Path) -> None:
    """Write the ring files of a case, as they were on the disk, into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for packed in sorted(case.glob("ring-*.gz")):
        (folder / packed.stem).write_bytes(gzip.decompress(packed.read_bytes()))


def cases() -> list[str]:
    """Names of the stored cases."""
    return sorted(path.name for path in DATA.iterdir() if path.is_dir())


def expectation(*, case: str) -> dict[str, Any]:
    """What a case holds: the node's address, whether it keeps the history for predictions, the ring's verdict, all
    records, and the snapshot after recovery."""
    document: dict[str, Any] = orjson.loads((DATA / case / "expected.json").read_bytes())
    return document
