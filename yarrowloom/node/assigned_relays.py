"""The relays that feed this edge: other edges that a core named, as long as they are in contact."""

import math
from collections.abc import Iterable

SILENCE_S = 1.0  # relays that have been silent, or alone out of contact, this long are left for the cores
FULL_RETRY_S = 10.0  # a relay that had no capacity is not asked again this long


class AssignedRelays:
    """The relays of an edge, empty while cores feed it.

    Attributes:
        node_ids: The relays.
        confirmed_at: Monotonic time at which they were named, or one of them last proved to be of use.
        full_until: By relay: until when it isn't asked, as it had no capacity.
    """

    def __init__(self) -> None:
        self.node_ids: list[str] = []
        self.confirmed_at = -math.inf
        self.full_until: dict[str, float] = {}

    def are_in_contact(self, *, now: float) -> bool:
        """Whether there are relays, and they were of use lately."""
        return bool(self.node_ids) and now - self.confirmed_at < SILENCE_S

    def on_full(self, *, node_id: str, now: float) -> None:
        """A relay has no capacity."""
        self.full_until[node_id] = now + FULL_RETRY_S
        self.node_ids = [relay for relay in self.node_ids if relay != node_id]

    def on_assigned(self, *, node_ids: Iterable[str], now: float) -> None:
        """A core named relays; those that had no capacity lately are left out."""
        usable = [relay for relay in node_ids if self.full_until.get(relay, -math.inf) < now]
        if usable:
            self.node_ids, self.confirmed_at = usable, now

    def on_ack(self, *, node_id: str, is_useful: bool, now: float) -> None:
        """A node acknowledged a heartbeat; it counts if it is one of the relays and of use."""
        if node_id in self.node_ids and is_useful:
            self.confirmed_at = now
