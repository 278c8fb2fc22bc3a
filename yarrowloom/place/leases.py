"""What a placing node holds of agents: links to minions, leases cached per resource shape, views of room."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

IDLE_S = 0.5          # the design's default: an idle lease goes back after this long
VIEW_S = 1.5


class Shape(NamedTuple):
    """What a lease is good for. `unit` is set only where a lease serves one step alone."""

    svc: str
    cpu: int
    mem: int
    gpu: int
    req: str
    near: str
    unit: str


@dataclass(kw_only=True)
class Link:
    """A minion as attached through its agent. Invariant: leases and orders count only with the link's `seq`."""

    agent: str
    fence: int
    seq: int
    svc: str
    site: str
    labels: list[str]


@dataclass(kw_only=True)
class Held:
    """A lease held. Invariant: in the pool, or bound to one run, never both."""

    agent: str
    mid: str
    lid: int
    seq: int
    since: float
    shape: Shape


@dataclass(kw_only=True)
class Ask:
    """A request for room that has not been answered."""

    rid: int
    shape: Shape
    n: int
    at: float
    agent: str
    been: list[str]
    gang: Any = None
    more: dict[str, Any] = field(default_factory=dict)


@dataclass(kw_only=True)
class Pool:
    """Idle leases by shape, and the views of room that agents send around."""

    idle: dict[Shape, list[Held]] = field(default_factory=dict)
    views: dict[str, tuple[float, dict[str, list[Any]]]] = field(default_factory=dict)

    def put(self, *, held: Held, now: float) -> None:
        """Keep an idle lease for the next task of its shape."""
        held.since = now
        self.idle.setdefault(held.shape, []).append(held)

    def expire(self, *, now: float) -> list[Held]:
        """Take out what has been idle too long."""
        out: list[Held] = []
        for shape, rows in list(self.idle.items()):
            keep = [h for h in rows if now - h.since < IDLE_S]
            out += [h for h in rows if now - h.since >= IDLE_S]
            if keep:
                self.idle[shape] = keep
            else:
                del self.idle[shape]
        return out

    def forget(self, *, mid: str) -> None:
        """Leases on a minion that is attached anew are void."""
        for shape, rows in list(self.idle.items()):
            self.idle[shape] = [h for h in rows if h.mid != mid]

    def rows(self, *, svc: str, now: float) -> list[tuple[str, list[Any]]]:
        """Fresh rows of room for a service, with the agent that told them."""
        return [(uid, row) for uid, (at, view) in sorted(self.views.items()) if now - at < VIEW_S
                for row in view.get(svc, [])]


def copies(*, row: list[Any], shape: Shape) -> int:
    """How many tasks of a shape a row has room for.

    >>> copies(row=[4000, 100, 2, ["a"], [0, 0, 0], "m"], shape=Shape("s", 1000, 50, 1, "", "", ""))
    2
    """
    if shape.req and shape.req not in row[3]:
        return 0
    parts = [have // need for have, need in ((row[0], shape.cpu), (row[1], shape.mem), (row[2], shape.gpu)) if need]
    return max(0, min(parts)) if parts else 64
