"""What a member has of one group on its disk: its acceptor, a copy of the state, and snapshots for undecided epochs."""

from collections.abc import Sequence

from .acceptor import Acceptor
from .environment import Reducer, decode_state
from .epoch import Epoch
from .log_replay import ReplayError, acceptor_rank, unapplied
from .stored_records import (
    AcceptorRecord,
    AnyStoredRecord,
    BatchRecord,
    SnapshotRecord,
    StateRecord,
    StoredRecord,
    SyncMarker,
    decode_stored_record,
)
from .timing import MAX_PENDING_SNAPSHOTS

NO_EPOCH = -1


class ReplicaStorage:
    """The stored part of a replica.

    Invariant: a journal that is replayed from its last whole snapshot on gives the first so many events of an epoch,
    among them all that were synced.

    Attributes:
        group_id: The group.
        node_id: This member.
        state: Holds exactly the events up to number `last_applied` of epoch `state_epoch`, each once.
        state_epoch: The epoch to which `state` belongs; `NO_EPOCH`: it is of no use.
        last_applied: Number of the last event that `state` holds.
        acceptor: The member's acceptor.
        pending_snapshots: By snapshot id, those for epochs not yet decided.
    """

    def __init__(self, *, group_id: int, node_id: str, state: Reducer, epoch: Epoch | None) -> None:
        self.group_id = group_id
        self.node_id = node_id
        self.state = state
        self.acceptor = Acceptor(node_id=node_id, decided=epoch)
        self.state_epoch = NO_EPOCH
        self.last_applied = 0
        self.pending_snapshots: dict[str, SnapshotRecord] = {}

    # -- replay

    def restore(self, document: object) -> None:
        """Replay one parsed record.

        Raises:
            MalformedRecordError: It is no record of a group.
            ReplayError: It does not follow those before it.
        """
        self.restore_record(decode_stored_record(document))

    def restore_record(self, record: AnyStoredRecord) -> None:
        """Replay one record."""
        match record:
            case AcceptorRecord():
                self._restore_acceptor(record)
            case SnapshotRecord():
                if self._is_undecided(epoch_number=record.epoch_number):
                    self.store_snapshot(record)
            case StateRecord():
                self._load_state(epoch_number=record.epoch_number, record=record)
            case BatchRecord():
                self._restore_batch(record)
            case SyncMarker():
                pass

    def _restore_acceptor(self, record: AcceptorRecord) -> None:
        """Records that waited while a snapshot of the node was taken come after it and may be older."""
        if acceptor_rank(record) < acceptor_rank(self.acceptor.stored_record(group_id=self.group_id)):
            return
        self.acceptor.restore(record)
        epoch = self.acceptor.decided
        if epoch is not None:
            if self.state_epoch < epoch.number:
                self._install_snapshot(epoch=epoch)
            self._discard_snapshots(up_to=epoch.number)

    def _restore_batch(self, record: BatchRecord) -> None:
        if record.epoch_number == self.state_epoch:
            for event in unapplied(first=record.first_event, events=record.events, applied=self.last_applied):
                self.state.apply(event)
                self.last_applied += 1
        elif self._is_undecided(epoch_number=record.epoch_number):
            raise ReplayError(text=f"events of epoch {record.epoch_number}, which was never installed")

    # -- what is kept

    def records(self, *, with_state: bool) -> Sequence[StoredRecord]:
        """What a snapshot of the node keeps of the group; `with_state`: also the state, if it is of use."""
        records: list[StoredRecord] = []
        if with_state and self.state_epoch >= 0:
            records.append(
                StateRecord(
                    group_id=self.group_id,
                    epoch_number=self.state_epoch,
                    last_applied=self.last_applied,
                    state=self.state.dump(),
                )
            )
        records.append(self.acceptor.stored_record(group_id=self.group_id))
        records.extend(self.pending_snapshots.values())
        return records

    def store_snapshot(self, record: SnapshotRecord) -> None:
        """Keep a snapshot until its epoch is decided.

        Those for one epoch number are no more than an epoch has holders. If there are too many, one of the lowest
        number makes room, as an epoch after it is under way; this member's own are never dropped.
        """
        self.pending_snapshots[record.snapshot_id] = record
        while len(self.pending_snapshots) > MAX_PENDING_SNAPSHOTS:
            others = [one for one in self.pending_snapshots.values() if not self._is_own(one)]
            del self.pending_snapshots[min(others, key=lambda one: one.epoch_number).snapshot_id]

    def proposed_snapshot(self, *, epoch_number: int) -> SnapshotRecord | None:
        """The snapshot that this member proposed for an epoch number, in this life or an earlier one.

        Witnesses may have accepted it, or will. So the member proposes no other for that number, which lets those who
        store snapshots keep no more of them than an epoch has holders; and it acknowledges nothing more to the primary
        of the epoch before.
        """
        for record in self.pending_snapshots.values():
            if self._is_own(record) and record.epoch_number == epoch_number:
                return record
        return None

    def _is_own(self, record: SnapshotRecord) -> bool:
        return record.snapshot_id.startswith(f"{self.node_id}/")

    def _is_undecided(self, *, epoch_number: int) -> bool:
        decided = self.acceptor.decided
        return decided is None or epoch_number > decided.number

    def _install_snapshot(self, *, epoch: Epoch) -> bool:
        """Begin a decided epoch with the snapshot that it names; whether this member is a holder and has it."""
        record = self.pending_snapshots.get(epoch.snapshot_id)
        if record is None or record.epoch_number != epoch.number or self.node_id not in epoch.holders:
            return False
        self._load_state(epoch_number=epoch.number, record=record)
        return True

    def _load_state(self, *, epoch_number: int, record: SnapshotRecord | StateRecord) -> None:
        self.state.load(decode_state(encoded=record.state))
        self.state_epoch, self.last_applied = epoch_number, record.last_applied

    def _discard_snapshots(self, *, up_to: int) -> None:
        """Drop the snapshots for epochs up to a number: they are decided."""
        pending = self.pending_snapshots
        self.pending_snapshots = {key: record for key, record in pending.items() if record.epoch_number > up_to}
