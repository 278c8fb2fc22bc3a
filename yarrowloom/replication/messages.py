"""The messages that members of a group exchange, one class for each kind."""

from typing import Any

from msgspec import UNSET, UnsetType

from ..common.records import decode
from ..transport.message import Message
from ..transport.message_kinds import Kind
from .epoch import Epoch, ProposalNumber

_GROUP = {"group_id": "g"}
_GROUP_EPOCH = {**_GROUP, "epoch_number": "n"}
_PAXOS = {**_GROUP_EPOCH, "proposal_number": "bal", "previous_epoch": "cert", "value": "val"}
_PAXOS_RESPONSE = {
    **_GROUP_EPOCH,
    "proposal_number": "bal",
    "is_granted": "ok",
    "decided": "cur",
    "promised": "pb",
    "accepted_number": "ab",
    "accepted_value": "av",
}
_SNAPSHOT = {**_GROUP, "epoch_number": "inst", "snapshot_id": "tag", "last_applied": "applied", "state": "st"}
_BATCH = {**_GROUP_EPOCH, "first_event": "first", "last_event": "last", "events": "evs", "sent_at": "t"}
_LEASE = {**_GROUP_EPOCH, "sent_at": "t", "is_without_quorum": "apart", "has_quorum": "contact"}


class GroupMessage(Message, frozen=True, kw_only=True, rename=_GROUP):
    """Base of the messages between members of a group.

    Attributes:
        group_id: The group.
    """

    group_id: int


class PrepareRequest(GroupMessage, frozen=True, kw_only=True, rename=_PAXOS):
    """A proposer asks a witness to promise its proposal number (phase 1a of Paxos).

    Attributes:
        epoch_number: The number of the epoch to be decided.
        proposal_number: The proposer's number.
        previous_epoch: The decided epoch before it, for a witness that does not know it yet.
    """

    KIND = Kind.PREPARE

    epoch_number: int
    proposal_number: ProposalNumber
    previous_epoch: Epoch | None = None


class PrepareResponse(GroupMessage, frozen=True, kw_only=True, rename=_PAXOS_RESPONSE):
    """A witness's promise, or why it makes none (phase 1b of Paxos).

    Attributes:
        epoch_number: The number of the epoch to be decided.
        proposal_number: The number that was asked for.
        is_granted: The witness takes part in no lower-numbered proposal any more.
        decided: Refused because this epoch, of the same or a higher number, is decided already.
        promised: Refused because of a promise to this higher number.
        accepted_number: Granted; the number of the proposal that the witness accepted last, if any.
        accepted_value: Granted; the epoch that it accepted then.
    """

    KIND = Kind.PROMISE

    epoch_number: int
    proposal_number: ProposalNumber
    is_granted: bool
    decided: Epoch | UnsetType | None = UNSET
    promised: ProposalNumber | UnsetType = UNSET
    accepted_number: ProposalNumber | UnsetType | None = UNSET
    accepted_value: Epoch | UnsetType | None = UNSET


class AcceptRequest(GroupMessage, frozen=True, kw_only=True, rename=_PAXOS):
    """A proposer asks a witness to accept an epoch (phase 2a of Paxos).

    Attributes:
        epoch_number: The number of the epoch to be decided.
        proposal_number: The proposer's number.
        value: The epoch that is proposed.
        previous_epoch: The decided epoch before it, for a witness that does not know it yet.
    """

    KIND = Kind.ACCEPT

    epoch_number: int
    proposal_number: ProposalNumber
    value: Epoch
    previous_epoch: Epoch | None = None


class AcceptResponse(GroupMessage, frozen=True, kw_only=True, rename=_PAXOS_RESPONSE):
    """A witness has accepted a proposal, or why not (phase 2b of Paxos). Attributes as in `PrepareResponse`."""

    KIND = Kind.ACCEPTED

    epoch_number: int
    proposal_number: ProposalNumber
    is_granted: bool
    decided: Epoch | UnsetType | None = UNSET
    promised: ProposalNumber | UnsetType = UNSET


class InstallEpoch(GroupMessage, frozen=True, kw_only=True, rename={**_GROUP, "epoch": "e", "sent_at": "t"}):
    """An epoch is decided.

    Attributes:
        epoch: The decided epoch.
        sent_at: Seconds of the sender's steady clock; absent: the sender is not the epoch's primary.
    """

    KIND = Kind.INSTALL_EPOCH

    epoch: Epoch
    sent_at: float | UnsetType | None = UNSET


class EpochInstalled(GroupMessage, frozen=True, kw_only=True, rename={**_GROUP_EPOCH, "sent_at": "t"}):
    """A member has stored a decided epoch; of a backup it is also the primary's first lease.

    Attributes:
        epoch_number: The number of the epoch.
        sent_at: The time that the request carried.
    """

    KIND = Kind.EPOCH_INSTALLED

    epoch_number: int
    sent_at: float | None = None


class SnapshotTransfer(GroupMessage, frozen=True, kw_only=True, rename=_SNAPSHOT):
    """The state that an epoch is to begin with, for a member that is to be its backup.

    Attributes:
        epoch_number: The number of the epoch that is proposed with it.
        snapshot_id: Names the snapshot.
        last_applied: Number of the last event that the state holds.
        state: The state as JSON text.
    """

    KIND = Kind.SNAPSHOT

    epoch_number: int
    snapshot_id: str
    last_applied: int
    state: str


class SnapshotStored(GroupMessage, frozen=True, kw_only=True, rename=_SNAPSHOT):
    """A snapshot is on the sender's disk.

    Attributes:
        snapshot_id: Names the snapshot.
    """

    KIND = Kind.SNAPSHOT_STORED

    snapshot_id: str


class AppendBatch(GroupMessage, frozen=True, kw_only=True, rename=_BATCH):
    """The primary's next events.

    Attributes:
        epoch_number: The primary's epoch.
        first_event: Number of the first event of the batch within the epoch.
        events: The events, as the reducer takes them.
        sent_at: Seconds of the primary's steady clock.
    """

    KIND = Kind.APPEND_BATCH

    epoch_number: int
    first_event: int
    events: list[dict[str, Any]]
    sent_at: float


class BatchAppended(GroupMessage, frozen=True, kw_only=True, rename=_BATCH):
    """A backup has a batch on its disk; it renews the lease too.

    Attributes:
        epoch_number: The primary's epoch.
        last_event: Number of the last event of the batch.
        sent_at: The time that the request carried.
    """

    KIND = Kind.BATCH_APPENDED

    epoch_number: int
    last_event: int
    sent_at: float


class LeaseRequest(GroupMessage, frozen=True, kw_only=True, rename=_LEASE):
    """A holder asks backups for the primary's lease and witnesses for a sign of life.

    Attributes:
        epoch_number: The holder's epoch.
        sent_at: Seconds of the sender's steady clock.
        is_without_quorum: The primary has lost contact with the majority of the witnesses; absent: it has not.
    """

    KIND = Kind.LEADER_LEASE_REQUEST

    epoch_number: int
    sent_at: float
    is_without_quorum: bool | UnsetType = UNSET


class LeaseGranted(GroupMessage, frozen=True, kw_only=True, rename=_LEASE):
    """The answer to a `LeaseRequest`: from a backup the lease, from another witness a sign of life.

    Attributes:
        epoch_number: As in the request.
        sent_at: The time that the request carried; the lease counts from it.
        is_without_quorum: As in the request.
        has_quorum: Whether the backup itself is in contact with a majority; absent: it was not asked.
    """

    KIND = Kind.LEADER_LEASE_GRANTED

    epoch_number: int
    sent_at: float
    is_without_quorum: bool | UnsetType = UNSET
    has_quorum: bool | UnsetType = UNSET


class YieldRequest(GroupMessage, frozen=True, kw_only=True, rename=_GROUP_EPOCH):
    """From a primary: take over now. From a backup: it is about to end, so have it replaced.

    Attributes:
        epoch_number: The sender's epoch.
    """

    KIND = Kind.YIELD

    epoch_number: int


_CLASSES: tuple[type[GroupMessage], ...] = (
    PrepareRequest,
    PrepareResponse,
    AcceptRequest,
    AcceptResponse,
    InstallEpoch,
    EpochInstalled,
    SnapshotTransfer,
    SnapshotStored,
    AppendBatch,
    BatchAppended,
    LeaseRequest,
    LeaseGranted,
    YieldRequest,
)
MESSAGE_CLASSES: dict[Kind, type[GroupMessage]] = {cls.KIND: cls for cls in _CLASSES}
GROUP_MESSAGE_KINDS = frozenset(MESSAGE_CLASSES)


def decode_message(*, kind: Kind, body: object) -> GroupMessage:
    """The message that a parsed body stands for.

    Args:
        kind: One of `GROUP_MESSAGE_KINDS`.
        body: Plain data with the encoded keys.

    Raises:
        MalformedRecordError: A field is missing or of another type.

    >>> decode_message(kind=Kind.YIELD, body={"g": 1, "n": 7})
    YieldRequest(group_id=1, epoch_number=7)
    """
    return decode(body, into=MESSAGE_CLASSES[kind])
