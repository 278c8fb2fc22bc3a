"""Runs: orders, rejected orders, begins, stops. See the package for what all messages have in common."""

from typing import ClassVar

from msgspec import UNSET, UnsetType

from ...common.records import Record
from ...transport.message import Message
from ...transport.message_kinds import Kind


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

    Repeated, ever more rarely, while the run goes on; a new attachment names the jobs that are pending still.
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
