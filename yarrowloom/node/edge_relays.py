"""Which edges pass cluster updates on to others, as a core chooses them."""

import math
from collections.abc import Callable

from .hash_ring import successors

FANOUT = 24  # edges that a core feeds itself: 33 of them at 5 cores need no relays, with two cores lost either
RELAYS_EACH = 2  # named to an edge
SELECTION_PERIOD_S = 0.25  # how often the edges are looked through: each of many asks several times in that time


class EdgeRelays:
    """The relays that a core names to edges.

    Attributes:
        names: The edges that this core fed itself when it last looked; empty while it can feed all.
    """

    def __init__(self) -> None:
        self.names: list[str] = []
        self._selected_at = -math.inf

    def for_edge(self, *, node_id: str, now: float, alive_edges: Callable[[], list[str]]) -> list[str]:
        """The relays of an edge; none: it is fed by the cores themselves.

        Args:
            node_id: The edge.
            now: Monotonic time in seconds.
            alive_edges: Gives the edges that are alive, sorted.
        """
        if now - self._selected_at >= SELECTION_PERIOD_S:
            self._selected_at = now
            edges = alive_edges()
            self.names = edges[:FANOUT] if len(edges) > FANOUT else []
        if not self.names or node_id in self.names:
            return []
        return successors(node_id=node_id, among=self.names, count=RELAYS_EACH)
