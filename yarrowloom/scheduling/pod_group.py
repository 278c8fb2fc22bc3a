"""Groups and their queue: a step of a job at one of its times is placed as one unit."""

import enum
import heapq
from bisect import insort
from dataclasses import dataclass, field

from .capacity import Size


class Phase(enum.Enum):
    """Where a group stands."""

    ACTIVE = "active"  # in the queue, waits for its cycle
    TURN = "turn"  # popped: its cycle runs
    PARKED = "parked"  # its last cycle failed: waits for room or for the end of its backoff
    BOUND = "bound"  # every unscheduled member is on its way: nothing to place
    GONE = "gone"


MOVES: dict[Phase, frozenset[Phase]] = {
    Phase.ACTIVE: frozenset({Phase.TURN, Phase.GONE}),
    Phase.TURN: frozenset({Phase.ACTIVE, Phase.PARKED, Phase.BOUND, Phase.GONE}),
    Phase.PARKED: frozenset({Phase.ACTIVE, Phase.TURN, Phase.GONE}),
    Phase.BOUND: frozenset({Phase.ACTIVE, Phase.GONE}),
    Phase.GONE: frozenset(),
}
Prio = tuple[bool, int, float, float, str, str]
Entry = tuple[Prio, str, str, int]  # a group's place in a list, its name, the group's mark when it was put there
BACKOFF_S = 0.1
BACKOFF_MOST_S = 2.0
SLACK = 64  # entries of groups that moved on which a list may hold beyond as many as there are groups


@dataclass(slots=True, kw_only=True)
class Group:
    """A step's tasks. Invariants: `out` holds the members that a cycle placed and whose leases are not granted yet,
    with their minions; `prio` is its place in the queue: past use, the queue's rank, the latest start within its aim,
    the time first seen, then its name.
    """

    job_id: str
    key: str
    service: str
    size: Size
    prio: Prio
    since: float
    req: str = ""
    near: str = ""
    gang: bool = False
    tight: bool = False
    apart: int = 0
    est: int = 0
    late_at: float = 0.0  # wall seconds after which it earns nothing any more
    out: dict[int, str] = field(default_factory=dict)
    phase: Phase = Phase.ACTIVE
    tries: int = 0  # failed cycles in a row
    again: float = 0.0  # end of its backoff
    why: str = ""  # of its last failed cycle
    seen: float = 0.0
    mark: int = 0  # of its newest entry in a list
    load: int = 0  # members counted in the queue's load
    sore: set[str] = field(default_factory=set)  # minions on which a member failed
    never: bool = False  # no minions known could hold it, were they empty: it is nobody's wait

    @property
    def rank(self) -> int:
        """The queue's rank; 0 goes first."""
        return self.prio[1]

    def move(self, phase: Phase) -> None:
        """Change phase by the table."""
        assert phase is self.phase or phase in MOVES[self.phase], (self.phase, phase)
        self.phase = phase


@dataclass(slots=True)
class Walk:
    """A pass over one service's parked groups, made in slices of bounded work. Invariants: `grown` is where room grew
    before the pass began, `later` where it grew since: that is the next pass's; `none` holds sizes (with a label)
    for which no open minion had room in this pass. What fits in nothing grown, or needs at least as much as one of
    `none`, is passed over.
    """

    on: bool = False
    after: Prio | None = None
    looks: int = 0
    grown: list[Size] = field(default_factory=list)
    later: list[Size] = field(default_factory=list)
    none: list[tuple[Size, str]] = field(default_factory=list)
    top: dict[str, int] = field(default_factory=dict)  # by label: the earliest rank that waits for its room
    passed: int = 0

    def begin(self, *, top: dict[str, int]) -> None:
        """Go on where the pass stopped, or begin the next one where there is cause."""
        self.top = top
        if not self.on:
            self.grown, self.later, self.none, self.after = self.later, [], [], None
            self.on = bool(self.grown)

    def grow(self, *, sizes: list[Size]) -> None:
        """Room grew to this on some minions."""
        self.later = [s for s in self.later if not any(o.holds(s) for o in sizes)] + sizes

    def note(self, *, size: Size, req: str) -> None:
        """No minion has room for this."""
        self.none = [(s, r) for s, r in self.none if not (s.holds(size) and req in ("", r))][:15] + [(size, req)]

    def hopeless(self, group: Group) -> bool:
        """Whether a cycle of this group would find nothing."""
        if any(not req and top < group.rank for req, top in self.top.items()):
            return True
        size, want = group.size, group.req
        return any(size.holds(s) and req in ("", want) for s, req in self.none)

    def skip(self, group: Group) -> bool:
        """Whether nothing has changed for a parked group since its last cycle."""
        self.passed += 1
        size = group.size
        if not any(s.holds(size) for s in self.grown) or self.hopeless(group):
            return True
        self.passed -= 1
        return False


class Backlog:
    """Groups that wait. Invariants: an ACTIVE group stands in `active` under its `prio`, a PARKED one in its
    service's list, each by exactly one entry that bears its `mark`; other entries are dropped when they are met.
    `load` sums up the work that waits, in core- and accelerator-milliseconds by service and rank.
    """

    def __init__(self) -> None:
        self.groups: dict[tuple[str, str], Group] = {}
        self.of: dict[str, set[str]] = {}
        self.active: dict[str, list[Entry]] = {}
        self.parked: dict[str, list[Entry]] = {}
        self.wait: list[tuple[float, str, str]] = []
        self.load: dict[tuple[str, int], list[int]] = {}

    def __len__(self) -> int:
        """Groups that wait for a cycle."""
        return sum(group.phase in (Phase.ACTIVE, Phase.PARKED) for group in self.groups.values())

    def add(self, *, group: Group) -> None:
        """A group enters."""
        self.groups[group.job_id, group.key] = group
        self.of.setdefault(group.job_id, set()).add(group.key)
        self._push(group)

    def _push(self, group: Group) -> None:
        group.mark += 1
        heapq.heappush(self.active.setdefault(group.service, []), (group.prio, group.job_id, group.key, group.mark))

    def _lie(self, group: Group) -> None:
        group.mark += 1
        rows = self.parked.setdefault(group.service, [])
        if len(rows) > SLACK + 2 * len(self.groups):  # woken by time, and no pass met their entries
            rows[:] = [row for row in rows if self._live(row, Phase.PARKED) is not None]
        insort(rows, (group.prio, group.job_id, group.key, group.mark))

    def weigh(self, *, group: Group, n: int) -> None:
        """`n` of the group's members wait now."""
        if n != group.load:
            row = self.load.setdefault((group.service, group.rank), [0, 0])
            row[0] += (n - group.load) * group.est * group.size.cpu
            row[1] += (n - group.load) * group.est * group.size.gpu
            group.load = n

    def remove(self, *, job_id: str, key: str) -> None:
        """A group leaves."""
        group = self.groups.pop((job_id, key), None)
        if group is not None:
            self.weigh(group=group, n=0)
            group.move(Phase.GONE)
            keys = self.of[job_id]
            keys.discard(key)
            if not keys:
                del self.of[job_id]

    def wake(self, *, group: Group) -> None:
        """Back to the active queue at once, its timestamp kept."""
        if group.phase is not Phase.ACTIVE:
            group.move(Phase.ACTIVE)
            self._push(group)

    def park(self, *, group: Group, now: float) -> None:
        """A failed cycle: backoff doubles with each."""
        group.move(Phase.PARKED)
        group.again = now + min(BACKOFF_S * 2.0 ** min(group.tries, 10), BACKOFF_MOST_S)
        group.tries += 1
        self._lie(group)
        heapq.heappush(self.wait, (group.again, group.job_id, group.key))

    def bind(self, *, group: Group) -> None:
        """All members are on their way."""
        group.move(Phase.BOUND)

    def rekey(self, *, group: Group, prio: Prio, service: str) -> None:
        """Its priority or service changed."""
        if prio == group.prio and service == group.service:
            return
        n = group.load
        self.weigh(group=group, n=0)
        group.prio, group.service = prio, service
        self.weigh(group=group, n=n)
        if group.phase is Phase.ACTIVE:
            self._push(group)
        elif group.phase is Phase.PARKED:
            self._lie(group)

    def due(self, *, now: float) -> list[Group]:
        """Parked groups whose backoff has ended."""
        out = []
        while self.wait and self.wait[0][0] <= now:
            _, job_id, key = heapq.heappop(self.wait)
            group = self.groups.get((job_id, key))
            if group is not None and group.phase is Phase.PARKED and group.again <= now:
                out.append(group)
        return out

    def _live(self, row: Entry, phase: Phase) -> Group | None:
        group = self.groups.get((row[1], row[2]))
        return group if group is not None and group.phase is phase and group.mark == row[3] else None

    def pop(self, *, service: str, walk: "Walk") -> Group | None:
        """The first waiting group of a service in order of priority: active ones, and, while the walk is on, parked
        ones beyond its place that it doesn't pass over. None: nothing left, or the walk has no looks left.
        """
        heap, rows = self.active.get(service, []), self.parked.get(service, [])
        while walk.looks > 0:
            while heap and self._live(heap[0], Phase.ACTIVE) is None:
                heapq.heappop(heap)
            at = self._find(rows, walk.after) if walk.on else len(rows)
            parked = None
            while at < len(rows) and parked is None:
                parked = self._live(rows[at], Phase.PARKED)
                if parked is None:
                    del rows[at]
            if parked is None:
                walk.on = False
            walk.looks -= 1
            if parked is not None and (not heap or rows[at][0] < heap[0][0]):
                walk.after = rows[at][0]
                if walk.skip(parked):
                    continue
                del rows[at]
                parked.move(Phase.TURN)
                return parked
            if not heap:
                return None
            group = self.groups[heapq.heappop(heap)[1:3]]
            group.move(Phase.TURN)
            return group
        return None

    @staticmethod
    def _find(rows: list[Entry], after: Prio | None) -> int:
        if after is None:
            return 0
        low, high = 0, len(rows)
        while low < high:
            middle = (low + high) // 2
            if rows[middle][0] <= after:
                low = middle + 1
            else:
                high = middle
        return low
