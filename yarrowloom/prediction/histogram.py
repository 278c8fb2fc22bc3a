"""A small histogram of times for an operator to read."""

BUCKETS = 18


class Hist:
    """Counts by powers of two of a millisecond. Invariant: `rows[i]` counts times below 2**i not counted earlier;
    the last one counts all that is longer.

    >>> h = Hist()
    >>> for ms in (0, 3, 100, 100): h.add(ms=ms)
    >>> h.report()
    {'n': 4, 'p50': 4, 'p90': 128, 'max': 128}
    """

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows = [0] * BUCKETS

    def add(self, *, ms: float) -> None:
        """One time; negative ones count as 0."""
        self.rows[min(max(0, int(min(ms, 1 << 40))).bit_length(), BUCKETS - 1)] += 1

    def upper(self, *, q: float) -> int:
        """The upper end in milliseconds of the bucket that holds a quantile; 0 if there is none."""
        left = q * sum(self.rows)
        for i, n in enumerate(self.rows):
            left -= n
            if n and left <= 0:
                return 1 << i
        return 0

    def report(self) -> dict[str, int]:
        """Count and upper ends of quantiles in milliseconds."""
        return {"n": sum(self.rows), "p50": self.upper(q=0.5), "p90": self.upper(q=0.9), "max": self.upper(q=1.0)}
