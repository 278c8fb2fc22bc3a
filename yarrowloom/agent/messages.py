"""Messages between agents and the schedulers of job groups, and between agents.

Every message to or from a scheduler names its job group. A minion is named together with the fence under which the
agent owns it, or with the number of its attachment: a receiver passes over what belongs to an older one.
Rows (`...Row` and the like) are encoded as lists, in the order of their fields.
"""

from typing import Annotated, ClassVar

import msgspec
from msgspec import UNSET, UnsetType

from ..common.records import Record
from ..common.resources import Resources
from ..transport.message import Message
from ..transport.message_kinds import Kind

LARGEST_INT = 2**53  # the whole numbers that every JSON parser keeps exactly

# A number that a minion chose: bounded where it enters, so that every message that repeats it can be encoded.
MinionInt = Annotated[int, msgspec.Meta(ge=-LARGEST_INT, le=LARGEST_INT)]

# -- attaching minions: claim, attachment, verdict


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


# -- leases: request, grant, return


class MinionCount(Record, frozen=True, kw_only=True, array_like=True):
    """How many leases are wanted on one minion."""

    minion_id: str
    count: int


class LeaseRequest(
    Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={
        "group_id": "g",
        "request_id": "rid",
        "service": "svc",
        "millicores": "cpu",
        "memory_mb": "mem",
        "gpus": "gpu",
        "required_label": "req",
        "preferred_label": "near",
        "count": "n",
        "asked_agents": "been",
        "max_per_minion": "apart",
        "members_by_minion": "avoid",
        "minions": "on",
        "all_or_nothing": "all",
        "hold_s": "mark",
    },
):
    """Scheduler to agent: grant `count` leases, each of the given size.

    Attributes:
        request_id: Number by which the grant names its request; no two epochs of a group share one.
        service: Only minions of this back end.
        millicores: Thousandths of a core, for each lease.
        memory_mb: Megabytes, for each lease.
        gpus: Accelerators, for each lease.
        required_label: Only minions with this label; empty: any.
        preferred_label: Minions with this label first (where the data is); empty: none.
        asked_agents: Agents that have been asked already, this one included: not to be named as redirect.
        max_per_minion: At most this many members of the group on one minion; 0: any number.
        members_by_minion: Members that run, or are about to, by minion; counts against `max_per_minion`.
        minions: What a scheduling cycle chose; empty: the agent chooses.
        all_or_nothing: Grant all leases or none (gang scheduling).
        hold_s: Seconds that an unused lease is held; 0: the agent's default.
    """

    KIND: ClassVar[Kind] = Kind.LEASE_REQUEST

    group_id: int
    request_id: int
    service: str
    millicores: int
    memory_mb: int
    gpus: int
    required_label: str
    preferred_label: str
    count: int
    asked_agents: list[str]
    max_per_minion: int
    members_by_minion: dict[str, int]
    minions: list[MinionCount]
    all_or_nothing: bool = False
    hold_s: float = 0.0

    @property
    def size(self) -> Resources:
        """What each lease is to hold."""
        return Resources(self.millicores, self.memory_mb, self.gpus)


class GrantedLease(Record, frozen=True, kw_only=True, array_like=True):
    """One lease: an exclusive reservation of resources on one minion.

    Attributes:
        lease_id: Unique for the agent's process and all its incarnations.
        attachment: The minion's attachment under which the lease is granted; void with it.
    """

    lease_id: int
    minion_id: str
    attachment: int


class FreeCapacity(Record, frozen=True, kw_only=True, array_like=True):
    """What nobody has leased of one minion that is open to new work.

    A number below 0 says that more is in use there than the minion offers now.

    Attributes:
        millicores: Thousandths of a core.
        memory_mb: Megabytes.
        gpus: Accelerators.
    """

    minion_id: str
    millicores: int
    memory_mb: int
    gpus: int

    @classmethod
    def of(cls, *, minion_id: str, free: Resources) -> "FreeCapacity":
        """The row of a minion with this much free."""
        return cls(minion_id=minion_id, millicores=free.millicores, memory_mb=free.memory_mb, gpus=free.gpus)


class LeaseGrant(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "group_id": "g",
        "request_id": "rid",
        "leases": "x",
        "redirect": "to",
        "free": "r",
        "size": "size",
    },
):
    """Agent to scheduler, in answer to `LeaseRequest`: the leases that are granted, perhaps none.

    Attributes:
        redirect: Another agent that seems to have the capacity that is missing; empty: none is known.
        free: What is left on the open ones of the minions that the request named.
        size: What each lease holds.
    """

    KIND: ClassVar[Kind] = Kind.LEASE_GRANT

    group_id: int
    request_id: int
    leases: list[GrantedLease]
    redirect: str
    free: list[FreeCapacity]
    size: Resources


class ReturnedLease(Record, frozen=True, kw_only=True, array_like=True):
    """A lease that its holder does not need any more."""

    minion_id: str
    lease_id: int


class LeaseReturn(Message, frozen=True, kw_only=True, rename={"group_id": "g", "leases": "x"}):
    """Scheduler to agent: these leases are given back."""

    KIND: ClassVar[Kind] = Kind.LEASE_RETURN

    group_id: int
    leases: list[ReturnedLease]


# -- runs: orders, rejected orders, stops


class TaskOrder(Record, frozen=True, kw_only=True, array_like=True):
    """Start one run, whose start is durable in the group's record, on a lease.

    Attributes:
        attachment: The minion's attachment under which the lease was granted.
        checkpoint: What the task's last checkpoint left; empty: nothing.
        estimate_ms: Expected run time in milliseconds; below 0 for a task that runs until it is stopped.
    """

    minion_id: str
    attachment: int
    lease_id: int
    task: str
    run: int
    checkpoint: str
    estimate_ms: int


class TaskOrders(
    Message,
    frozen=True,
    kw_only=True,
    rename={"group_id": "g", "epoch_number": "n", "specs": "sp", "orders": "x", "pending_jobs": "pj"},
):
    """Scheduler to agent: start these runs.

    Attributes:
        specs: The task specification of each job that an order belongs to, by job.
        pending_jobs: Those of them of which no task is known to have begun; unset: none, or an earlier release.
    """

    KIND: ClassVar[Kind] = Kind.TASK_ORDERS

    group_id: int
    epoch_number: int
    specs: dict[str, str]
    orders: list[TaskOrder]
    pending_jobs: list[str] | UnsetType = UNSET


class RejectedOrder(Record, frozen=True, kw_only=True, array_like=True):
    """An order that was not carried out and never will be.

    Attributes:
        attachment: The minion's attachment under which the order came, or the one that stands now.
    """

    minion_id: str
    attachment: int
    task: str
    run: int


class OrdersRejected(Message, frozen=True, kw_only=True, rename={"group_id": "g", "epoch_number": "n", "orders": "x"}):
    """Agent to scheduler: these runs did not start."""

    KIND: ClassVar[Kind] = Kind.ORDERS_REJECTED

    group_id: int
    epoch_number: int
    orders: list[RejectedOrder]


class BegunRun(Record, frozen=True, kw_only=True, array_like=True):
    """A run that a heartbeat of its minion has listed."""

    task: str
    run: int


class TasksBegun(Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "runs": "x"}):
    """Agent to scheduler: these runs, of jobs that the scheduler called pending, have begun.

    Sent once under an attachment; a new attachment names the jobs that are pending still.
    """

    KIND: ClassVar[Kind] = Kind.TASKS_BEGUN

    group_id: int
    minion_id: str
    runs: list[BegunRun]


class StoppedRun(Record, frozen=True, kw_only=True, array_like=True):
    """A run that is to be stopped."""

    minion_id: str
    task: str
    run: int


class StopTasks(Message, frozen=True, kw_only=True, rename={"group_id": "g", "runs": "x"}):
    """Scheduler to agent: stop these runs."""

    KIND: ClassVar[Kind] = Kind.STOP_TASKS

    group_id: int
    runs: list[StoppedRun]


# -- ends of runs and of minions


class TaskEnd(Record, frozen=True, kw_only=True, array_like=True):
    """The end of one run, as its minion listed it.

    Attributes:
        number: The minion's number of this end; rises.
        outcome: How it ended, in the published words: `done`, `failed`, ...
        checkpoint: What the run's last checkpoint left; empty: nothing.
    """

    number: MinionInt
    task: str
    run: MinionInt
    outcome: str
    checkpoint: str = ""


class TaskEndsReport(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f", "ends": "x"}
):
    """Agent to scheduler: these runs have ended. Repeated until the ends are acknowledged."""

    KIND: ClassVar[Kind] = Kind.TASK_ENDS

    group_id: int
    minion_id: str
    fence: int
    ends: list[TaskEnd]


class AcknowledgedEnd(Record, frozen=True, kw_only=True, array_like=True):
    """An end that is durable in the group's record; `number` is the minion's."""

    number: int
    task: str
    run: int


class TaskEndsAcknowledged(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f", "ends": "x"}
):
    """Scheduler to agent: these ends are durable."""

    KIND: ClassVar[Kind] = Kind.TASK_ENDS_ACK

    group_id: int
    minion_id: str
    fence: int
    ends: list[AcknowledgedEnd]


class MinionLostReport(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f", "checkpoints": "v"}
):
    """Agent to scheduler: a minion is gone, with all that ran there. Repeated until it is acknowledged.

    Attributes:
        checkpoints: What the last checkpoint of each run left, by task, as far as the minion told.
    """

    KIND: ClassVar[Kind] = Kind.MINION_LOST

    group_id: int
    minion_id: str
    fence: int
    checkpoints: dict[str, str]


class MinionLostAcknowledged(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f"}
):
    """Scheduler to agent: the loss of the minion is durable."""

    KIND: ClassVar[Kind] = Kind.MINION_LOST_ACK

    group_id: int
    minion_id: str
    fence: int


# -- capacity


class CapacityReport(
    Message,
    frozen=True,
    kw_only=True,
    rename={"node_id": "u", "group_id": "g", "open_minions": "x", "closed_minions": "shut"},
):
    """Agent to scheduler: what changed of its free capacity since its last report.

    Attributes:
        node_id: The agent's node.
        open_minions: Minions that take new work, with what is free on them.
        closed_minions: Minions, reported as open before, that take no new work now.
    """

    KIND: ClassVar[Kind] = Kind.CAPACITY_REPORT

    node_id: str
    group_id: int
    open_minions: list[FreeCapacity]
    closed_minions: list[str]


class SummaryRow(Record, frozen=True, kw_only=True, array_like=True):
    """One open minion in a summary.

    Attributes:
        millicores: Free thousandths of a core.
        memory_mb: Free megabytes.
        gpus: Free accelerators.
        capacity: All that the minion offers.
    """

    millicores: int
    memory_mb: int
    gpus: int
    labels: list[str]
    capacity: Resources
    minion_id: str


class CapacitySummary(Message, frozen=True, kw_only=True, rename={"node_id": "u", "minions_by_service": "v"}):
    """Agent to agent: the open minions with the most free capacity, by service.

    It serves to name a redirect, and may be out of date.
    """

    KIND: ClassVar[Kind] = Kind.CAPACITY_REPORT

    node_id: str
    minions_by_service: dict[str, list[SummaryRow]]


class CapacityRequest(Message, frozen=True, kw_only=True, rename={"group_id": "g"}):
    """Scheduler to agent: report all open minions."""

    KIND: ClassVar[Kind] = Kind.CAPACITY_REPORT_REQUEST

    group_id: int


# What an agent takes from schedulers, by kind.
AGENT_MESSAGES: dict[Kind, type[Message]] = {
    message_type.KIND: message_type
    for message_type in (
        AttachMinion,
        LeaseRequest,
        LeaseReturn,
        TaskOrders,
        StopTasks,
        TaskEndsAcknowledged,
        MinionLostAcknowledged,
        CapacityRequest,
    )
}
