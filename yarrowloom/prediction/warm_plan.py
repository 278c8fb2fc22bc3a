"""Which capacity to keep warm: from predictions, within limits that hold whatever the history was."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .histogram import DurationHistogram
from .job_kind import Prediction, TaskShape, queue_key

MAX_KINDS = 256  # kinds with a backoff, or with outcomes
MAX_BACKOFF_MS = 600_000.0
MAX_BACKOFF_DOUBLINGS = 20
MAX_WEIGHED = 64  # predictions weighed by one plan
KINDS_REPORTED = 16
MIN_CORES = 0.001  # what a task that asks for nothing counts as where value is compared


@dataclass(slots=True, frozen=True, kw_only=True)
class WarmLimits:
    """Settings of warming.

    Attributes:
        is_on: Whether anything is kept warm.
        max_core_s_per_minute: Most core-seconds held in any 60 s; a GPU counts as CORES_PER_GPU.
        max_tasks: Most tasks kept warm for one service.
        max_hold_ms: Longest time that one capacity is held, and the horizon to predict with.
        lead_ms: Capacity is wanted this long before the earliest call.
        min_confidence: Of a prediction that is acted on.
    """

    is_on: bool = False
    max_core_s_per_minute: float = 1200.0
    max_tasks: int = 16
    max_hold_ms: float = 4000.0
    lead_ms: float = 400.0
    min_confidence: float = 0.6


class WarmRequest(NamedTuple):
    """Capacity wanted for tasks of one shape.

    Nothing runs in it before a caller's job is there, and anything urgent may take it. Times are those of a steady
    clock, in milliseconds.

    Attributes:
        kind: The kind of job that is expected.
        is_gang: Whether it is of use for all tasks or not at all.
        prefers_same_rack: Whether it is to lie in one rack.
        preferred_label: A label of minions near the data; empty: none.
        value: Chance of use times the queue's weight, for each core-second.
    """

    kind: str
    queue: str
    service: str
    shape: TaskShape
    task_count: int
    is_gang: bool
    prefers_same_rack: bool
    preferred_label: str
    since_ms: float
    until_ms: float
    value: float

    @property
    def cores(self) -> float:
        """What it holds, in cores."""
        return self.task_count * self.shape.cores


class Backoff(NamedTuple):
    """A kind that was kept warm in vain.

    Attributes:
        misses: In a row.
        until_ms: Nothing is kept warm for it before, by the steady clock.
    """

    misses: int
    until_ms: float


@dataclass(slots=True)
class KindOutcomes:
    """How often capacity kept for a kind was used, and how often it was not."""

    hits: int = 0
    misses: int = 0


@dataclass(slots=True)
class WarmFigures:
    """What became of warm capacity; counts only rise.

    Attributes:
        hits: Jobs that started in their warm request.
        misses: Capacities that nobody used.
        given_up: Capacities that ended for another reason.
        cold_starts: Jobs that started without.
        held_core_s: Core-seconds held so far.
        by_kind: In the order of use. Invariant: at most MAX_KINDS.
        warm_wait: From a call to its start in warm request.
        cold_wait: From a call to a start without.
    """

    hits: int = 0
    misses: int = 0
    given_up: int = 0
    cold_starts: int = 0
    held_core_s: float = 0.0
    by_kind: dict[str, KindOutcomes] = field(default_factory=dict)
    warm_wait: DurationHistogram = field(default_factory=DurationHistogram)
    cold_wait: DurationHistogram = field(default_factory=DurationHistogram)

    def of_kind(self, kind: str) -> KindOutcomes:
        """The outcomes of a kind, which becomes the one used last."""
        outcomes = self.by_kind.pop(kind, KindOutcomes())
        if len(self.by_kind) >= MAX_KINDS:
            del self.by_kind[next(iter(self.by_kind))]
        self.by_kind[kind] = outcomes
        return outcomes


class WarmPlanner:
    """Plans warm request. It lives with the node that schedules; a new one begins with nothing held and no budget.

    Attributes:
        limits: The settings.
        requests: By kind, what is held. Invariant: at most `max_tasks` tasks for one service.
        backoffs: By kind, in the order of misses. Invariant: at most MAX_KINDS.
        budget_core_s: Core-seconds that may be held. It is refilled by half of `max_core_s_per_minute` a minute, and
            is at most that much, so no minute holds more than the limit. Invariant: it covers what is left of all
            requests.
        accounted_ms: Until when, by the steady clock, the budget is charged; None before the first plan.
        figures: What became of warm request.
    """

    def __init__(self, *, limits: WarmLimits) -> None:
        self.limits = limits
        self.requests: dict[str, WarmRequest] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.budget_core_s = 0.0
        self.accounted_ms: float | None = None
        self.figures = WarmFigures()

    def change_limits(self, *, limits: WarmLimits, steady_ms: float) -> None:
        """Take over new settings: all capacity is given up, nothing counts as a miss."""
        self._account(steady_ms=steady_ms)
        self.give_up_all(steady_ms=steady_ms)
        self.limits = limits
        self.budget_core_s = min(self.budget_core_s, limits.max_core_s_per_minute / 2)

    def plan(
        self,
        *,
        wall_now_ms: int,
        steady_ms: float,
        predictions: Sequence[Prediction],
        weights: Mapping[str, float] | None = None,
    ) -> list[WarmRequest]:
        """All capacity wanted from now on, the most valuable first.

        Args:
            wall_now_ms: Wall time, as in the predictions.
            steady_ms: A clock that never goes back.
            predictions: What is expected, see `History.predict`; those beyond MAX_WEIGHED are passed over.
            weights: Of queues, 1 if not named. All but the weightiest leave half of the budget to those.
        """
        self._account(steady_ms=steady_ms)
        if not self.limits.is_on:
            self.give_up_all(steady_ms=steady_ms)
            return []
        weights = weights or {}
        top_weight = max(weights.values(), default=1.0)
        wanted = [
            self._wanted(prediction, wall_now_ms=wall_now_ms, steady_ms=steady_ms, weights=weights)
            for prediction in predictions[:MAX_WEIGHED]
            if self._is_due(prediction, wall_now_ms=wall_now_ms, steady_ms=steady_ms)
        ]
        for request in _by_value(wanted):
            if request.kind not in self.requests:
                is_light = weights.get(request.queue, 1.0) < top_weight
                self._admit(request=request, steady_ms=steady_ms, is_light=is_light)
        return _by_value(self.requests.values())

    def _is_due(self, prediction: Prediction, *, wall_now_ms: int, steady_ms: float) -> bool:
        """Whether capacity for a prediction is wanted now."""
        if prediction.kind in self.requests or prediction.confidence < self.limits.min_confidence:
            return False
        if prediction.earliest_ms - self.limits.lead_ms > wall_now_ms:
            return False
        backoff = self.backoffs.get(prediction.kind)
        return backoff is None or steady_ms >= backoff.until_ms

    def _wanted(
        self, prediction: Prediction, *, wall_now_ms: int, steady_ms: float, weights: Mapping[str, float]
    ) -> WarmRequest:
        until_call_ms = max(0, prediction.latest_ms - wall_now_ms)
        until_ms = steady_ms + min(self.limits.max_hold_ms, until_call_ms + self.limits.lead_ms)
        task_count = prediction.task_count
        cost_core_s = max(prediction.shape.cores, MIN_CORES) * task_count * (until_ms - steady_ms) / 1000
        value = prediction.confidence * weights.get(prediction.queue, 1.0) / cost_core_s if cost_core_s > 0 else 0.0
        if not prediction.is_gang:
            task_count *= max(1, int(prediction.job_count * prediction.confidence))
        return WarmRequest(
            kind=prediction.kind,
            queue=prediction.queue,
            service=prediction.service,
            shape=prediction.shape,
            task_count=task_count,
            is_gang=prediction.is_gang,
            prefers_same_rack=prediction.prefers_same_rack,
            preferred_label=prediction.preferred_label,
            since_ms=steady_ms,
            until_ms=until_ms,
            value=value,
        )

    def _admit(self, *, request: WarmRequest, steady_ms: float, is_light: bool) -> None:
        """Hold as much as the limits let it; a gang's whole or not at all. A light queue leaves half the budget."""
        held = self.requests.values()
        tasks_left = self.limits.max_tasks - sum(other.task_count for other in held if other.service == request.service)
        budget = self.budget_core_s - sum(other.cores * max(0.0, other.until_ms - steady_ms) / 1000 for other in held)
        budget -= self.limits.max_core_s_per_minute / 4 if is_light else 0.0
        core_s_per_task = request.shape.cores * (request.until_ms - steady_ms) / 1000
        affordable = int(max(0.0, budget) / core_s_per_task) if core_s_per_task > 0 else request.task_count
        task_count = min(request.task_count, tasks_left, affordable)
        if task_count >= (request.task_count if request.is_gang else 1):
            self.requests[request.kind] = request._replace(task_count=task_count)

    def _account(self, *, steady_ms: float) -> None:
        """Charge for what was held since the last time; close what has expired."""
        if self.accounted_ms is None:
            self.accounted_ms = steady_ms
        passed_ms = max(0.0, steady_ms - self.accounted_ms)
        max_budget = self.limits.max_core_s_per_minute / 2
        self.budget_core_s = min(max_budget, self.budget_core_s + max_budget * passed_ms / 60_000)
        for kind, request in list(self.requests.items()):
            held_ms = max(0.0, min(steady_ms, request.until_ms) - self.accounted_ms)
            used_core_s = request.cores * held_ms / 1000
            self.budget_core_s -= used_core_s
            self.figures.held_core_s += used_core_s
            if steady_ms >= request.until_ms:
                del self.requests[kind]
                self._miss(kind=kind, steady_ms=steady_ms)
        self.budget_core_s = max(0.0, self.budget_core_s)
        self.accounted_ms += passed_ms

    def _miss(self, *, kind: str, steady_ms: float) -> None:
        """Nobody came: from the second miss in a row on, the kind backs off."""
        self.figures.misses += 1
        self.figures.of_kind(kind).misses += 1
        misses = self.backoffs.pop(kind, Backoff(0, 0.0)).misses + 1
        if len(self.backoffs) >= MAX_KINDS:
            del self.backoffs[next(iter(self.backoffs))]
        wait_ms = 0.0
        if misses >= 2:
            wait_ms = min(MAX_BACKOFF_MS, self.limits.max_hold_ms * 2.0 ** min(misses, MAX_BACKOFF_DOUBLINGS))
        self.backoffs[kind] = Backoff(misses, steady_ms + wait_ms)

    # -- what became of it

    def request_for(self, *, queue: str, kind: str) -> WarmRequest | None:
        """What waits for a job of this queue and kind (`kind_key`), if anything."""
        return self.requests.get(kind) or self.requests.get(queue_key(queue=queue))

    def hit(self, *, kind: str, steady_ms: float, wait_ms: float) -> None:
        """A job started in the capacity kept for its kind, `wait_ms` after its call; the request is closed."""
        self._account(steady_ms=steady_ms)
        if self.requests.pop(kind, None) is None:
            self.started_cold(kind=kind, wait_ms=wait_ms)
            return
        self.figures.hits += 1
        self.figures.of_kind(kind).hits += 1
        self.backoffs.pop(kind, None)
        self.figures.warm_wait.add(ms=wait_ms)

    def started_cold(self, *, kind: str, wait_ms: float) -> None:
        """A job started without warm request. One that its kind's backoff kept cold makes the next one shorter."""
        self.figures.cold_starts += 1
        self.figures.cold_wait.add(ms=wait_ms)
        backoff = self.backoffs.get(kind)
        if backoff is not None and backoff.misses > 0:
            self.backoffs[kind] = Backoff(backoff.misses - 1, backoff.until_ms if backoff.misses > 2 else 0.0)

    def give_up(self, *, kind: str, steady_ms: float) -> None:
        """The capacity is gone for another reason: taken by urgent work, loss, drain, evacuation. No miss."""
        self._account(steady_ms=steady_ms)
        self.figures.given_up += self.requests.pop(kind, None) is not None

    def give_up_all(self, *, steady_ms: float) -> None:
        """Give up all request: warming is switched off, or the node schedules no more."""
        for kind in list(self.requests):
            self.give_up(kind=kind, steady_ms=steady_ms)

    def report(self) -> dict[str, Any]:
        """Plain figures for an operator: counts, core-seconds, times to start in milliseconds, kinds backing off."""
        now_ms = self.accounted_ms or 0.0
        figures = self.figures
        newest_kinds = list(figures.by_kind.items())[-KINDS_REPORTED:]
        return {
            "on": self.limits.is_on,
            "hits": figures.hits,
            "misses": figures.misses,
            "gone": figures.given_up,
            "cold": figures.cold_starts,
            "core-s-held": round(figures.held_core_s, 3),
            "core-s-left": round(self.budget_core_s, 3),
            "core-s-bound": self.limits.max_core_s_per_minute,
            "warm-ms": figures.warm_wait.report(),
            "cold-ms": figures.cold_wait.report(),
            "rooms": [
                [
                    request.kind,
                    request.service,
                    request.task_count,
                    request.preferred_label,
                    round(request.until_ms - now_ms),
                ]
                for request in self.requests.values()
            ],
            "off": sorted(kind for kind, backoff in self.backoffs.items() if backoff.until_ms > now_ms),
            "kinds": {kind: {"hits": row.hits, "misses": row.misses} for kind, row in newest_kinds},
        }


def _by_value(requests: Iterable[WarmRequest]) -> list[WarmRequest]:
    """The most valuable first."""
    return sorted(requests, key=lambda request: (-request.value, request.kind))
