"""What the scheduler needs of the node that it is a part of."""

from typing import Protocol

from ..cluster_state.routing_table import Route, Tenant
from ..common.queue_identity import QueueIdentity
from ..transport.message import Message


class SchedulerEnvironment(Protocol):
    """The node, as the scheduler sees it.

    Attributes:
        now: Monotonic seconds.
        wall_now: Wall seconds.
        node_id: The node's id.
    """

    now: float
    wall_now: float
    node_id: str

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node, or to this one."""

    def route_of(self, *, queue: QueueIdentity) -> Route | None:
        """The row that serves a queue in the newest configuration; None if there is none."""

    def tenant(self, *, name: str) -> Tenant | None:
        """The row of a tenant in the newest configuration; None if there is none."""

    def tenant_of_key(self, *, key_digest: str) -> str:
        """The tenant that a key belongs to by the configuration in force here; empty: none."""

    def config_version(self) -> int:
        """The version of the configuration in force here."""

    def select(self, *, host: str, path: str) -> Route | None:
        """The row that a path belongs to in the newest configuration; None if there is none."""

    def reply(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        """Answer a call of another node."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""

    def trace(self, *, event: str, **fields: object) -> None:
        """Log an event at debug level."""

    def ranks(self) -> dict[str, int]:
        """The rank of each queue of the newest configuration."""

    def evacuations(self) -> frozenset[str]:
        """Zones to which nothing is to be sent."""
