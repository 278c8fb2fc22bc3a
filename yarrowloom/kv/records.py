"""Records of the key-value tier: the values that it holds, and the header that each record carries.

All are encoded as arrays: logs and snapshots hold very many of them.
"""

import enum

import msgspec

from ..common.records import Record
from ..common.resources import NO_RESOURCES, Resources

NO_TIME = 0  # in place of a time of a hybrid clock, which is above 0


class RecordState(enum.IntEnum):
    """Where the newest version of a record stands; the numbers are the encoded form."""

    PREPARED = 0  # counts only if its transaction's status record says so
    COMMITTED = 1


class StatusState(enum.IntEnum):
    """What a transaction's status record says; the numbers are the encoded form."""

    COMMITTED = 0
    ABORTED = 1


class TenantDebit(Record, frozen=True, kw_only=True, array_like=True, tag="debit"):
    """What a tenant's running tasks hold together.

    Invariant: it is the sum of the sizes of the tasks of the tenant that have a committed place entry.
    """

    used: Resources = NO_RESOURCES
    tasks: int = 0

    def plus(self, size: Resources, tasks: int) -> "TenantDebit":
        """The debit with so many more tasks of a size; fewer, if `tasks` is negative."""
        return TenantDebit(used=self.used.plus(size, tasks), tasks=self.tasks + tasks)


class PlaceEntry(Record, frozen=True, kw_only=True, array_like=True, tag="place"):
    """Where a task runs. It is there from the run's start until the run has ended or its minion is lost.

    The run began at the record's `valid_from`.
    """

    minion_id: str
    run_id: int


class SubmissionEntry(Record, frozen=True, kw_only=True, array_like=True, tag="job"):
    """A job was accepted: the record that makes a repeat of its submission harmless.

    Attributes:
        queue: The queue that it was submitted to.
        tenant: The tenant that submitted it; empty: none.
        accepted_at_ms: Wall time in milliseconds.
    """

    queue: str
    tenant: str
    accepted_at_ms: int


class TransactionStatus(Record, frozen=True, kw_only=True, array_like=True, tag="status"):
    """A transaction status record (TSR). Its insertion decides the transaction, for ever.

    Attributes:
        state: COMMITTED where the client wrote it, ABORTED where one that recovers did.
        committed_at: The commit time that its PREPARED records bear; the store's horizon is compared with it.
        keys: The records that it prepares. The status record may go only once all of them are resolved.
    """

    state: StatusState
    committed_at: int
    keys: list[str]


AnyValue = TenantDebit | PlaceEntry | SubmissionEntry | TransactionStatus


class VersionedRecord(msgspec.Struct, kw_only=True, array_like=True):
    """One record with its header. Times are those of hybrid clocks (`transactions/clock.py`).

    It belongs to the store that it was written to: that gives its ETag, and drops its previous version in time.

    Attributes:
        value: The value; None in a record that was deleted and is not yet removed.
        valid_from: When this version became valid (T_valid start): the commit time of its transaction.
        valid_until: When it was deleted (T_valid end); `NO_TIME`: it wasn't.
        lease_expires: When others may recover a PREPARED record, seconds of the store's steady clock; in a request,
            for how long they may not.
        transaction_id: Names the transaction that wrote it, and so its status record; empty for a single write.
        state: Whether this version counts by itself.
        updated_at: When the record was written last, also by its mark as COMMITTED.
        etag: Version tag, given by the store; rises with each write to the store, so no two writes share one.
        previous: The version before, to which an abort returns and which older readers see; None: there was none.
    """

    value: AnyValue | None
    valid_from: int
    valid_until: int = NO_TIME
    lease_expires: float = 0.0
    transaction_id: str = ""
    state: RecordState = RecordState.COMMITTED
    updated_at: int = NO_TIME
    etag: int = 0
    previous: "VersionedRecord | None" = None

    @property
    def is_deleted(self) -> bool:
        """Whether this version says that there is no value any more."""
        return self.value is None
