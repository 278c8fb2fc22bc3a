"""Leases that a placing node holds of agents, cached per minion and size."""

from collections import deque
from dataclasses import dataclass, field

from .capacity import Room, Size

IDLE_S = 0.5  # the design's default: an idle lease goes back after this long


@dataclass(slots=True, kw_only=True)
class Held:
    """A lease held. Invariant: idle in the pool, or bound to one run, or part of a gang's attempt; never two."""

    agent: str
    minion_id: str
    lease_id: int
    seq: int
    size: Size
    since: float


@dataclass(slots=True, kw_only=True)
class Pool:
    """Idle leases. Invariant: the room's `idle` of a minion is the sum of its leases here."""

    room: Room
    by: dict[str, dict[Size, list[Held]]] = field(default_factory=dict)
    old: deque[Held] = field(default_factory=deque)

    def put(self, *, held: Held, now: float) -> bool:
        """Keep an idle lease for the next task of its size; False: its minion was attached anew, it is void."""
        spot = self.room.spots.get(held.minion_id)
        if spot is None or spot.seq != held.seq:
            return False
        held.since = now
        self.by.setdefault(held.minion_id, {}).setdefault(held.size, []).append(held)
        self.old.append(held)
        self.room.hold(spot=spot, size=held.size, n=1)
        return True

    def take(self, *, minion_id: str, size: Size, n: int) -> list[Held]:
        """Up to `n` idle leases of a size, for runs."""
        rows = self.by.get(minion_id, {}).get(size, [])
        out = rows[len(rows) - n :] if n < len(rows) else list(rows)
        del rows[len(rows) - len(out) :]
        if out:
            self.room.hold(spot=self.room.spots[minion_id], size=size, n=-len(out))
        return out

    def clear(self, *, minion_id: str) -> list[Held]:
        """All idle leases of a minion, to be given back."""
        out: list[Held] = []
        for size, rows in self.by.pop(minion_id, {}).items():
            if rows:
                self.room.hold(spot=self.room.spots[minion_id], size=size, n=-len(rows))
                out += rows
        return out

    def expire(self, *, now: float) -> list[Held]:
        """Take out what has been idle too long."""
        out: list[Held] = []
        while self.old and now - self.old[0].since >= IDLE_S:
            held = self.old.popleft()
            rows = self.by.get(held.minion_id, {}).get(held.size, [])
            if held in rows and now - held.since >= IDLE_S:
                rows.remove(held)
                self.room.hold(spot=self.room.spots[held.minion_id], size=held.size, n=-1)
                out.append(held)
        return out

    def forget(self, *, minion_id: str) -> None:
        """Leases on a minion that is attached anew, or gone, are void."""
        self.by.pop(minion_id, None)
