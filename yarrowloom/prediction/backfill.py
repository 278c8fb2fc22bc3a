"""Backfill: when could a group start, and may shorter work go ahead of it? (EASY, D. Lifka 1995, on minions.)"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .histogram import Hist
from .job_kind import Form

OVERDUE_MS = 500.0  # a run past its predicted end is taken to end this long from now


class Run(NamedTuple):
    """What holds room: its predicted end (upper quantile, milliseconds of the caller's clock) and its size. `filler`:
    it went ahead of a reservation; `saves`: it keeps its progress when stopped.
    """

    task: str
    ends: float
    form: Form
    filler: bool = False
    saves: bool = False


@dataclass(slots=True, kw_only=True)
class Minion:
    """A minion as a planner sees it. Invariant: `free` is what no member of `runs` holds: cpu, mem, gpu."""

    minion_id: str
    rack: str
    labels: frozenset[str]
    free: tuple[int, int, int]
    runs: list[Run] = field(default_factory=list)

    def at(self, *, when: float, now: float) -> tuple[int, int, int]:
        """What is free at a time, if nothing more starts."""
        cpu, mem, gpu = self.free
        for r in self.runs:
            if (r.ends if r.ends > now else now + OVERDUE_MS) <= when:
                cpu, mem, gpu = cpu + r.form.cpu, mem + r.form.mem, gpu + r.form.gpu
        return cpu, mem, gpu

    def start(self, *, run: Run) -> None:
        """A run takes its room."""
        self.free = self.free[0] - run.form.cpu, self.free[1] - run.form.mem, self.free[2] - run.form.gpu
        self.runs.append(run)


class Reservation(NamedTuple):
    """A group that waits: it can start at `at` with so many tasks on each minion of `places`."""

    at: float
    form: Form
    places: dict[str, int]


def copies(*, free: tuple[int, int, int], form: Form, most: int) -> int:
    """How many tasks fit.

    >>> copies(free=(4000, 100, 2), form=Form(1000, 50, 1, ""), most=9)
    2
    >>> copies(free=(4000, 100, 2), form=Form(0, 0, 0, ""), most=9)
    9
    """
    out = most
    for have, need in zip(free, form[:3], strict=True):
        if need:
            out = min(out, have // need)
    return max(0, out)


def _sum(*, minion_id: str, held: Sequence[Reservation]) -> tuple[int, int, int]:
    """What reservations take of a minion together."""
    rows = [(r.places.get(minion_id, 0), r.form) for r in held]
    return sum(n * f.cpu for n, f in rows), sum(n * f.mem for n, f in rows), sum(n * f.gpu for n, f in rows)


def _place(
    *,
    when: float,
    now: float,
    minions: Sequence[Minion],
    form: Form,
    n: int,
    tight: bool,
    apart: int,
    held: Sequence[Reservation],
) -> dict[str, int] | None:
    racks: dict[str, list[tuple[int, str]]] = {}
    for m in minions:
        if not form.req or form.req in m.labels:
            cpu, mem, gpu = m.at(when=when, now=now)
            off = _sum(minion_id=m.minion_id, held=held)
            got = copies(free=(cpu - off[0], mem - off[1], gpu - off[2]), form=form, most=min(n, apart) if apart else n)
            if got:
                racks.setdefault(m.rack if tight else "", []).append((-got, m.minion_id))
    fits = [rows for _, rows in sorted(racks.items()) if -sum(got for got, _ in rows) >= n]
    if not fits:
        return None
    out: dict[str, int] = {}
    for got, minion_id in sorted(max(fits, key=lambda rows: -sum(got for got, _ in rows))):
        if n > 0:
            out[minion_id] = min(-got, n)
            n -= out[minion_id]
    return out


def reserve(
    *,
    now: float,
    minions: Sequence[Minion],
    form: Form,
    n: int,
    tight: bool = False,
    apart: int = 0,
    held: Sequence[Reservation] = (),
) -> Reservation | None:
    """The earliest time at which `n` tasks fit at once (`tight`: in one rack; `apart`: so many a minion at most, 0 is
    any), if nothing more starts and room of earlier reservations `held` stays untouched; None if not even once all
    that runs has ended. Weighs log2(runs) times all minions.
    """
    times = sorted({now, *(r.ends if r.ends > now else now + OVERDUE_MS for m in minions for r in m.runs)})
    low, high = 0, len(times) - 1
    best: dict[str, int] | None = None
    while low <= high:
        middle = (low + high) // 2
        got = _place(when=times[middle], now=now, minions=minions, form=form, n=n, tight=tight, apart=apart, held=held)
        if got is None:
            low = middle + 1
        else:
            best, high = got, middle - 1
    return Reservation(at=times[low], form=form, places=best) if best is not None else None


def may_fill(
    *, now: float, minion: Minion, form: Form, upper_ms: float, held: Sequence[Reservation], slack_ms: float = 0.0
) -> bool:
    """May one task of `form` that runs for `upper_ms` at most start on `minion` now? It must fit, and for each
    reservation there it must end by its time less the slack, or leave the room of all reservations there untouched.

    >>> one = Form(1000, 0, 0, "")
    >>> m = Minion(minion_id="m", rack="r", labels=frozenset(), free=(1000, 0, 0), runs=[Run("t", 500.0, one)])
    >>> r = reserve(now=0.0, minions=[m], form=Form(2000, 0, 0, ""), n=1)
    >>> [may_fill(now=0.0, minion=m, form=one, upper_ms=ms, held=[r]) for ms in (500, 501)]
    [True, False]
    """
    if (form.req and form.req not in minion.labels) or not copies(free=minion.free, form=form, most=1):
        return False
    mine = [r for r in held if minion.minion_id in r.places]
    if not mine:
        return True
    used = _sum(minion_id=minion.minion_id, held=mine)
    used = used[0] + form.cpu, used[1] + form.mem, used[2] + form.gpu
    return all(
        now + upper_ms <= r.at - slack_ms
        or all(have >= need for have, need in zip(minion.at(when=r.at, now=now), used, strict=True))
        for r in mine
    )


def in_the_way(*, now: float, minion: Minion, held: Reservation) -> list[Run]:
    """Once a reservation's time has come: the fillers to stop on a minion so that it can start, those that keep
    their progress first, then the ones that would end last, none in vain; nothing if stopping them does not help.
    """
    n = held.places.get(minion.minion_id, 0)

    def enough(runs: Sequence[Run]) -> bool:
        free = (
            minion.free[0] + sum(r.form.cpu for r in runs),
            minion.free[1] + sum(r.form.mem for r in runs),
            minion.free[2] + sum(r.form.gpu for r in runs),
        )
        return copies(free=free, form=held.form, most=n) == n

    if now < held.at or enough([]):
        return []
    rows = sorted((r for r in minion.runs if r.filler), key=lambda r: (not r.saves, -r.ends, r.task))
    k = next((k for k in range(1, len(rows) + 1) if enough(rows[:k])), 0)
    out = rows[:k]
    for r in rows[:k][::-1]:
        if enough([x for x in out if x is not r]):
            out = [x for x in out if x is not r]
    return out


class Filler:
    """Figures of backfill for an operator. Invariant: counts only rise."""

    def __init__(self) -> None:
        self.filled = self.kept = self.missed = self.stopped = 0
        self.within = self.beyond = 0
        self.late = Hist()
        self.error = Hist()

    def ended(self, *, upper_ms: float, p50_ms: float, ms: float) -> None:
        """A filler ran for `ms` to its end, where at most `upper_ms` and most likely `p50_ms` was predicted."""
        self.within += ms <= upper_ms
        self.beyond += ms > upper_ms
        self.error.add(ms=abs(ms - p50_ms))

    def started(self, *, planned: float, at: float, slack_ms: float = 100.0) -> None:
        """A reserved group started at `at` where `planned` had been told first (same clock, milliseconds)."""
        good = at <= planned + slack_ms
        self.kept += good
        self.missed += not good
        self.late.add(ms=math.floor(max(0.0, at - planned)))

    def report(self) -> dict[str, Any]:
        """Plain figures; times in milliseconds."""
        return {
            "filled": self.filled,
            "stopped": self.stopped,
            "reserved-kept": self.kept,
            "reserved-missed": self.missed,
            "late-ms": self.late.report(),
            "ran-within": self.within,
            "ran-beyond": self.beyond,
            "error-ms": self.error.report(),
        }
