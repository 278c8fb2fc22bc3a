"""Jobs whose times their callers have told: nothing about them needs learning."""

from dataclasses import astuple, dataclass
from typing import Any

from .call_times import MAX_EXPECTED_JOBS
from .job_kind import Basis, Prediction, TaskShape


@dataclass(slots=True, frozen=True)
class TimedJob:
    """A job that runs at times of its own. Its document is the list of its fields, in this order.

    Attributes:
        task_count: Tasks of its main first step.
        first_run_ms: Wall time in milliseconds of its first run.
        period_ms: Milliseconds between runs; 0: all are due at once.
        repeat_count: How often it runs.
    """

    kind: str
    queue: str
    service: str
    shape: TaskShape
    is_gang: bool
    prefers_same_rack: bool
    task_count: int
    preferred_label: str
    first_run_ms: int
    period_ms: int
    repeat_count: int

    def predict(self, *, now_ms: int, horizon_ms: int) -> Prediction | None:
        """Its next runs, if one is due within the horizon."""
        run = max(0, -((self.first_run_ms - now_ms) // self.period_ms)) if self.period_ms else 0
        due_ms = self.first_run_ms + run * self.period_ms
        if run >= self.repeat_count or not now_ms <= due_ms <= now_ms + horizon_ms:
            return None
        later = (now_ms + horizon_ms - due_ms) // self.period_ms if self.period_ms else self.repeat_count - 1
        return Prediction(
            kind=self.kind,
            basis=Basis.TIMED,
            earliest_ms=due_ms,
            likely_ms=due_ms,
            latest_ms=due_ms,
            queue=self.queue,
            service=self.service,
            shape=self.shape,
            is_gang=self.is_gang,
            prefers_same_rack=self.prefers_same_rack,
            task_count=self.task_count,
            preferred_label=self.preferred_label,
            confidence=1.0,
            job_count=min(MAX_EXPECTED_JOBS, 1.0 + min(later, self.repeat_count - 1 - run)),
        )

    def dump(self) -> list[Any]:
        """The job as plain data."""
        fields = list(astuple(self))
        fields[3] = list(self.shape)
        return fields

    @classmethod
    def load(cls, document: list[Any]) -> "TimedJob":
        """What `dump` gave."""
        kind, queue, service, shape, *rest = document
        return cls(kind, queue, service, TaskShape(*shape), *rest)
