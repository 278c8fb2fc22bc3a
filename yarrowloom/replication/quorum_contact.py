"""Contact of a holder with a majority of its epoch's witnesses: asked for beside the lease of the backups.

Contact is no lease. Nobody but a holder can start an election, and a backup that does so has stopped renewing the
primary's lease before; so two primaries never serve at a time even if contact lied. What contact adds: a primary whose
side of a cut can decide no next epoch stops serving there, although all of its backups still answer it.
"""

import math

from .epoch import Epoch
from .timing import PROMISE_S


class QuorumContact:
    """Answers of the witnesses of one epoch. Invariant: each answer counts from when its question was sent, so
    `until` is never later than PROMISE_S after a majority (this member, if it is a witness, included) was there.
    """

    def __init__(self) -> None:
        self.until = -math.inf
        self._epoch = -1
        self._needed = 0
        self._answers: dict[str, float] = {}

    def begin(self, *, epoch: Epoch, node_id: str) -> None:
        """Count for this epoch from now on; a witness set of which `uid` alone is the majority needs no answers."""
        if self._epoch == epoch.number:
            return
        witnesses = set(epoch.witnesses)
        self._epoch = epoch.number
        self._answers = dict.fromkeys(witnesses - {node_id}, -math.inf)
        self._needed = len(witnesses) // 2 + 1 - (node_id in witnesses)
        self.until = math.inf if self._needed == 0 else -math.inf

    def heard(self, *, node_id: str, sent: float) -> None:
        """A witness answered what was sent to it at `sent`.

        >>> contact = QuorumContact()
        >>> witnesses = ("a", "b", "c", "d", "e")
        >>> epoch = Epoch(number=1, primary="a", backups=("b",), witnesses=witnesses, snapshot_id="")
        >>> contact.begin(epoch=epoch, node_id="a")
        >>> contact.heard(node_id="b", sent=5.0)
        >>> contact.until
        -inf
        >>> contact.heard(node_id="c", sent=7.0)
        >>> contact.until == 5.0 + PROMISE_S
        True
        """
        before = self._answers.get(node_id)
        if before is None or sent <= before:
            return
        self._answers[node_id] = sent
        if self._needed:
            self.until = sorted(self._answers.values(), reverse=True)[self._needed - 1] + PROMISE_S
