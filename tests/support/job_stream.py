"""Streams of jobs for tests of predictions."""

import random
from collections.abc import Iterator
from typing import Any

import orjson

from yarrowloom.jobs.submission import Step, parse_submission
from yarrowloom.prediction import History, Prediction

START_MS = 1_700_000_000_000


def steps(*stages: dict[str, Any]) -> list[Step]:
    """The steps of a job with these stages; one plain task if there are none."""
    document = {"task-spec": "x", "stages": list(stages) or [{"task-count": 1}]}
    return parse_submission(body=orjson.dumps(document)).steps


class JobStream:
    """Feeds jobs to a history, in the order of time, and asks it."""

    def __init__(self) -> None:
        self.history = History()
        self.job_count = 0

    def submit(self, *, at_ms: int, queue: str = "q", job_steps: list[Step] | None = None, **more: Any) -> None:
        """A job is accepted."""
        self.job_count += 1
        self.history.note_job(
            at_ms=at_ms,
            job_id=f"{self.job_count:016x}",
            queue=queue,
            service=f"s-{queue}",
            steps=job_steps or steps(),
            **more,
        )

    def expected(self, *, now_ms: int, horizon_ms: int = 5000, queue: str = "q") -> Prediction | None:
        """The first prediction for a queue."""
        predictions = self.history.predict(now_ms=now_ms, horizon_ms=horizon_ms)
        return next((prediction for prediction in predictions if prediction.queue == queue), None)


def periodic(*, rng: random.Random, period_ms: int, jitter: float, count: int) -> Iterator[int]:
    """Times a period apart, off by `jitter` (a share of the period) each."""
    for i in range(count):
        yield START_MS + i * period_ms + round(rng.gauss(0, jitter * period_ms))
