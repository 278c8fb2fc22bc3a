"""What a placing node asks of the node that it is a part of."""

from typing import Any, Protocol

from ..cluster_state.routing_table import Route
from ..transport.envelope import Kind


class SchedulerEnvironment(Protocol):
    """What a placing node needs of its node."""

    now: float
    wall_now: float
    node_id: str

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node, or to itself."""

    def route(self, *, name: str) -> Route | None:
        """The queue's route in the newest configuration."""

    def config_version(self) -> int:
        """The version of the configuration in force here."""

    def select(self, *, host: str, path: str) -> str:
        """The queue that a path belongs to; empty: none."""

    def reply(self, *, node_id: str, request_id: int, status: int, document: Any) -> None:
        """Answer a call."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log."""

    def trace(self, *, event: str, **fields: object) -> None:
        """Log in detail."""

    def ranks(self) -> dict[str, int]:
        """The queues of the newest configuration, with their ranks."""

    def evacuations(self) -> frozenset[str]:
        """Sites to which nothing is to be sent."""
