"""Jobs whose first task was seen to run: from then on they are active, and no longer counted as pending."""

from ..agent.messages import TasksBegun
from ..jobs.events import JobsBegun
from ..jobs.model import JobState
from ..jobs.task_name import parse_task_name
from .context import SchedulerContext
from .job_queue import JobQueue


class BegunJobs:
    """Takes agents' word that runs have begun.

    Invariant: an order alone begins nothing. It may never reach its minion, so until a heartbeat lists the run, or its
    end, the job stays pending.
    """

    def __init__(self, *, context: SchedulerContext, job_queue: JobQueue) -> None:
        self.context = context
        self.job_queue = job_queue

    def report(self, report: TasksBegun) -> None:
        """Runs that an agent saw in a heartbeat of their minion; what is out of date is passed over."""
        begun = {self._pending_job_of(minion_id=report.minion_id, task=run.task, run=run.run) for run in report.runs}
        job_ids = sorted(job_id for job_id in begun if job_id)
        if job_ids:
            self.job_queue.commit(JobsBegun(job_ids=job_ids))

    def _pending_job_of(self, *, minion_id: str, task: str, run: int) -> str:
        """The job that a run belongs to; empty if it is not pending, or if the run is not its task's newest there."""
        address = parse_task_name(task)
        job = self.context.jobs.jobs.get(address.job_id) if address is not None else None
        if address is None or job is None or job.state is not JobState.PENDING:
            return ""
        unit, index = job.units.get(address.unit_key), address.task_index
        if unit is None or not unit.is_running(index=index, run_id=run) or unit.minion_ids[index] != minion_id:
            return ""
        return address.job_id
