"""Recovery of a PREPARED record that a client left behind, by whoever meets it.

The status record decides. Where there is none, and the record's lease is over, one that says ABORTED is inserted in its
place: from then on the client's own insertion fails, however late it comes. A frozen client can so never commit what
was rolled back.
"""

import enum

from ..kv import ABSENT, RecordState, StatusState, TransactionStatus, VersionedRecord
from ..kv.operations import OperationResult, PutIfMatch, ReadRecord
from .coordinator import StoreRequest, restore_operation
from .versions import committed_version, status_key


class RecoveryPhase(enum.Enum):
    """How far a recovery is."""

    READING_STATUS = "reading-status"
    ABORTING = "aborting"
    RESOLVING = "resolving"
    RESOLVED = "resolved"
    WAITING = "waiting"  # undecided, and its client's lease is not over


class RecordRecovery:
    """The recovery of one record: a state machine over the results of its requests, one at a time.

    Attributes:
        phase: How far it is.
        outcome: What was decided of the record's transaction, once that is known.
    """

    def __init__(
        self, *, store: str, key: str, record: VersionedRecord, coordinating_store: str, is_expired: bool
    ) -> None:
        """A recovery of which no step was taken.

        Args:
            store: The record's store.
            key: Its key.
            record: As it was met, PREPARED.
            coordinating_store: Hosts the status record of its transaction.
            is_expired: Whether its lease is over, by its store's steady clock.
        """
        assert record.state is RecordState.PREPARED
        self.phase = RecoveryPhase.READING_STATUS
        self.outcome: StatusState | None = None
        self._store = store
        self._key = key
        self._record = record
        self._coordinating_store = coordinating_store
        self._is_expired = is_expired

    def request(self) -> StoreRequest | None:
        """What is to be asked now; None: nothing more can be done."""
        status = status_key(transaction_id=self._record.transaction_id)
        match self.phase:
            case RecoveryPhase.READING_STATUS:
                return StoreRequest(store=self._coordinating_store, operation=ReadRecord(key=status))
            case RecoveryPhase.ABORTING:
                operation = PutIfMatch(key=status, etag=ABSENT, record=self._aborted_status())
                return StoreRequest(store=self._coordinating_store, operation=operation)
            case RecoveryPhase.RESOLVING:
                return self._resolution()
            case _:
                return None

    def _aborted_status(self) -> VersionedRecord:
        time = self._record.valid_from
        status = TransactionStatus(state=StatusState.ABORTED, committed_at=time, keys=[self._key])
        return VersionedRecord(value=status, valid_from=time, updated_at=time)

    def _resolution(self) -> StoreRequest:
        if self.outcome is StatusState.COMMITTED:
            rolled_forward = committed_version(self._record)
            operation = PutIfMatch(key=self._key, etag=self._record.etag, record=rolled_forward)
            return StoreRequest(store=self._store, operation=operation)
        return StoreRequest(store=self._store, operation=restore_operation(self._key, self._record))

    def on_result(self, result: OperationResult) -> None:
        """The result of the request that is open."""
        match self.phase:
            case RecoveryPhase.READING_STATUS:
                self._on_status(result, may_abort=self._is_expired)
            case RecoveryPhase.ABORTING:
                # Refused without a record: the transaction is beyond the horizon, so nobody can commit it any more.
                self._on_status(result, may_abort=False)
                if self.outcome is None:
                    self._decided(StatusState.ABORTED)
            case RecoveryPhase.RESOLVING:
                self.phase = RecoveryPhase.RESOLVED  # if not done, another has resolved it
            case _:
                pass

    def _on_status(self, result: OperationResult, *, may_abort: bool) -> None:
        status = result.record.value if result.record is not None else None
        if isinstance(status, TransactionStatus):
            self._decided(status.state)
        else:
            self.phase = RecoveryPhase.ABORTING if may_abort else RecoveryPhase.WAITING

    def _decided(self, outcome: StatusState) -> None:
        self.outcome = outcome
        self.phase = RecoveryPhase.RESOLVING
