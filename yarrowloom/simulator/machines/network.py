"""Cuts and held links of the simulated network."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, eq=False)
class Cut:
    """A network partition between the addresses in `inside` and those outside.

    Attributes:
        inside: The addresses on one side.
        others: The addresses on the other side; if empty, all that are not in `inside`.
        outward: Whether frames from the inside to the outside are lost.
        inward: Whether frames from the outside to the inside are lost.
    """

    inside: frozenset[str]
    others: frozenset[str] = frozenset()
    outward: bool = True
    inward: bool = True

    def _outside(self, end: str) -> bool:
        return end in self.others if self.others else end not in self.inside

    def covers(self, *, src: str, dst: str) -> bool:
        """Return whether frames from `src` to `dst` are lost."""
        return bool(
            (self.outward and src in self.inside and self._outside(dst))
            or (self.inward and dst in self.inside and self._outside(src))
        )


class Cuts(set[tuple[str, str]]):
    """The network partitions in force: pairs of addresses and whole `Cut`s; `in` considers both."""

    def __init__(self) -> None:
        super().__init__()
        self.whole: list[Cut] = []
        self.everything = False  # while frames that were held are dropped

    def __contains__(self, pair: object) -> bool:
        if self.everything or super().__contains__(pair):
            return True
        if not self.whole or not isinstance(pair, tuple):
            return False
        src, dst = pair
        return any(cut.covers(src=src, dst=dst) for cut in self.whole)


@dataclass(slots=True, kw_only=True, eq=False)
class Hold:
    """Frames held back on blocked links, in the order in which they were sent."""

    cut: Cut
    sends: list[Callable[[], None]] = field(default_factory=list)
