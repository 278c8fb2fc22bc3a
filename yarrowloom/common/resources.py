"""Amounts of the three resources that tasks ask for and minions offer."""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of resources; encoded as a list of three numbers.

    Attributes:
        millicores: Thousandths of a processor core.
        memory_mb: Megabytes of memory.
        gpus: Whole accelerators.
    """

    millicores: int
    memory_mb: int
    gpus: int

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """This amount and `times` another; `times` may be negative.

        >>> Resources(1, 2, 3).plus(Resources(1, 1, 1), -2)
        Resources(millicores=-1, memory_mb=0, gpus=1)
        """
        return Resources(
            self.millicores + times * other.millicores,
            self.memory_mb + times * other.memory_mb,
            self.gpus + times * other.gpus,
        )

    def above_zero(self) -> "Resources":
        """This amount with 0 in place of what is negative.

        >>> Resources(-1, 2, 0).above_zero()
        Resources(millicores=0, memory_mb=2, gpus=0)
        """
        if self.millicores >= 0 and self.memory_mb >= 0 and self.gpus >= 0:
            return self
        return Resources(max(self.millicores, 0), max(self.memory_mb, 0), max(self.gpus, 0))

    def holds(self, other: "Resources") -> bool:
        """Whether another amount fits into this one."""
        return self.millicores >= other.millicores and self.memory_mb >= other.memory_mb and self.gpus >= other.gpus

    def copies(self, other: "Resources") -> int:
        """How many times another amount fits into this one; 64 if the other is nothing at all.

        >>> Resources(4000, 100, 2).copies(Resources(1000, 50, 1)), Resources(1, 1, 1).copies(NO_RESOURCES)
        (2, 64)
        """
        counts = [have // need for have, need in zip(self, other, strict=True) if need]
        return max(0, min(counts)) if counts else 64


NO_RESOURCES = Resources(0, 0, 0)
