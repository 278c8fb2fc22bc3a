"""Hybrid logical clocks: times that follow wall clocks and never go back behind a time that was seen.

A time is a whole number: wall milliseconds times `TICKS_PER_MS`, and a count within the millisecond. Clients are told
the newest time of a store with every answer, so a transaction that has read a record always commits after it, however
far wall clocks are apart.
"""

TICKS_PER_MS = 1 << 12


def wall_ms(*, time: int) -> int:
    """The wall milliseconds of a hybrid time.

    >>> wall_ms(time=HybridClock().tick(wall_ms=1234.5))
    1234
    """
    return time // TICKS_PER_MS


class HybridClock:
    """One client's clock.

    Attributes:
        newest: The newest time given or seen.
    """

    def __init__(self, *, newest: int = 0) -> None:
        self.newest = newest

    def observe(self, *, time: int) -> None:
        """Another's time was seen: what this clock gives comes after it."""
        self.newest = max(self.newest, time)

    def tick(self, *, wall_ms: float) -> int:
        """A new time, after all that were given or seen.

        >>> clock = HybridClock()
        >>> first = clock.tick(wall_ms=9.0)
        >>> clock.tick(wall_ms=5.0) > first  # the wall clock was set back
        True
        """
        self.newest = max(self.newest + 1, int(wall_ms) * TICKS_PER_MS)
        return self.newest
