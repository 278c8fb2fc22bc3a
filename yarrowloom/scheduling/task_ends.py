"""Ends of runs: those that minions report, and orders that never started."""

from collections.abc import Iterable

from ..agent.messages import AcknowledgedEnd, RejectedOrder, TaskEnd, TaskEndsAcknowledged, TaskEndsReport
from ..jobs.events import RunOutcome, TaskEnded
from ..jobs.model import Job
from ..jobs.task_name import TaskAddress, parse_task_name
from ..transport.effects import SendMessage
from .context import SchedulerContext
from .job_queue import JobQueue


class TaskEnds:
    """Notes ends in the record and learns from them which minions fail.

    Invariant: an end is acknowledged only once it is durable.
    """

    def __init__(self, *, context: SchedulerContext, job_queue: JobQueue) -> None:
        self.context = context
        self.job_queue = job_queue

    def report(self, *, node_id: str, report: TaskEndsReport) -> None:
        """Ends that an agent passes on."""
        failed_units: set[tuple[str, str]] = set()
        noted = [self._note(minion_id=report.minion_id, end=end, failed_units=failed_units) for end in report.ends]
        self.job_queue.commit_ends([end for end in noted if end is not None])
        message = TaskEndsAcknowledged(
            group_id=self.context.group_id,
            minion_id=report.minion_id,
            fence=report.fence,
            ends=[AcknowledgedEnd(number=end.number, task=end.task, run=end.run) for end in report.ends],
        )
        self.context.replica.barrier(then=SendMessage(node_id=node_id, message=message))

    def _note(self, *, minion_id: str, end: TaskEnd, failed_units: set[tuple[str, str]]) -> TaskEnded | None:
        """Learn from an end.

        Args:
            minion_id: The minion that listed it.
            end: The end.
            failed_units: Units of which an earlier end of this report was a failure.

        Returns:
            What is to be committed; None: the end is of no job whose tasks are kept.
        """
        address = parse_task_name(end.task)
        job = self.context.jobs.jobs.get(address.job_id) if address is not None else None
        lease = self.context.leases.by_task.pop(end.task, None)
        if lease is not None:
            self.context.leases.cache.put(lease=lease, now=self.context.environment.now)
        if address is None or job is None or job.is_trimmed:
            return None
        self._learn(minion_id=minion_id, job=job, address=address, end=end, failed_units=failed_units)
        self.context.running.ended(task=end.task, run=end.run)
        return TaskEnded(
            job_id=address.job_id,
            unit_key=address.unit_key,
            index=address.task_index,
            run_id=end.run,
            outcome=end.outcome,
            saved_progress=end.checkpoint,
            max_attempts=self.context.policy.max_attempts(job=job),
            ended_at_ms=self.context.wall_now_ms,
        )

    def _learn(
        self, *, minion_id: str, job: Job, address: TaskAddress, end: TaskEnd, failed_units: set[tuple[str, str]]
    ) -> None:
        """What an end tells of its minion."""
        job_id, unit_key, index = address.job_id, address.unit_key, address.task_index
        environment, capacity = self.context.environment, self.context.capacity
        if end.outcome == RunOutcome.ALONE:
            environment.note(event="gang-member-alone", task=end.task, run=end.run)
        unit = job.units.get(unit_key)
        if unit is None or not unit.is_running(index=index, run_id=end.run):
            return
        if end.outcome == RunOutcome.DONE:
            capacity.record_success(minion_id=minion_id)
        elif end.outcome == RunOutcome.FAILED:
            group = self.context.queue.groups.get((job_id, unit_key))
            if group is not None:
                group.failed_minion_ids.add(minion_id)
            is_first_failure = not any(unit.failures) and (job_id, unit_key) not in failed_units
            failed_units.add((job_id, unit_key))
            if is_first_failure and capacity.record_failure(
                minion_id=minion_id, job_id=job_id, now=self.context.environment.now
            ):
                streak = capacity.minions[minion_id].failure_streak
                environment.note(event="minion-avoided", minion=minion_id, streak=streak)

    def never_started(self, orders: Iterable[RejectedOrder]) -> None:
        """Runs whose orders were not carried out and never will be: their tasks wait again."""
        for order in orders:
            minion = self.context.capacity.current(minion_id=order.minion_id, attachment=order.attachment)
            address = parse_task_name(order.task)
            if address is None or minion is None:
                continue
            lease = self.context.leases.by_task.pop(order.task, None)
            if lease is not None:
                self.context.leases.give_back([lease])
            job_id, unit_key, index = address.job_id, address.unit_key, address.task_index
            job = self.context.jobs.jobs.get(job_id)
            unit = job.units.get(unit_key) if job is not None else None
            if unit is None or not unit.is_running(index=index, run_id=order.run):
                continue
            if unit.minion_ids[index] == order.minion_id:
                self._note_never_started(order=order, address=address)

    def _note_never_started(self, *, order: RejectedOrder, address: TaskAddress) -> None:
        job_id, unit_key, index = address.job_id, address.unit_key, address.task_index
        self.context.running.ended(task=order.task, run=order.run)
        end = TaskEnded(
            job_id=job_id,
            unit_key=unit_key,
            index=index,
            run_id=order.run,
            outcome=RunOutcome.VOID.value,
            saved_progress="",
            max_attempts=1,
        )
        self.job_queue.commit_ends([end])
