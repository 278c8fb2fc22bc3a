"""Indexes over the jobs of a group, made anew from them when a snapshot is loaded."""

from ..common.queue_identity import QueueIdentity
from .model import RUNNING, Job, JobState
from .task_name import TaskAddress


class JobIndexes:
    """What is looked up by minion and by queue.

    Attributes:
        running_by_minion: By minion id, the RUNNING tasks. Invariant: no entry is empty.
        pending_by_queue: By queue, how many jobs are PENDING. Invariant: no count is 0.
    """

    def __init__(self) -> None:
        self.running_by_minion: dict[str, set[TaskAddress]] = {}
        self.pending_by_queue: dict[QueueIdentity, int] = {}

    @classmethod
    def of(cls, jobs: dict[str, Job]) -> "JobIndexes":
        """The indexes over jobs, by job id."""
        indexes = cls()
        for job_id, job in jobs.items():
            if job.state is JobState.PENDING:
                indexes.add_pending(job)
            for unit_key, unit in job.units.items():
                for index in unit.indices(state=RUNNING):
                    indexes.add_running(TaskAddress(job_id, unit_key, index), minion_id=unit.minion_ids[index])
        return indexes

    def add_pending(self, job: Job) -> None:
        """A job is PENDING."""
        queue = job.queue_identity
        self.pending_by_queue[queue] = self.pending_by_queue.get(queue, 0) + 1

    def remove_pending(self, job: Job) -> None:
        """A job is PENDING no more."""
        queue = job.queue_identity
        self.pending_by_queue[queue] -= 1
        if not self.pending_by_queue[queue]:
            del self.pending_by_queue[queue]

    def add_running(self, address: TaskAddress, *, minion_id: str) -> None:
        """A task is RUNNING on a minion."""
        self.running_by_minion.setdefault(minion_id, set()).add(address)

    def remove_running(self, address: TaskAddress, *, minion_id: str) -> None:
        """A task is RUNNING there no more."""
        addresses = self.running_by_minion.get(minion_id)
        if addresses is not None:
            addresses.discard(address)
            if not addresses:
                del self.running_by_minion[minion_id]
