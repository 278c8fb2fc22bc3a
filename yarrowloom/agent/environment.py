"""What an agent asks of the node that it is a part of."""

from typing import Protocol

from ..transport.http_messages import Response
from ..transport.message import Message


class AgentEnvironment(Protocol):
    """The node, as its agent sees it.

    Attributes:
        now: Monotonic clock in seconds; rises.
        node_id: The node's own identity.
    """

    @property
    def now(self) -> float:
        """Monotonic clock in seconds; rises."""

    @property
    def node_id(self) -> str:
        """The node's own identity."""

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node, or to itself."""

    def respond(self, *, call: object, response: Response) -> None:
        """Respond to a heartbeat, or to a minion that says that it ends."""

    def trusted(self) -> bool:
        """Whether group 0's primary still counts this agent in, so that it may act for its minions."""

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """The node that serves a group, with the number of its epoch; None: not known."""

    def evacuated(self, *, zone: str) -> bool:
        """Whether nothing may start in a zone."""

    def groups(self) -> range:
        """All job groups."""

    def cores(self) -> list[str]:
        """All core nodes, this one included."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""

    def remove_lost_minion(self, *, minion_id: str, fence: int) -> None:
        """Tell group 0 that a minion is no more; the node then removes it from the agent."""
