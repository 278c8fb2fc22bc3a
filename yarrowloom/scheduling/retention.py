"""Retention of ended jobs: callers may ask for them for a while, then they are forgotten."""

from collections import deque

from ..jobs.state_machine import Jobs

RETENTION_MARGIN = 1.25  # an ended job is kept for this many times the time that the settings name


class EndedJobs:
    """Ended jobs in order of their ends, with the time (monotonic seconds) from which they are kept."""

    def __init__(self, *, jobs: Jobs, retention_s: float) -> None:
        self.jobs = jobs
        self.retention_s = retention_s * RETENTION_MARGIN
        self.ended: deque[tuple[float, str]] = deque()

    def add(self, *, job_id: str, now: float) -> None:
        """A job ended."""
        self.ended.append((now, job_id))

    def take_expired(self, *, now: float) -> list[str]:
        """Jobs to be forgotten; one of which a task may still run is kept once more."""
        expired: list[str] = []
        while self.ended and now - self.ended[0][0] > self.retention_s:
            _, job_id = self.ended.popleft()
            job = self.jobs.jobs.get(job_id)
            if job is not None and not job.is_trimmed:
                self.ended.append((now, job_id))
            else:
                expired.append(job_id)
        return expired
