"""Whether predictions of one sort come true: the last outcomes as bits, with a switch that turns them off."""

import enum
from typing import Any

MAX_OUTCOMES = 16
MIN_OUTCOMES = 4  # needed before a prediction is trusted or distrusted
TRUST_FROM = 0.6  # share of right predictions from which they are trusted
DISTRUST_BELOW = 0.35
_MASK = (1 << MAX_OUTCOMES) - 1


class Trust(str, enum.Enum):
    """Whether predictions are used."""

    FRESH = "fresh"  # too few outcomes are known
    ON = "on"
    OFF = "off"


TRANSITIONS: dict[Trust, frozenset[Trust]] = {
    Trust.FRESH: frozenset({Trust.ON, Trust.OFF}),
    Trust.ON: frozenset({Trust.OFF}),
    Trust.OFF: frozenset({Trust.ON}),
}


class Accuracy:
    """The record of one sort of prediction. Outcomes are recorded also while it isn't trusted.

    Attributes:
        outcomes: The last outcomes as bits, the newest lowest; 1: it came true.
        count: How many of them are known. Invariant: at most MAX_OUTCOMES.
        trust: Invariant: ON turns OFF only below DISTRUST_BELOW; OFF and FRESH turn ON only from TRUST_FROM and
            MIN_OUTCOMES on.
    """

    __slots__ = ("count", "outcomes", "trust")

    def __init__(self) -> None:
        self.outcomes = 0
        self.count = 0
        self.trust = Trust.FRESH

    @property
    def success_rate(self) -> float:
        """Share that came true, drawn towards one half while there are few.

        >>> Accuracy().success_rate
        0.5
        """
        return (self.outcomes.bit_count() + 1) / (self.count + 2)

    @property
    def is_trusted(self) -> bool:
        """Whether predictions may be used."""
        return self.trust is Trust.ON

    def record(self, *, came_true: bool) -> None:
        """Take note of one more outcome."""
        self.outcomes = (self.outcomes << 1 | came_true) & _MASK
        if self.count < MAX_OUTCOMES:
            self.count += 1
        self._update_trust()

    def _update_trust(self) -> None:
        if self.count < MIN_OUTCOMES:
            return
        share = self.outcomes.bit_count() / self.count
        if self.trust is Trust.ON:
            trust = Trust.OFF if share < DISTRUST_BELOW else Trust.ON
        else:
            trust = Trust.ON if share >= TRUST_FROM else Trust.OFF
        if trust is not self.trust:
            assert trust in TRANSITIONS[self.trust]
            self.trust = trust

    def dump(self) -> list[Any]:
        """The record as plain data: outcomes, count, trust."""
        return [self.outcomes, self.count, self.trust.value]

    @classmethod
    def load(cls, document: list[Any]) -> "Accuracy":
        """The record that `dump` gave.

        >>> accuracy = Accuracy()
        >>> for came_true in (True, True, False, True): accuracy.record(came_true=came_true)
        >>> (accuracy.is_trusted, Accuracy.load(accuracy.dump()).dump() == accuracy.dump())
        (True, True)
        """
        accuracy = cls()
        accuracy.outcomes, accuracy.count, accuracy.trust = document[0], document[1], Trust(document[2])
        return accuracy
