"""Which edges pass news on to others, as a core chooses them."""

from collections.abc import Callable, Mapping
from typing import Any

from .outputs import ring

FANOUT = 24  # edges that a core feeds itself: 33 of them at 5 cores need no relays, with two cores lost either
RELAYS_EACH = 2  # named to an edge
LOOK_S = 0.25  # how often the edges are looked through: each of many asks several times in that time


class EdgeRelays:
    """Invariant: `names` are the edges that this core fed itself when it last looked, and empty while it can feed
    all.
    """

    def __init__(self) -> None:
        self.names: list[str] = []
        self._looked = -LOOK_S

    def for_edge(
        self, *, node_id: str, now: float, nodes: Mapping[str, Mapping[str, Any]], alive: Callable[[str], bool]
    ) -> list[str]:
        """The relays of an edge; none: it is fed by the cores themselves. `nodes` are all nodes heard of."""
        if now - self._looked >= LOOK_S:
            self._looked = now
            edges = sorted(node for node, row in nodes.items() if row["kind"] == "edge" and alive(node))
            self.names = edges[:FANOUT] if len(edges) > FANOUT else []
        if not self.names or node_id in self.names:
            return []
        return ring(node_id=node_id, among=self.names, n=RELAYS_EACH)
