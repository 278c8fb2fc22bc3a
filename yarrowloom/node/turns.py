"""The order in which a process takes its inputs."""

import enum
import math
from collections import deque
from collections.abc import Callable
from typing import Any

from ..wire.frame import LANES, Kind, Lane

Input = Callable[[], None]
SHARE = 16            # a call of a caller gets a turn after this many others at the latest


class Rank(enum.IntEnum):
    """Classes of inputs. A backlog is in the later ones, so what it rests on stays in time."""

    URGENT = 0        # hearts, news, records, synced disks
    WORK = 1          # beats, leases, orders, ends
    LATE = 2          # calls of callers: new work waits until what is in hand is carried on


def rank_of(*, kind: Kind, m: Any) -> Rank:
    """The class of a message.

    >>> rank_of(kind=Kind.PING, m={}).name, rank_of(kind=Kind.ENDS, m={}).name
    ('URGENT', 'WORK')
    >>> rank_of(kind=Kind.CALL, m={"g": 1}).name, rank_of(kind=Kind.CALL, m={"g": 0}).name
    ('LATE', 'WORK')
    """
    if LANES[kind] is not Lane.WORK:
        return Rank.URGENT
    if kind is Kind.CALL and isinstance(m, dict) and m.get("g", 0) > 0:
        return Rank.LATE
    return Rank.WORK


class Turns:
    """Invariants: what is urgent goes before a tick that is due, so that a tick judges silence only after all that
    was heard; a due tick goes before work; inside a class, first come, first taken."""

    def __init__(self, *, tick: Input, gap: float) -> None:
        self.tick = tick
        self.gap = gap
        self.due = -math.inf
        self._urgent: deque[Input] = deque()
        self._work: deque[Input] = deque()
        self._late: deque[tuple[Input, float]] = deque()
        self._run = 0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._work) + len(self._late)

    def put(self, *, fn: Input, rank: Rank, until: float = math.inf) -> None:
        """Queue an input. After `until` nobody waits for it (late calls only)."""
        if rank is Rank.URGENT:
            self._urgent.append(fn)
        elif rank is Rank.WORK:
            self._work.append(fn)
        else:
            self._late.append((fn, until))

    def take(self, *, now: float) -> Input | None:
        """The next input, if there is any.

        >>> turns = Turns(tick=list, gap=0.05)
        >>> turns.put(fn=dict, rank=Rank.WORK)
        >>> turns.put(fn=set, rank=Rank.URGENT)
        >>> [turns.take(now=1.0), turns.take(now=1.0), turns.take(now=1.0), turns.take(now=1.0)]
        [<class 'set'>, <class 'list'>, <class 'dict'>, None]
        """
        if self._urgent:
            return self._urgent.popleft()
        if now >= self.due:
            self.due = now + self.gap
            return self.tick
        if self._work and (self._run < SHARE or not self._late):
            self._run += 1
            return self._work.popleft()
        self._run = 0
        while self._late:
            fn, until = self._late.popleft()
            if now < until:
                return fn
        return self._work.popleft() if self._work else None
