"""Messages between agents and the schedulers of job groups, and between agents.

Every message to or from a scheduler names its job group. A minion is named together with the fence under which the
agent owns it, or with the number of its attachment: a receiver passes over what belongs to an older one.
Rows (`...Row` and the like) are encoded as lists, in the order of their fields.
"""

from ...transport.message import Message
from ...transport.message_kinds import Kind
from .attachments import AttachmentVerdict, AttachMinion, ClaimedMinion, ClaimMinions, RecordedRun, UnstartedRun
from .capacity import CapacityReport, CapacityRequest, CapacitySummary, SummaryRow
from .ends import (
    AcknowledgedEnd,
    MinionLostAcknowledged,
    MinionLostReport,
    TaskEnd,
    TaskEndsAcknowledged,
    TaskEndsReport,
)
from .leases import FreeCapacity, GrantedLease, LeaseGrant, LeaseRequest, LeaseReturn, MinionCount, ReturnedLease
from .numbers import LARGEST_INT, MinionInt
from .runs import BegunRun, OrdersRejected, RejectedOrder, StoppedRun, StopTasks, TaskOrder, TaskOrders, TasksBegun

__all__ = [
    "AGENT_MESSAGES",
    "LARGEST_INT",
    "AcknowledgedEnd",
    "AttachMinion",
    "AttachmentVerdict",
    "BegunRun",
    "CapacityReport",
    "CapacityRequest",
    "CapacitySummary",
    "ClaimMinions",
    "ClaimedMinion",
    "FreeCapacity",
    "GrantedLease",
    "LeaseGrant",
    "LeaseRequest",
    "LeaseReturn",
    "MinionCount",
    "MinionInt",
    "MinionLostAcknowledged",
    "MinionLostReport",
    "OrdersRejected",
    "RecordedRun",
    "RejectedOrder",
    "ReturnedLease",
    "StopTasks",
    "StoppedRun",
    "SummaryRow",
    "TaskEnd",
    "TaskEndsAcknowledged",
    "TaskEndsReport",
    "TaskOrder",
    "TaskOrders",
    "TasksBegun",
    "UnstartedRun",
]

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
