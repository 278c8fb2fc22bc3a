"""What a store can be asked: operations on one key, and their results. Nothing is promised over several keys."""

from ..common.records import Record
from .records import VersionedRecord


class StoreOperation(Record, frozen=True, kw_only=True, tag_field="op"):
    """Base of all operations.

    Attributes:
        key: The record's key.
    """

    key: str


class ReadRecord(StoreOperation, frozen=True, kw_only=True, tag="read"):
    """Read a record as it stands."""


class PutIfMatch(StoreOperation, frozen=True, kw_only=True, tag="put"):
    """Write a record if the one that stands there has this ETag; `ABSENT`: if there is none.

    Attributes:
        etag: The ETag.
        record: What is written; the store gives it a new ETag.
    """

    etag: int
    record: VersionedRecord


class DeleteIfMatch(StoreOperation, frozen=True, kw_only=True, tag="delete"):
    """Remove a record if it has this ETag."""

    etag: int


class OperationResult(Record, frozen=True, kw_only=True):
    """What became of an operation.

    Attributes:
        is_done: Whether its condition held.
        record: The record as it stands now; None: there is none.
        newest_time: The newest time of a hybrid clock that the store has seen.
    """

    is_done: bool
    record: VersionedRecord | None
    newest_time: int


AnyOperation = ReadRecord | PutIfMatch | DeleteIfMatch
