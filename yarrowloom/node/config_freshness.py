"""How new a node's configuration provably is: an age that descends from group 0's primary, hop by hop.

The primary, while its lease lasts, has age 0. Each answer to a heartbeat tells the age of its sender's proof; the
receiver's proof dates from when that heartbeat was sent, less the age told. Only durations are sent, so clocks are
never compared: the transit of the answer counts as age, and so nodes that answer each other in a circle only age.
Each holder measures its part of an age by its own clock; an age told is wrong by at most the clocks' error (2%),
however many hops it took.
"""

import math
from typing import Any

READY_SHARE = 0.75  # of config-apply-ms: proof older than that, and an edge is not ready
ANSWER_SHARE = 0.5  # ... and nothing is answered on the strength of the configuration alone
PROBE_SHARE = 0.4  # ... and other core nodes are asked too; above what a relay's children see in calm times (0.7 s)


class Freshness:
    """Invariant: at `proven_at` on this node's clock, or later, a primary of `epoch` held its lease, and this node's
    configuration is no older than that primary's was then.
    """

    def __init__(self, *, apply_ms: float) -> None:
        self.proven_at = -math.inf
        self.epoch = -1
        self.ready_s = READY_SHARE * apply_ms / 1000
        self.answer_s = ANSWER_SHARE * apply_ms / 1000
        self.probe_s = PROBE_SHARE * apply_ms / 1000

    def prove(self, *, at: float, epoch: int) -> None:
        """A proof that dates from `at`; an older one than is known changes nothing."""
        if at > self.proven_at:
            self.proven_at = at
        self.epoch = max(self.epoch, epoch)

    def age(self, *, now: float) -> float:
        """Seconds since the proof; infinite before the first."""
        return max(0.0, now - self.proven_at)

    def told(self, *, now: float) -> dict[str, Any]:
        """The fields that tell it to others, the age rounded up.

        >>> proof = Freshness(apply_ms=2000)
        >>> proof.told(now=5.0)
        {}
        >>> proof.prove(at=4.0, epoch=7)
        >>> proof.told(now=5.0001)
        {'age': 1.001, 'by': 7}
        """
        age = self.age(now=now)
        return {} if math.isinf(age) else {"age": math.ceil(age * 1000) / 1000, "by": self.epoch}
