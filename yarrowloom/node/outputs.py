"""What a node wants done, as data; which nodes a node sends its heartbeats to."""

import hashlib
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from ..common.effects import AnyEffect
from ..transport.envelope import Kind
from ..transport.http_server import Response


@dataclass(kw_only=True, slots=True)
class Sent:
    """News that is on its way to a node, and until when it counts as such."""

    config: int = 0
    conf_till: float = 0.0
    registry_version: int = -1
    epochs: dict[int, int] = field(default_factory=dict)
    till: float = 0.0


@dataclass(kw_only=True)
class Outbox:
    """What a node wants done: frames to send, records to write, calls to answer."""

    sends: list[tuple[str, Kind, bytes]] = field(default_factory=list)
    writes: list[tuple[bytes, AnyEffect]] = field(default_factory=list)
    answers: list[tuple[Any, Response]] = field(default_factory=list)


@lru_cache(maxsize=4096)
def _place(node_id: str) -> str:
    """A node's place on the ring."""
    return hashlib.sha256(node_id.encode()).hexdigest()


def ring(*, node_id: str, among: list[str], n: int) -> list[str]:
    """The `n` successors of a node's place on the ring of `among`.

    >>> len(ring(node_id="a", among=["a", "b", "c"], n=2))
    2
    >>> "a" in ring(node_id="a", among=["a", "b", "c"], n=5)
    False
    """
    rows = sorted((_place(x), x) for x in set(among) - {node_id})
    here = _place(node_id)
    after = [x for p, x in rows if p > here] + [x for p, x in rows if p <= here]
    return after[:n]
