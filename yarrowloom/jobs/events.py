"""Events of a job group: each change of its state, as its log holds them."""

import enum

from msgspec import UNSET, UnsetType

from ..common.records import Record, TaggedDecoder
from ..transactions import CommitBatch
from .submission import AcceptedJob


class RunOutcome(str, enum.Enum):
    """How a run of a task ended. Only FAILED counts as an attempt; any outcome but DONE lets the task run again."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"  # asked to stop, with its progress saved where it takes checkpoints
    LAPSED = "lapsed"  # its minion's lease ended
    LOST = "lost"  # its minion is gone
    VOID = "void"  # its order never reached the minion: it never started
    ALONE = "alone"  # a gang's member that waited for the others in vain
    BROKEN = "broken"  # another member of its gang ended


# Outcomes of runs that minions had begun. A run that is LOST or VOID, or was refused, may never have begun.
BEGUN_OUTCOMES = frozenset(
    outcome.value
    for outcome in (
        RunOutcome.DONE,
        RunOutcome.FAILED,
        RunOutcome.STOPPED,
        RunOutcome.LAPSED,
        RunOutcome.ALONE,
        RunOutcome.BROKEN,
    )
)


class JobEventRecord(Record, frozen=True, kw_only=True, tag_field="t"):
    """Base of all events of a job group."""


class JobSubmitted(JobEventRecord, frozen=True, kw_only=True, tag="job", rename={"job_id": "id", "job": "j"}):
    """A job was accepted; a job id that is known is passed over."""

    job_id: str
    job: AcceptedJob


class RunDue(JobEventRecord, frozen=True, kw_only=True, tag="due", rename={"job_id": "id", "run": "k"}):
    """The time of a repeated job's next run has come.

    Attributes:
        run: The run's number, from 0.
    """

    job_id: str
    run: int


class TaskStart(Record, frozen=True, kw_only=True, array_like=True):
    """One task's new run. Encoded as an array of its fields, in this order.

    Attributes:
        index: The task's index in its unit.
        run_id: Number of the task's run, above those of its earlier runs.
        minion_id: Where it runs.
    """

    index: int
    run_id: int
    minion_id: str


class RunEnd(Record, frozen=True, kw_only=True, array_like=True):
    """How a run ended whose place entry a commit deletes.

    Attributes:
        outcome: A `RunOutcome`, or the word of a newer release, which lets the task run again.
        saved_progress: What the task saved for its next run, empty if nothing.
        max_attempts: Failed runs of a task that fail the job.
        has_end_time: It ended at the time of the commit; False: when it ended isn't known.
    """

    outcome: str
    saved_progress: str
    max_attempts: int
    has_end_time: bool


class PlacementsChanged(
    JobEventRecord,
    frozen=True,
    kw_only=True,
    tag="tx",
    rename={"batch": "b", "ends": "e", "is_begin_reported": "br"},
):
    """A transaction on place entries and debits of tenants: runs of tasks begin and end by it and by nothing else.

    Attributes:
        batch: The commit.
        ends: How the runs ended whose place entries it deletes, in the order of these in the write set.
        is_begin_reported: Its starts are orders that may yet be carried out or not: `JobsBegun` or an end tells that
            a task has begun. Unset: a start makes its job active, as in logs of releases without `JobsBegun`.
    """

    batch: CommitBatch
    ends: list[RunEnd]
    is_begin_reported: bool | UnsetType = UNSET


class JobsBegun(JobEventRecord, frozen=True, kw_only=True, tag="begun", rename={"job_ids": "ids"}):
    """Minions were seen to run tasks of these jobs; jobs that are not pending are passed over."""

    job_ids: list[str]


class TasksStarted(
    JobEventRecord,
    frozen=True,
    kw_only=True,
    tag="start",
    rename={"job_id": "id", "unit_key": "u", "starts": "x", "started_at_ms": "at"},
):
    """Tasks of one unit were given to minions: in logs of releases before `PlacementsChanged`.

    Attributes:
        started_at_ms: Wall time in milliseconds; 0 in events of releases that did not record it.
    """

    job_id: str
    unit_key: str
    starts: list[TaskStart]
    started_at_ms: int = 0


class TaskEnded(
    JobEventRecord,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag="end",
    rename={
        "job_id": "id",
        "unit_key": "u",
        "index": "i",
        "run_id": "run",
        "outcome": "how",
        "saved_progress": "v",
        "max_attempts": "mt",
        "ended_at_ms": "at",
    },
):
    """A run of a task ended; passed over unless it is the task's newest and may be alive.

    In logs it stands only in those of releases before `PlacementsChanged`.

    Attributes:
        outcome: A `RunOutcome`, or the word of a newer release, which lets the task run again.
        saved_progress: What the task saved for its next run, empty if nothing.
        max_attempts: Failed runs of a task that fail the job.
        ended_at_ms: Wall time in milliseconds; 0 if it isn't known.
    """

    job_id: str
    unit_key: str
    index: int
    run_id: int
    outcome: str
    saved_progress: str
    max_attempts: int
    ended_at_ms: int = 0


class MinionLost(
    JobEventRecord,
    frozen=True,
    kw_only=True,
    tag="lost",
    rename={"minion_id": "m", "runs": "x", "saved_progress": "v"},
):
    """A minion is gone with what it ran: in logs of releases before `PlacementsChanged`.

    Attributes:
        runs: Task names and run ids that are lost; None: all that ran there.
        saved_progress: By task name, what the tasks had saved.
    """

    minion_id: str
    runs: list[tuple[str, int]] | None
    saved_progress: dict[str, str]


class JobCancelled(
    JobEventRecord,
    frozen=True,
    kw_only=True,
    tag="cancel",
    rename={"job_id": "id", "cancelled_at_ms": "at", "is_early": "early"},
):
    """A caller cancelled a job; one that has ended is passed over.

    Attributes:
        cancelled_at_ms: Wall time in milliseconds; 0 if it isn't known.
        is_early: The job isn't known, and submissions of it that may be older are to be refused from now on. Unset: a
            job that isn't known is passed over.
    """

    job_id: str
    cancelled_at_ms: int = 0
    is_early: bool | UnsetType = UNSET


class JobsForgotten(JobEventRecord, frozen=True, kw_only=True, tag="forget", rename={"job_ids": "ids"}):
    """The time for which ended jobs are kept is over; those of which something still runs are passed over."""

    job_ids: list[str]


JobEvent = (
    JobSubmitted
    | RunDue
    | PlacementsChanged
    | JobsBegun
    | TasksStarted
    | TaskEnded
    | MinionLost
    | JobCancelled
    | JobsForgotten
)
_DECODER: TaggedDecoder[JobEvent] = TaggedDecoder(
    JobSubmitted,
    RunDue,
    PlacementsChanged,
    JobsBegun,
    TasksStarted,
    TaskEnded,
    MinionLost,
    JobCancelled,
    JobsForgotten,
)


def decode_job_event(document: object) -> JobEvent:
    """The event that a document of the log stands for.

    Raises:
        MalformedRecordError: The kind is unknown, or a field is missing or of another type.

    >>> decode_job_event({"t": "due", "id": "5c0e7a21d94b36f8", "k": 0})
    RunDue(job_id='5c0e7a21d94b36f8', run=0)
    """
    return _DECODER.decode(document)


def job_event_tags() -> frozenset[str]:
    """The tags of all events, as they stand in the log."""
    return _DECODER.tags
