"""Whether predictions of one sort come true: the last outcomes as bits, with an off switch."""

import enum
from typing import Any

KEEP = 16
LEAST = 4  # outcomes needed before anything is believed
ON_AT = 0.6
OFF_AT = 0.35
_MASK = (1 << KEEP) - 1


class Trust(str, enum.Enum):
    """The switch."""

    FRESH = "fresh"
    ON = "on"
    OFF = "off"


MOVES: dict[Trust, frozenset[Trust]] = {
    Trust.FRESH: frozenset({Trust.ON, Trust.OFF}),
    Trust.ON: frozenset({Trust.OFF}),
    Trust.OFF: frozenset({Trust.ON}),
}


class Score:
    """Invariants: `bits` holds the last `tries` (at most KEEP) outcomes, newest lowest; ON turns OFF only below
    OFF_AT, OFF or FRESH turns ON only from ON_AT and LEAST outcomes; outcomes count on while OFF.
    """

    __slots__ = ("bits", "tries", "trust")

    def __init__(self) -> None:
        self.bits = 0
        self.tries = 0
        self.trust = Trust.FRESH

    @property
    def rate(self) -> float:
        """Share that came true, drawn towards one half while there are few.

        >>> Score().rate
        0.5
        """
        return (self.bits.bit_count() + 1) / (self.tries + 2)

    @property
    def on(self) -> bool:
        """Predictions may be used."""
        return self.trust is Trust.ON

    def push(self, *, ok: bool) -> None:
        """One more outcome."""
        self.bits = (self.bits << 1 | ok) & _MASK
        if self.tries < KEEP:
            self.tries += 1
        self.settle()

    def settle(self) -> None:
        """Turn the switch where the outcomes ask for it."""
        if self.tries < LEAST:
            return
        share = self.bits.bit_count() / self.tries
        if self.trust is Trust.ON:
            to = Trust.OFF if share < OFF_AT else Trust.ON
        else:
            to = Trust.ON if share >= ON_AT else Trust.OFF
        if to is not self.trust:
            assert to in MOVES[self.trust]
            self.trust = to

    def dump(self) -> Any:
        """As plain data."""
        return [self.bits, self.tries, self.trust.value]

    @classmethod
    def load(cls, document: Any) -> "Score":
        """Undo `dump`.

        >>> s = Score()
        >>> for ok in (True, True, False, True): s.push(ok=ok)
        >>> (s.on, Score.load(s.dump()).dump() == s.dump())
        (True, True)
        """
        out = cls()
        out.bits, out.tries, out.trust = document[0], document[1], Trust(document[2])
        return out
