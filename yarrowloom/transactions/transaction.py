"""A transaction as its client holds it: reads through a cache, and writes that stay in it until the commit."""

from typing import Protocol

from ..common.errors import YarrowError
from ..kv import AnyValue, RecordState, TransactionStatus, VersionedRecord
from .versions import readable_version, status_key

PREPARED, COMMITTED = RecordState  # in Python 3.11, access by the enum's class takes 100 ns


class TransactionConflictError(YarrowError):
    """Another transaction holds or has changed a record: this one is to be begun anew, after a backoff."""

    code = "transaction-conflict"
    status = 409


class StoreReader(Protocol):
    """Reads single records, wherever they lie."""

    def read(self, *, key: str) -> VersionedRecord | None:
        """The record as it stands, whatever its state; None: there is none."""


class Transaction:
    """One transaction of a client.

    Attributes:
        transaction_id: Unique among all transactions; names the status record.
        started_at: T_start, of the client's hybrid clock.
        cached: By key, the records read, as the stores had them; None: there was none.
        written: By key, the values to be written; None deletes.
    """

    def __init__(self, *, transaction_id: str, started_at: int, reader: StoreReader) -> None:
        self.transaction_id = transaction_id
        self.started_at = started_at
        self.cached: dict[str, VersionedRecord | None] = {}
        self.written: dict[str, AnyValue | None] = {}
        self._reader = reader

    def read(self, *, key: str) -> AnyValue | None:
        """The value of a record as of T_start, or as this transaction has written it; None: there is none."""
        if key in self.written:
            return self.written[key]
        record = self._fetch(key=key)
        version = readable_version(record, at=self.started_at, status=self._status_of(record))
        return version.value if version is not None else None

    def _fetch(self, *, key: str) -> VersionedRecord | None:
        if key not in self.cached:
            self.cached[key] = self._reader.read(key=key)
        return self.cached[key]

    def _status_of(self, record: VersionedRecord | None) -> TransactionStatus | None:
        """The status record of the transaction that prepared a record: looked up on every read of a PREPARED one."""
        if record is None or record.state is not PREPARED:
            return None
        status = self._reader.read(key=status_key(transaction_id=record.transaction_id))
        value = status.value if status is not None else None
        return value if isinstance(value, TransactionStatus) else None

    def write(self, *, key: str, value: AnyValue | None) -> None:
        """Write to the cache; None deletes.

        Raises:
            TransactionConflictError: The record changed after this transaction began, or another has prepared it.
        """
        record = self.cached[key] if key in self.cached else self._fetch(key=key)
        if record is not None:
            if record.state is PREPARED:
                raise TransactionConflictError(text=f"{key} is prepared by {record.transaction_id}")
            if record.valid_from > self.started_at:
                raise TransactionConflictError(text=f"{key} changed after the transaction began")
        self.written[key] = value

    def etag(self, *, key: str) -> int:
        """The ETag on which a write of this record is conditional."""
        record = self.cached[key]
        return record.etag if record is not None else 0
