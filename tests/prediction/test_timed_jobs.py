"""Jobs whose times are known."""

import orjson
import pytest

from tests.support.job_stream import START_MS, JobStream, steps
from yarrowloom.prediction import Basis, TaskShape
from yarrowloom.prediction.timed_jobs import TimedJob


def test_known_times_are_predicted_until_the_job_is_over() -> None:
    stream = JobStream()
    stream.submit(at_ms=START_MS, first_run_ms=START_MS + 1_000, period_ms=4_000, repeat_count=3)
    assert [
        p.likely_ms - START_MS
        for k in range(6)
        for p in stream.history.predict(now_ms=START_MS + 2_000 * k, horizon_ms=1_999)
    ] == [
        1_000,
        5_000,
        9_000,
    ]
    p = stream.expected(now_ms=START_MS, horizon_ms=60_000)
    assert p is not None
    assert (p.basis, p.job_count, p.confidence) == (Basis.TIMED, 3.0, 1.0)
    stream.history.note_over(at_ms=START_MS + 3_000, job_id=f"{1:016x}", queue="q", steps=steps(), is_complete=False)
    assert stream.expected(now_ms=START_MS + 3_000, horizon_ms=60_000) is None


def timed_job(*, first_run_ms: int, period_ms: int, repeat_count: int) -> TimedJob:
    return TimedJob(
        kind="q/1",
        queue="q",
        service="s",
        shape=TaskShape(500, 64, 0, "a"),
        is_gang=True,
        prefers_same_rack=False,
        task_count=3,
        preferred_label="r1",
        first_run_ms=first_run_ms,
        period_ms=period_ms,
        repeat_count=repeat_count,
    )


@pytest.mark.parametrize(
    ("period_ms", "repeat_count", "now_ms", "expected"),
    [
        (1000, 3, 4000, (5000, 1.0)),  # the first run
        (1000, 3, 5001, (6000, 1.0)),
        (1000, 3, 7001, None),  # the last run is over
        (1000, 3, 3000, None),  # beyond the horizon
        (500, 9, 4400, (5000, 1.0)),
        (200, 9, 4400, (5000, 3.0)),  # several within the horizon
        (200, 2, 4400, (5000, 2.0)),  # no more than there are
        (0, 5, 4500, (5000, 5.0)),  # all at once
        (0, 5, 5001, None),
    ],
)
def test_runs_within_the_horizon_are_predicted(
    period_ms: int, repeat_count: int, now_ms: int, expected: tuple[int, float] | None
) -> None:
    job = timed_job(first_run_ms=5000, period_ms=period_ms, repeat_count=repeat_count)
    prediction = job.predict(now_ms=now_ms, horizon_ms=1000)
    found = (prediction.likely_ms, prediction.job_count) if prediction is not None else None
    assert found == expected


def test_a_timed_job_survives_a_reload() -> None:
    job = timed_job(first_run_ms=5000, period_ms=10, repeat_count=2)
    assert TimedJob.load(orjson.loads(orjson.dumps(job.dump()))) == job
