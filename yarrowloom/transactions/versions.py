"""How the versions of one record follow each other in a transaction: pure functions over records.

Also what a reader sees of a record: of the paper's rules the one on versions ("T_valid after T_start: the previous
version") and the one on prepared records ("committed only if the status record exists").
"""

from zlib import crc32

from msgspec import structs

from ..kv import AnyValue, RecordState, StatusState, TransactionStatus, VersionedRecord
from ..kv.records import NO_TIME

STATUS_PREFIX = "status:"
PREPARED, COMMITTED = RecordState  # in Python 3.11, access by the enum's class takes 100 ns


def status_key(*, transaction_id: str) -> str:
    """The key of a transaction's status record (TSR) in its coordinating store."""
    return STATUS_PREFIX + transaction_id


def hash_order(keys: list[str]) -> list[str]:
    """Keys in the order in which every transaction prepares them: by hash, so that no two wait in a circle."""
    return [key for _, key in sorted([(crc32(key.encode()), key) for key in keys])]  # as `kv.store.key_hash`


def prepared_version(
    *,
    current: VersionedRecord | None,
    value: AnyValue | None,
    transaction_id: str,
    commit_time: int,
    lease_expires: float,
) -> VersionedRecord:
    """The PREPARED version that a transaction writes over a record; `value` None deletes it.

    A record holds one previous version: the one before `current` goes.
    """
    if current is not None:
        current.previous = None
    return VersionedRecord(
        value=value,
        valid_from=commit_time,
        valid_until=NO_TIME if value is not None else commit_time,
        lease_expires=lease_expires,
        transaction_id=transaction_id,
        state=PREPARED,
        updated_at=commit_time,
        previous=current,
    )


def committed_version(prepared: VersionedRecord) -> VersionedRecord:
    """The same version marked as COMMITTED (rolled forward)."""
    return structs.replace(prepared, state=COMMITTED, lease_expires=0.0)


def readable_version(
    record: VersionedRecord | None, *, at: int, status: TransactionStatus | None
) -> VersionedRecord | None:
    """What a transaction that began at `at` reads of a record; None: nothing.

    Args:
        record: The record as the store has it.
        at: T_start of the reader.
        status: The status record of the transaction that prepared it, read after the record; None: there is none.
            It is looked at for PREPARED records only.
    """
    version = record
    if version is not None and version.state is PREPARED:
        is_committed = status is not None and status.state is StatusState.COMMITTED
        version = version if is_committed else version.previous
    if version is not None and version.valid_from > at:
        version = version.previous
    return version if version is not None and not version.is_deleted else None
