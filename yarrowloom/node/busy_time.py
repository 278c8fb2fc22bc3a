"""How busy a process is: the time its inputs take, by class, told once a second while it is near its limit."""

from dataclasses import dataclass, field

PERIOD_S = 1.0
BUSY_SHARE = 0.6  # of a period spent on inputs; below it nothing is told


@dataclass(kw_only=True)
class Load:
    """Invariant: `seconds`, `turns` and `expired` count what ran since the last report. `expired`: calls that waited
    until nobody waited for their answer.
    """

    classes: list[str]
    seconds: dict[str, float] = field(default_factory=dict)
    turns: dict[str, int] = field(default_factory=dict)
    longest: float = 0.0
    expired: int = 0
    since: float = 0.0

    def ran(self, *, class_name: str, seconds: float) -> None:
        """An input of a class took `seconds`."""
        self.seconds[class_name] = self.seconds.get(class_name, 0.0) + seconds
        self.turns[class_name] = self.turns.get(class_name, 0) + 1
        self.longest = max(self.longest, seconds)

    def report(self, *, now: float) -> dict[str, object] | None:
        """The period's figures if it is over and was busy, or if calls expired; None: nothing to tell.

        >>> load = Load(classes=["urgent", "agent"])
        >>> load.ran(class_name="agent", seconds=0.9)
        >>> load.report(now=1.0)
        {'busy': 0.9, 'urgent': '0.00/0', 'agent': '0.90/1', 'longest_ms': 900, 'expired': 0}
        >>> load.report(now=2.0) is None
        True
        """
        period = now - self.since
        if period < PERIOD_S:
            return None
        busy = sum(self.seconds.values()) / period
        row: dict[str, object] = {"busy": round(busy, 2)}
        for name in self.classes:
            row[name] = f"{self.seconds.get(name, 0.0):.2f}/{self.turns.get(name, 0)}"
        row.update(longest_ms=round(self.longest * 1000), expired=self.expired)
        told = busy >= BUSY_SHARE or self.expired > 0
        self.seconds, self.turns, self.longest, self.expired, self.since = {}, {}, 0.0, 0, now
        return row if told else None
