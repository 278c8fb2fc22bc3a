"""Commit of a transaction whose records all lie in one log: every step, in one message and one batch on disk.

The steps are those of a commit over several stores (`coordinator.py`), in the same order: conditional prepares in hash
order, the insertion of the status record as the commit point, the marks as COMMITTED. Since the log applies them with
nothing in between, they cost one sync in place of three. The status record goes with the next commit.
"""

from typing import NamedTuple

from ..common.records import Record
from ..kv import ABSENT, AnyValue, KeyValueStore, RecordState, StatusState, TransactionStatus, VersionedRecord
from .transaction import Transaction
from .versions import hash_order, prepared_version, status_key

PREPARED, COMMITTED = RecordState  # in Python 3.11, access by the enum's class takes 100 ns


class Write(Record, frozen=True, kw_only=True, array_like=True):
    """One record of a transaction's write set.

    Attributes:
        key: Its key.
        etag: The ETag that it must have; `ABSENT`: there must be none.
        value: Its new value; None deletes it.
    """

    key: str
    etag: int
    value: AnyValue | None


class CommitBatch(
    Record,
    frozen=True,
    kw_only=True,
    rename={"transaction_id": "id", "committed_at": "tc", "writes": "w"},
):
    """A commit as the log holds it; what follows is in it: the store takes the same steps wherever it is applied.

    Attributes:
        transaction_id: The transaction.
        committed_at: T_commit.
        writes: The write set, each key once, in the order in which the client wrote it.
    """

    transaction_id: str
    committed_at: int
    writes: list[Write]


class Change(NamedTuple):
    """What a commit did to one record: its new version; `record.previous` is the one before."""

    key: str
    record: VersionedRecord


def batch_of(transaction: Transaction, *, committed_at: int) -> CommitBatch:
    """The commit of a transaction, as it is sent."""
    return CommitBatch(
        transaction_id=transaction.transaction_id,
        committed_at=committed_at,
        writes=[
            Write(key=key, etag=transaction.etag(key=key), value=value) for key, value in transaction.written.items()
        ],
    )


def apply_commit_batch(store: KeyValueStore, batch: CommitBatch) -> list[Change] | None:
    """Take all steps of a commit.

    Returns:
        The changes in the order of the write set; None: a condition did not hold and the transaction is aborted,
        with all that it had prepared rolled back.
    """
    outdated = store.take_outdated()
    changes = _take_steps(store, batch=batch)
    # Only now: the client read the records as the earlier commits left them, also those that these deleted.
    store.drop_outdated(outdated)
    return changes


def _take_steps(store: KeyValueStore, *, batch: CommitBatch) -> list[Change] | None:
    writes = {write.key: write for write in batch.writes}
    prepared: dict[str, VersionedRecord] = {}
    for key in hash_order(list(writes)):
        version = _prepare(store, write=writes[key], batch=batch)
        if version is None:
            _roll_back(store, prepared=prepared)
            return None
        prepared[key] = version
    if not _insert_status(store, batch=batch):
        _roll_back(store, prepared=prepared)
        return None
    return _mark_committed(store, records=[(key, prepared[key]) for key in writes])


def _prepare(store: KeyValueStore, *, write: Write, batch: CommitBatch) -> VersionedRecord | None:
    """Prepare one record, if nobody else has prepared it and its ETag fits."""
    current = store.records.get(write.key)
    if current is not None and current.state is PREPARED:
        return None
    version = prepared_version(
        current=current,
        value=write.value,
        transaction_id=batch.transaction_id,
        commit_time=batch.committed_at,
        lease_expires=0.0,  # nobody meets the record before it is resolved
    )
    return store.put_if_match(key=write.key, etag=write.etag, record=version)


def _insert_status(store: KeyValueStore, *, batch: CommitBatch) -> bool:
    """The commit point."""
    status = TransactionStatus(
        state=StatusState.COMMITTED,
        committed_at=batch.committed_at,
        keys=[write.key for write in batch.writes],
    )
    record = VersionedRecord(value=status, valid_from=batch.committed_at, updated_at=batch.committed_at)
    key = status_key(transaction_id=batch.transaction_id)
    written = store.put_if_match(key=key, etag=ABSENT, record=record)
    if written is not None:
        store.outdated[key] = written.etag
    return written is not None


def _mark_committed(store: KeyValueStore, *, records: list[tuple[str, VersionedRecord]]) -> list[Change]:
    """Mark the records, in place of their prepared versions."""
    changes: list[Change] = []
    for key, record in records:
        record.state = COMMITTED
        committed = store.put_if_match(key=key, etag=record.etag, record=record)
        assert committed is not None, "nothing comes between the steps of a batch"
        if record.value is None or record.previous is not None:
            store.outdated[key] = record.etag
        changes.append(Change(key, record))
    return changes


def _roll_back(store: KeyValueStore, *, prepared: dict[str, VersionedRecord]) -> None:
    """Restore the previous versions: the status record does not exist, so none of it counts."""
    for key, version in prepared.items():
        if version.previous is None:
            store.delete_if_match(key=key, etag=version.etag)
        else:
            store.put_if_match(key=key, etag=version.etag, record=version.previous)
