"""One store of the key-value tier: compare-and-set on one key at a time, and nothing else promised.

A store is a part of the replicated state of a group: it changes only by what the group's log holds.
"""

import zlib
from typing import Any

from msgspec import structs

from ..common.records import Record, decode
from .operations import AnyOperation, DeleteIfMatch, OperationResult, PutIfMatch, ReadRecord
from .records import TransactionStatus, VersionedRecord

ABSENT = 0  # the ETag of a key that has no record


def key_hash(*, key: str) -> int:
    """A stable hash of a key, alike on all nodes and in all versions: the CRC-32 of its UTF-8 form."""
    return zlib.crc32(key.encode())


def shard_of(*, key: str, shards: int) -> int:
    """The store that keeps a key, from 0; keys of one prefix up to their last colon lie together.

    >>> shard_of(key="place:5c0e7a21d94b36f8:0.1.3", shards=4) == shard_of(key="place:5c0e7a21d94b36f8:0.2.0", shards=4)
    True
    """
    return key_hash(key=key.rpartition(":")[0] or key) % shards


class StoreDocument(Record, frozen=True, kw_only=True):
    """A store as a snapshot holds it.

    Attributes:
        records: By key.
        last_etag: The newest ETag given.
        horizon: See `KeyValueStore`.
        newest_time: See `KeyValueStore`.
        outdated: See `KeyValueStore`.
    """

    records: dict[str, VersionedRecord]
    last_etag: int
    horizon: int
    newest_time: int
    outdated: dict[str, int]


class KeyValueStore:
    """Records by key.

    Attributes:
        records: By key; deleted ones until they are removed.
        last_etag: The newest ETag given. Invariant: it only rises, so an ETag never comes back.
        horizon: Status records of transactions with a commit time up to this one are refused: what aborted them may
            be forgotten.
        newest_time: The newest time of a hybrid clock seen in a write; it goes with every answer.
        outdated: By key, the ETag of a record that holds something for older readers only (what was deleted, a
            previous version, the status record of a transaction whose records are all marked).
    """

    def __init__(self) -> None:
        self.records: dict[str, VersionedRecord] = {}
        self.last_etag = ABSENT
        self.horizon = 0
        self.newest_time = 0
        self.outdated: dict[str, int] = {}

    def read(self, *, key: str) -> VersionedRecord | None:
        """The record as it stands, whatever its state; None: there is none."""
        return self.records.get(key)

    def etag(self, *, key: str) -> int:
        """The ETag of a record, `ABSENT` where there is none."""
        record = self.records.get(key)
        return record.etag if record is not None else ABSENT

    def execute(self, operation: AnyOperation) -> OperationResult:
        """Take an operation of a client."""
        match operation:
            case PutIfMatch():
                record = structs.replace(operation.record)  # a repeat of the operation must find it as it was sent
                is_done = self.put_if_match(key=operation.key, etag=operation.etag, record=record) is not None
            case DeleteIfMatch():
                is_done = self.delete_if_match(key=operation.key, etag=operation.etag)
            case ReadRecord():
                is_done = True
        standing = self.records.get(operation.key)
        return OperationResult(
            is_done=is_done,
            record=structs.replace(standing) if standing is not None else None,
            newest_time=self.newest_time,
        )

    def put_if_match(self, *, key: str, etag: int, record: VersionedRecord) -> VersionedRecord | None:
        """Write a record if the one that stands there has this ETag; `ABSENT`: if there is none.

        Args:
            key: The key.
            etag: The ETag.
            record: The store's own from now on. It may be the one that stands there, with another state.

        Returns:
            The record with its new ETag; None: the condition does not hold, or the record is the status record of a
            transaction beyond the horizon.
        """
        standing = self.records.get(key)
        if (standing.etag if standing is not None else ABSENT) != etag:
            return None
        value = record.value
        if isinstance(value, TransactionStatus) and value.committed_at <= self.horizon:
            return None
        self.last_etag += 1
        record.etag = self.last_etag
        if record.updated_at > self.newest_time:
            self.newest_time = record.updated_at
        self.records[key] = record
        return record

    def delete_if_match(self, *, key: str, etag: int) -> bool:
        """Remove a record if it has this ETag; whether it had."""
        if etag == ABSENT or self.etag(key=key) != etag:
            return False
        del self.records[key]
        return True

    def take_outdated(self) -> dict[str, int]:
        """What `outdated` holds, which is empty then."""
        outdated, self.outdated = self.outdated, {}
        return outdated

    def drop_outdated(self, outdated: dict[str, int]) -> None:
        """Drop what only older readers need, where the record has not been written again."""
        for key, etag in outdated.items():
            record = self.records.get(key)
            if record is None or record.etag != etag:
                continue
            if record.value is None or isinstance(record.value, TransactionStatus):
                del self.records[key]
            else:
                record.previous = None

    def raise_horizon(self, *, horizon: int) -> None:
        """From now on no transaction with a commit time up to this one can be decided here."""
        self.horizon = max(self.horizon, horizon)

    # -- snapshots

    def dump(self) -> dict[str, Any]:
        """All of it as plain data."""
        document = StoreDocument(
            records=self.records,
            last_etag=self.last_etag,
            horizon=self.horizon,
            newest_time=self.newest_time,
            outdated=self.outdated,
        )
        return document.document()

    def load(self, document: object) -> None:
        """Replace all of it by what `dump` gave.

        Raises:
            MalformedRecordError: A field is missing or of another type; the store is then as it was.
        """
        stored = decode(document, into=StoreDocument)
        self.records = stored.records
        self.last_etag = stored.last_etag
        self.horizon = stored.horizon
        self.newest_time = stored.newest_time
        self.outdated = stored.outdated
