"""Events on their way to the disks of all holders."""

from dataclasses import dataclass, field
from typing import Any

from ..common.effects import AnyEffect


@dataclass(slots=True, kw_only=True)
class Batch:
    """Events `first` to `last` of an epoch, sent together; one batch is in flight at a time. Invariant: `effects` are
    carried out only once the batch is `local_durable` and `acknowledged_by` names all backups. Times are seconds of the
    node's steady clock.
    """

    first: int
    last: int
    events: list[dict[str, Any]]
    effects: list[AnyEffect]
    begun_at: float
    sent_at: float = 0.0
    local_durable: bool = False
    acknowledged_by: set[str] = field(default_factory=set)
