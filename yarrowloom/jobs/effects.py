"""What follows from the events of a job group, for the scheduler of the group."""

from dataclasses import dataclass

from ..common.effects import Effect


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitReady(Effect):
    """A unit has a task that may start now."""

    job_id: str
    unit_key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTask(Effect):
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


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded(Effect):
    """A job is complete, failed or cancelled."""

    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTimed(Effect):
    """A job was accepted that runs at times of its own: its first run is to be scheduled."""

    job_id: str


JobEffect = UnitReady | StopTask | JobEnded | JobTimed
