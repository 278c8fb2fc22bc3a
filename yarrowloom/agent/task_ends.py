"""Reports the ends of runs to their groups until they are durable there."""

from ..jobs.submission import group_of, is_job_id
from ..jobs.task_name import parse_task_name
from .messages import TaskEnd, TaskEndsAcknowledged, TaskEndsReport
from .minion import Minion
from .minion_table import MinionTable
from .task_runs import TaskRuns
from .timing import NEVER

REPORT_AGAIN_S = 0.5


class TaskEndReporter:
    """Passes ends on from minions to schedulers, and their acknowledgements back."""

    def __init__(self, *, table: MinionTable, runs: TaskRuns) -> None:
        self._table = table
        self._runs = runs

    def report(self, minion: Minion) -> None:
        """Report ends that their groups have not acknowledged; each at most every `REPORT_AGAIN_S`."""
        if not minion.ends:
            return
        environment = self._table.environment
        now = environment.now
        reports: dict[int, list[TaskEnd]] = {}
        for number, end in sorted(minion.ends.items()):
            if number in minion.acknowledged_ends or now - minion.end_reported_at.get(number, NEVER) < REPORT_AGAIN_S:
                continue
            group_id = self._group_of(end)
            if group_id is None:
                minion.acknowledged_ends.add(number)  # of no job: nobody will ever acknowledge it
            elif group_id in minion.attachments:
                minion.end_reported_at[number] = now
                reports.setdefault(group_id, []).append(end)
        for group_id, ends in reports.items():
            primary = environment.primary(group_id=group_id)
            if primary is not None:
                message = TaskEndsReport(group_id=group_id, minion_id=minion.minion_id, fence=minion.fence, ends=ends)
                environment.send_message(node_id=primary[0], message=message)
        minion.skip_acknowledged_ends()

    def acknowledge(self, message: TaskEndsAcknowledged) -> Minion | None:
        """A group has ends in its record, on both its disks. Returns their minion, if it is still owned."""
        minion = self._table.find(minion_id=message.minion_id, fence=message.fence)
        if minion is None:
            return None
        for end in message.ends:
            if end.number in minion.ends:
                minion.acknowledged_ends.add(end.number)
            self._runs.forget(minion, task=end.task, run=end.run)
        minion.skip_acknowledged_ends()
        return minion

    def _group_of(self, end: TaskEnd) -> int | None:
        """The group of the job that an end belongs to; None: the task's name is no published one."""
        address = parse_task_name(end.task)
        if address is None or not is_job_id(text=address.job_id):
            return None
        return group_of(job_id=address.job_id, groups=len(self._table.group_ids))
