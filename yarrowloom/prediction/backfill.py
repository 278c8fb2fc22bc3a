"""Backfill: when a group can start, and which shorter work may go ahead of it (EASY, D. Lifka 1995, on minions)."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..common.resources import NO_RESOURCES, Resources
from .histogram import DurationHistogram
from .job_kind import TaskShape

OVERDUE_MS = 500.0  # a run past its predicted end is taken to end this long from now
START_SLACK_MS = 100.0  # a reserved group that starts this late has still kept its time


class PlannedRun(NamedTuple):
    """What holds capacity of a minion.

    Attributes:
        ends_ms: Its predicted end (an upper quantile), by the caller's clock.
        is_filler: Whether it went ahead of a reservation.
        takes_checkpoints: Whether it keeps its progress when it is stopped.
    """

    task: str
    ends_ms: float
    shape: TaskShape
    is_filler: bool = False
    takes_checkpoints: bool = False

    def expected_end_ms(self, *, now_ms: float) -> float:
        """When it ends; a run that is overdue ends soon."""
        return self.ends_ms if self.ends_ms > now_ms else now_ms + OVERDUE_MS


@dataclass(slots=True, kw_only=True)
class PlannedMinion:
    """A minion as a planner sees it.

    Attributes:
        free: Invariant: what no member of `runs` holds.
    """

    minion_id: str
    rack: str
    labels: frozenset[str]
    free: Resources
    runs: list[PlannedRun] = field(default_factory=list)

    def free_at(self, *, when_ms: float, now_ms: float) -> Resources:
        """What is free at a time, if nothing more starts."""
        ended = [run for run in self.runs if run.expected_end_ms(now_ms=now_ms) <= when_ms]
        return self.free_without(ended)

    def free_without(self, runs: Iterable[PlannedRun]) -> Resources:
        """What is free once these runs have ended."""
        free = self.free
        for run in runs:
            free = free.plus(run.shape.resources)
        return free

    def start(self, *, run: PlannedRun) -> None:
        """A run takes its capacity."""
        self.free = self.free.plus(run.shape.resources, -1)
        self.runs.append(run)


class Reservation(NamedTuple):
    """A group that waits.

    Attributes:
        at_ms: When it can start.
        tasks_by_minion: How many of its tasks then start on each minion.
    """

    at_ms: float
    shape: TaskShape
    tasks_by_minion: dict[str, int]


class Request(NamedTuple):
    """What a group asks for.

    Attributes:
        same_rack: Whether all tasks are to run in one rack.
        max_per_minion: Most tasks on one minion; 0: any number.
    """

    shape: TaskShape
    task_count: int
    same_rack: bool = False
    max_per_minion: int = 0


def copies(*, free: Resources, shape: TaskShape, most: int) -> int:
    """How many tasks fit, at most `most`.

    >>> copies(free=Resources(4000, 100, 2), shape=TaskShape(1000, 50, 1, ""), most=9)
    2
    >>> copies(free=Resources(4000, 100, 2), shape=TaskShape(0, 0, 0, ""), most=9)
    9
    """
    fitting = [have // need for have, need in zip(free, shape.resources, strict=True) if need]
    return max(0, min([most, *fitting]))


def _reserved(*, minion_id: str, held: Iterable[Reservation]) -> Resources:
    """What reservations take of a minion together."""
    total = NO_RESOURCES
    for reservation in held:
        total = total.plus(reservation.shape.resources, reservation.tasks_by_minion.get(minion_id, 0))
    return total


def _spread(
    *, when_ms: float, now_ms: float, minions: Sequence[PlannedMinion], request: Request, held: Sequence[Reservation]
) -> dict[str, int] | None:
    """Tasks by minion if all fit at a time, on as few minions as can be; None if they don't."""
    most = min(request.task_count, request.max_per_minion) if request.max_per_minion else request.task_count
    racks: dict[str, list[tuple[int, str]]] = {}
    for minion in minions:
        if request.shape.required_label and request.shape.required_label not in minion.labels:
            continue
        free = minion.free_at(when_ms=when_ms, now_ms=now_ms)
        free = free.plus(_reserved(minion_id=minion.minion_id, held=held), -1)
        fitting = copies(free=free, shape=request.shape, most=most)
        if fitting:
            racks.setdefault(minion.rack if request.same_rack else "", []).append((-fitting, minion.minion_id))

    def capacity(rack: Iterable[tuple[int, str]]) -> int:
        return -sum(negative_fitting for negative_fitting, _ in rack)

    feasible = [rack for _, rack in sorted(racks.items()) if capacity(rack) >= request.task_count]
    if not feasible:
        return None
    tasks_by_minion: dict[str, int] = {}
    left = request.task_count
    for negative_fitting, minion_id in sorted(max(feasible, key=capacity)):
        if left > 0:
            tasks_by_minion[minion_id] = min(-negative_fitting, left)
            left -= tasks_by_minion[minion_id]
    return tasks_by_minion


def reserve(
    *, now_ms: float, minions: Sequence[PlannedMinion], request: Request, held: Sequence[Reservation] = ()
) -> Reservation | None:
    """The earliest time at which a group fits at once.

    It is assumed that nothing more starts, and capacity of earlier reservations (`held`) stays untouched. None if it
    doesn't fit even once all that runs has ended. The cost is log2(runs) times all minions.
    """
    ends = {run.expected_end_ms(now_ms=now_ms) for minion in minions for run in minion.runs}
    times = sorted({now_ms, *ends})
    low, high = 0, len(times) - 1
    best: dict[str, int] | None = None
    while low <= high:
        middle = (low + high) // 2
        spread = _spread(when_ms=times[middle], now_ms=now_ms, minions=minions, request=request, held=held)
        if spread is None:
            low = middle + 1
        else:
            best, high = spread, middle - 1
    return Reservation(times[low], request.shape, best) if best is not None else None


def may_fill(
    *,
    now_ms: float,
    minion: PlannedMinion,
    shape: TaskShape,
    upper_ms: float,
    held: Sequence[Reservation],
    slack_ms: float = 0.0,
) -> bool:
    """Whether one task that runs for `upper_ms` at most may start on a minion now.

    It must fit, and for each reservation there it must end by its time less the slack, or leave the capacity of all
    reservations there untouched.

    >>> one = TaskShape(1000, 0, 0, "")
    >>> run = PlannedRun("t", 500.0, one)
    >>> minion = PlannedMinion(minion_id="m", rack="r", labels=frozenset(), free=Resources(1000, 0, 0), runs=[run])
    >>> request = Request(shape=TaskShape(2000, 0, 0, ""), task_count=1)
    >>> held = [reserve(now_ms=0.0, minions=[minion], request=request)]
    >>> [may_fill(now_ms=0.0, minion=minion, shape=one, upper_ms=ms, held=held) for ms in (500, 501)]
    [True, False]
    """
    if shape.required_label and shape.required_label not in minion.labels:
        return False
    if not copies(free=minion.free, shape=shape, most=1):
        return False
    held_here = [reservation for reservation in held if minion.minion_id in reservation.tasks_by_minion]
    if not held_here:
        return True
    needed = _reserved(minion_id=minion.minion_id, held=held_here).plus(shape.resources)
    return all(
        now_ms + upper_ms <= reservation.at_ms - slack_ms
        or minion.free_at(when_ms=reservation.at_ms, now_ms=now_ms).holds(needed)
        for reservation in held_here
    )


def fillers_to_stop(*, now_ms: float, minion: PlannedMinion, held: Reservation) -> list[PlannedRun]:
    """Once a reservation's time has come: the fillers to stop on a minion so that it can start.

    Those that keep their progress go first, then those that would end last; none is stopped in vain, and none at all
    if that doesn't help.
    """
    wanted = held.tasks_by_minion.get(minion.minion_id, 0)

    def is_enough(runs: Sequence[PlannedRun]) -> bool:
        return copies(free=minion.free_without(runs), shape=held.shape, most=wanted) == wanted

    if now_ms < held.at_ms or is_enough([]):
        return []
    fillers = sorted(
        (run for run in minion.runs if run.is_filler),
        key=lambda run: (not run.takes_checkpoints, -run.ends_ms, run.task),
    )
    count = next((count for count in range(1, len(fillers) + 1) if is_enough(fillers[:count])), 0)
    chosen = fillers[:count]
    for run in reversed(fillers[:count]):
        others = [other for other in chosen if other is not run]
        if is_enough(others):
            chosen = others
    return chosen


class BackfillFigures:
    """Figures of backfill for an operator; counts only rise.

    Attributes:
        started: Fillers that started.
        stopped: Fillers that were stopped.
        kept: Reserved groups that started by their time.
        missed: Reserved groups that started later.
        within: Fillers that ended within the time predicted at most.
        beyond: Fillers that ran longer.
        lateness: How much later than planned reserved groups started.
        error: How far run times of fillers were off the most likely ones.
    """

    def __init__(self) -> None:
        self.started = self.stopped = self.kept = self.missed = 0
        self.within = self.beyond = 0
        self.lateness = DurationHistogram()
        self.error = DurationHistogram()

    def filler_ended(self, *, upper_ms: float, p50_ms: float, ran_ms: float) -> None:
        """A filler ran to its end, where at most `upper_ms` and most likely `p50_ms` was predicted."""
        self.within += ran_ms <= upper_ms
        self.beyond += ran_ms > upper_ms
        self.error.add(ms=abs(ran_ms - p50_ms))

    def group_started(self, *, planned_ms: float, at_ms: float, slack_ms: float = START_SLACK_MS) -> None:
        """A reserved group started, where `planned_ms` had been told first; both by the same clock."""
        is_kept = at_ms <= planned_ms + slack_ms
        self.kept += is_kept
        self.missed += not is_kept
        self.lateness.add(ms=math.floor(max(0.0, at_ms - planned_ms)))

    def report(self) -> dict[str, Any]:
        """Plain figures; durations in milliseconds."""
        return {
            "filled": self.started,
            "stopped": self.stopped,
            "reserved-kept": self.kept,
            "reserved-missed": self.missed,
            "late-ms": self.lateness.report(),
            "ran-within": self.within,
            "ran-beyond": self.beyond,
            "error-ms": self.error.report(),
        }
