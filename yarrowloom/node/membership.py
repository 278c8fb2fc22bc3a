"""Core members as a node knows them: who is up, who may hold copies, who should keep epochs."""

from collections.abc import Sequence

from ..common.log import Log
from ..common.settings import NodeSettings
from ..replication.epoch import addr_of
from .node_base import NodeBase

WITNESSES = 9  # more are not asked to keep epochs
ROSTER_S = 1.5  # a member that the controller counts as live is up this long


def spread(*, order: list[str], zones: dict[str, str], size: int, most: int) -> list[str]:
    """The first `size` of `order`, sorted, of which no zone has more than `most`; empty if there are none.

    >>> zones = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "z"}
    >>> spread(order=list(zones), zones=zones, size=3, most=1)
    ['a', 'd', 'e']
    >>> spread(order=list(zones), zones=zones, size=5, most=2)
    []
    """
    taken: dict[str, int] = {}
    found: list[str] = []
    for node_id in order:
        if len(found) < size and taken.get(zones[node_id], 0) < most:
            taken[zones[node_id]] = taken.get(zones[node_id], 0) + 1
            found.append(node_id)
    return sorted(found) if len(found) == size else []


class MemberView(NodeBase):
    """Invariant: what it tells of members follows from heartbeats, the registry's members and the epochs known; it
    changes none of them.
    """

    def __init__(
        self, *, settings: NodeSettings, node_id: str, incarnation: int, log: Log, now: float, rand: float
    ) -> None:
        super().__init__(settings=settings, node_id=node_id, incarnation=incarnation, kind="core", log=log)
        self.now = now
        self._rand = rand
        self.roster: dict[str, float] = {}  # when the controller last told that a member is live

    def jitter(self) -> float:
        """0 to 1, from a small generator of its own."""
        self._rand = (self._rand * 997.0 + 0.123456789) % 1.0
        return self._rand

    def partners(self, *, first: Sequence[str]) -> list[str]:
        """Members that may be a backup: alive ones first, then one zone after another, beginning with those that are
        not this node's; within a zone those in `first`, then the least loaded.
        """
        load: dict[str, int] = {}
        for e in self.epochs.values():
            for holder in (e.primary, *e.backups):
                load[holder] = load.get(holder, 0) + 1
        zones = self.peers()
        rank = {u: (not self.up(node_id=u), u not in first, load.get(u, 0), u) for u in zones if u != self.node_id}
        taken = {self.settings.zone: 1, "": 1}
        order: list[str] = []
        while rank:
            best = min(rank, key=lambda u: (rank[u][0], taken.get(zones[u], 0), rank[u][1:]))
            del rank[best]
            order.append(best)
            taken[zones[best]] = taken.get(zones[best], 0) + 1
        return order

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        """If all of `holders` stand in one zone: live members of other zones. A zone not known yet proves nothing."""
        zones = self.peers()
        held = {zones.get(u, "") for u in holders}
        if len(held) != 1 or "" in held:
            return []
        return [u for u, zone in zones.items() if zone and zone not in held and self.up(node_id=u)]

    def peers(self) -> dict[str, str]:
        """Core nodes and their sites as far as known. After a restart of all there are no members yet, only what
        epochs name and whose hearts are heard; a uid that gave way to another at its address does not count.
        """
        named = {u for e in self.epochs.values() for u in (*e.witnesses, e.primary, *e.backups) if u}
        heard = {u for u, i in self.info.items() if i["kind"] == "core" and self.alive(node_id=u)} | {self.node_id}
        new = {addr_of(node_id=u): u for u in heard}
        out = {}
        for u in sorted(named | heard | set(self.members)):
            if new.get(addr_of(node_id=u), u) == u:
                row = self.members.get(u) or self.info.get(u) or {}
                out[u] = str(row.get("site", ""))
        return out

    def losses(self) -> int:
        """How many disks may be lost at once."""
        return self.settings.losses

    def up(self, *, node_id: str) -> bool:
        """Heard of lately."""
        return self.alive(node_id=node_id) or self.now - self.roster.get(node_id, -9.0) < ROSTER_S

    def witnesses(self, *, have: Sequence[str]) -> list[str]:
        """Widen to all core nodes, replace the absent by the present; an odd number of them, and never fewer, but for
        a set of which one zone holds the majority while a smaller one, still enough for the budget, would not.
        """
        zones = {u: str(row.get("site", "")) for u, row in self.members.items() if self.up(node_id=u)}
        order = [u for u in have if u in zones] + [u for u in sorted(zones) if u not in have]
        size = min(len(order) - 1 + len(order) % 2, WITNESSES)
        least = max(2 * self.losses() + 1, 3)
        for fewer in range(size, least - 1, -2):
            found = spread(order=order, zones=zones, size=fewer, most=fewer // 2)
            if found and (fewer >= len(have) or all(u in zones for u in have)):
                return found
        if size < max(len(have), 3):
            return list(have)
        rows = (spread(order=order, zones=zones, size=size, most=most) for most in range(size // 2, size + 1))
        return next(found for found in rows if found)

    def everyone(self) -> list[str]:
        """All core members known."""
        return sorted(self.peers())
