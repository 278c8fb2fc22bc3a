"""Events on their way to the disks of all holders."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..common.effects import Effect


class PendingEvent(msgspec.Struct, frozen=True):
    """Something that waits for the next batch.

    Attributes:
        event: An event that is applied and not yet sent; None: only the effect waits, for the events before it.
        effect: What is to be done once the batch is durable.
    """

    event: dict[str, Any] | None
    effect: Effect | None


@dataclass(slots=True, kw_only=True)
class Batch:
    """Events of an epoch that are sent together; one batch is in flight at a time.

    Invariant: `effects` are carried out only once the batch is `local_durable` and `acknowledged_by` names all backups.

    Attributes:
        first: Number of the first event.
        last: Number of the last event.
        events: The events.
        effects: What is to be done then.
        begun_at: When it was first sent, in seconds of the node's steady clock.
        sent_at: When it was last sent.
        local_durable: The primary's own disk has it.
        acknowledged_by: Backups whose disks have it.
    """

    first: int
    last: int
    events: list[dict[str, Any]]
    effects: list[Effect]
    begun_at: float
    sent_at: float = 0.0
    local_durable: bool = False
    acknowledged_by: set[str] = field(default_factory=set)
