"""What follows from the events of a job group, for the scheduler of the group."""

from ..common.effects import Effect


class UnitReady(Effect, frozen=True, kw_only=True):
    """A unit has a task that may start now."""

    job_id: str
    unit_key: str


class StopTask(Effect, frozen=True, kw_only=True):
    """A run is to be stopped.

    Attributes:
        minion_id: Where it runs.
        task: The task's name.
        run_id: Number of the run.
    """

    minion_id: str
    job_id: str
    task: str
    run_id: int


class JobEnded(Effect, frozen=True, kw_only=True):
    """A job is complete, failed or cancelled."""

    job_id: str


class JobTimed(Effect, frozen=True, kw_only=True):
    """A job was accepted that runs at times of its own: its first run is to be scheduled."""

    job_id: str


JobEffect = UnitReady | StopTask | JobEnded | JobTimed
