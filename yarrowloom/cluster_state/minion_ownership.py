"""Which agent holds which minions: an index over group 0's rows that follows each change in one step."""

from typing import Any, NamedTuple
from zlib import crc32

from ..agent.lease_selection import rack

Row = dict[str, Any]
GAP = 8  # agents of a site whose minions differ by less, or by less than a quarter, stay as they are


class Place(NamedTuple):
    """Where a minion stands: its site and its rack ("" where it has none)."""

    zone: str
    rack: str


def place(*, row: Row) -> Place:
    """The place of a minion's row."""
    return Place(row.get("site", ""), rack(labels=row.get("labels", [])))


def mark(*, minion_id: str, fence: int) -> int:
    """One minion's share of a digest."""
    return crc32(f"{minion_id}/{fence}".encode())


def total(*, rows: list[tuple[str, int]]) -> list[int]:
    """The digest of what an agent holds, (minion, fence) each: their number, and the sum of their marks.

    >>> total(rows=[("i-1", 3), ("i-2", 4)]) == total(rows=[("i-2", 4), ("i-1", 3)]) != total(rows=[("i-1", 7)])
    True
    """
    return [len(rows), sum(mark(minion_id=minion_id, fence=f) for minion_id, f in rows)]


class Owners:
    """Invariants: `by` has each minion under its row's owner and no empty entries; `sums` are the sums of marks of
    those; `spots` has, by place and owner, the minions there.
    """

    def __init__(self, *, rows: dict[str, Row]) -> None:
        self.by: dict[str, dict[str, None]] = {}
        self.sums: dict[str, int] = {}
        self.spots: dict[Place, dict[str, dict[str, None]]] = {}
        for minion_id, row in rows.items():
            self.put(minion_id=minion_id, row=row)

    def put(self, *, minion_id: str, row: Row, old: Row | None = None) -> None:
        """A minion has a new row; `old`: the one it had."""
        if old is not None:
            self.drop(minion_id=minion_id, row=old)
        node_id = row["o"]
        self.by.setdefault(node_id, {})[minion_id] = None
        self.sums[node_id] = self.sums.get(node_id, 0) + mark(minion_id=minion_id, fence=row["f"])
        self.spots.setdefault(place(row=row), {}).setdefault(node_id, {})[minion_id] = None

    def drop(self, *, minion_id: str, row: Row) -> None:
        """A minion's row is no more."""
        node_id, spot = row["o"], place(row=row)
        held, there = self.by[node_id], self.spots[spot]
        del held[minion_id], there[node_id][minion_id]
        self.sums[node_id] -= mark(minion_id=minion_id, fence=row["f"])
        if not held:
            del self.by[node_id], self.sums[node_id]
        if not there[node_id]:
            del there[node_id]
        if not there:
            del self.spots[spot]

    def load(self, *, node_id: str) -> int:
        """How many minions an agent has."""
        return len(self.by.get(node_id, ()))

    def digest(self, *, node_id: str) -> list[int]:
        """What `total` gives for an agent's minions."""
        return [self.load(node_id=node_id), self.sums.get(node_id, 0)]


class Picker:
    """Picks agents for many minions at once; each pick counts for the next. Invariant: `load` has live agents only.

    `sites`: the live agents and the sites they stand in.
    """

    def __init__(self, *, owners: Owners, zones: dict[str, str]) -> None:
        self.owners = owners
        self.zones = zones
        self.load = {u: owners.load(node_id=u) for u in zones}
        self.near: dict[str, list[str]] = {}
        for node_id, zone in zones.items():
            self.near.setdefault(zone, []).append(node_id)
        self.picked: dict[Place, str] = {}

    def pick(self, *, spot: Place) -> str:
        """The agent for a minion: in its site, where its rack already is, else the least loaded."""
        near = self.near.get(spot.zone) or list(self.zones)
        held = self.owners.spots.get(spot, {}) if spot.rack else {}
        pool = [u for u in near if u in held]
        if spot.rack and not pool and spot in self.picked:
            pool = [self.picked[spot]]
        out = min(pool or near, key=lambda u: (self.load[u], u))
        self.load[out] += 1
        self.picked[spot] = out
        return out

    def uneven(self, *, most: int) -> list[tuple[str, str]]:
        """Up to `most` minions that should move, and to whom: what is away from a site that has agents comes home,
        the lesser part of a rack joins the greater, and the fullest agent of a site gives a rack to the emptiest.
        """
        out: list[tuple[str, str]] = []
        for spot, there in self.owners.spots.items():
            home = self.near.get(spot.zone, [])
            parts = sorted((len(minion_ids), node_id) for node_id, minion_ids in there.items() if node_id in self.zones)
            best = max((p for p in parts if p[1] in home), default=None)
            for size, node_id in parts if home else ():
                stray = node_id not in home or (spot.rack and best is not None and node_id != best[1])
                if stray and (not out or len(out) + size <= most):
                    out += [
                        (minion_id, self.pick(spot=spot) if best is None else best[1])
                        for minion_id in list(there[node_id])[: most - len(out)]
                    ]
        if out:
            return out
        for zone, node_ids in self.near.items():
            full, bare = max(node_ids, key=lambda u: self.load[u]), min(node_ids, key=lambda u: self.load[u])
            gap = self.load[full] - self.load[bare]
            half = gap // 2 if gap >= GAP and 4 * gap >= self.load[full] else 0
            for spot, there in self.owners.spots.items() if half > 0 else ():
                held = list(there.get(full, ()))
                if spot.zone == zone and held and (not spot.rack or len(held) <= min(half, most)):
                    return [(minion_id, bare) for minion_id in held[: min(half, most)]]
        return []
