"""The order in which a process handles its inputs: messages, HTTP requests and periodic work."""

import enum
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..transport.message_kinds import LANES, Kind, Lane
from .busy_time import BusyTime

Input = Callable[[], None]
ParsedBody = Any  # the body of a message as parsed JSON; its handler checks the form


class InputClass(enum.IntEnum):
    """Classes of inputs, the most urgent first.

    What an input has to wait for is never in a later class. Messages of one peer in different classes belong to
    different conversations: with this node as an agent, as a scheduler, or as a caller.
    """

    URGENT = 0  # node heartbeats, config updates, replication, synced disk writes
    AGENT = 1  # minion heartbeats, what schedulers want of the agent, calls between core nodes
    SCHEDULING = 2  # what agents report to the scheduler
    CLIENT = 3  # clients' calls about jobs: new work

    @property
    def label(self) -> str:
        """The name in log events."""
        return self.name.lower()


# Shares of the time while all classes have a backlog. Minion heartbeats are cheap and must not wait for scheduling.
# Clients' calls are cheap too, and a client gives up after seconds: while they shared the number of inputs in place of
# time, long scheduling cycles starved them, and most clients got no response at all. What is too much is refused when
# it is handled (`scheduling/admission.py`).
TIME_SHARES = {InputClass.AGENT: 2.0, InputClass.SCHEDULING: 1.0, InputClass.CLIENT: 0.5}
_SCHEDULING_KINDS = frozenset(
    {
        Kind.CLAIM_MINIONS,
        Kind.TASK_ENDS,
        Kind.TASKS_BEGUN,
        Kind.LEASE_GRANT,
        Kind.MINION_LOST,
        Kind.ORDERS_REJECTED,
        Kind.ATTACHMENT_VERDICT,
    }
)
_REPEATED_KINDS = frozenset({Kind.TASK_ENDS, Kind.CLAIM_MINIONS, Kind.MINION_LOST})  # until acknowledged
_MALFORMED_ERRORS = (KeyError, TypeError, IndexError)


def classify_message(*, kind: Kind, message: ParsedBody) -> InputClass:
    """The class of a message from another node; `message` is its body as parsed JSON.

    >>> [classify_message(kind=kind, message={}).name for kind in (Kind.ACCEPT, Kind.TASK_ENDS)]
    ['URGENT', 'SCHEDULING']
    >>> [classify_message(kind=Kind.CALL, message={"g": group_id}).name for group_id in (1, 0)]
    ['CLIENT', 'AGENT']
    >>> [classify_message(kind=Kind.CAPACITY_REPORT, message=body).name for body in ({"x": []}, {"v": {}})]
    ['SCHEDULING', 'AGENT']
    """
    if LANES[kind] is not Lane.WORK:
        return InputClass.URGENT
    if kind in _SCHEDULING_KINDS or (kind is Kind.CAPACITY_REPORT and isinstance(message, dict) and "x" in message):
        return InputClass.SCHEDULING  # changes of capacity keep their order with grants
    if kind is Kind.CALL and isinstance(message, dict):
        group_id = message.get("g")
        return InputClass.CLIENT if isinstance(group_id, int) and group_id > 0 else InputClass.AGENT
    return InputClass.AGENT


class DuplicateFilter:
    """Drops reports that repeat what already waits to be handled.

    An agent repeats ends, claims and losses of runs until they are acknowledged, and a backlog must not grow by that.
    A newer capacity summary replaces the one of the same node that waits. Invariant: whatever is dropped has an
    earlier message in the queue that says the same (or, of a capacity summary, takes on what the later one says).
    """

    def __init__(self) -> None:
        self._waiting: set[tuple[Any, ...]] = set()
        self._summaries: dict[str, ParsedBody] = {}  # by node: the newest capacity summary of the one that waits

    def admit(self, *, node_id: str, kind: Kind, message: ParsedBody) -> ParsedBody:
        """The message reduced to its new rows, to be queued; None: nothing in it is new.

        >>> duplicates = DuplicateFilter()
        >>> one = {"g": 1, "m": "i", "f": 3, "x": [[1, "t"]]}
        >>> duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message=one) is one
        True
        >>> duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message=one) is None
        True
        >>> duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message={**one, "x": [[1, "t"], [2, "u"]]})["x"]
        [[2, 'u']]
        >>> duplicates.release(node_id="a", kind=Kind.TASK_ENDS, message=one) is one
        True
        >>> duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message=one) is one
        True
        """
        if kind is Kind.CAPACITY_REPORT and isinstance(message, dict) and "v" in message:  # a summary
            is_waiting = node_id in self._summaries
            self._summaries[node_id] = message
            return None if is_waiting else message
        if kind not in _REPEATED_KINDS:
            return message
        try:
            keys = self._row_keys(node_id, kind, message)
            is_new = [key not in self._waiting for key in keys]
        except _MALFORMED_ERRORS:
            return message  # its handler reports what is wrong with it
        self._waiting.update(keys)
        if all(is_new):
            return message
        if kind is Kind.MINION_LOST or not any(is_new):
            return None
        return {**message, "x": [row for row, new in zip(message["x"], is_new, strict=True) if new]}

    def release(self, *, node_id: str, kind: Kind, message: ParsedBody) -> ParsedBody:
        """Take note that a message leaves the queue; return what it says by now."""
        if kind is Kind.CAPACITY_REPORT and isinstance(message, dict) and "v" in message:  # a summary
            return self._summaries.pop(node_id, message)
        if kind not in _REPEATED_KINDS:
            return message
        try:
            self._waiting.difference_update(self._row_keys(node_id, kind, message))
        except _MALFORMED_ERRORS:
            return message  # its handler reports what is wrong with it
        return message

    @staticmethod
    def _row_keys(node_id: str, kind: Kind, message: ParsedBody) -> list[tuple[Any, ...]]:
        """What identifies each row of a report of one of the repeated kinds."""
        if kind is Kind.TASK_ENDS:
            return [(node_id, kind, message["g"], message["m"], message["f"], row[0]) for row in message["x"]]
        if kind is Kind.CLAIM_MINIONS:
            return [(node_id, kind, message["g"], row[0], row[1]) for row in message["x"]]
        return [(node_id, kind, message["g"], message["m"], message["f"])]


class PeriodicInput:
    """An input that runs by time.

    Attributes:
        run: The input.
        interval_s: The least time between the end of one run and the start of the next.
        due_at: Monotonic time of the next run; infinite while it waits in the queue. Invariant: it is as long after
            the last run as that took, if that is longer than `interval_s`, so that long runs don't follow each other
            at once.
    """

    def __init__(self, *, run: Input, interval_s: float) -> None:
        self.run = run
        self.interval_s = interval_s
        self.due_at = -math.inf

    def record_end(self, *, now: float, took_s: float) -> None:
        """Set when it runs next, after a run that took `took_s`."""
        self.due_at = now + max(self.interval_s, took_s)


@dataclass(slots=True, kw_only=True)
class _QueuedInput:
    """An input that waits; from `expires_at` on, `on_expired` runs in place of `run`."""

    run: Input
    periodic: PeriodicInput | None = None
    expires_at: float = math.inf
    on_expired: Input | None = None


class InputScheduler:
    """Queues the inputs of a process and picks the next one.

    Invariants: urgent inputs go before a tick that is due, so that a tick judges silence only after all that was
    received; a due tick goes before the other classes, which share the time by `TIME_SHARES`; inside a class, first
    come, first served. Periodic inputs wait in the queue of their class: they too judge only after what was received
    before them.
    """

    def __init__(
        self, *, tick: Input, interval_s: float, periodic_inputs: dict[InputClass, Input] | None = None
    ) -> None:
        self._tick = PeriodicInput(run=tick, interval_s=interval_s)
        self._periodic_inputs = {
            input_class: PeriodicInput(run=run, interval_s=interval_s)
            for input_class, run in (periodic_inputs or {}).items()
        }
        self._urgent: deque[Input] = deque()
        self._queues: dict[InputClass, deque[_QueuedInput]] = {input_class: deque() for input_class in TIME_SHARES}
        # Seconds used, divided by the class's share. A class that was empty starts from the floor: it has no claim to
        # the time that it did not ask for.
        self._weighted_s = dict.fromkeys(TIME_SHARES, 0.0)
        self._floor_s = 0.0
        # The input that was taken last: its class, None once it has ended; what it is if periodic; when it began.
        self._running_class: InputClass | None = None
        self._running_periodic: PeriodicInput | None = None
        self._running_since = 0.0
        self.busy_time = BusyTime(class_names=[input_class.label for input_class in InputClass])

    def __len__(self) -> int:
        return len(self._urgent) + sum(map(len, self._queues.values()))

    def queue_lengths(self) -> dict[str, int]:
        """How many inputs wait, by class."""
        lengths = {input_class.label: len(queue) for input_class, queue in self._queues.items()}
        return {InputClass.URGENT.label: len(self._urgent), **lengths}

    @property
    def due_at(self) -> float:
        """Monotonic time at which the next periodic input is due."""
        return min(self._tick.due_at, *(periodic.due_at for periodic in self._periodic_inputs.values()), math.inf)

    def put(
        self, *, run: Input, input_class: InputClass, expires_at: float = math.inf, on_expired: Input | None = None
    ) -> None:
        """Queue an input. From `expires_at` on, `on_expired` runs in its place; urgent inputs don't expire."""
        if input_class is InputClass.URGENT:
            self._urgent.append(run)
        else:
            self._enqueue(input_class, _QueuedInput(run=run, expires_at=expires_at, on_expired=on_expired))

    def _enqueue(self, input_class: InputClass, queued: _QueuedInput) -> None:
        if not self._queues[input_class]:
            self._weighted_s[input_class] = max(self._weighted_s[input_class], self._floor_s)
        self._queues[input_class].append(queued)

    def take(self, *, now: float) -> Input | None:
        """The next input, None if there is none. The input taken before has ended by `now`.

        >>> scheduler = InputScheduler(tick=list, interval_s=0.05)
        >>> scheduler.put(run=dict, input_class=InputClass.SCHEDULING)
        >>> scheduler.put(run=set, input_class=InputClass.URGENT)
        >>> [scheduler.take(now=now) for now in (1.0, 1.0, 1.5, 1.5)]
        [<class 'set'>, <class 'list'>, <class 'dict'>, None]
        """
        self.record_end(now=now)
        if self._urgent:
            self._begin(InputClass.URGENT, None, now)
            return self._urgent.popleft()
        if now >= self._tick.due_at:
            self._begin(InputClass.URGENT, self._tick, now)
            return self._tick.run
        self._enqueue_due(now)
        return self._take_queued(now)

    def _enqueue_due(self, now: float) -> None:
        """Put the periodic inputs that are due into the queues of their classes."""
        for input_class, periodic in self._periodic_inputs.items():
            if now >= periodic.due_at:
                periodic.due_at = math.inf
                self._enqueue(input_class, _QueuedInput(run=periodic.run, periodic=periodic))

    def _take_queued(self, now: float) -> Input | None:
        """The first input of the class that has had the least of its share of the time."""
        while waiting := [input_class for input_class, queue in self._queues.items() if queue]:
            input_class = min(waiting, key=self._weighted_s.__getitem__)
            self._floor_s = self._weighted_s[input_class]
            queued = self._queues[input_class].popleft()
            has_expired = now >= queued.expires_at
            if has_expired:
                self.busy_time.expired += 1
            run = queued.on_expired if has_expired else queued.run
            if run is not None:
                self._begin(input_class, queued.periodic, now)
                return run
        return None

    def _begin(self, input_class: InputClass, periodic: PeriodicInput | None, now: float) -> None:
        self._running_class, self._running_periodic, self._running_since = input_class, periodic, now

    def record_end(self, *, now: float) -> None:
        """Charge the time of the input that was taken last, which ended at `now`."""
        input_class = self._running_class
        if input_class is None:
            return
        self._running_class = None
        took_s = now - self._running_since
        self.busy_time.record(class_index=input_class, seconds=took_s)
        if input_class is not InputClass.URGENT:
            self._weighted_s[input_class] += took_s / TIME_SHARES[input_class]
        if self._running_periodic is not None:
            self._running_periodic.record_end(now=now, took_s=took_s)
