"""Attaching minions: claim, attachment, verdict. See the package for what all messages have in common."""

from typing import ClassVar

from msgspec import UNSET, UnsetType

from ...common.records import Record
from ...common.resources import Resources
from ...transport.message import Message
from ...transport.message_kinds import Kind


class ClaimedMinion(Record, frozen=True, kw_only=True, array_like=True):
    """One minion that an agent wants attached.

    Attributes:
        fence: Number that group 0 gave with the ownership of the minion; rises with each owner.
        service: The back end whose tasks the minion runs.
        labels: By the published order the minion's kind comes first and its rack second.
        capacity: All that the minion offers, in use or not.
    """

    minion_id: str
    fence: int
    service: str
    zone: str
    labels: list[str]
    capacity: Resources


class ClaimMinions(Message, frozen=True, kw_only=True, rename={"group_id": "g", "minions": "x"}):
    """Agent to scheduler: attach these minions, which this agent owns. Repeated until they are attached."""

    KIND: ClassVar[Kind] = Kind.CLAIM_MINIONS

    group_id: int
    minions: list[ClaimedMinion]


class RecordedRun(Record, frozen=True, kw_only=True, array_like=True):
    """One run that the group's record has on a minion.

    Attributes:
        task: Name of the task: job, repetition, step and index, joined by dots.
        run: Number of the run; rises with each start of the task.
        millicores: Thousandths of a processor core.
        memory_mb: Megabytes of memory.
        gpus: Accelerators.
        estimate_ms: Expected run time in milliseconds; below 0 for a task that runs until it is stopped.
    """

    task: str
    run: int
    millicores: int
    memory_mb: int
    gpus: int
    estimate_ms: int


class AttachMinion(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "group_id": "g",
        "epoch_number": "n",
        "attachment": "seq",
        "minion_id": "m",
        "fence": "f",
        "runs": "x",
        "pending_jobs": "pj",
    },
):
    """Scheduler to agent: the minion is attached; these runs are recorded on it.

    Attributes:
        epoch_number: Number of the epoch in which the scheduler serves its group.
        attachment: Number of this attachment; rises within an epoch. Leases granted and orders sent under an earlier
            attachment of the minion are void.
        pending_jobs: Jobs of `runs` of which no task is known to have begun; unset: none, or an earlier release.
    """

    KIND: ClassVar[Kind] = Kind.ATTACH_MINION

    group_id: int
    epoch_number: int
    attachment: int
    minion_id: str
    fence: int
    runs: list[RecordedRun]
    pending_jobs: list[str] | UnsetType = UNSET


class UnstartedRun(Record, frozen=True, kw_only=True, array_like=True):
    """A recorded run that never started on the minion and never will."""

    task: str
    run: int


class AttachmentVerdict(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "group_id": "g",
        "epoch_number": "n",
        "attachment": "seq",
        "minion_id": "m",
        "fence": "f",
        "unstarted": "x",
    },
):
    """Agent to scheduler, in answer to `AttachMinion`: which of the recorded runs never started."""

    KIND: ClassVar[Kind] = Kind.ATTACHMENT_VERDICT

    group_id: int
    epoch_number: int
    attachment: int
    minion_id: str
    fence: int
    unstarted: list[UnstartedRun]
