"""The order in which a process takes its inputs."""

import enum
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..transport.envelope import LANES, Kind, Lane
from .busy_time import Load

Input = Callable[[], None]


class Rank(enum.IntEnum):
    """Classes of inputs. What one of them has to wait for is never in a later one. Messages of one peer in different
    classes belong to different conversations: as an agent with the placing node here, as a placing node with the
    agent here, as a caller.
    """

    URGENT = 0  # hearts, news, records, synced disks
    AGENT = 1  # beats, and what placing nodes want of the agent; calls between cores
    PLACE = 2  # what agents tell the placing node
    LATE = 3  # calls of callers: new work


# Shares of the time while all have a backlog. Beats are cheap and must not wait for placing. Calls are cheap too, and
# whoever calls gives up after seconds: a share of turns in place of time starved them while placing took long, so that
# most callers got no answer at all. What is too much is refused when it is looked at (`scheduling/admission.py`).
SHARES = {Rank.AGENT: 2.0, Rank.PLACE: 1.0, Rank.LATE: 0.5}
_PLACE = frozenset(
    {
        Kind.CLAIM_MINIONS,
        Kind.TASK_ENDS,
        Kind.LEASE_GRANT,
        Kind.MINION_LOST,
        Kind.ORDERS_REJECTED,
        Kind.ATTACHMENT_VERDICT,
    }
)


def rank_of(*, kind: Kind, m: Any) -> Rank:
    """The class of a message.

    >>> rank_of(kind=Kind.LEADER_LEASE_REQUEST, m={}).name, rank_of(kind=Kind.TASK_ENDS, m={}).name
    ('URGENT', 'PLACE')
    >>> rank_of(kind=Kind.CALL, m={"g": 1}).name, rank_of(kind=Kind.CALL, m={"g": 0}).name
    ('LATE', 'AGENT')
    >>> rank_of(kind=Kind.CAPACITY_REPORT, m={"x": []}).name, rank_of(kind=Kind.CAPACITY_REPORT, m={"v": {}}).name
    ('PLACE', 'AGENT')
    """
    if LANES[kind] is not Lane.WORK:
        return Rank.URGENT
    if kind in _PLACE or (kind is Kind.CAPACITY_REPORT and isinstance(m, dict) and "x" in m):
        return Rank.PLACE  # changes of room keep their order with grants
    if kind is Kind.CALL and isinstance(m, dict):
        group_id = m.get("g")
        return Rank.LATE if isinstance(group_id, int) and group_id > 0 else Rank.AGENT
    return Rank.AGENT


class Repeats:
    """Rows of reports that wait to be handled: an agent tells ends, claims and losses again until they are answered,
    and a backlog must not grow by that. Summaries of room replace the one that waits. Invariant: what is passed over
    has an earlier message in the queue that says the same (or, of room, takes on what the later one says).
    """

    def __init__(self) -> None:
        self._rows: set[tuple[Any, ...]] = set()
        self._room: dict[str, Any] = {}

    def screen(self, *, node_id: str, kind: Kind, m: Any) -> Any:
        """The message with what is new of it; None: nothing.

        >>> repeats = Repeats()
        >>> one = {"g": 1, "m": "i", "f": 3, "x": [[1, "t"]]}
        >>> repeats.screen(node_id="a", kind=Kind.TASK_ENDS, m=one) is one
        True
        >>> repeats.screen(node_id="a", kind=Kind.TASK_ENDS, m=one) is None
        True
        >>> repeats.screen(node_id="a", kind=Kind.TASK_ENDS, m={**one, "x": [[1, "t"], [2, "u"]]})["x"]
        [[2, 'u']]
        >>> repeats.taken(node_id="a", kind=Kind.TASK_ENDS, m=one) is one
        True
        >>> repeats.screen(node_id="a", kind=Kind.TASK_ENDS, m=one) is one
        True
        """
        if kind is Kind.CAPACITY_REPORT and isinstance(m, dict) and "v" in m:
            known = node_id in self._room
            self._room[node_id] = m
            return None if known else m
        try:
            keys = self._keys(node_id=node_id, kind=kind, m=m)
            fresh = [k not in self._rows for k in keys]
        except (KeyError, TypeError, IndexError):
            return m  # malformed: whoever handles it says so
        if not keys:
            return m
        self._rows.update(keys)
        if all(fresh):
            return m
        if kind is Kind.MINION_LOST or not any(fresh):
            return None
        return {**m, "x": [row for row, new in zip(m["x"], fresh, strict=True) if new]}

    def taken(self, *, node_id: str, kind: Kind, m: Any) -> Any:
        """A message leaves the queue; what it says by now."""
        if kind is Kind.CAPACITY_REPORT and isinstance(m, dict) and "v" in m:
            return self._room.pop(node_id, m)
        try:
            self._rows.difference_update(self._keys(node_id=node_id, kind=kind, m=m))
        except (KeyError, TypeError, IndexError):
            pass
        return m

    @staticmethod
    def _keys(*, node_id: str, kind: Kind, m: Any) -> list[tuple[Any, ...]]:
        if kind is Kind.TASK_ENDS:
            return [(node_id, kind, m["g"], m["m"], m["f"], row[0]) for row in m["x"]]
        if kind is Kind.CLAIM_MINIONS:
            return [(node_id, kind, m["g"], row[0], row[1]) for row in m["x"]]
        if kind is Kind.MINION_LOST:
            return [(node_id, kind, m["g"], m["m"], m["f"])]
        return []


class Clock:
    """An input that comes by time. Invariants: it is due `gap` after its last run ended, and as long after it as the
    run took, so that long runs do not follow each other at once; not while it waits.
    """

    def __init__(self, *, fn: Input, gap: float) -> None:
        self.fn = fn
        self.gap = gap
        self.due = -math.inf

    def ended(self, *, now: float, took: float) -> None:
        """Its run is over."""
        self.due = now + max(self.gap, took)


@dataclass(slots=True, kw_only=True)
class _Row:
    """An input that waits. `expired` takes its place from `until` on; `clock`: it came by time."""

    fn: Input
    clock: Clock | None = None
    until: float = math.inf
    expired: Input | None = None


class Turns:
    """Invariants: what is urgent goes before a tick that is due, so that a tick judges silence only after all that
    was heard; a due tick goes before the other classes, which share the time by `SHARES`; inside a class, first come,
    first taken. Chores by time queue in their class: they too judge only after what was heard before.
    """

    def __init__(self, *, tick: Input, gap: float, chores: dict[Rank, Input] | None = None) -> None:
        self._tick = Clock(fn=tick, gap=gap)
        self._chores = {rank: Clock(fn=fn, gap=gap) for rank, fn in (chores or {}).items()}
        self._urgent: deque[Input] = deque()
        self._rows: dict[Rank, deque[_Row]] = {rank: deque() for rank in SHARES}
        self._used = dict.fromkeys(SHARES, 0.0)  # time by share; of a class that was empty, not below `_floor`
        self._floor = 0.0
        self._last: tuple[Rank, Clock | None, float] | None = None  # what runs, and since when
        self.load = Load(classes=[rank.name.lower() for rank in Rank])

    def __len__(self) -> int:
        return len(self._urgent) + sum(map(len, self._rows.values()))

    def waiting(self) -> dict[str, int]:
        """How many inputs wait, by class."""
        out = {rank.name.lower(): len(rows) for rank, rows in self._rows.items()}
        return {Rank.URGENT.name.lower(): len(self._urgent), **out}

    @property
    def due(self) -> float:
        """When the next input by time comes."""
        return min(self._tick.due, *(c.due for c in self._chores.values())) if self._chores else self._tick.due

    def put(self, *, fn: Input, rank: Rank, until: float = math.inf, expired: Input | None = None) -> None:
        """Queue an input. From `until` on it is of no use (late ones only): `expired` is run in its place."""
        if rank is Rank.URGENT:
            self._urgent.append(fn)
        else:
            self._queue(rank, _Row(fn=fn, until=until, expired=expired))

    def _queue(self, rank: Rank, row: _Row) -> None:
        if not self._rows[rank]:
            self._used[rank] = max(self._used[rank], self._floor)
        self._rows[rank].append(row)

    def take(self, *, now: float) -> Input | None:
        """The next input, if there is any; the one before has ended by `now`.

        >>> turns = Turns(tick=list, gap=0.05)
        >>> turns.put(fn=dict, rank=Rank.PLACE)
        >>> turns.put(fn=set, rank=Rank.URGENT)
        >>> [turns.take(now=1.0), turns.take(now=1.0), turns.take(now=1.5), turns.take(now=1.5)]
        [<class 'set'>, <class 'list'>, <class 'dict'>, None]
        """
        self.ended(now=now)
        if self._urgent:
            self._last = (Rank.URGENT, None, now)
            return self._urgent.popleft()
        if now >= self._tick.due:
            self._last = (Rank.URGENT, self._tick, now)
            return self._tick.fn
        for rank, clock in self._chores.items():
            if now >= clock.due:
                clock.due = math.inf
                self._queue(rank, _Row(fn=clock.fn, clock=clock))
        while ranks := [r for r, rows in self._rows.items() if rows]:
            rank = min(ranks, key=self._used.__getitem__)
            self._floor = self._used[rank]
            row = self._rows[rank].popleft()
            if now >= row.until:
                self.load.expired += 1
            chosen = row.fn if now < row.until else row.expired
            if chosen is not None:
                self._last = (rank, row.clock, now)
                return chosen
        return None

    def ended(self, *, now: float) -> None:
        """What was taken last has ended."""
        if self._last is None:
            return
        rank, clock, began = self._last
        self._last = None
        self.load.ran(class_name=rank.name.lower(), seconds=now - began)
        if rank in self._used:
            self._used[rank] += (now - began) / SHARES[rank]
        if clock is not None:
            clock.ended(now=now, took=now - began)
