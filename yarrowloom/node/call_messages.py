"""The messages of calls between nodes: a call to whoever serves a group, and the reply to it."""

import enum
from typing import Any, ClassVar

from msgspec import UNSET, UnsetType

from ..common.records import Record
from ..transport.message import Message
from ..transport.message_kinds import Kind

AGENT_CALL_GROUP = -1  # in place of a group: the call is for the agent of the node that it names
NOT_PRIMARY = 421  # the status of a reply: the node doesn't serve the group; the document holds the epochs it knows
REFUSALS = frozenset({429, 503})  # statuses of a group's primary: the call was not admitted and never will be


class CallOperation(str, enum.Enum):
    """What a call asks for."""

    # Of the registry, group 0.
    CHANGE_CONFIG = "conf"
    READ_CONFIG = "getconf"
    CHANGE_EVACUATION = "evac"
    FIND_OWNER = "who"
    REMOVE_MINION = "gone"
    # Of the registry: which agent owns a minion that ends. Of that agent: to let it go.
    MINION_LEAVES = "leave"
    # Of an agent.
    FORWARD_HEARTBEAT = "beat"
    # Of a job group.
    SUBMIT_JOB = "put"
    READ_JOB = "get"
    CANCEL_JOB = "del"
    COUNT_PENDING = "count"


class GroupCall(
    Message,
    frozen=True,
    kw_only=True,
    rename={"request_id": "rid", "group_id": "g", "operation": "op", "body": "b", "ttl_s": "ttl"},
):
    """A call; repeats of it are alike but for the receiver and the time left.

    Attributes:
        request_id: The caller's number of the call; with the caller's node ID it identifies the call.
        to: The node that the call is meant for, as frames go to an address.
        group_id: The group, or `AGENT_CALL_GROUP`.
        operation: What is asked for.
        body: The operation's arguments: a record where it is sent, plain data where it is received.
        ttl_s: Seconds after which the caller gives up.
    """

    KIND: ClassVar[Kind] = Kind.CALL

    request_id: int
    to: str = ""
    group_id: int
    operation: CallOperation
    body: Any
    ttl_s: float | UnsetType = UNSET


class GroupReply(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "request_id": "rid",
        "status": "s",
        "document": "d",
        "proof_age_s": "age",
        "proof_epoch": "by",
        "config_version": "conf",
        "newest_cancellation": "nc",
    },
):
    """The reply to a call.

    Attributes:
        request_id: The caller's number of the call.
        to: The caller.
        status: As an HTTP status, or `NOT_PRIMARY`.
        document: The response, as plain data; of `NOT_PRIMARY`, epochs with their groups.
        proof_age_s: Seconds since the sender had proof of contact with group 0's primary; absent: not told.
        proof_epoch: Number of that primary's epoch.
        config_version: Version of the sender's configuration.
        newest_cancellation: Of a job group: number of the newest cancellation of a job that was not known; it is
            durable. Absent: not told, or there was none.
    """

    KIND: ClassVar[Kind] = Kind.REPLY

    request_id: int
    to: str
    status: int
    document: Any
    proof_age_s: float | UnsetType = UNSET
    proof_epoch: int | UnsetType = UNSET
    config_version: int | UnsetType = UNSET
    newest_cancellation: int | UnsetType = UNSET


class NoArguments(Record, frozen=True, kw_only=True):
    """The body of a call that needs none."""
