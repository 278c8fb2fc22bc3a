"""How a primary brings its events to the disks of all holders: in batches, one in flight at a time."""

from typing import Any

from ..common.effects import Effect
from .batch import Batch, PendingEvent
from .effects import BatchSynced
from .environment import ReplicaEnvironment
from .epoch import Epoch
from .messages import AppendBatch
from .stored_records import BatchRecord


class EventPipeline:
    """Applied events that are not yet durable, and the effects that wait for them.

    Invariant: an effect leaves only once all events that were applied before it are on the disks of all holders.

    Attributes:
        pending_events: The newest applied events, not yet sent.
        in_flight: The batch that is being sent; its events come before those that are pending.
    """

    def __init__(self, *, environment: ReplicaEnvironment, group_id: int) -> None:
        self.pending_events: list[PendingEvent] = []
        self.in_flight: Batch | None = None
        self._environment = environment
        self._group_id = group_id

    def append(self, *, event: dict[str, Any], then: Effect | None) -> None:
        """An event was applied; `then` waits for it."""
        self.pending_events.append(PendingEvent(event, then))

    def barrier(self, *, then: Effect) -> None:
        """Carry out an effect once all events so far are durable: at once if none is on its way."""
        if self.pending_events:
            self.pending_events.append(PendingEvent(None, then))
        elif self.in_flight is not None:
            self.in_flight.effects.append(then)
        else:
            self._environment.effect(effect=then)

    def clear(self) -> None:
        """Forget all: this member no longer speaks for the group."""
        self.pending_events.clear()
        self.in_flight = None

    def take_effects(self) -> list[Effect]:
        """All effects that wait, in order; nothing waits after that."""
        effects = list(self.in_flight.effects) if self.in_flight is not None else []
        effects += [pending.effect for pending in self.pending_events if pending.effect is not None]
        self.pending_events, self.in_flight = [], None
        return effects

    def start_batch(self, *, epoch: Epoch, last_applied: int) -> None:
        """Write and send what is pending; no batch may be in flight.

        Args:
            epoch: The primary's epoch.
            last_applied: Number of the newest applied event, which is the newest of those that are pending.
        """
        now = self._environment.now
        events = [pending.event for pending in self.pending_events if pending.event is not None]
        effects = [pending.effect for pending in self.pending_events if pending.effect is not None]
        self.pending_events = []
        first = last_applied - len(events) + 1
        self.in_flight = Batch(first=first, last=last_applied, events=events, effects=effects, begun_at=now)
        self._environment.write(
            record=BatchRecord(group_id=self._group_id, epoch_number=epoch.number, first_event=first, events=events),
            done=BatchSynced(group_id=self._group_id, epoch_number=epoch.number, last_event=last_applied),
        )
        if epoch.backups:
            self.send_batch(epoch=epoch)

    def send_batch(self, *, epoch: Epoch) -> None:
        """Send the batch in flight to the backups that have not acknowledged it."""
        batch = self.in_flight
        assert batch is not None
        batch.sent_at = self._environment.now
        message = AppendBatch(
            group_id=self._group_id,
            epoch_number=epoch.number,
            first_event=batch.first,
            events=batch.events,
            sent_at=self._environment.now,
        )
        for node_id in epoch.backups:
            if node_id not in batch.acknowledged_by:
                self._environment.send_message(node_id=node_id, message=message)

    def on_synced(self, *, last_event: int) -> None:
        """The own disk has the batch that ends with an event."""
        if self.in_flight is not None and self.in_flight.last == last_event:
            self.in_flight.local_durable = True

    def on_acknowledged(self, *, node_id: str, last_event: int) -> bool:
        """A backup's disk has the batch that ends with an event; whether that is the one in flight."""
        if self.in_flight is None or self.in_flight.last != last_event:
            return False
        self.in_flight.acknowledged_by.add(node_id)
        return True

    def complete_batch(self, *, epoch: Epoch) -> bool:
        """Carry out the effects of the batch in flight if all holders have it; whether they do."""
        batch = self.in_flight
        if batch is None or not batch.local_durable or len(batch.acknowledged_by) < len(epoch.backups):
            return False
        self.in_flight = None
        for effect in batch.effects:
            self._environment.effect(effect=effect)
        return True
