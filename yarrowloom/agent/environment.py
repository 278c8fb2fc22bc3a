"""What an agent asks of the node that it is a part of."""

from typing import Any, Protocol

from ..transport.envelope import Kind
from ..transport.http_server import Response


class AgentEnvironment(Protocol):
    """What an agent needs of its node."""

    now: float
    node_id: str

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node, or to itself."""

    def respond(self, *, call: Any, response: Response) -> None:
        """Answer a beat."""

    def trusted(self) -> bool:
        """Group 0's primary still counts this agent in."""

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Uid of a group's primary and its epoch's number."""

    def evacuated(self, *, zone: str) -> bool:
        """Nothing may start there."""

    def groups(self) -> range:
        """Job groups."""

    def cores(self) -> list[str]:
        """All core nodes."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log."""

    def gone(self, *, minion_id: str, fence: int) -> None:
        """Tell group 0 that a minion is no more."""
