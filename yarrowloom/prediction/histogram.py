"""A small histogram of durations for an operator to read."""

BUCKETS = 18
MAX_MS = 1 << 40


class DurationHistogram:
    """Counts by powers of two of a millisecond.

    Attributes:
        counts: Invariant: `counts[i]` counts durations below 2**i that no earlier bucket counts; the last one counts
            all that are longer.

    >>> histogram = DurationHistogram()
    >>> for ms in (0, 3, 100, 100): histogram.add(ms=ms)
    >>> histogram.report()
    {'n': 4, 'p50': 4, 'p90': 128, 'max': 128}
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS

    def add(self, *, ms: float) -> None:
        """Count one duration; a negative one counts as 0."""
        bucket = max(0, int(min(ms, MAX_MS))).bit_length()
        self.counts[min(bucket, BUCKETS - 1)] += 1

    def upper_end(self, *, quantile: float) -> int:
        """The upper end in milliseconds of the bucket that holds a quantile; 0 if nothing was counted."""
        left = quantile * sum(self.counts)
        for bucket, count in enumerate(self.counts):
            left -= count
            if count and left <= 0:
                return 1 << bucket
        return 0

    def report(self) -> dict[str, int]:
        """The count, and upper ends of quantiles in milliseconds."""
        return {
            "n": sum(self.counts),
            "p50": self.upper_end(quantile=0.5),
            "p90": self.upper_end(quantile=0.9),
            "max": self.upper_end(quantile=1.0),
        }
