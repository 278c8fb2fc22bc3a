"""The records that a job group keeps: jobs, and the tasks of their steps."""

import enum

import msgspec

from ..common.queue_identity import QueueAddress, QueueIdentity
from .submission import AcceptedJob, Step


class JobState(str, enum.Enum):
    """Where a job stands, as callers are shown it."""

    PENDING = "pending"  # no task is known to have begun, though some may be ordered
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED})
TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.PENDING: frozenset({JobState.ACTIVE, JobState.CANCELLED}),
    JobState.ACTIVE: frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED}),
    JobState.COMPLETE: frozenset(),
    JobState.FAILED: frozenset(),
    JobState.CANCELLED: frozenset(),
}


class TaskState(enum.IntEnum):
    """Where a task stands; the numbers are the encoded form."""

    WAITING = 0
    RUNNING = 1
    DONE = 2


WAITING, RUNNING, DONE = TaskState  # for hot paths: in Python 3.11, access by the enum's class takes 100 ns


class Unit(
    msgspec.Struct,
    kw_only=True,
    rename={
        "task_states": "s",
        "run_ids": "r",
        "minion_ids": "m",
        "failures": "f",
        "saved_progress": "v",
        "unfinished_tasks": "left",
        "last_failed_run": "fr",
        "started_at_ms": "t",
    },
):
    """The tasks of one step in one run of its job. All lists have one entry a task, by the task's index.

    Which tasks run, where and since when is copied from their place entries; a snapshot's load rebuilds it from them.

    Attributes:
        task_states: Invariant: a task is RUNNING exactly while it has a place entry: its run may be alive.
        run_ids: Number of each task's newest run, 0 before the first. Invariant: it only rises.
        minion_ids: Where each task's newest run was placed; empty before the first.
        failures: Failed runs of each task. A gang counts its failed runs at index 0.
        saved_progress: Newest progress that a task saved, empty if none. A gang keeps its progress at index 0.
        unfinished_tasks: Invariant: the count of tasks that are not DONE.
        last_failed_run: Number of a gang's newest run that was counted as failed, so that each counts once.
        started_at_ms: Wall time in milliseconds at which each RUNNING task began, by its index; a start that was
            recorded without a time is 0. Absent until a task starts.
    """

    task_states: list[TaskState]
    run_ids: list[int]
    minion_ids: list[str]
    failures: list[int]
    saved_progress: list[str]
    unfinished_tasks: int
    last_failed_run: int = 0
    started_at_ms: dict[int, int] | msgspec.UnsetType = msgspec.UNSET

    @classmethod
    def waiting(cls, *, task_count: int) -> "Unit":
        """A unit of which no task has run yet."""
        return cls(
            task_states=[WAITING] * task_count,
            run_ids=[0] * task_count,
            minion_ids=[""] * task_count,
            failures=[0] * task_count,
            saved_progress=[""] * task_count,
            unfinished_tasks=task_count,
        )

    def is_running(self, *, index: int, run_id: int) -> bool:
        """Whether this run of a task is its newest and may be alive; False also where there is no such task."""
        return index < len(self.task_states) and self.run_ids[index] == run_id and self.task_states[index] is RUNNING

    def indices(self, *, state: TaskState) -> list[int]:
        """Indices of the tasks in this state, in order."""
        return [index for index, task_state in enumerate(self.task_states) if task_state is state]

    def has_running_task(self) -> bool:
        """Whether a run of this unit may be alive."""
        return RUNNING in self.task_states


TRIMMED_KEYS = ("spec", "steps", "open", "u")  # encoded fields that a trimmed job does not have


class Job(
    msgspec.Struct,
    kw_only=True,
    rename={
        "first_run_ms": "first",
        "period_ms": "period",
        "repeat_count": "times",
        "service": "svc",
        "max_attempts": "mt",
        "queue": "q",
        "accepted_at_ms": "at",
        "state": "st",
        "next_run": "k",
        "open_runs": "open",
        "units": "u",
        "tenant": "tn",
        "is_beyond_share": "over",
        "address": "ad",
    },
):
    """One job with all its tasks. An ended job of which nothing runs any more is trimmed to what callers ask for.

    Attributes:
        spec: What the caller's minions are told to do; opaque.
        steps: Its stages. Invariant: empty exactly if the job is trimmed.
        first_run_ms: Wall time in milliseconds of its first run, if `repeat_count` is above 0.
        period_ms: Milliseconds between due times.
        repeat_count: How often it runs; 0: once, at once.
        service: The service on whose minions its tasks run while the queue has no route.
        max_attempts: Failed runs of a task that fail the job while the queue has no route; absent in old records.
        queue: The name of the queue it was submitted to. This, `accepted_at_ms` and `tenant` are copies of its
            submission entry.
        accepted_at_ms: Wall time in milliseconds at which it was accepted.
        tenant: The tenant that submitted it; empty: none.
        is_beyond_share: It is scheduled after jobs within their tenants' shares.
        address: Where its queue was reached when it was submitted; absent in old records.
        state: Invariant: it changes by `TRANSITIONS` only.
        next_run: Number of the run that is due next, from 0.
        open_runs: Numbers of the runs that have begun and are not finished.
        units: Tasks of each begun run, by `RUN.STEP`.
    """

    spec: str = ""
    steps: list[Step] = []
    first_run_ms: int
    period_ms: int
    repeat_count: int
    service: str
    max_attempts: int | msgspec.UnsetType = msgspec.UNSET
    queue: str
    accepted_at_ms: int
    state: JobState = JobState.PENDING
    next_run: int = 0
    open_runs: list[int] = []
    units: dict[str, Unit] = {}
    tenant: str = ""
    is_beyond_share: bool = False
    address: QueueAddress | msgspec.UnsetType = msgspec.UNSET

    @classmethod
    def accepted(cls, job: AcceptedJob) -> "Job":
        """A job of which no run has begun."""
        return cls(
            spec=job.spec,
            steps=job.steps,
            first_run_ms=job.first_run_ms,
            period_ms=job.period_ms,
            repeat_count=job.repeat_count,
            service=job.service,
            max_attempts=job.max_attempts,
            queue=job.queue,
            accepted_at_ms=job.accepted_at_ms,
            tenant=job.tenant,
            is_beyond_share=job.is_beyond_share,
            address=job.address,
        )

    @property
    def queue_identity(self) -> QueueIdentity:
        """What its queue is known by, whatever the route there is called now."""
        return QueueIdentity(self.queue, self.address)

    @property
    def has_ended(self) -> bool:
        """Whether it is complete, failed or cancelled; tasks of it may still run."""
        return self.state in ENDED

    @property
    def is_trimmed(self) -> bool:
        """Whether it has ended, nothing of it runs, and its steps and units are dropped."""
        return not self.steps

    def has_placed_task(self) -> bool:
        """Whether a run of any of its tasks was ever placed on a minion."""
        return any(run_id for unit in self.units.values() for run_id in unit.run_ids)

    def has_running_task(self) -> bool:
        """Whether a run of any of its tasks may be alive."""
        return any(unit.has_running_task() for unit in self.units.values())

    def step_of(self, *, unit_key: str) -> Step:
        """The step whose tasks a unit holds."""
        return self.steps[int(unit_key.split(".")[1])]

    def trim(self) -> None:
        """Drop what nobody asks of a job that has ended."""
        self.spec, self.steps, self.open_runs, self.units = "", [], [], {}
