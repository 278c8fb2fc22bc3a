"""What a member keeps of a group on its disk, one class for each kind of record."""

from typing import Any

from ..common.records import Record, decode
from .epoch import Epoch, ProposalNumber

_GROUP = {"group_id": "g"}
_ACCEPTOR = {**_GROUP, "decided": "e", "promised": "pb", "accepted_number": "ab", "accepted_value": "av"}
_SNAPSHOT = {**_GROUP, "epoch_number": "inst", "snapshot_id": "tag", "last_applied": "applied", "state": "st"}
_STATE = {**_GROUP, "epoch_number": "n", "last_applied": "applied", "state": "st"}
_BATCH = {**_GROUP, "epoch_number": "n", "first_event": "first", "events": "evs"}


class StoredRecord(Record, frozen=True, kw_only=True, rename=_GROUP, tag_field="k"):
    """Base of the records of a group.

    Attributes:
        group_id: The group.
    """

    group_id: int


class AcceptorRecord(StoredRecord, frozen=True, kw_only=True, rename=_ACCEPTOR, tag_field="k", tag="w"):
    """What an acceptor must not forget; the newest record counts.

    Attributes:
        decided: The newest decided epoch that is known.
        promised: The highest proposal number promised for the epoch after it.
        accepted_number: The number of the proposal accepted last for that epoch.
        accepted_value: The epoch that was accepted then.
    """

    decided: Epoch | None
    promised: ProposalNumber | None
    accepted_number: ProposalNumber | None
    accepted_value: Epoch | None


class SnapshotRecord(StoredRecord, frozen=True, kw_only=True, rename=_SNAPSHOT, tag_field="k", tag="ck"):
    """A snapshot for an epoch that is not yet decided.

    Attributes:
        epoch_number: The number of the epoch that is proposed with it.
        snapshot_id: Names the snapshot; begins with the node id of the proposer.
        last_applied: Number of the last event that the state holds.
        state: The state as JSON text.
    """

    epoch_number: int
    snapshot_id: str
    last_applied: int
    state: str


class StateRecord(StoredRecord, frozen=True, kw_only=True, rename=_STATE, tag_field="k", tag="st"):
    """The state of a holder, as a part of a snapshot of the whole node.

    Attributes:
        epoch_number: The epoch whose events it holds.
        last_applied: Number of the last event that it holds.
        state: The state as plain data.
    """

    epoch_number: int
    last_applied: int
    state: Any


class BatchRecord(StoredRecord, frozen=True, kw_only=True, rename=_BATCH, tag_field="k", tag="lg"):
    """Events of an epoch, in order.

    Attributes:
        epoch_number: The epoch.
        first_event: Number of the first of the events.
        events: The events, as the reducer takes them.
    """

    epoch_number: int
    first_event: int
    events: list[dict[str, Any]]


class SyncMarker(StoredRecord, frozen=True, kw_only=True, rename=_GROUP, tag_field="k", tag="none"):
    """Holds nothing: written to learn when all that was written before is on the disk."""


AnyStoredRecord = AcceptorRecord | SnapshotRecord | StateRecord | BatchRecord | SyncMarker
_ANY: Any = AnyStoredRecord


def decode_stored_record(document: object) -> AnyStoredRecord:
    """The record that parsed JSON stands for.

    Raises:
        MalformedRecordError: Its kind is not known, or a field is missing or of another type.

    >>> decode_stored_record({"k": "lg", "g": 1, "n": 7, "first": 4, "evs": []})
    BatchRecord(group_id=1, epoch_number=7, first_event=4, events=[])
    """
    record: AnyStoredRecord = decode(document, into=_ANY)
    return record
