"""The placing node's table of room: what agents report, what it holds itself, indexed for the cycle's search."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple


class Size(NamedTuple):
    """An amount of room: thousandths of a core, megabytes, accelerators."""

    cpu: int
    mem: int
    gpu: int

    def plus(self, other: "Size", n: int = 1) -> "Size":
        """This and `n` times another.

        >>> Size(1, 2, 3).plus(Size(1, 1, 1), -2)
        Size(cpu=-1, mem=0, gpu=1)
        """
        return Size(self.cpu + n * other.cpu, self.mem + n * other.mem, self.gpu + n * other.gpu)

    def above_zero(self) -> "Size":
        """This with 0 in place of what is below.

        >>> Size(-1, 2, 0).above_zero()
        Size(cpu=0, mem=2, gpu=0)
        """
        return Size(max(self.cpu, 0), max(self.mem, 0), max(self.gpu, 0))

    def holds(self, other: "Size") -> bool:
        """Whether another fits in."""
        return self.cpu >= other.cpu and self.mem >= other.mem and self.gpu >= other.gpu

    def copies(self, other: "Size") -> int:
        """How many of another fit in; 64 of what needs nothing.

        >>> Size(4000, 100, 2).copies(Size(1000, 50, 1)), Size(1, 1, 1).copies(Size(0, 0, 0))
        (2, 64)
        """
        parts = [have // need for have, need in zip(self, other, strict=True) if need]
        return max(0, min(parts)) if parts else 64


NONE = Size(0, 0, 0)


@dataclass(slots=True, kw_only=True)
class Spot:
    """A minion as attached through its agent. Invariants: leases and orders count only with `seq`; `free` is
    `view` (the agent's last word) + `idle` (own leases without a run) + `owed` (given back since) - `fly` (asked
    for, not answered); it stands in its shelf's index exactly while `open` and `heard`.
    """

    minion_id: str
    agent: str
    fence: int
    seq: int
    service: str
    zone: str
    labels: tuple[str, ...]
    cap: Size
    open: bool = False
    view: Size = NONE
    fly: Size = NONE
    idle: Size = NONE
    owed: Size = NONE
    free: Size = NONE
    filed: tuple[int, int] | None = None  # its key in the index: (accelerators, cores)
    streak: int = 0  # first failures of tasks in a row, each of another job
    last: str = ""  # the job of the last one
    since: float = -9.0  # when it was attached
    keep: Size = NONE  # kept warm: no room for ranks after `keep_rank` that end after `keep_till`
    keep_rank: int = 0
    keep_till: float = 0.0
    shy: float = 0.0  # nothing new until then

    def attached_anew(self, *, seq: int, now: float) -> "Spot":
        """The same minion under a new attachment: what was known of its room, and leases on it, are void."""
        return Spot(
            minion_id=self.minion_id,
            agent=self.agent,
            fence=self.fence,
            seq=seq,
            service=self.service,
            zone=self.zone,
            labels=self.labels,
            cap=self.cap,
            streak=self.streak,
            last=self.last,
            shy=self.shy,
            since=now,
        )

    @property
    def rack(self) -> str:
        """By the published order, a minion's kind comes first and its rack second."""
        return self.labels[1] if len(self.labels) > 1 else ""


@dataclass(slots=True)
class Rack:
    """The open minions of one rack and service. Invariant: `free` is the sum of what is free on them, where that is
    above 0: no more than `free.copies(size)` tasks of a size fit in.
    """

    minion_ids: set[str] = field(default_factory=set)
    free: Size = NONE


@dataclass(slots=True)
class Shelf:
    """The open minions of one service. Invariant: `levels` holds each exactly once, under its free accelerators,
    sorted by its free cores, and `racks` by its rack; `total` is the sum of their capacities.
    """

    levels: dict[int, list[tuple[int, str]]] = field(default_factory=dict)
    by: dict[str, set[str]] = field(default_factory=dict)
    racks: dict[str, Rack] = field(default_factory=dict)
    total: Size = NONE
    free: Size = NONE
    count: int = 0
    shy: int = 0


class Room:
    """All minions that were attached. Invariant: `grown` holds, by service, the room of each minion that has more
    than before, since `take_grown`; what fits in none of it has no better chance than at its last cycle.
    """

    def __init__(self) -> None:
        self.spots: dict[str, Spot] = {}
        self.shelves: dict[str, Shelf] = {}
        self.of: dict[str, set[str]] = {}  # by agent
        self.heard: dict[str, float] = {}
        self.grown: dict[str, dict[str, Size]] = {}
        self.looks = 0  # index entries visited; for tests and figures

    # -- membership

    def attach(self, *, spot: Spot) -> None:
        """A minion as it stands now; an older attachment of it is void."""
        self.drop(minion_id=spot.minion_id)
        self.spots[spot.minion_id] = spot
        self.of.setdefault(spot.agent, set()).add(spot.minion_id)

    def drop(self, *, minion_id: str) -> None:
        """Forget a minion."""
        spot = self.spots.pop(minion_id, None)
        if spot is not None:
            spot.open = False
            self._refile(spot)
            self.of[spot.agent].discard(minion_id)

    # -- what agents say

    def report(self, *, node_id: str, rows: list[list[int | str]], shut: list[str], now: float) -> None:
        """Rows [minion, cpu, mem, gpu] of open minions; `shut` are no longer open."""
        self.heard[node_id] = now
        for minion_id, cpu, mem, gpu in rows:
            spot = self.spots.get(str(minion_id))
            if spot is not None and spot.agent == node_id:
                spot.open, spot.owed = True, NONE
                spot.view = Size(int(cpu), int(mem), int(gpu))
                self._refile(spot)
        for minion_id in shut:
            spot = self.spots.get(minion_id)
            if spot is not None and spot.agent == node_id and spot.open:
                spot.open = False
                self._refile(spot)

    def silent(self, *, now: float, after: float) -> list[str]:
        """Agents whose rows count and that were not heard for `after` seconds."""
        return [node_id for node_id, at in self.heard.items() if now - at > after]

    def close(self, *, node_id: str) -> None:
        """The rows of an agent count no longer, until it tells them again."""
        self.heard.pop(node_id, None)
        for minion_id in self.of.get(node_id, ()):
            self.spots[minion_id].open = False
            self._refile(self.spots[minion_id])

    # -- what the placing node does

    def reserve(self, *, spot: Spot, size: Size, n: int) -> None:
        """Room asked for (n above 0) or answered (below)."""
        spot.fly = spot.fly.plus(size, n)
        self._refile(spot)

    def hold(self, *, spot: Spot, size: Size, n: int) -> None:
        """Own leases become idle (n above 0) or are used (below)."""
        spot.idle = spot.idle.plus(size, n)
        self._refile(spot)

    def owe(self, *, spot: Spot, size: Size) -> None:
        """A lease was given back; the agent's next word shows it."""
        spot.owed = spot.owed.plus(size)
        self._refile(spot)

    def _refile(self, spot: Spot) -> None:
        was, had = spot.free, spot.filed
        free = spot.free = Size(
            *(v + i + o - f for v, i, o, f in zip(spot.view, spot.idle, spot.owed, spot.fly, strict=True))
        )
        key = (max(free.gpu, 0), free.cpu) if spot.open else None
        if key == had and free == was:
            return
        shelf = self.shelves.get(spot.service)
        if shelf is None:
            shelf = self.shelves[spot.service] = Shelf()
        if had is not None:
            shelf.free = shelf.free.plus(was, -1)
            rack = shelf.racks[spot.rack]
            rack.free = rack.free.plus(was.above_zero(), -1)
            if key is None:
                rack.minion_ids.discard(spot.minion_id)
            row = shelf.levels[had[0]]
            if key != had:
                del row[bisect_left(row, (had[1], spot.minion_id))]
                if not row:
                    del shelf.levels[had[0]]
                if key is None:
                    shelf.count -= 1
                    shelf.total = shelf.total.plus(spot.cap, -1)
                    for label in spot.labels:
                        shelf.by[label].discard(spot.minion_id)
        if key is not None:
            shelf.free = shelf.free.plus(free)
            rack = shelf.racks.setdefault(spot.rack, Rack())
            rack.free = rack.free.plus(free.above_zero())
            rack.minion_ids.add(spot.minion_id)
            if key != had:
                insort(shelf.levels.setdefault(key[0], []), (key[1], spot.minion_id))
            if had is None:
                shelf.count += 1
                shelf.total = shelf.total.plus(spot.cap)
                for label in spot.labels:
                    shelf.by.setdefault(label, set()).add(spot.minion_id)
            if had is None or any(a > b for a, b in zip(free, was, strict=True)):
                self.grown.setdefault(spot.service, {})[spot.minion_id] = free
        spot.filed = key

    def take_grown(self) -> dict[str, list[Size]]:
        """By service, where room grew since the last call: only what no other of the list holds."""
        out: dict[str, list[Size]] = {}
        for service, rows in self.grown.items():
            best: list[Size] = []
            for size in sorted(set(rows.values()), reverse=True):
                if not any(other.holds(size) for other in best):
                    best.append(size)
            out[service] = best
        self.grown = {}
        return out

    # -- failures of minions

    def failed(self, *, minion_id: str, job_id: str, now: float) -> bool:
        """A task's first run failed here. Three jobs in a row, none done in between: the minion, not the jobs; it
        gets nothing new for a while, unless a quarter of the service is shy already. True if so.
        """
        spot = self.spots.get(minion_id)
        if spot is None or spot.last == job_id:
            return False
        spot.last = job_id
        spot.streak += 1
        shelf = self.shelves.get(spot.service)
        if spot.streak < 3 or shelf is None:
            return False
        shy = sum(s.shy > now for s in self.spots.values() if s.service == spot.service)
        if 4 * shy >= shelf.count:
            return False
        spot.shy = now + min(1.5 * 2.0 ** (spot.streak - 3), 12.0)
        return True

    def worked(self, *, minion_id: str) -> None:
        """A run was done here."""
        spot = self.spots.get(minion_id)
        if spot is not None and spot.streak:
            spot.streak, spot.shy = 0, 0.0

    # -- search

    def ordered(self, *, service: str, size: Size) -> Iterator[Spot]:
        """Open minions with room for one task, the tightest fit first: by free accelerators, then by free cores."""
        shelf = self.shelves.get(service)
        if shelf is None:
            return
        for level in sorted(group_id for group_id in shelf.levels if group_id >= size.gpu):
            row = shelf.levels[level]
            for at in range(bisect_left(row, (size.cpu, "")), len(row)):
                self.looks += 1
                yield self.spots[row[at][1]]

    def labelled(self, *, service: str, label: str) -> list[Spot]:
        """Open minions with a label, the tightest first."""
        shelf = self.shelves.get(service)
        if shelf is None:
            return []
        out = [self.spots[minion_id] for minion_id in shelf.by.get(label, ())]
        self.looks += len(out)
        return sorted(out, key=lambda s: (s.free.gpu, s.free.cpu, s.minion_id))

    def racks(self, *, service: str) -> dict[str, Rack]:
        """Open minions by rack; some racks may have none."""
        shelf = self.shelves.get(service)
        return shelf.racks if shelf is not None else {}

    def of_rack(self, *, rack: Rack) -> list[Spot]:
        """The minions of a rack."""
        self.looks += len(rack.minion_ids)
        return [self.spots[minion_id] for minion_id in rack.minion_ids]

    def could(self, *, service: str, size: Size, req: str, n: int) -> bool:
        """Whether the open minions, were they empty, could take `n` tasks at once."""
        shelf = self.shelves.get(service)
        if shelf is None:
            return False
        minion_ids = (
            shelf.by.get(req, ()) if req else (minion_id for row in shelf.levels.values() for _, minion_id in row)
        )
        for minion_id in minion_ids:
            n -= self.spots[minion_id].cap.copies(size)
            if n <= 0:
                return True
        return False
