"""What the configuration says of a job's queue: service, rank, target and attempts; and the priority that follows."""

from typing import Any

from msgspec import UNSET

from ..cluster_state.routing_table import DEFAULT_RANK, DEFAULT_STRETCH, DEFAULT_TARGET_MS
from ..common.queue_identity import QueueIdentity
from ..jobs.model import Job
from .environment import SchedulerEnvironment
from .pod_group import Priority

WORTHLESS_AFTER_TARGETS = 3.0  # past this many times its target a job earns nothing any more
MIN_TARGET_MS = 500.0
BEYOND_SHARE_RANK = 1000  # of jobs beyond their tenant's share: after all ranks that queues have


class QueuePolicy:
    """The newest configuration, as far as it concerns jobs. A job whose queue is gone keeps what it came with."""

    def __init__(self, *, environment: SchedulerEnvironment) -> None:
        self.environment = environment

    def max_attempts(self, *, job: Job) -> int:
        """How many failed runs of a task fail the job."""
        route = self.environment.route_of(queue=job.queue_identity)
        if route is not None:
            return route.max_attempts
        return job.max_attempts if job.max_attempts is not UNSET else 1

    def service(self, *, job: Job) -> str:
        """The service whose minions run the job's tasks."""
        route = self.environment.route_of(queue=job.queue_identity)
        return route.backend if route is not None else job.service

    def rank(self, *, job: Job) -> int:
        """The rank of the job's queue; 0 goes first. A job beyond its tenant's share comes after all queues."""
        if job.is_beyond_share:
            return BEYOND_SHARE_RANK
        route = self.environment.route_of(queue=job.queue_identity)
        return route.rank if route is not None else DEFAULT_RANK

    def target_ms(self, *, job: Job) -> float:
        """Milliseconds within which the job earns all its value."""
        route = self.environment.route_of(queue=job.queue_identity)
        target_ms, stretch = (route.target_ms, route.stretch) if route else (DEFAULT_TARGET_MS, DEFAULT_STRETCH)
        estimate_ms = sum(step.estimate_ms for step in job.steps)
        return max(target_ms + stretch * estimate_ms, MIN_TARGET_MS)

    def priority(self, *, job: Job, job_id: str, unit_key: str, first_seen: float) -> tuple[Priority, float]:
        """A group's priority, and when its job can earn nothing any more (wall seconds).

        Args:
            job: The job.
            job_id: Its id.
            unit_key: The group's unit: "run.step".
            first_seen: When the group entered the queue first, monotonic seconds.
        """
        run, step = unit_key.split(".")
        due_ms = job.first_run_ms + job.period_ms * int(run) if job.repeat_count else job.accepted_at_ms
        target_ms = self.target_ms(job=job)
        remaining_ms = sum(later.estimate_ms for later in job.steps[int(step) :])
        worthless_after = (due_ms + WORTHLESS_AFTER_TARGETS * target_ms) / 1000
        priority = Priority(
            is_worthless=self.environment.wall_now > worthless_after,
            rank=self.rank(job=job),
            latest_start_ms=due_ms + target_ms - remaining_ms,
            first_seen=first_seen,
            job_id=job_id,
            unit_key=unit_key,
        )
        return priority, worthless_after

    def priority_fields(self, *, queue: QueueIdentity) -> tuple[Any, ...]:
        """What service and priority of a queue's groups rest on; empty where the queue is no more."""
        route = self.environment.route_of(queue=queue)
        return (route.backend, route.rank, route.target_ms, route.stretch) if route is not None else ()

    def is_reached_at(self, *, queue: QueueIdentity, called: QueueIdentity) -> bool:
        """Whether a call finds the jobs of a queue.

        It does at the same URLs, whatever the routes there were called before and after. A route that moved takes its
        jobs with it, as long as no other route stands at the URLs that it left.

        Args:
            queue: As its jobs name it.
            called: As the call names it.
        """
        if queue.address is UNSET or called.address is UNSET:
            return queue.name == called.name
        if queue.address.has_same_urls(called.address):
            return True
        if queue.name != called.name:
            return False
        route = self.environment.route_of(queue=queue)
        return route is None or not route.address.has_same_urls(queue.address)
