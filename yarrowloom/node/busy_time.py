"""How busy a process is: the time that its inputs take, by class, reported once a second while it is near its limit."""

from dataclasses import dataclass, field

PERIOD_S = 1.0
BUSY_SHARE = 0.6  # of a period spent on inputs; below it nothing is reported


@dataclass(kw_only=True)
class BusyTime:
    """Time and number of inputs since the last report.

    Attributes:
        class_names: The classes of inputs, in the order of the report.
        seconds: Time spent, by class.
        inputs: Number of inputs, by class.
        longest_s: The time of the longest input.
        expired: Calls that waited until no client waited for their response any more.
        since: Monotonic time of the last report.
    """

    class_names: list[str]
    seconds: dict[str, float] = field(default_factory=dict)
    inputs: dict[str, int] = field(default_factory=dict)
    longest_s: float = 0.0
    expired: int = 0
    since: float = 0.0

    def record(self, *, class_name: str, seconds: float) -> None:
        """Count an input of a class that took `seconds`."""
        self.seconds[class_name] = self.seconds.get(class_name, 0.0) + seconds
        self.inputs[class_name] = self.inputs.get(class_name, 0) + 1
        self.longest_s = max(self.longest_s, seconds)

    def report(self, *, now: float) -> dict[str, object] | None:
        """End the period if it is over, and return its figures if it was busy or calls expired; None: no report.

        >>> busy_time = BusyTime(class_names=["urgent", "agent"])
        >>> busy_time.record(class_name="agent", seconds=0.9)
        >>> busy_time.report(now=1.0)
        {'busy': 0.9, 'urgent': '0.00/0', 'agent': '0.90/1', 'longest_ms': 900, 'expired': 0}
        >>> busy_time.report(now=2.0) is None
        True
        """
        period_s = now - self.since
        if period_s < PERIOD_S:
            return None
        busy = sum(self.seconds.values()) / period_s
        figures: dict[str, object] = {"busy": round(busy, 2)}
        for name in self.class_names:
            figures[name] = f"{self.seconds.get(name, 0.0):.2f}/{self.inputs.get(name, 0)}"
        figures.update(longest_ms=round(self.longest_s * 1000), expired=self.expired)
        is_worth_a_report = busy >= BUSY_SHARE or self.expired > 0
        self._begin_period(now=now)
        return figures if is_worth_a_report else None

    def _begin_period(self, *, now: float) -> None:
        self.seconds, self.inputs = {}, {}
        self.longest_s, self.expired, self.since = 0.0, 0, now
