"""Keeps track of the recorded runs: which may be preempted, and which are still to be stopped."""

import math

from ..jobs.model import RUNNING, Job
from ..jobs.placements import size_of
from ..jobs.state_machine import Jobs
from ..jobs.submission import Step
from ..jobs.task_name import task_name
from .cancellation import Cancellation
from .environment import SchedulerEnvironment
from .preemption import OVERDUE_FACTOR, OVERDUE_MIN_S, Preemptor, Victim
from .queue_policy import QueuePolicy


class RunningTasks:
    """Tells preemption and cancellation when runs begin and end."""

    def __init__(
        self,
        *,
        environment: SchedulerEnvironment,
        jobs: Jobs,
        policy: QueuePolicy,
        preemptor: Preemptor,
        cancellation: Cancellation,
    ) -> None:
        self.environment = environment
        self.jobs = jobs
        self.policy = policy
        self.preemptor = preemptor
        self.cancellation = cancellation

    def started(self, *, job_id: str, unit_key: str, index: int) -> None:
        """A run is in the record; one that saves its progress may be preempted."""
        job = self.jobs.jobs[job_id]
        step = job.step_of(unit_key=unit_key)
        if not step.takes_checkpoints or step.is_gang or job.has_ended:
            return
        unit = job.units[unit_key]
        victim = Victim(
            task=task_name(job_id=job_id, unit_key=unit_key, index=index),
            run=unit.run_ids[index],
            minion_id=unit.minion_ids[index],
            size=size_of(step),
            overdue_at=self._overdue_at(step=step, run=unit.run_ids[index]),
        )
        self.preemptor.run_started(victim=victim, service=self.policy.service(job=job), rank=self.policy.rank(job=job))

    def _overdue_at(self, *, step: Step, run: int) -> float:
        if step.is_long_running:
            return math.inf
        return self.environment.now + run * max(OVERDUE_FACTOR * step.estimate_ms / 1000, OVERDUE_MIN_S)

    def ended(self, *, task: str, run: int) -> None:
        """A run is over."""
        self.preemptor.run_ended(task=task, run=run)
        self.cancellation.run_ended(task=task)

    def adopt(self, *, job_id: str, job: Job, unit_key: str) -> None:
        """Take over the recorded runs of a unit from the scheduler before this one."""
        for index in job.units[unit_key].indices(state=RUNNING):
            self.started(job_id=job_id, unit_key=unit_key, index=index)
