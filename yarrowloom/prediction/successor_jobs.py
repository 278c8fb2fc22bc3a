"""Kinds of jobs that follow others: one is called some time after another's call or end."""

import enum
import math
from typing import Any, NamedTuple

from .accuracy import Accuracy
from .job_kind import are_related

MAX_LAG_MS = 20_000  # what comes later than this follows nothing
MAX_RECENT_TRIGGERS = 12  # triggers that may still be followed
MAX_SUCCESSORS = 3  # kept for each trigger
MAX_PAIRS = 256
MAX_LAGS = 8
MIN_LAGS = 3  # needed before a pair has a band
LAG_SLACK_MS = 100
OUTCOMES_TO_DROP = 8  # a pair that isn't trusted after as many outcomes is dropped
MIN_ABOVE_CHANCE = 0.2  # of a pair's success rate over what mere chance would reach


class TriggerEvent(str, enum.Enum):
    """What is followed."""

    CALL = "call"
    END = "end"


class LagBand(NamedTuple):
    """When a successor comes after its trigger, in milliseconds."""

    earliest: int
    middle: int
    latest: int


class SuccessorPair:
    """A trigger and one kind that follows it.

    Attributes:
        accuracy: Whether the successor came within the band.
        lags_ms: Milliseconds from trigger to successor, oldest first. Invariant: at most MAX_LAGS.
        is_awaited: Whether the newest trigger hasn't been followed yet.
    """

    __slots__ = ("accuracy", "is_awaited", "lags_ms")

    def __init__(self) -> None:
        self.accuracy = Accuracy()
        self.lags_ms: list[int] = []
        self.is_awaited = False

    def band(self) -> LagBand:
        """Where the lags lie, with a little room. At least one lag is known."""
        ordered = sorted(self.lags_ms)
        return LagBand(
            earliest=int(ordered[0] * 0.9) - LAG_SLACK_MS,
            middle=ordered[len(ordered) // 2],
            latest=int(ordered[-1] * 1.1) + LAG_SLACK_MS,
        )

    def record_trigger(self) -> None:
        """The trigger came; one that wasn't followed was a miss."""
        if self.is_awaited:
            self.accuracy.record(came_true=False)
        self.is_awaited = True

    def record_successor(self, *, lag_ms: int) -> None:
        """The successor came."""
        band = self.band() if len(self.lags_ms) >= MIN_LAGS else LagBand(0, 0, MAX_LAG_MS)
        self.accuracy.record(came_true=band.earliest <= lag_ms <= band.latest)
        self.lags_ms.append(lag_ms)
        if len(self.lags_ms) > MAX_LAGS:
            del self.lags_ms[0]
        self.is_awaited = False

    def confidence(self, *, jobs_per_ms: float) -> float:
        """Chance that the successor comes; 0 unless clearly above what calls at this rate would reach by chance."""
        if not self.accuracy.is_trusted or len(self.lags_ms) < MIN_LAGS:
            return 0.0
        band = self.band()
        by_chance = 1 - math.exp(-jobs_per_ms * (band.latest - max(0, band.earliest)))
        return self.accuracy.success_rate if self.accuracy.success_rate > by_chance + MIN_ABOVE_CHANCE else 0.0


class Trigger(NamedTuple):
    """A call or end that may be followed.

    Attributes:
        at_ms: The history's inner time.
    """

    kind: str
    event: TriggerEvent
    at_ms: int


class SuccessorJobs:
    """Pairs of triggers and the kinds that follow them.

    Attributes:
        pairs: By the trigger's kind and event, then by the successor's kind. Invariant: at most MAX_SUCCESSORS each.
        pair_count: Invariant: the number of all pairs, at most MAX_PAIRS.
        recent_triggers: Oldest first, one for each kind and event. Invariant: at most MAX_RECENT_TRIGGERS.
    """

    def __init__(self) -> None:
        self.pairs: dict[tuple[str, TriggerEvent], dict[str, SuccessorPair]] = {}
        self.pair_count = 0
        self.recent_triggers: list[Trigger] = []

    def record_trigger(self, *, kind: str, event: TriggerEvent, at_ms: int) -> None:
        """A call began or a job ended."""
        others = [trigger for trigger in self.recent_triggers if (trigger.kind, trigger.event) != (kind, event)]
        self.recent_triggers = others[1 - MAX_RECENT_TRIGGERS :]
        self.recent_triggers.append(Trigger(kind, event, at_ms))
        successors = self.pairs.get((kind, event))
        if successors is None:
            return
        for name, pair in list(successors.items()):
            pair.record_trigger()
            if pair.accuracy.count >= OUTCOMES_TO_DROP and not pair.accuracy.is_trusted:
                del successors[name]
                self.pair_count -= 1
        if not successors:
            del self.pairs[kind, event]

    def record_call(self, *, kind: str, at_ms: int) -> None:
        """A call began: it may follow some of the recent triggers."""
        for trigger in self.recent_triggers:
            lag_ms = at_ms - trigger.at_ms
            if lag_ms > MAX_LAG_MS or are_related(trigger.kind, kind):
                continue
            pair = self._pair(trigger=trigger, successor=kind)
            if pair is not None and pair.is_awaited:
                pair.record_successor(lag_ms=lag_ms)

    def _pair(self, *, trigger: Trigger, successor: str) -> SuccessorPair | None:
        """The pair, made if there is room for it."""
        successors = self.pairs.get((trigger.kind, trigger.event), {})
        pair = successors.get(successor)
        if pair is None and self.pair_count < MAX_PAIRS and len(successors) < MAX_SUCCESSORS:
            pair = SuccessorPair()
            pair.is_awaited = True
            self.pairs.setdefault((trigger.kind, trigger.event), {})[successor] = pair
            self.pair_count += 1
        return pair

    def forget(self, *, kind: str) -> None:
        """Forget a kind: as a trigger at once; as a successor its pairs lose trust by themselves."""
        for event in TriggerEvent:
            self.pair_count -= len(self.pairs.pop((kind, event), ()))
        self.recent_triggers = [trigger for trigger in self.recent_triggers if trigger.kind != kind]

    def dump(self) -> dict[str, Any]:
        """All of it as plain data."""
        return {
            "r": [[trigger.kind, trigger.event.value, trigger.at_ms] for trigger in self.recent_triggers],
            "p": [
                [kind, event.value, successor, pair.accuracy.dump(), list(pair.lags_ms), pair.is_awaited]
                for (kind, event), successors in self.pairs.items()
                for successor, pair in successors.items()
            ],
        }

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it by what `dump` gave."""
        self.recent_triggers = [Trigger(kind, TriggerEvent(event), at_ms) for kind, event, at_ms in document["r"]]
        self.pairs = {}
        self.pair_count = len(document["p"])
        for kind, event, successor, accuracy, lags_ms, is_awaited in document["p"]:
            pair = SuccessorPair()
            pair.accuracy, pair.lags_ms, pair.is_awaited = Accuracy.load(accuracy), list(lags_ms), is_awaited
            self.pairs.setdefault((kind, TriggerEvent(event)), {})[successor] = pair
