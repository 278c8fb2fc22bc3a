"""A hash ring of nodes: which others a node sends its heartbeats to."""

import hashlib
from functools import lru_cache


@lru_cache(maxsize=4096)
def _position(node_id: str) -> str:
    """A node's position on the ring."""
    return hashlib.sha256(node_id.encode()).hexdigest()


def successors(*, node_id: str, among: list[str], count: int) -> list[str]:
    """The next nodes after a node's position on the ring.

    Args:
        node_id: The node whose successors are wanted; it need not be one of `among`.
        among: The nodes on the ring.
        count: How many are wanted at most.

    >>> len(successors(node_id="a", among=["a", "b", "c"], count=2))
    2
    >>> "a" in successors(node_id="a", among=["a", "b", "c"], count=5)
    False
    """
    others = sorted((_position(other), other) for other in set(among) - {node_id})
    own_position = _position(node_id)
    after = [other for position, other in others if position > own_position]
    wrapped = [other for position, other in others if position <= own_position]
    return (after + wrapped)[:count]
