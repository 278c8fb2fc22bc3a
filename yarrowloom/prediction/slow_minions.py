"""Slow minions: how much longer runs take on one than on the median one."""

from dataclasses import dataclass
from typing import Any

MAX_MINIONS = 512
MIN_RUNS = 5  # needed before a minion is called slow
MIN_EXCESS = 114  # logarithm of 1.25 in the scale of run times: what is less is noise
MAX_EXCESS = 2048  # a single run counts as no more than this
MEDIAN_EVERY = 64  # runs after which the median is found anew


@dataclass(slots=True)
class MinionSpeed:
    """How much longer runs take on one minion.

    Attributes:
        runs: Runs seen. Invariant: at most MIN_RUNS, as more make no difference.
        mean_excess: Moving average of the logarithm of how much longer runs took there than their kind usually does.
    """

    runs: int
    mean_excess: int


class SlowMinions:
    """Excess of run times by minion, as logarithms in the scale of `run_times`.

    Excess is that of plain run times, never of corrected ones, and it is relative to the median minion: a change that
    all minions see makes none of them slow.

    Attributes:
        minions: By minion id. Invariant: at most MAX_MINIONS; the one first heard of is forgotten first.
        median_excess: The median of the minions' excess, as last found.
        runs_until_median: Runs until the median is found anew.
    """

    __slots__ = ("median_excess", "minions", "runs_until_median")

    def __init__(self) -> None:
        self.minions: dict[str, MinionSpeed] = {}
        self.median_excess = 0
        self.runs_until_median = MEDIAN_EVERY

    def record(self, *, minion_id: str, excess: int) -> int:
        """Take note that a run took `excess` longer than its kind usually does; returns the minion's excess now."""
        minion = self.minions.get(minion_id)
        if minion is None:
            if len(self.minions) >= MAX_MINIONS:
                del self.minions[next(iter(self.minions))]
            minion = self.minions[minion_id] = MinionSpeed(0, self.median_excess)
        if minion.runs < MIN_RUNS:
            minion.runs += 1
        bounded = MAX_EXCESS if excess > MAX_EXCESS else -MAX_EXCESS if excess < -MAX_EXCESS else excess
        minion.mean_excess += (bounded - minion.mean_excess) // 4
        self.runs_until_median -= 1
        if self.runs_until_median <= 0:
            self._find_median()
        current = minion.mean_excess - self.median_excess
        return current if current >= MIN_EXCESS and minion.runs >= MIN_RUNS else 0

    def _find_median(self) -> None:
        self.runs_until_median = MEDIAN_EVERY
        ordered = sorted([minion.mean_excess for minion in self.minions.values()])
        self.median_excess = ordered[(len(ordered) - 1) // 2]

    def excess(self, *, minion_id: str) -> int:
        """How much longer runs take there, as a logarithm; 0 for all that is not clearly slow.

        >>> SlowMinions().excess(minion_id="m")
        0
        """
        minion = self.minions.get(minion_id)
        if minion is None or minion.runs < MIN_RUNS:
            return 0
        excess = minion.mean_excess - self.median_excess
        return excess if excess >= MIN_EXCESS else 0

    def dump(self) -> list[Any]:
        """All of it as plain data."""
        rows = [[minion_id, minion.runs, minion.mean_excess] for minion_id, minion in self.minions.items()]
        return [self.median_excess, self.runs_until_median, rows]

    @classmethod
    def load(cls, document: list[Any]) -> "SlowMinions":
        """What `dump` gave."""
        slow_minions = cls()
        slow_minions.median_excess, slow_minions.runs_until_median = document[0], document[1]
        for minion_id, runs, mean_excess in document[2]:
            slow_minions.minions[minion_id] = MinionSpeed(runs, mean_excess)
        return slow_minions
