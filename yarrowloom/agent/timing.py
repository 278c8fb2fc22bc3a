"""Times by which an agent goes: those of the settings, and those that several of its modules share."""

from dataclasses import dataclass

LATEST_RESPONSE_S = 0.85  # minions drop the response to a heartbeat that comes later than a second
OVERDUE_MARGIN_S = 0.3  # a heartbeat is overdue this long after the time at which it was expected
NEVER = -9.0  # a time on the monotonic clock before any event


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentTiming:
    """Times from the node's settings, in milliseconds.

    Attributes:
        hold_ms: How long a minion may go on with what it runs without a further response to a heartbeat.
        stop_grace_ms: How long a minion may take to stop a run.
        heartbeat_ms: The longest pause between two heartbeats of a minion.
        drain_ms: How long a minion that says that it ends serves on at least.
    """

    hold_ms: int
    stop_grace_ms: int
    heartbeat_ms: int
    drain_ms: int
