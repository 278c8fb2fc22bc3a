"""Slow minions: how much longer runs take on one than on the middle one."""

from typing import Any

MINIONS = 512
LEAST = 5  # runs needed before a minion is called slow
FROM = 114  # log of 1.25 in the scale of run times: less is noise
CUT = 2048
EVERY = 64  # the middle is found anew after so many runs


class Slow:
    """Invariants: at most MINIONS rows [runs, mean log of how much longer], the one first heard of goes first;
    residuals are of plain run times, never of corrected ones; slowness is relative to the middle minion, so that a
    change which all see is none.
    """

    __slots__ = ("base", "left", "rows")

    def __init__(self) -> None:
        self.rows: dict[str, list[int]] = {}
        self.base = 0
        self.left = EVERY

    def note(self, *, minion_id: str, off: int) -> int:
        """A run took `off` (log) longer than its kind usually does; returns what `log` says now."""
        row = self.rows.get(minion_id)
        if row is None:
            if len(self.rows) >= MINIONS:
                del self.rows[next(iter(self.rows))]
            row = self.rows[minion_id] = [0, self.base]
        if row[0] < LEAST:
            row[0] += 1
        row[1] += ((CUT if off > CUT else -CUT if off < -CUT else off) - row[1]) // 4
        self.left -= 1
        if self.left <= 0:
            self.left = EVERY
            vals = sorted([v for _, v in self.rows.values()])
            self.base = vals[(len(vals) - 1) // 2]
        more = row[1] - self.base
        return more if more >= FROM and row[0] >= LEAST else 0

    def log(self, *, minion_id: str) -> int:
        """How much longer runs take there, as a log; 0 for all that is not clearly slow.

        >>> Slow().log(minion_id="m")
        0
        """
        row = self.rows.get(minion_id)
        if row is None or row[0] < LEAST or row[1] - self.base < FROM:
            return 0
        return row[1] - self.base

    def dump(self) -> Any:
        """As plain data."""
        return [self.base, self.left, [[k, *v] for k, v in self.rows.items()]]

    @classmethod
    def load(cls, document: Any) -> "Slow":
        """Undo `dump`."""
        out = cls()
        out.base, out.left = document[0], document[1]
        out.rows = {k: list(v) for k, *v in document[2]}
        return out
