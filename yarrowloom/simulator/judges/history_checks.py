"""Checks on histories of jobs, of evacuations, and of whose answer came to whom. Each takes O(n log n) for n calls."""

import enum
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from .history import AnyOperation, Breach, Evacuate, History, JobCall, JobVerb, Operation, Outcome

GONE = 410


class Stage(enum.IntEnum):
    """How far a job has come; it never goes back, and one that has ended ends no other way."""

    PENDING = 0
    ACTIVE = 1
    ENDED = 2


STAGES = {
    "pending": Stage.PENDING,
    "active": Stage.ACTIVE,
    "complete": Stage.ENDED,
    "failed": Stage.ENDED,
    "cancelled": Stage.ENDED,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class JobBounds:
    """Time limits of the rules on jobs.

    Attributes:
        visible_s: Seconds after its acknowledgement within which every node must show a job or its cancellation.
        status_s: Seconds for which the state of an ended job is shown at least.
    """

    visible_s: float = 3.0
    status_s: float = 120.0


def check_answers(*, history: History) -> Breach | None:
    """Each answer came to its own caller: what it says of its request is what the caller sent."""
    calls: list[AnyOperation] = [*history.orders, *history.reads, *history.evacuations, *history.jobs]
    for operation in sorted(calls, key=lambda op: (op.returned_s, op.number)):
        if operation.echo is not None and operation.echo != operation.nonce:
            return Breach(
                rule="answer-to-another",
                operations=(operation,),
                text=f"the answer belongs to {operation.echo}, the call was {operation.nonce}",
            )
    return None


def check_jobs(*, history: History, bounds: JobBounds | None = None) -> Breach | None:
    """The first contradiction among the calls of one job, or None."""
    jobs: dict[str, list[Operation[JobCall]]] = defaultdict(list)
    for operation in sorted(history.jobs, key=lambda op: (op.returned_s, op.number)):
        jobs[operation.argument.job].append(operation)
    for calls in jobs.values():
        breach = _order_of_states(calls=calls) or _known(calls=calls, bounds=bounds or JobBounds())
        if breach is not None:
            return breach
    return None


def _shown(*, calls: Sequence[Operation[JobCall]]) -> list[Operation[JobCall]]:
    return [op for op in calls if op.argument.verb is JobVerb.SHOW and op.state]


def _order_of_states(*, calls: Sequence[Operation[JobCall]]) -> Breach | None:
    """A state that was shown before a call began is not gone back from in its answer."""
    by_answer = _shown(calls=calls)  # in the order of their answers
    by_start = sorted(by_answer, key=lambda op: op.invoked_s)
    furthest: Operation[JobCall] | None = None
    taken = 0
    for later in by_start:
        while taken < len(by_answer) and by_answer[taken].returned_s < later.invoked_s:
            earlier = by_answer[taken]
            taken += 1
            if furthest is None or STAGES[earlier.state] > STAGES[furthest.state]:
                furthest = earlier
        if furthest is None:
            continue
        if STAGES[later.state] < STAGES[furthest.state]:
            return Breach(
                rule="state-went-back",
                operations=(furthest, later),
                text=f"{furthest.state} was shown, then {later.state}",
            )
        if STAGES[furthest.state] is Stage.ENDED and later.state != furthest.state:
            return Breach(
                rule="ended-twice",
                operations=(furthest, later),
                text=f"the job had ended {furthest.state}, then {later.state}",
            )
    return None


def _known(*, calls: Sequence[Operation[JobCall]], bounds: JobBounds) -> Breach | None:
    """An accepted job is known until `status_s` after its end; a cancelled one has ended soon after."""
    accepted = _first(calls=calls, verb=JobVerb.SUBMIT)
    cancelled = _first(calls=calls, verb=JobVerb.CANCEL)
    asked_s = min((op.invoked_s for op in calls if op.argument.verb is JobVerb.CANCEL), default=float("inf"))
    for operation in calls:
        if operation.argument.verb is not JobVerb.SHOW:
            continue
        if operation.status == GONE and accepted is not None:
            witness = _latest_alive(calls=calls, accepted=accepted, before_s=operation.invoked_s)
            known_s = accepted.returned_s + bounds.visible_s
            kept_s = witness.invoked_s + bounds.status_s
            if operation.invoked_s > known_s and operation.returned_s < min(kept_s, asked_s):
                return Breach(
                    rule="accepted-job-gone",
                    operations=(accepted, witness, operation),
                    text="an accepted job that nobody cancelled isn't known",
                )
        if (
            cancelled is not None
            and operation.state
            and STAGES[operation.state] is not Stage.ENDED
            and operation.invoked_s > cancelled.returned_s + bounds.visible_s
        ):
            return Breach(
                rule="cancelled-job-alive",
                operations=(cancelled, operation),
                text=f"a cancelled job is shown as {operation.state}",
            )
    return None


def _first(*, calls: Sequence[Operation[JobCall]], verb: JobVerb) -> Operation[JobCall] | None:
    """The first confirmed call of a kind."""
    return next((op for op in calls if op.argument.verb is verb and op.outcome is Outcome.CONFIRMED), None)


def _latest_alive(
    *, calls: Sequence[Operation[JobCall]], accepted: Operation[JobCall], before_s: float
) -> Operation[JobCall]:
    """The call that proves latest, of those answered before a moment, that the job had not ended."""
    alive = [op for op in _shown(calls=calls) if STAGES[op.state] is not Stage.ENDED and op.returned_s <= before_s]
    return max([accepted, *alive], key=lambda op: op.invoked_s)


def check_evacuations(*, history: History, final: dict[str, bool], at_s: float) -> Breach | None:
    """What is in force in the end, read at `at_s` when nothing is under way, follows from the orders.

    A zone's state was asked for by an order (off, at first) after whose end no order of the other kind began that was
    confirmed. Unlike what linearizability allows, an order that its caller has given up doesn't take effect after a
    later order was confirmed: a delayed copy must not undo what operators were told.
    """
    zones: dict[str, list[Operation[Evacuate]]] = defaultdict(list)
    for operation in history.evacuations:
        if operation.outcome is not Outcome.REFUSED and operation.invoked_s <= at_s:
            zones[operation.argument.zone].append(operation)
    for zone in sorted({*zones, *final}):
        now = final.get(zone, False)
        breach = _zone(zone=zone, calls=zones[zone], now=now)
        if breach is not None:
            return breach
    return None


def _zone(*, zone: str, calls: Sequence[Operation[Evacuate]], now: bool) -> Breach | None:
    against = [op for op in calls if op.argument.on is not now and op.outcome is Outcome.CONFIRMED]
    last = max(against, key=lambda op: op.invoked_s, default=None)
    causes = [op for op in calls if op.argument.on is now]
    if last is None and not now:
        return None
    if any(last is None or op.returned_s >= last.invoked_s for op in causes):
        return None
    suspect = max(causes, key=lambda op: (op.outcome is Outcome.UNCLEAR, op.invoked_s), default=None)
    told = tuple(op for op in (suspect, last) if op is not None)
    return Breach(
        rule="evacuation-undone",
        operations=told,
        text=f"{zone} is {'' if now else 'not '}evacuated in the end, though that was ordered otherwise last",
    )
