"""One forecast: candidates of all sorts are weighed, and the surest of each kind is kept."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .call_times import MAX_EXPECTED_JOBS, CallTimes
from .job_kind import Basis, Prediction, is_queue_key, queue_key
from .known_kind import KnownKind
from .successor_jobs import SuccessorJobs, SuccessorPair, Trigger
from .timed_jobs import TimedJob

PREFER_FINER = 0.15  # a period, or a single kind, is preferred unless gaps, or the whole queue, are surer by this
MAX_PREDICTIONS = 64


class Candidate(NamedTuple):
    """A call that may be expected. Times are inner ones, in milliseconds."""

    basis: Basis
    earliest_ms: float
    likely_ms: float
    latest_ms: float
    confidence: float
    job_count: float


class Forecast:
    """What is expected from a moment until a horizon. It reads the history's state and changes nothing of it.

    Attributes:
        best: By kind, the surest prediction so far.
        candidates_weighed: How many were looked at. Invariant: at most one for each proven kind, timed job, and
            successor of a recent trigger.
    """

    def __init__(
        self,
        *,
        proven_kinds: Mapping[str, KnownKind],
        successors: SuccessorJobs,
        now_ms: int,
        wall_now_ms: int,
        horizon_ms: int,
    ) -> None:
        self._proven_kinds = proven_kinds
        self._successors = successors
        self._now_ms = now_ms
        self._wall_now_ms = wall_now_ms
        self._horizon_ms = horizon_ms
        self.best: dict[str, Prediction] = {}
        self.candidates_weighed = 0

    def predict(self, *, timed_jobs: Iterable[TimedJob]) -> list[Prediction]:
        """All that is expected, the earliest first; at most MAX_PREDICTIONS."""
        for kind, known in self._proven_kinds.items():
            self.candidates_weighed += 1
            self._weigh_calls(kind=kind, calls=known.calls)
        for trigger in self._successors.recent_triggers:
            self._weigh_successors(trigger=trigger)
        predictions = [*self._kinds_or_queues(), *self._timed(timed_jobs)]
        predictions.sort(key=lambda prediction: (prediction.earliest_ms, -prediction.confidence, prediction.kind))
        return predictions[:MAX_PREDICTIONS]

    def _weigh_calls(self, *, kind: str, calls: CallTimes) -> None:
        due = calls.next_due_time(now_ms=self._now_ms)
        if due is not None:
            due_times = 1 + max(0.0, self._now_ms + self._horizon_ms - due.at_ms) // calls.period_ms
            by_period = Candidate(
                basis=Basis.PERIOD,
                earliest_ms=due.at_ms - calls.tolerance_ms(),
                likely_ms=due.at_ms,
                latest_ms=due.at_ms + calls.tolerance_ms(),
                confidence=due.chance,
                job_count=due_times * calls.usual_call_size,
            )
            self._keep_if_surer(kind=kind, candidate=by_period)
        gap = calls.end_of_gap(now_ms=self._now_ms, horizon_ms=self._horizon_ms)
        if gap is not None and (due is None or gap.chance > due.chance + PREFER_FINER):
            by_rate = calls.jobs_per_ms(now_ms=self._now_ms) * self._horizon_ms
            by_gaps = Candidate(
                basis=Basis.GAPS,
                earliest_ms=gap.earliest_ms,
                likely_ms=gap.likely_ms,
                latest_ms=gap.latest_ms,
                confidence=gap.chance,
                job_count=max(gap.chance * calls.usual_call_size, by_rate),
            )
            self._keep_if_surer(kind=kind, candidate=by_gaps)

    def _weigh_successors(self, *, trigger: Trigger) -> None:
        for kind, pair in self._successors.pairs.get((trigger.kind, trigger.event), {}).items():
            self.candidates_weighed += 1
            if pair.is_awaited and kind in self._proven_kinds and pair.lags_ms:
                self._weigh_successor(kind=kind, pair=pair, trigger=trigger)

    def _weigh_successor(self, *, kind: str, pair: SuccessorPair, trigger: Trigger) -> None:
        band = pair.band()
        if self._now_ms > trigger.at_ms + band.latest:
            return
        calls = self._proven_kinds[kind].calls
        by_trigger = Candidate(
            basis=Basis.SUCCESSOR,
            earliest_ms=trigger.at_ms + band.earliest,
            likely_ms=trigger.at_ms + band.middle,
            latest_ms=trigger.at_ms + band.latest,
            confidence=pair.confidence(jobs_per_ms=calls.jobs_per_ms(now_ms=self._now_ms)),
            job_count=calls.usual_call_size,
        )
        self._keep_if_surer(kind=kind, candidate=by_trigger)

    def _keep_if_surer(self, *, kind: str, candidate: Candidate) -> None:
        if candidate.confidence <= 0 or candidate.earliest_ms > self._now_ms + self._horizon_ms:
            return
        if kind in self.best and self.best[kind].confidence >= candidate.confidence:
            return
        known = self._proven_kinds[kind]
        shape, task_count = known.calls.expected_shape(
            required_label=known.required_label, holds_all=not is_queue_key(kind)
        )
        self.best[kind] = Prediction(
            kind=kind,
            basis=candidate.basis,
            earliest_ms=self._wall_ms(candidate.earliest_ms),
            likely_ms=self._wall_ms(candidate.likely_ms),
            latest_ms=self._wall_ms(candidate.latest_ms),
            queue=known.queue,
            service=known.service,
            shape=shape,
            is_gang=known.is_gang,
            prefers_same_rack=known.prefers_same_rack,
            task_count=task_count,
            preferred_label=known.calls.expected_label(),
            confidence=min(candidate.confidence, 1.0),
            job_count=min(MAX_EXPECTED_JOBS, max(candidate.job_count, 1.0)),
        )

    def _wall_ms(self, inner_ms: float) -> int:
        """The wall time of an inner time, which isn't before now."""
        return int(max(inner_ms, self._now_ms)) - (self._now_ms - self._wall_now_ms)

    def _kinds_or_queues(self) -> list[Prediction]:
        """A queue as a whole, or its kinds one by one; the queue only where it is surer by PREFER_FINER."""
        surest_kind: dict[str, float] = {}
        for kind, prediction in self.best.items():
            if not is_queue_key(kind):
                surest_kind[prediction.queue] = max(surest_kind.get(prediction.queue, 0.0), prediction.confidence)
        chosen = []
        for kind, prediction in self.best.items():
            whole = self.best.get(queue_key(queue=prediction.queue))
            by_queue = whole is not None and whole.confidence > surest_kind.get(prediction.queue, 0.0) + PREFER_FINER
            if by_queue == is_queue_key(kind):
                chosen.append(prediction)
        return chosen

    def _timed(self, timed_jobs: Iterable[TimedJob]) -> Iterable[Prediction]:
        for timed_job in timed_jobs:
            self.candidates_weighed += 1
            prediction = timed_job.predict(now_ms=self._wall_now_ms, horizon_ms=self._horizon_ms)
            if prediction is not None:
                yield prediction
