"""Snapshots and replay: each event counts once, whenever the ring moves on and wherever the journal ends."""

import orjson
import pytest

from tests.support.replica_cell import Cell, Member, Role
from yarrowloom.common.records import MalformedRecordError
from yarrowloom.replication.epoch import ProposalNumber
from yarrowloom.replication.log_replay import ReplayError
from yarrowloom.replication.messages import PrepareRequest
from yarrowloom.transport.message_kinds import Kind


def holders(cell: Cell) -> list[Member]:
    epoch = cell.primary().replica.epoch
    assert epoch is not None
    return [cell.members[node_id] for node_id in (epoch.primary, *epoch.backups)]


def arrive(cell: Cell) -> None:
    while cell.wire:
        cell.deliver()


# -- a snapshot, and the records after it


def test_a_snapshot_with_events_that_wait_for_their_batch_is_replayed_once() -> None:
    """Batch 1 in flight, event 2 queued, snapshot, batch 2 written: the live state is [1, 2], and so is the replayed
    one."""
    cell = Cell()
    primary = cell.primary()
    cell.commit(x=1)
    primary.replica.flush()
    cell.commit(x=2)
    primary.rotate(count=len(primary.unsynced))
    cell.settle(seconds=0.3)
    assert primary.state.rows == cell.confirmed == [1, 2]
    _, replayed = primary.replayed(journal=primary.journal)
    assert replayed.rows == [1, 2]


def test_a_batch_that_a_snapshot_holds_in_part_is_replayed_once() -> None:
    cell = Cell()
    primary = cell.primary()
    cell.commit(x=1)
    primary.replica.flush()
    cell.commit(x=2)
    primary.journal += primary.snapshot()
    cell.commit(x=3)
    cell.settle(seconds=0.3)
    batches = [record["first"] for record in map(orjson.loads, primary.journal) if record["k"] == "lg"]
    assert batches[-1] == primary.replica.last_applied - 1  # events 2 and 3 are one batch
    _, replayed = primary.replayed(journal=primary.journal)
    assert replayed.rows == primary.state.rows == [1, 2, 3]


def test_a_backup_snapshot_with_records_that_are_not_yet_on_disk_is_replayed_once() -> None:
    """The writer asks for the snapshot before it writes the records that waited."""
    cell = Cell()
    primary, backup = cell.primary(), cell.backup()
    cell.commit(x=1)
    primary.replica.flush()
    arrive(cell)
    assert backup.state.rows == [1]
    assert backup.unsynced
    backup.rotate(count=len(backup.unsynced))
    _, replayed = backup.replayed(journal=backup.journal)
    assert replayed.rows == [1]


def test_acceptor_record_after_a_snapshot_of_its_epoch_does_not_bring_old_state_back() -> None:
    """A member won an epoch and confirmed events in it; an older witness record and the spare copy of that epoch stand
    before the snapshot, its own witness record after it."""
    cell = Cell()
    primary = cell.primary()
    spare = [raw for raw in primary.journal if b'"ck"' in raw]
    before = [raw for raw in primary.journal if b'"w"' in raw][:1]
    assert spare
    assert before
    cell.commit(x=1)
    cell.settle(seconds=0.3)
    records = [orjson.loads(raw) for raw in [*before, *spare, *primary.snapshot()[1:-1]]]
    replica, replayed = primary.replayed(journal=[orjson.dumps(record) for record in records])
    assert replayed.rows == [1]
    assert replica.state_epoch == primary.replica.state_epoch


def test_older_acceptor_record_after_a_snapshot_takes_no_promise_back() -> None:
    cell = Cell()
    member = cell.primary()
    waiting = member.replica.acceptor.stored_record(group_id=0).encoded()
    assert member.replica.acceptor.decided is not None
    promised = ProposalNumber(round=5, node_id="b:1#0", incarnation=1)
    epoch_number = member.replica.acceptor.decided.number + 1
    request = PrepareRequest(group_id=0, epoch_number=epoch_number, proposal_number=promised)
    assert member.replica.acceptor.prepare(request) is not None
    replica, _ = member.replayed(journal=[*member.snapshot(), waiting])
    assert replica.acceptor.promised == promised


def test_a_snapshot_that_was_cut_off_does_not_count() -> None:
    """The process was killed between the new file's head and its records: the journal before it holds all."""
    cell = Cell()
    primary = cell.primary()
    cell.commit(x=1)
    cell.settle(seconds=0.3)
    before = list(primary.journal)
    head = primary.snapshot()
    for kept in range(len(head)):
        replica, replayed = primary.replayed(journal=before + head[:kept])
        assert replayed.rows == [1]
        assert replica.role is Role.LAPSED


def test_snapshot_for_an_undecided_epoch_survives_a_restart_and_is_used_once_it_is_decided() -> None:
    cell = Cell()
    primary, backup = cell.primary(), cell.backup()
    cell.commit(x=1)
    cell.settle(seconds=0.3)
    primary.replica.start_election(reason="test")
    cell.deliver()
    backup.sync(count=len(backup.unsynced))
    assert [kind for _, _, kind, _ in cell.wire] == [Kind.SNAPSHOT_STORED]  # the backup has synced the copy
    backup.rotate(count=0)
    backup.restart()
    assert [record.epoch_number for record in backup.replica.pending_snapshots.values()] == [2]
    assert cell.settle(seconds=10.0, until=lambda: len(cell.decided) >= 2 and bool(cell.serving()))
    assert all(member.state.rows == [1] for member in holders(cell))


# -- numbers


def test_journal_with_a_gap_is_refused() -> None:
    cell = Cell()
    primary = cell.primary()
    for x in (1, 2, 3):
        cell.commit(x=x)
        cell.settle(seconds=0.3)
    batches = [i for i, raw in enumerate(primary.journal) if b'"lg"' in raw]
    journal = primary.journal[: batches[-2]] + primary.journal[batches[-2] + 1 :]
    with pytest.raises(ReplayError, match="follows event"):
        primary.replayed(journal=journal)


@pytest.mark.parametrize(
    "record",
    [
        {"k": "lg", "g": 0, "n": 1, "seq": 1, "evs": [{"x": 9}]},
        {"k": "st", "g": 0, "n": 1, "seq": 1, "st": {"rows": []}},
        {"k": "lg", "g": 0, "n": 99, "first": 1, "evs": [{"x": 9}]},
        {"k": "what", "g": 0},
        {"g": 0},
    ],
)
def test_record_of_another_format_is_refused(record: dict[str, object]) -> None:
    """Older journals numbered batches."""
    cell = Cell()
    primary = cell.primary()
    with pytest.raises((ReplayError, MalformedRecordError)):
        primary.replayed(journal=[*primary.journal, orjson.dumps(record)])


def test_a_backup_takes_a_batch_once_however_often_it_comes_and_refuses_one_after_a_gap() -> None:
    cell = Cell()
    primary, backup = cell.primary(), cell.backup()
    base, start = backup.replica.state_epoch, backup.replica.last_applied

    def log(*, first: int, events: list[int]) -> list[int]:
        """Send one batch; the events that are confirmed by number."""
        backup.replica.on(
            node_id=primary.node_id,
            kind=Kind.APPEND_BATCH,
            body={"g": 0, "n": base, "first": start + first, "evs": [{"x": x} for x in events], "t": cell.now},
        )
        backup.sync(count=len(backup.unsynced))
        rows = [orjson.loads(body)["last"] - start for _, _, kind, body in cell.wire if kind is Kind.BATCH_APPENDED]
        cell.wire.clear()
        return rows

    assert log(first=1, events=[1, 2]) == [2]
    assert log(first=1, events=[1, 2]) == [2]
    assert backup.state.rows == [1, 2]
    assert log(first=2, events=[2, 3]) == [3]
    assert backup.state.rows == [1, 2, 3]
    assert log(first=5, events=[5]) == []
    assert backup.state.rows == [1, 2, 3]
    assert backup.notes[-1][0] == "log-gap-found"
    _, replayed = backup.replayed(journal=backup.journal)
    assert replayed.rows == [1, 2, 3]


# -- what a restarted member takes for confirmed


def test_restarted_primary_serves_only_after_the_backups_of_a_new_epoch_have_its_state() -> None:
    """Its snapshot holds events that no backup has; it is cut off, then not."""
    cell = Cell()
    primary = cell.primary()
    cell.commit(x=1)
    primary.replica.flush()
    cell.commit(x=2)
    cell.cut(node_id=primary.node_id)
    primary.rotate(count=0)
    primary.restart()
    assert primary.state.rows == [1, 2]
    assert primary.replica.role is Role.LAPSED
    for _ in range(60):
        cell.now += 0.05
        primary.replica.tick()
        primary.sync(count=len(primary.unsynced))
        cell.cut(node_id=primary.node_id)
        assert not primary.replica.is_serving()
        assert not cell.confirmed
        assert primary.replica.state_epoch == 1
    assert cell.settle(seconds=20.0, until=lambda: bool(cell.serving()))
    for member in holders(cell):
        _, replayed = member.replayed(journal=member.journal)
        assert replayed.rows == member.state.rows
        assert member.replica.state_epoch == cell.primary().replica.state_epoch > 1


def test_a_backup_that_began_to_take_over_confirms_nothing_more_after_a_restart() -> None:
    """Witnesses voted for its copy, it was killed before it knew; its primary still serves. Whatever that one confirms
    with it is lost when the vote is found and its epoch goes into force."""
    cell = Cell()
    first, taker = cell.primary(), cell.backup()
    third = next(m for m in cell.members.values() if m not in (first, taker))
    taker.replica.start_election(reason="test", avoid=[first.node_id])
    for _ in range(100):
        cell.cut(node_id=first.node_id)
        for member in (taker, third):
            member.sync(count=len(member.unsynced))
        if third.replica.acceptor.accepted_number is not None and taker.replica.acceptor.accepted_number is not None:
            break
        cell.deliver()
    cell.wire.clear()
    taker.restart()
    assert first.replica.is_serving()
    cell.commit(x=1, member=first)
    cell.settle(seconds=1.0)
    first.replica.start_election(reason="test") if first.replica.role is Role.PRIMARY else None
    cell.settle(seconds=10.0, until=lambda: len(cell.decided) >= 2 and bool(cell.serving()))
    cell.settle(seconds=1.0)
    assert set(cell.confirmed) <= set(cell.primary().state.rows)


# -- reducers that raise


def test_backup_whose_reducer_raises_discards_its_state_and_is_sent_another() -> None:
    cell = Cell()
    cell.commit(x=1)
    backup = cell.backup()
    backup.state.refused = 2
    cell.commit(x=2)
    cell.settle(seconds=0.3)
    assert backup.replica.role is Role.IDLE
    assert backup.replica.state_epoch == -1
    assert 2 not in cell.confirmed
    assert [name for name, _ in backup.notes].count("state-discarded") == 1
    assert cell.settle(seconds=20.0, until=lambda: 2 in cell.confirmed)
    assert all(member.state.rows == [1, 2] for member in holders(cell))
    assert all(member.state.rows == [1, 2] for member in cell.members.values() if member.replica.role is not Role.IDLE)


def test_backup_whose_reducer_raised_has_the_events_before_it_after_a_restart() -> None:
    cell = Cell()
    cell.commit(x=1)
    cell.settle(seconds=0.3)
    backup = cell.backup()
    backup.state.refused = 2
    cell.commit(x=2)
    cell.settle(seconds=0.3)
    _, replayed = backup.replayed(journal=backup.journal)
    assert replayed.rows == [1]


def test_a_primary_whose_reducer_raises_no_longer_serves() -> None:
    cell = Cell()
    cell.commit(x=1)
    cell.settle(seconds=0.3)
    primary = cell.primary()
    primary.state.refused = 2
    with pytest.raises(AssertionError, match="refused by the reducer"):
        cell.commit(x=2)
    assert not primary.replica.is_serving()
    assert primary.replica.role is Role.IDLE
    assert cell.primary() is not primary
    assert cell.primary().state.rows == [1]
