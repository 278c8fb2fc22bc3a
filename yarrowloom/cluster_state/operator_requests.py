"""What the registry remembers of operators' orders, so that a repeat is told from a new order.

Both memories are bounded. What has been dropped from one is not taken for "never seen": a number says up to where
the memory no longer knows, and an order that falls below it gets no clear answer.
"""

from collections import OrderedDict
from typing import Any

CHANGES_MOST = 1024  # accepted configuration changes: 45 KB at most in a snapshot, 220 KB in memory
ZONES_MOST = 256  # zones whose last order is remembered: 10 KB at most in a snapshot


class AcceptedChanges:
    """The last accepted configuration changes: version -> digest of the order that made it.

    Invariants: versions rise; every accepted change with a version above `forgotten` is held; `add` costs O(1).
    """

    def __init__(self) -> None:
        self.forgotten = 0
        self._digests: OrderedDict[int, str] = OrderedDict()

    def add(self, *, version: int, digest: str) -> None:
        """Remember an accepted change; the oldest makes room.

        >>> changes = AcceptedChanges()
        >>> for version in range(1, CHANGES_MOST + 3):
        ...     changes.add(version=version, digest=f"d{version}")
        >>> changes.forgotten, changes.accepted(version=2, digest="d2"), changes.accepted(version=3, digest="d3")
        (2, False, True)
        """
        self._digests[version] = digest
        while len(self._digests) > CHANGES_MOST:
            self.forgotten, _ = self._digests.popitem(last=False)

    def accepted(self, *, version: int, digest: str) -> bool:
        """Whether this very order made this version."""
        return self._digests.get(version) == digest

    def unknown(self, *, version: int) -> bool:
        """Whether an order for this version may have been accepted and forgotten since."""
        return version <= self.forgotten

    def dump(self) -> dict[str, Any]:
        """All of it as plain data."""
        return {"forgotten": self.forgotten, "taken": list(self._digests.items())}

    @classmethod
    def load(cls, *, document: dict[str, Any]) -> "AcceptedChanges":
        """The inverse of `dump`."""
        changes = cls()
        changes.forgotten = document["forgotten"]
        changes._digests.update((version, digest) for version, digest in document["taken"])
        return changes


class ZoneVersions:
    """By zone, the registry's version at the last evacuation order that was taken.

    Invariants: the versions held are above `forgotten`, the newest of those dropped; `add` costs O(1).
    """

    def __init__(self) -> None:
        self.forgotten = -1
        self._versions: OrderedDict[str, int] = OrderedDict()

    def add(self, *, zone: str, version: int) -> None:
        """An order for a zone made this version."""
        self._versions[zone] = version
        self._versions.move_to_end(zone)
        while len(self._versions) > ZONES_MOST:
            _, self.forgotten = self._versions.popitem(last=False)

    def last(self, *, zone: str) -> int:
        """The version of the zone's last order, or one that is certainly not older.

        >>> zones = ZoneVersions()
        >>> zones.add(zone="a", version=7)
        >>> zones.last(zone="a"), zones.last(zone="b")
        (7, -1)
        """
        return self._versions.get(zone, self.forgotten)

    def dump(self) -> dict[str, Any]:
        """All of it as plain data."""
        return {"forgotten": self.forgotten, "zones": list(self._versions.items())}

    @classmethod
    def load(cls, *, document: dict[str, Any]) -> "ZoneVersions":
        """The inverse of `dump`."""
        zones = cls()
        zones.forgotten = document["forgotten"]
        zones._versions.update((zone, version) for zone, version in document["zones"])
        return zones
