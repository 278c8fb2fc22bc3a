"""What is known of one kind of job."""

from typing import Any

from ..jobs.submission import Step
from .call_times import CallTimes


class KnownKind:
    """One kind of job, by the newest job of it.

    Attributes:
        queue: Fixed by the kind's key.
        service: On whose minions its tasks run.
        required_label: A label that a minion must have; empty: none.
        is_gang: Whether the tasks of its main first step start together or not at all.
        prefers_same_rack: Whether they are to run in one rack.
        calls: When it is called.
    """

    __slots__ = ("calls", "is_gang", "prefers_same_rack", "queue", "required_label", "service")

    def __init__(self, *, queue: str, calls: CallTimes) -> None:
        self.queue = queue
        self.service = ""
        self.required_label = ""
        self.is_gang = False
        self.prefers_same_rack = False
        self.calls = calls

    def update(self, *, service: str, step: Step) -> None:
        """A job of the kind came, with this main first step."""
        self.service = service
        self.required_label = step.required_label
        self.is_gang = step.is_gang
        self.prefers_same_rack = step.prefers_same_rack

    @property
    def trusted_bases(self) -> int:
        """How many sorts of prediction are trusted for it: by period, by gaps."""
        return self.calls.period_accuracy.is_trusted + self.calls.gap_accuracy.is_trusted

    def dump(self) -> list[Any]:
        """All of it as plain data."""
        return [
            self.queue,
            self.service,
            self.required_label,
            self.is_gang,
            self.prefers_same_rack,
            self.calls.dump(),
        ]

    @classmethod
    def load(cls, document: list[Any]) -> "KnownKind":
        """What `dump` gave."""
        queue, service, required_label, is_gang, prefers_same_rack, calls = document
        known = cls(queue=queue, calls=CallTimes.load(calls))
        known.service, known.required_label = service, required_label
        known.is_gang, known.prefers_same_rack = is_gang, prefers_same_rack
        return known
