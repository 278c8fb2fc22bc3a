"""Snapshots and replay: each event counts once, whenever the ring moves on and wherever the journal ends."""

from tests.replica_cell import Cell


def test_a_snapshot_with_events_that_wait_for_their_batch_is_replayed_once() -> None:
    """Batch 1 in flight, event 2 queued, snapshot, batch 2 written: the live state is [1, 2], and so is the replayed
    one."""
    cell = Cell()
    primary = cell.primary()
    cell.commit(x=1)
    primary.rep.flush()
    cell.commit(x=2)
    primary.rotate(count=len(primary.unsynced))
    cell.settle(seconds=0.3)
    assert primary.state.rows == cell.confirmed == [1, 2]
    _, replayed = primary.replayed(journal=primary.journal)
    assert replayed.rows == [1, 2]


def test_a_backup_snapshot_with_records_that_are_not_yet_on_disk_is_replayed_once() -> None:
    """The writer asks for the snapshot before it writes the records that waited."""
    cell = Cell()
    primary, backup = cell.primary(), cell.backup()
    cell.commit(x=1)
    primary.rep.flush()
    while cell.wire:
        cell.deliver()
    assert backup.state.rows == [1] and backup.unsynced
    backup.rotate(count=len(backup.unsynced))
    _, replayed = backup.replayed(journal=backup.journal)
    assert replayed.rows == [1]


def test_a_witness_record_after_a_snapshot_of_its_epoch_does_not_bring_old_state_back() -> None:
    """A member won an epoch and confirmed events in it; the ring moved on; an older witness record and the spare
    copy of that epoch stand before the snapshot in the journal."""
    cell = Cell()
    primary = cell.primary()
    epoch = primary.rep.epoch
    assert epoch is not None
    spare = [raw for raw in primary.journal if b'"ck"' in raw]
    before = [raw for raw in primary.journal if b'"w"' in raw][:1]
    cell.commit(x=1)
    cell.settle(seconds=0.3)
    journal = [*before, *spare, *[raw for raw in primary.snapshot() if b'"id"' not in raw and b'"end"' not in raw]]
    _, replayed = primary.replayed(journal=journal)
    assert replayed.rows == [1]
