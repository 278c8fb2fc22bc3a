"""What happens in a run, as typed events; a run's story; and the plug for whoever judges them."""

from dataclasses import dataclass, field
from typing import Protocol

from ..transport.http_messages import Response


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Something that happened at a simulated time, counted from the start of the load."""

    at_s: float
    who: str
    text: str

    def __str__(self) -> str:
        """One line of a story."""
        return f"{self.at_s:8.3f}  {self.who:<10} {self.text}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Invocation(Event):
    """An HTTP call was sent. `number` is its own; `who` sent it to the address `to`."""

    number: int
    to: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer(Event):
    """The answer to an invocation arrived."""

    number: int
    response: Response


class Check(Protocol):
    """Judges a run by its events. Each entry of `breaches()` begins with the name of the rule that is broken."""

    def observe(self, event: Event) -> None:
        """Take the next event; called in the order of simulated time."""

    def breaches(self) -> list[str]:
        """All that is broken so far."""


@dataclass(slots=True, kw_only=True)
class Story:
    """The events that a reader wants to see; calls are kept out, as there are too many of them."""

    events: list[Event] = field(default_factory=list)

    def observe(self, event: Event) -> None:
        """Keep an event, unless it is a call or its answer."""
        if not isinstance(event, (Invocation, Answer)):
            self.events.append(event)

    def breaches(self) -> list[str]:
        """A story judges nothing."""
        return []

    def about(self, *, text: str, last: int) -> list[Event]:
        """Return the last events that are relevant to a breach.

        Relevant are the events of the jobs that `text` names, and all events that are not about a single job.

        Args:
            text: The description of the breach.
            last: The number of events to return at most.
        """
        words = {word.split(".")[0] for word in text.split()}
        keep = [e for e in self.events if not isinstance(e, JobEvent) or e.job in words]
        return keep[-last:]


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEvent(Event):
    """Something about a single job."""

    job: str
