"""How new a node's configuration provably is: an age that descends from group 0's primary, hop by hop.

The primary, while its lease lasts, has age 0. Each acknowledgement of a heartbeat tells the age of its sender's proof;
the receiver's proof dates from when that heartbeat was sent, less the age told. Only durations are sent, so clocks are
never compared: the transit of the acknowledgement counts as age, and so nodes that acknowledge each other in a circle
only age. Each holder measures its part of an age by its own clock; an age told is wrong by at most the clocks' error
(2%), however many hops it took.
"""

import math

from msgspec import UNSET

from .messages import ContactProof

READY_SHARE = 0.75  # of config-apply-ms: with an older proof an edge is not ready
ANSWER_SHARE = 0.5  # ... and nothing is answered on the strength of the configuration alone
PROBE_SHARE = 0.4  # ... and other core nodes are asked too; above what a relay's children see in calm times (0.7 s)
PROOF_PERIOD_S = 0.25  # between the proofs that a node gets with answers to its calls
NODES_KEPT = 4096


class Freshness:
    """A node's proof of contact with group 0's primary.

    Invariant: at `proven_at`, or later, a primary of `epoch` held its lease, and this node's configuration is no older
    than that primary's was then.

    Attributes:
        proven_at: By this node's monotonic clock, in seconds; minus infinity: there was no proof yet.
        epoch: The number of the newest epoch that gave a proof; -1: none did.
        ready_s: Up to this age an edge is ready.
        answer_s: Up to this age a node may answer on the strength of its configuration alone.
        probe_s: Up to this age no further nodes are asked.
    """

    def __init__(self, *, apply_ms: float) -> None:
        self.proven_at = -math.inf
        self.epoch = -1
        self.ready_s = READY_SHARE * apply_ms / 1000
        self.answer_s = ANSWER_SHARE * apply_ms / 1000
        self.probe_s = PROBE_SHARE * apply_ms / 1000
        self._last_told: dict[str, float] = {}

    def prove(self, *, at: float, epoch: int) -> None:
        """Take a proof that dates from `at`; an older one than is known changes nothing."""
        if at > self.proven_at:
            self.proven_at = at
        self.epoch = max(self.epoch, epoch)

    def age(self, *, now: float) -> float:
        """Seconds since the proof; infinite before the first."""
        return max(0.0, now - self.proven_at)

    def proof(self, *, now: float, config_version: int) -> ContactProof:
        """What tells the proof to others, the age rounded up to milliseconds; empty before the first proof.

        >>> freshness = Freshness(apply_ms=2000)
        >>> freshness.proof(now=5.0, config_version=3).document()
        {}
        >>> freshness.prove(at=4.0, epoch=7)
        >>> freshness.proof(now=5.0001, config_version=3)
        ContactProof(age_s=1.001, epoch=7, config_version=3)
        """
        age_s = self.age(now=now)
        if math.isinf(age_s):
            return ContactProof()
        return ContactProof(age_s=math.ceil(age_s * 1000) / 1000, epoch=self.epoch, config_version=config_version)

    def is_due(self, *, node_id: str, now: float) -> bool:
        """Whether the answer to a node's call should tell the proof; if so, the next ones need not for a while."""
        if now - self._last_told.get(node_id, -math.inf) <= PROOF_PERIOD_S:
            return False
        if len(self._last_told) > NODES_KEPT:
            self._last_told.clear()
        self._last_told[node_id] = now
        return True

    def confirm(
        self, *, sent_at: float, now: float, proof: ContactProof, known_epoch: int, config_version: int
    ) -> bool:
        """Take the proof that an answer carries, unless it tells of a newer configuration than is here.

        Args:
            sent_at: When this node sent what is answered; in the future: another life of the process sent it.
            now: This node's monotonic time.
            proof: What the answer tells.
            known_epoch: The number of group 0's newest epoch known here; a proof by an older one proves nothing.
            config_version: The version of the configuration here.

        Returns:
            Whether the answer's sender is in touch with group 0's primary.
        """
        if proof.age_s is UNSET or proof.epoch is UNSET or proof.age_s < 0 or sent_at > now:
            return False
        if proof.epoch < known_epoch:
            return False
        if proof.config_version is UNSET or proof.config_version <= config_version:
            self.prove(at=sent_at - proof.age_s, epoch=proof.epoch)
        return proof.age_s < self.probe_s
