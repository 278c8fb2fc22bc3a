"""The job queue: derives pod groups from the jobs in the record, commits events and follows what they bring about."""

from typing import Any

from ..agent.messages import StoppedRun
from ..common.effects import Effect
from ..common.queue_identity import QueueIdentity
from ..jobs.effects import JobEnded, JobTimed, StopTask, UnitReady
from ..jobs.events import JobEvent, JobsForgotten, RunDue, TaskEnded
from ..jobs.model import WAITING, Job
from ..jobs.placements import size_of
from .context import SchedulerContext
from .effects import StopRuns
from .live_jobs import LiveJobs
from .pod_group import Phase, PodGroup
from .repeated_jobs import RepeatedJobs
from .retention import EndedJobs


class JobQueue:
    """The jobs of a group, as far as they wait.

    Invariant: a unit with a task to start, whose turn has come, has a group in the scheduling queue.

    Attributes:
        live_jobs: Jobs that have not ended.
        repeated: When repeated jobs are due.
        ended: Jobs that have ended and are still shown.
        priority_fields: By queue with a group, the configuration that its groups were ranked by.
    """

    def __init__(self, *, context: SchedulerContext, retention_s: float, memory_mb: int) -> None:
        self.context = context
        self.live_jobs = LiveJobs(memory_mb=memory_mb)
        self.repeated = RepeatedJobs(jobs=context.jobs)
        self.ended = EndedJobs(jobs=context.jobs, retention_s=retention_s)
        self.priority_fields: dict[QueueIdentity, tuple[Any, ...]] = {}
        for job_id, job in context.jobs.jobs.items():
            self._adopt(job_id=job_id, job=job)

    def _adopt(self, *, job_id: str, job: Job) -> None:
        """Take over a job from the scheduler before this one."""
        if job.has_ended:
            self.ended.add(job_id=job_id, now=self.context.environment.now)
        else:
            self.live_jobs.add(job_id=job_id, job=job)
            if job.repeat_count and job.next_run < job.repeat_count:
                self.repeated.schedule(job_id=job_id)
        for unit_key, unit in job.units.items():
            is_waiting = not job.has_ended and unit.unfinished_tasks and WAITING in unit.task_states
            if is_waiting and _may_start(job=job, unit_key=unit_key):
                self.enter(job_id=job_id, unit_key=unit_key)
                self.context.queue.groups[job_id, unit_key].was_adopted = True
            self.context.running.adopt(job_id=job_id, job=job, unit_key=unit_key)

    # -- groups

    def enter(self, *, job_id: str, unit_key: str) -> None:
        """A unit has a task to start: its group enters the scheduling queue, or becomes active again."""
        job, queue = self.context.jobs.jobs[job_id], self.context.queue
        if job.has_ended:
            return
        group = queue.groups.get((job_id, unit_key))
        if group is None:
            group = self._new_group(job_id=job_id, job=job, unit_key=unit_key)
            queue.add(group=group)
        elif group.phase is Phase.BOUND:
            group.waiting_since, group.failed_cycles = self.context.environment.now, 0
            group.was_adopted = False
            if group.ordinary_rank is not None:
                self._restore_rank(group=group)
            queue.activate(group=group)
        self.count_waiting(group=group)

    def _restore_rank(self, *, group: PodGroup) -> None:
        """A group that went before all ranks waits anew."""
        priority, _ = self.context.policy.priority(
            job=self.context.jobs.jobs[group.job_id],
            job_id=group.job_id,
            unit_key=group.unit_key,
            first_seen=group.first_seen,
        )
        self.context.queue.reprioritize(group=group, priority=priority, service=group.service)

    def _new_group(self, *, job_id: str, job: Job, unit_key: str) -> PodGroup:
        policy, now = self.context.policy, self.context.environment.now
        step = job.step_of(unit_key=unit_key)
        priority, worthless_after = policy.priority(job=job, job_id=job_id, unit_key=unit_key, first_seen=now)
        queue_identity = job.queue_identity
        if queue_identity not in self.priority_fields:
            self.priority_fields[queue_identity] = policy.priority_fields(queue=queue_identity)
        group = PodGroup(
            job_id=job_id,
            unit_key=unit_key,
            tenant=job.tenant,
            service=policy.service(job=job),
            size=size_of(step),
            priority=priority,
            waiting_since=now,
            first_seen=now,
            required_label=step.required_label,
            preferred_label=step.preferred_label,
            is_gang=step.is_gang,
            prefers_same_rack=step.prefers_same_rack,
            max_per_minion=step.max_per_minion,
            estimate_ms=step.estimate_ms,
            is_long_running=step.is_long_running,
            worthless_after=worthless_after,
        )
        index = self.context.capacity.services.get(group.service)
        if index is not None and index.minion_count > 0:
            group.exceeds_cluster = not self.context.capacity.could_ever_hold(
                service=group.service,
                size=group.size,
                required_label=group.required_label,
                count=step.task_count if group.is_gang else 1,
            )
        return group

    def count_waiting(self, *, group: PodGroup) -> None:
        """Count how many members of a group wait, and how many its tenant's quota is reserved for."""
        self.context.quotas.reserve(group=group)
        if group.phase is Phase.THROTTLED:
            return
        unit = self.context.jobs.jobs[group.job_id].units[group.unit_key]
        count = unit.task_states.count(WAITING) - len(group.binding)
        self.context.queue.set_waiting(group=group, count=0 if group.exceeds_cluster else count)

    def _leave(self, *, job_id: str) -> None:
        """A job's groups are gone, and what was reserved for them."""
        queue = self.context.queue
        tenant = self.context.jobs.jobs[job_id].tenant
        for unit_key in list(queue.unit_keys_by_job.get(job_id, ())):
            self.context.nominator.drop(unit_id=(job_id, unit_key), now=self.context.environment.now)
            self.context.quotas.forget(group=queue.groups[job_id, unit_key])
            queue.remove(job_id=job_id, unit_key=unit_key)
        if tenant:
            self.quota_released(tenants={tenant})

    def on_config_change(self) -> None:
        """A newer configuration: ranks, targets and services of queues, and bounds of tenants, may differ."""
        self.wake(self.context.quotas.wake_all())
        policy, jobs = self.context.policy, self.context.jobs.jobs
        former = self.priority_fields
        self.priority_fields = {queue: policy.priority_fields(queue=queue) for queue in former}
        changed = {queue for queue, fields in self.priority_fields.items() if fields != former[queue]}
        if not changed:
            return
        for (job_id, unit_key), group in list(self.context.queue.groups.items()):
            job = jobs[job_id]
            if job.queue_identity in changed:
                priority, group.worthless_after = policy.priority(
                    job=job, job_id=job_id, unit_key=unit_key, first_seen=group.first_seen
                )
                service = policy.service(job=job)
                self.context.queue.reprioritize(group=group, priority=priority, service=service)

    # -- events

    def commit(self, event: JobEvent, *, then: Effect | None = None) -> None:
        """Commit an event to the record, and follow at once what it brings about.

        Args:
            event: The event.
            then: Carried out once the event is durable.
        """
        stops: list[StoppedRun] = []
        for effect in self.context.replica.commit(event=event, then=then):
            match effect:
                case UnitReady():
                    self.enter(job_id=effect.job_id, unit_key=effect.unit_key)
                case StopTask():
                    stops.append(self._stop(effect=effect))
                case JobEnded():
                    self._job_ended(job_id=effect.job_id)
                case JobTimed():
                    self.repeated.schedule(job_id=effect.job_id)
        if stops:
            self.context.replica.barrier(then=StopRuns(group_id=self.context.group_id, runs=stops))

    def commit_ends(self, ends: list[TaskEnded]) -> None:
        """Commit ends of runs in one transaction: their place entries go, and their tenants' debits fall.

        Raises:
            TransactionConflictError: Another transaction has prepared one of the records; nothing is committed.
        """
        jobs = self.context.jobs.jobs
        released = self.context.placements.release(ends=ends, wall_ms=self.context.wall_now_ms)
        if released is not None:
            tenants = {jobs[end.job_id].tenant for end in ends if end.job_id in jobs}
            self.commit(released)
            self.quota_released(tenants=tenants)

    def quota_released(self, *, tenants: set[str]) -> None:
        """Tasks of these tenants ended or were not bound: groups that waited for that are active again."""
        self.wake(self.context.quotas.released(tenants=tenants))

    def wake(self, groups: list[PodGroup]) -> None:
        """Groups that were throttled are active again: their work waits for minions."""
        for group in groups:
            self.count_waiting(group=group)

    def _stop(self, *, effect: StopTask) -> StoppedRun:
        run = StoppedRun(minion_id=effect.minion_id, task=effect.task, run=effect.run_id)
        if self.context.jobs.jobs[effect.job_id].has_ended:
            self.context.cancellation.repeat_until_ended(run=run)
        return run

    def _job_ended(self, *, job_id: str) -> None:
        job = self.context.jobs.jobs[job_id]
        self.live_jobs.remove(job_id=job_id)
        self.ended.add(job_id=job_id, now=self.context.environment.now)
        self.context.environment.trace(
            event="job-ended",
            id=job_id,
            queue=job.queue,
            state=job.state.value,
            ms=self.context.wall_now_ms - job.accepted_at_ms,
        )
        self._leave(job_id=job_id)

    # -- time

    def begin_due_runs(self) -> None:
        """Begin the runs of repeated jobs that are due."""
        for job_id in self.repeated.take_due(wall_now_ms=self.context.environment.wall_now * 1000):
            self.commit(RunDue(job_id=job_id, run=self.context.jobs.jobs[job_id].next_run))

    def forget_ended(self) -> None:
        """Forget jobs that ended long enough ago."""
        job_ids = self.ended.take_expired(now=self.context.environment.now)
        if job_ids:
            self.commit(JobsForgotten(job_ids=job_ids))


def _may_start(*, job: Job, unit_key: str) -> bool:
    """Whether the steps before a unit are finished, and no member runs if it is a gang."""
    run, _ = unit_key.split(".")
    step = job.step_of(unit_key=unit_key)
    if any(job.units[f"{run}.{earlier}"].unfinished_tasks for earlier in step.depends_on):
        return False
    return not (step.is_gang and job.units[unit_key].has_running_task())
