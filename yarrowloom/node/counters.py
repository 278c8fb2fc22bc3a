"""What a process has done since its start, told by `GET /tally` at its control or ready address."""

import time
from dataclasses import dataclass, field
from typing import Any

from ..transport.envelope import Kind


@dataclass(kw_only=True)
class Tally:
    """Invariant: counts only rise. `sent` by kind is [messages, bytes of bodies], `got` by kind messages; `disk` is
    [records, bytes, batches, checkpoints, bytes of checkpoints]; `calls` counts HTTP calls by method and first part
    of the path.
    """

    sent: dict[str, list[int]] = field(default_factory=dict)
    got: dict[str, int] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    disk: list[int] = field(default_factory=lambda: [0, 0, 0, 0, 0])

    def sends(self, *, kind: Kind, size: int) -> None:
        """One message more to another node.

        >>> tally = Tally()
        >>> tally.sends(kind=Kind.LEADER_LEASE_REQUEST, size=9)
        >>> tally.sends(kind=Kind.LEADER_LEASE_REQUEST, size=1)
        >>> tally.sent
        {'LEADER_LEASE_REQUEST': [2, 10]}
        """
        row = self.sent.get(kind.name)
        if row is None:
            self.sent[kind.name] = [1, size]
        else:
            row[0] += 1
            row[1] += size

    def gets(self, *, kind: Kind) -> None:
        """One message more from another node."""
        self.got[kind.name] = self.got.get(kind.name, 0) + 1

    def call(self, *, method: str, path: str) -> None:
        """One HTTP call more."""
        key = f"{method} {path[: path.find('/', 1)] if path.find('/', 1) > 0 else path}"
        if key in self.calls or len(self.calls) < 64:
            self.calls[key] = self.calls.get(key, 0) + 1

    def wrote(self, *, head: list[bytes], bodies: list[bytes]) -> None:
        """One batch is on the disk."""
        row = self.disk
        row[0] += len(bodies)
        row[1] += sum(map(len, bodies))
        row[2] += 1
        row[3] += bool(head)
        row[4] += sum(map(len, head))

    def document(self, *, config_version: int) -> dict[str, Any]:
        """All of it, with processor time in seconds and the configuration in force."""
        return {
            "cpu-s": time.process_time(),
            "stamp": config_version,
            "sent": self.sent,
            "got": self.got,
            "calls": self.calls,
            "disk": self.disk,
        }
