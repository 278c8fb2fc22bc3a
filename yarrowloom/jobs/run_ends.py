"""Ends of runs: what a commit's deleted place entries say, and the stops of what still runs."""

from collections.abc import Iterator

from ..kv import PlaceEntry
from ..transactions import Change, wall_ms
from .effects import StopTask
from .events import RunEnd, TaskEnded
from .model import RUNNING, Unit
from .submission import Step
from .task_name import TaskAddress, task_name


def end_of(address: TaskAddress, *, change: Change, end: RunEnd) -> TaskEnded:
    """The end of the run whose place entry a commit deleted."""
    entry = change.record.previous.value if change.record.previous is not None else None
    assert isinstance(entry, PlaceEntry), "only an entry that stands can be deleted on its ETag"
    return TaskEnded(
        job_id=address.job_id,
        unit_key=address.unit_key,
        index=address.task_index,
        run_id=entry.run_id,
        outcome=end.outcome,
        saved_progress=end.saved_progress,
        max_attempts=end.max_attempts,
        ended_at_ms=wall_ms(time=change.record.valid_from) if end.has_end_time else 0,
    )


def shared_index_of(*, step: Step, index: int) -> int:
    """Where a task's progress and failures are kept: a gang shares those of its first member."""
    return 0 if step.is_gang else index


def stops_of(*, job_id: str, unit_key: str, unit: Unit) -> Iterator[StopTask]:
    """Stop all that runs of a unit."""
    for index in unit.indices(state=RUNNING):
        yield StopTask(
            minion_id=unit.minion_ids[index],
            job_id=job_id,
            task=task_name(job_id=job_id, unit_key=unit_key, index=index),
            run_id=unit.run_ids[index],
        )
