"""The jobs that have not ended, with the memory that they take."""

from ..jobs.model import Job

TEXT_COPIES = 4  # of a job's texts: in the record, and while the journal writes a snapshot
TASK_BYTES = 48
STEP_BYTES = 640
JOB_BYTES = 2048
JOBS_MEMORY_SHARE = 0.5  # of a core's memory, for all jobs that have not ended
LARGE_JOB_BYTES = 64 * 1024
LARGE_JOBS_SHARE = 0.75  # of that, for large jobs: the rest is for small ones


def job_bytes(job: Job) -> int:
    """About how much memory a job takes until it has ended.

    Repeated jobs count with one run.
    """
    texts_bytes = len(job.spec)
    others_bytes = JOB_BYTES
    for step in job.steps:
        texts_bytes += len(step.required_label) + len(step.preferred_label)
        others_bytes += STEP_BYTES + TASK_BYTES * (step.task_count + len(step.depends_on))
    return TEXT_COPIES * texts_bytes + others_bytes


class LiveJobs:
    """The jobs of a group that have not ended, bounded in memory as new ones are admitted.

    Attributes:
        limit_bytes: What they may take together.
        held_bytes: What they take.
    """

    def __init__(self, *, memory_mb: int) -> None:
        self.limit_bytes = int(JOBS_MEMORY_SHARE * (memory_mb << 20))
        self.held_bytes = 0
        self._bytes_by_job: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._bytes_by_job)

    def has_capacity(self, *, job: Job) -> bool:
        """Whether there is memory for one more job."""
        size_bytes = job_bytes(job)
        share = LARGE_JOBS_SHARE if size_bytes > LARGE_JOB_BYTES else 1.0
        return self.held_bytes + size_bytes <= share * self.limit_bytes

    def add(self, *, job_id: str, job: Job) -> None:
        """A job was admitted, or taken over from the scheduler before this one."""
        self.remove(job_id=job_id)
        size_bytes = self._bytes_by_job[job_id] = job_bytes(job)
        self.held_bytes += size_bytes

    def remove(self, *, job_id: str) -> None:
        """A job has ended; one that is not known is passed over."""
        self.held_bytes -= self._bytes_by_job.pop(job_id, 0)
