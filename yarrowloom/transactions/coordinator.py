"""Commit of a transaction over several stores, step by step, as its client coordinates it.

The client prepares the records one after another in hash order, each on its ETag; inserts the status record in the
coordinating store, which is the only commit point; marks the records COMMITTED; and removes the status record. A
conflict before the commit point makes it restore what it had prepared. Whoever meets a record that a client left
behind resolves it (`recovery.py`). Over one log all steps go together: `commit_batch.py`.
"""

import enum
from collections.abc import Callable

import msgspec

from ..kv import ABSENT, RecordState, StatusState, TransactionStatus, VersionedRecord
from ..kv.operations import AnyOperation, DeleteIfMatch, OperationResult, PutIfMatch
from .transaction import Transaction
from .versions import committed_version, hash_order, prepared_version, status_key


class CommitPhase(enum.Enum):
    """How far a commit is."""

    PREPARING = "preparing"
    DECIDING = "deciding"  # the status record is being inserted: only its store knows the outcome
    MARKING = "marking"  # committed
    FORGETTING = "forgetting"  # committed, all records are marked
    ROLLING_BACK = "rolling-back"  # aborted
    COMMITTED = "committed"
    ABORTED = "aborted"


PHASES: dict[CommitPhase, frozenset[CommitPhase]] = {
    CommitPhase.PREPARING: frozenset({CommitPhase.DECIDING, CommitPhase.ROLLING_BACK, CommitPhase.ABORTED}),
    CommitPhase.DECIDING: frozenset({CommitPhase.MARKING, CommitPhase.ROLLING_BACK}),
    CommitPhase.MARKING: frozenset({CommitPhase.FORGETTING}),
    CommitPhase.FORGETTING: frozenset({CommitPhase.COMMITTED}),
    CommitPhase.ROLLING_BACK: frozenset({CommitPhase.ABORTED}),
    CommitPhase.COMMITTED: frozenset(),
    CommitPhase.ABORTED: frozenset(),
}
ENDED = frozenset({CommitPhase.COMMITTED, CommitPhase.ABORTED})


class StoreRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An operation for one store. It may be sent again: an operation that took effect is recognised by its result.

    Attributes:
        store: Names the store.
        operation: What is asked.
    """

    store: str
    operation: AnyOperation


class CommitCoordinator:
    """The commit of one transaction: a state machine over the results of its requests, one at a time.

    Attributes:
        phase: How far it is. Invariant: it changes by `PHASES` only.
        prepared: By key, the PREPARED records as their stores wrote them.
        pending_keys: Keys that this phase has still to do, the next one last.
    """

    def __init__(
        self,
        *,
        transaction: Transaction,
        committed_at: int,
        lease_s: float,
        store_of: Callable[[str], str],
        coordinating_store: str,
    ) -> None:
        """A commit of which no step was taken.

        Args:
            transaction: With its write set, which is not empty.
            committed_at: T_commit.
            lease_s: For how long its PREPARED records are left alone, by the steady clocks of their stores.
            store_of: Names the store of a key.
            coordinating_store: Hosts the status record.
        """
        self.transaction = transaction
        self.committed_at = committed_at
        self.lease_s = lease_s
        self.phase = CommitPhase.PREPARING
        self.prepared: dict[str, VersionedRecord] = {}
        self.pending_keys = hash_order(list(transaction.written))[::-1]
        self._status_etag = ABSENT
        self._store_of = store_of
        self._coordinating_store = coordinating_store

    @property
    def status_key(self) -> str:
        """The key of the status record."""
        return status_key(transaction_id=self.transaction.transaction_id)

    # -- requests

    def request(self) -> StoreRequest | None:
        """What is to be asked now; None: the commit has ended."""
        match self.phase:
            case CommitPhase.PREPARING:
                return self._for_key(self._prepare(self.pending_keys[-1]))
            case CommitPhase.DECIDING:
                return StoreRequest(store=self._coordinating_store, operation=self._insert_status())
            case CommitPhase.MARKING:
                return self._for_key(self._mark(self.pending_keys[-1]))
            case CommitPhase.ROLLING_BACK:
                return self._for_key(restore_operation(self.pending_keys[-1], self.prepared[self.pending_keys[-1]]))
            case CommitPhase.FORGETTING:
                operation = DeleteIfMatch(key=self.status_key, etag=self._status_etag)
                return StoreRequest(store=self._coordinating_store, operation=operation)
            case _:
                return None

    def _for_key(self, operation: AnyOperation) -> StoreRequest:
        return StoreRequest(store=self._store_of(operation.key), operation=operation)

    def _prepare(self, key: str) -> PutIfMatch:
        version = prepared_version(
            current=self.transaction.cached[key],
            value=self.transaction.written[key],
            transaction_id=self.transaction.transaction_id,
            commit_time=self.committed_at,
            lease_expires=self.lease_s,
        )
        return PutIfMatch(key=key, etag=self.transaction.etag(key=key), record=version)

    def _insert_status(self) -> PutIfMatch:
        status = TransactionStatus(
            state=StatusState.COMMITTED, committed_at=self.committed_at, keys=list(self.transaction.written)
        )
        record = VersionedRecord(value=status, valid_from=self.committed_at, updated_at=self.committed_at)
        return PutIfMatch(key=self.status_key, etag=ABSENT, record=record)

    def _mark(self, key: str) -> PutIfMatch:
        prepared = self.prepared[key]
        return PutIfMatch(key=key, etag=prepared.etag, record=committed_version(prepared))

    # -- results

    def on_result(self, result: OperationResult) -> None:
        """The result of the request that is open; it may also be that of a repeat."""
        match self.phase:
            case CommitPhase.PREPARING:
                self._on_prepared(result)
            case CommitPhase.DECIDING:
                self._on_decided(result)
            case CommitPhase.MARKING:
                self._next_key(then=CommitPhase.FORGETTING)  # if not done, one that met the record marked it
            case CommitPhase.ROLLING_BACK:
                self._next_key(then=CommitPhase.ABORTED)
            case CommitPhase.FORGETTING:
                self._move(CommitPhase.COMMITTED)
            case _:
                pass

    def _on_prepared(self, result: OperationResult) -> None:
        key, record = self.pending_keys[-1], result.record
        is_own = record is not None and record.transaction_id == self.transaction.transaction_id
        if record is None or not is_own or record.state is not RecordState.PREPARED:
            self._roll_back()
            return
        self.prepared[key] = record  # written now, or by an earlier copy of the request
        self._next_key(then=CommitPhase.DECIDING)

    def _on_decided(self, result: OperationResult) -> None:
        """Whoever inserted the status record first has decided; none at all: it is beyond the store's horizon."""
        status = result.record.value if result.record is not None else None
        if isinstance(status, TransactionStatus) and status.state is StatusState.COMMITTED:
            assert result.record is not None
            self._status_etag = result.record.etag
            self.pending_keys = list(self.prepared)[::-1]
            self._move(CommitPhase.MARKING)
        else:
            self._roll_back()

    def _roll_back(self) -> None:
        self.pending_keys = list(self.prepared)
        self._move(CommitPhase.ROLLING_BACK if self.prepared else CommitPhase.ABORTED)

    def _next_key(self, *, then: CommitPhase) -> None:
        self.pending_keys.pop()
        if not self.pending_keys:
            self._move(then)

    def _move(self, phase: CommitPhase) -> None:
        assert phase in PHASES[self.phase], (self.phase, phase)
        self.phase = phase


def restore_operation(key: str, prepared: VersionedRecord) -> PutIfMatch | DeleteIfMatch:
    """What takes a PREPARED record back to its previous version."""
    if prepared.previous is None:
        return DeleteIfMatch(key=key, etag=prepared.etag)
    return PutIfMatch(key=key, etag=prepared.etag, record=prepared.previous)
