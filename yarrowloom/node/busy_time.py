"""How busy a process is: the time that its inputs take, by class, reported once a second while it is near its limit."""

from dataclasses import dataclass, field

PERIOD_S = 1.0
BUSY_SHARE = 0.6  # of a period spent on inputs; below it nothing is reported


@dataclass(kw_only=True)
class BusyTime:
    """Time and number of inputs since the last report.

    Attributes:
        class_names: The classes of inputs, in the order of the report; elsewhere a class is its index here.
        seconds: Time spent, by class.
        inputs: Number of inputs, by class.
        longest_s: The time of the longest input.
        expired: Calls that waited until no client waited for their response any more.
        since: Monotonic time of the last report.
    """

    class_names: list[str]
    seconds: list[float] = field(init=False)
    inputs: list[int] = field(init=False)
    longest_s: float = 0.0
    expired: int = 0
    since: float = 0.0

    def __post_init__(self) -> None:
        self._begin_period(now=self.since)

    def record(self, *, class_index: int, seconds: float) -> None:
        """Count an input of a class that took `seconds`."""
        self.seconds[class_index] += seconds
        self.inputs[class_index] += 1
        if seconds > self.longest_s:
            self.longest_s = seconds

    def report(self, *, now: float) -> dict[str, object] | None:
        """End the period if it is over, and return its figures if it was busy or calls expired; None: no report.

        >>> busy_time = BusyTime(class_names=["urgent", "agent"])
        >>> busy_time.record(class_index=1, seconds=0.9)
        >>> busy_time.report(now=1.0)
        {'busy': 0.9, 'urgent': '0.00/0', 'agent': '0.90/1', 'longest_ms': 900, 'expired': 0}
        >>> busy_time.report(now=2.0) is None
        True
        """
        period_s = now - self.since
        if period_s < PERIOD_S:
            return None
        busy = sum(self.seconds) / period_s
        figures: dict[str, object] = {"busy": round(busy, 2)}
        for name, seconds, inputs in zip(self.class_names, self.seconds, self.inputs, strict=True):
            figures[name] = f"{seconds:.2f}/{inputs}"
        figures.update(longest_ms=round(self.longest_s * 1000), expired=self.expired)
        is_worth_a_report = busy >= BUSY_SHARE or self.expired > 0
        self._begin_period(now=now)
        return figures if is_worth_a_report else None

    def _begin_period(self, *, now: float) -> None:
        self.seconds, self.inputs = [0.0] * len(self.class_names), [0] * len(self.class_names)
        self.longest_s, self.expired, self.since = 0.0, 0, now
