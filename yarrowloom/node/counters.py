"""Counters of what a process has done since its start, published by `GET /tally`."""

import time
from dataclasses import dataclass, field
from typing import Any

from ..transport.message_kinds import Kind

PATHS_MOST = 64  # kinds of HTTP calls that are counted apart


@dataclass(slots=True, kw_only=True)
class SentCounter:
    """Messages of one kind that were sent, and the bytes of their bodies."""

    messages: int = 0
    size_bytes: int = 0


@dataclass(slots=True, kw_only=True)
class DiskCounter:
    """What was written to the journal: records and their bytes, batches, snapshots and their bytes."""

    records: int = 0
    record_bytes: int = 0
    batches: int = 0
    snapshots: int = 0
    snapshot_bytes: int = 0


def route_label(*, method: str, path: str) -> str:
    """The method and the first part of the path of an HTTP call.

    >>> route_label(method="PUT", path="/minions/i-1"), route_label(method="GET", path="/state")
    ('PUT /minions', 'GET /state')
    """
    end = path.find("/", 1)
    return f"{method} {path[:end] if end > 0 else path}"


@dataclass(kw_only=True)
class Counters:
    """Counters that only rise.

    Attributes:
        sent: Messages to other nodes, by kind.
        received: Messages from other nodes, by kind.
        http_calls: HTTP calls by `route_label`; at most `PATHS_MOST` of these.
        disk: What was written.
    """

    sent: dict[str, SentCounter] = field(default_factory=dict)
    received: dict[str, int] = field(default_factory=dict)
    http_calls: dict[str, int] = field(default_factory=dict)
    disk: DiskCounter = field(default_factory=DiskCounter)

    def count_sent(self, *, kind: Kind, size_bytes: int) -> None:
        """Count a message to another node.

        >>> counters = Counters()
        >>> counters.count_sent(kind=Kind.LEADER_LEASE_REQUEST, size_bytes=9)
        >>> counters.count_sent(kind=Kind.LEADER_LEASE_REQUEST, size_bytes=1)
        >>> counters.sent
        {'LEADER_LEASE_REQUEST': SentCounter(messages=2, size_bytes=10)}
        """
        counter = self.sent.get(kind.name)
        if counter is None:
            counter = self.sent[kind.name] = SentCounter()
        counter.messages += 1
        counter.size_bytes += size_bytes

    def count_received(self, *, kind: Kind) -> None:
        """Count a message from another node."""
        self.received[kind.name] = self.received.get(kind.name, 0) + 1

    def count_http_call(self, *, method: str, path: str) -> None:
        """Count an HTTP call."""
        label = route_label(method=method, path=path)
        if label in self.http_calls or len(self.http_calls) < PATHS_MOST:
            self.http_calls[label] = self.http_calls.get(label, 0) + 1

    def count_written(self, *, snapshot: list[bytes], records: list[bytes]) -> None:
        """Count a batch that is on the disk, with the snapshot written before it, if any."""
        disk = self.disk
        disk.records += len(records)
        disk.record_bytes += sum(map(len, records))
        disk.batches += 1
        disk.snapshots += bool(snapshot)
        disk.snapshot_bytes += sum(map(len, snapshot))

    def document(self, *, config_version: int) -> dict[str, Any]:
        """The published form, with processor time in seconds and the version of the configuration in force."""
        disk = self.disk
        return {
            "cpu-s": time.process_time(),
            "stamp": config_version,
            "sent": {kind: [counter.messages, counter.size_bytes] for kind, counter in self.sent.items()},
            "got": self.received,
            "calls": self.http_calls,
            "disk": [disk.records, disk.record_bytes, disk.batches, disk.snapshots, disk.snapshot_bytes],
        }
