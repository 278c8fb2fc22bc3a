"""Repeated jobs: when the next run of each is due."""

import heapq
from collections.abc import Iterator

from ..jobs.model import Job
from ..jobs.state_machine import Jobs

MAX_OPEN_RUNS = 64  # runs of a job that are begun and not finished
FULL_RETRY_MS = 200.0  # a job with so many is looked at again after this long


class RepeatedJobs:
    """A heap of the next due times (wall milliseconds) of the repeated jobs."""

    def __init__(self, *, jobs: Jobs) -> None:
        self.jobs = jobs
        self.due: list[tuple[float, str]] = []

    def schedule(self, *, job_id: str) -> None:
        """Wait for the next run of a job."""
        heapq.heappush(self.due, (_due_ms(self.jobs.jobs[job_id]), job_id))

    def take_due(self, *, wall_now_ms: float) -> Iterator[str]:
        """The jobs whose next run is due; the caller begins the run before it takes the next job."""
        while self.due and self.due[0][0] <= wall_now_ms:
            _, job_id = heapq.heappop(self.due)
            job = self.jobs.jobs.get(job_id)
            if job is None or job.has_ended or job.next_run >= job.repeat_count:
                continue
            if len(job.open_runs) >= MAX_OPEN_RUNS:
                heapq.heappush(self.due, (wall_now_ms + FULL_RETRY_MS, job_id))
                continue
            if wall_now_ms >= _due_ms(job):
                yield job_id
            if job.next_run < job.repeat_count:
                self.schedule(job_id=job_id)


def _due_ms(job: Job) -> int:
    return job.first_run_ms + job.period_ms * job.next_run
