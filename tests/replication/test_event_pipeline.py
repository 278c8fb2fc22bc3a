"""Effects of a primary wait for the disks of all holders."""

import pytest

from tests.support.replication_environment import Done, FakeEnvironment, example_epoch
from yarrowloom.replication.effects import BatchSynced
from yarrowloom.replication.event_pipeline import EventPipeline
from yarrowloom.replication.messages import AppendBatch
from yarrowloom.replication.stored_records import BatchRecord

EPOCH = example_epoch(backups=("b", "c"))


def in_flight() -> tuple[FakeEnvironment, EventPipeline]:
    """Events 5 and 6 are on their way."""
    environment = FakeEnvironment()
    pipeline = EventPipeline(environment=environment, group_id=1)
    pipeline.append(event={"x": 5}, then=Done(number=5))
    pipeline.append(event={"x": 6}, then=None)
    pipeline.start_batch(epoch=EPOCH, last_applied=6)
    return environment, pipeline


def test_batch_is_written_and_sent_to_all_backups_with_the_number_of_its_first_event() -> None:
    environment, _ = in_flight()
    events = [{"x": 5}, {"x": 6}]
    record = BatchRecord(group_id=1, epoch_number=3, first_event=5, events=events)
    assert environment.written == [(record, BatchSynced(group_id=1, epoch_number=3, last_event=6))]
    message = AppendBatch(group_id=1, epoch_number=3, first_event=5, events=events, sent_at=environment.now)
    assert environment.sent == [("b", message), ("c", message)]


@pytest.mark.parametrize("missing", ["own disk", "b", "c"])
def test_effects_wait_while_one_holder_has_not_synced_the_batch(missing: str) -> None:
    environment, pipeline = in_flight()
    if missing != "own disk":
        pipeline.on_synced(last_event=6)
    for backup in {"b", "c"} - {missing}:
        assert pipeline.on_acknowledged(node_id=backup, last_event=6)
    assert not pipeline.complete_batch(epoch=EPOCH)
    assert environment.effects == []


def test_effects_leave_in_order_once_all_holders_have_synced_the_batch() -> None:
    environment, pipeline = in_flight()
    pipeline.barrier(then=Done(number=60))
    pipeline.on_synced(last_event=6)
    for backup in ("b", "c"):
        assert pipeline.on_acknowledged(node_id=backup, last_event=6)
    assert pipeline.complete_batch(epoch=EPOCH)
    assert environment.effects == [Done(number=5), Done(number=60)]
    assert pipeline.in_flight is None


def test_acknowledgement_of_another_batch_does_not_count() -> None:
    _, pipeline = in_flight()
    assert not pipeline.on_acknowledged(node_id="b", last_event=5)
    pipeline.on_synced(last_event=5)
    assert pipeline.in_flight is not None
    assert not pipeline.in_flight.local_durable
    assert pipeline.in_flight.acknowledged_by == set()


def test_repeated_batch_goes_only_to_backups_that_have_not_acknowledged_it() -> None:
    environment, pipeline = in_flight()
    environment.sent.clear()
    pipeline.on_acknowledged(node_id="b", last_event=6)
    pipeline.send_batch(epoch=EPOCH)
    assert [node_id for node_id, _ in environment.sent] == ["c"]


def test_barrier_without_events_on_their_way_is_carried_out_at_once() -> None:
    environment = FakeEnvironment()
    EventPipeline(environment=environment, group_id=1).barrier(then=Done(number=0))
    assert environment.effects == [Done(number=0)]


def test_effects_that_wait_are_taken_over_in_order_by_the_next_epoch() -> None:
    environment, pipeline = in_flight()
    pipeline.append(event={"x": 7}, then=Done(number=7))
    assert pipeline.take_effects() == [Done(number=5), Done(number=7)]
    assert (pipeline.in_flight, pipeline.pending_events) == (None, [])
    assert environment.effects == []
