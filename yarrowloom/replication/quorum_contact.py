"""Contact of a holder with a majority of its epoch's witnesses: asked for beside the lease of the backups.

Contact is no lease. Nobody but a holder can start an election, and a backup that does so has stopped renewing the
primary's lease before; so two primaries never serve at a time even if contact was reported wrongly. What contact adds:
a primary whose side of a network partition can decide no next epoch stops serving there, although all of its backups
still answer it.
"""

import math

from .epoch import Epoch
from .timing import LEASE_S


class QuorumContact:
    """Responses of the witnesses of one epoch.

    Attributes:
        valid_until: Until when contact holds, by the node's steady clock. Each response counts from when its request
            was sent, so this is never later than LEASE_S after a majority (this member included, if it is a witness)
            was there.
    """

    def __init__(self) -> None:
        self.valid_until = -math.inf
        self._epoch_number = -1
        self._needed = 0
        self._answered: dict[str, float] = {}  # by witness: when the newest request that it answered was sent

    def start(self, *, epoch: Epoch, node_id: str) -> None:
        """Count for this epoch from now on; where `node_id` alone is the majority of witnesses, contact is given."""
        if self._epoch_number == epoch.number:
            return
        witnesses = set(epoch.witnesses)
        self._epoch_number = epoch.number
        self._answered = dict.fromkeys(witnesses - {node_id}, -math.inf)
        self._needed = len(witnesses) // 2 + 1 - (node_id in witnesses)
        self.valid_until = math.inf if self._needed == 0 else -math.inf

    def on_response(self, *, node_id: str, sent_at: float) -> None:
        """A witness answered what was sent to it at `sent_at`.

        >>> contact = QuorumContact()
        >>> witnesses = ("a", "b", "c", "d", "e")
        >>> epoch = Epoch(number=1, primary="a", backups=("b",), witnesses=witnesses, snapshot_id="")
        >>> contact.start(epoch=epoch, node_id="a")
        >>> contact.on_response(node_id="b", sent_at=5.0)
        >>> contact.valid_until
        -inf
        >>> contact.on_response(node_id="c", sent_at=7.0)
        >>> contact.valid_until == 5.0 + LEASE_S
        True
        """
        before = self._answered.get(node_id)
        if before is None or sent_at <= before:
            return
        self._answered[node_id] = sent_at
        if self._needed:
            self.valid_until = sorted(self._answered.values(), reverse=True)[self._needed - 1] + LEASE_S
