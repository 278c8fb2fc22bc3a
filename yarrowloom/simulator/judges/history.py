"""Records of what clients asked and were told, in the order of one clock that sees them all.

An operation is one call: one request, and one answer or none. A call whose answer is not clear (none, or a 5xx) may
have taken effect at any time after it was invoked, or never. Checkers are in `linear` (configuration) and `judged`
(jobs, evacuations, answers to their own callers).
"""

import enum
from dataclasses import dataclass, field
from typing import Generic, TypeVar

NEVER_S = float("inf")


class Outcome(enum.Enum):
    """What a caller knows of its call."""

    CONFIRMED = "confirmed"  # 2xx
    REFUSED = "refused"  # 4xx, that is to say: it had no effect
    UNCLEAR = "unclear"  # no answer, a 5xx, or an answer that got lost


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A change of the configuration, as its repeats send it again.

    `identity` names it: repeats share it, and no other order has it. `base` is the version it builds on (If-Match),
    `version` the one it makes. `valid`: false if it has to be refused whatever the state is.
    """

    identity: str
    base: int
    version: int
    valid: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadConfig:
    """GET /config."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """The configuration that a read showed: its version (0: none yet) and, if known, the order that made it."""

    version: int
    identity: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuate:
    """POST (`on`) or DELETE /evacuation/ZONE."""

    zone: str
    on: bool


class JobVerb(enum.Enum):
    """What a client asks of a job."""

    SUBMIT = "submit"
    SHOW = "show"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCall:
    """A call of a client about one job."""

    job: str
    verb: JobVerb


Argument = Order | ReadConfig | Evacuate | JobCall
ArgumentT = TypeVar("ArgumentT", Order, ReadConfig, Evacuate, JobCall)


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation(Generic[ArgumentT]):
    """One call of a history. Times are in seconds of the recorder's clock.

    Attributes:
        number: Unique number of the call within its history.
        process: The caller.
        argument: What was asked for.
        invoked_s: When the request was sent.
        returned_s: When the response came or the caller gave up; `NEVER_S` if neither happened.
        outcome: Whether the call took effect, as far as the caller knows.
        status: The HTTP status of the response; 0 if there was none.
        seen: The value that the response showed, if any.
        state: The state of a job that the response showed; empty if none.
        nonce: A value in the request that identifies it.
        echo: The nonce as the response repeats it; None if the response has no field for it.
    """

    number: int
    process: str
    argument: ArgumentT
    invoked_s: float
    returned_s: float = NEVER_S
    outcome: Outcome = Outcome.UNCLEAR
    status: int = 0
    seen: Seen | None = None
    state: str = ""
    nonce: str = ""
    echo: str | None = None

    def __str__(self) -> str:
        """Return one line."""
        end = "never" if self.returned_s == NEVER_S else f"{self.returned_s:.3f}"
        shown = f" showing {self.seen}" if self.seen is not None else f" showing {self.state}" if self.state else ""
        return (
            f"#{self.number} {self.process} [{self.invoked_s:.3f}, {end}] {self.argument}: "
            f"{self.outcome.value} {self.status}{shown}"
        )


AnyOperation = Operation[Order] | Operation[ReadConfig] | Operation[Evacuate] | Operation[JobCall]


@dataclass(frozen=True, slots=True, kw_only=True)
class Breach:
    """A violated rule of a history.

    Attributes:
        rule: The name of the rule.
        text: What contradicts it.
        operations: A minimal set of operations that contradict each other.
    """

    rule: str
    text: str
    operations: tuple[AnyOperation, ...]

    def __str__(self) -> str:
        """Return the rule, and a line for each operation."""
        return "\n  ".join([f"{self.rule}: {self.text}", *map(str, self.operations)])


def outcome_of(*, status: int) -> Outcome:
    """What a status tells of an order's effect.

    >>> [outcome_of(status=s).value for s in (200, 412, 408, 503, 0)]
    ['confirmed', 'refused', 'unclear', 'unclear', 'unclear']
    """
    if 200 <= status < 300:
        return Outcome.CONFIRMED
    if 400 <= status < 500 and status not in (408, 429):
        return Outcome.REFUSED
    return Outcome.UNCLEAR


@dataclass(slots=True)
class History:
    """The operations of one run, in the order in which they ended."""

    orders: list[Operation[Order]] = field(default_factory=list)
    reads: list[Operation[ReadConfig]] = field(default_factory=list)
    evacuations: list[Operation[Evacuate]] = field(default_factory=list)
    jobs: list[Operation[JobCall]] = field(default_factory=list)

    def add(self, *, operation: AnyOperation) -> None:
        """Take an operation that has ended."""
        argument = operation.argument
        if isinstance(argument, Order):
            self.orders.append(operation)  # type: ignore[arg-type]
        elif isinstance(argument, ReadConfig):
            self.reads.append(operation)  # type: ignore[arg-type]
        elif isinstance(argument, Evacuate):
            self.evacuations.append(operation)  # type: ignore[arg-type]
        else:
            self.jobs.append(operation)  # type: ignore[arg-type]
