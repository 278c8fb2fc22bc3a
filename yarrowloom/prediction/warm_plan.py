"""Which room to keep warm: from predictions, within bounds that hold whatever the history was."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from .histogram import Hist
from .job_kind import Form, Prediction, queue_key

KINDS = 256  # kinds with a back-off or figures
BACK_MOST_MS = 600_000.0
WEIGH_MOST = 64  # predictions weighed by one plan


@dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """Settings of warming. `core_s`: most core-seconds held in any 60 s (a GPU counts as 8 cores); `tasks`: most
    tasks kept warm for one service; `expiry_ms`: longest time that one room is held, and the horizon to predict
    with; `lead_ms`: room is wanted this long before the earliest call; `least`: confidence needed.
    """

    on: bool = False
    core_s: float = 1200.0
    tasks: int = 16
    expiry_ms: float = 4000.0
    lead_ms: float = 400.0
    least: float = 0.6


class Room(NamedTuple):
    """Room wanted for `n` tasks of `form` on minions of `svc`, near a rack if one is named (together if `tight`, all
    or nothing if `gang`), until `until` (steady milliseconds). A wish to keep room free: nothing runs in it before
    a caller's job is there, anything urgent may take it. `worth`: chance of use x weight, for each core-second.
    """

    kind: str
    queue: str
    service: str
    form: Form
    n: int
    gang: bool
    tight: bool
    near: str
    since: float
    until: float
    worth: float

    @property
    def cores(self) -> float:
        """What it holds, in cores."""
        return self.n * self.form.cores


class Warm:
    """Lives with its holder; a new one begins with nothing held and an empty purse.

    Invariants: `purse` (core-seconds) is at most half of `core_s`, refilled by half of `core_s` a minute, so at most
    `core_s` is held in any minute; it always covers what is left of all rooms; one room for each kind; for each
    service at most `tasks` tasks are warm; `back` holds for at most KINDS kinds (misses in a row, off until).
    """

    def __init__(self, *, bounds: Bounds) -> None:
        self.bounds = bounds
        self.rooms: dict[str, Room] = {}
        self.back: dict[str, tuple[int, float]] = {}
        self.purse = 0.0
        self.at: float | None = None
        self.held = 0.0
        self.hits = self.misses = self.gone = self.cold = 0
        self.by: dict[str, list[int]] = {}
        self.warm_ms, self.cold_ms = Hist(), Hist()

    def set(self, *, bounds: Bounds, steady: float) -> None:
        """A change of settings: all room is given up, nothing counts as missed; the purse keeps within the new."""
        self._settle(steady=steady)
        self.drop(steady=steady)
        self.bounds = bounds
        self.purse = min(self.purse, bounds.core_s / 2)

    def plan(
        self, *, now_ms: int, steady: float, preds: Sequence[Prediction], weight: Mapping[str, float] | None = None
    ) -> list[Room]:
        """All room wanted from now on, the worthiest first. `now_ms`: wall, as the predictions; `steady`: a clock
        that never goes back, milliseconds; `weight` of queues (1 if not named): all but the weightiest leave half of
        the purse to those. Weighs at most WEIGH_MOST.
        """
        self._settle(steady=steady)
        if not self.bounds.on:
            self.drop(steady=steady)
            return []
        weights = weight or {}
        top = max(weights.values(), default=1.0)
        new = []
        for p in preds[:WEIGH_MOST]:
            if p.kind in self.rooms or p.confidence < self.bounds.least or p.early - self.bounds.lead_ms > now_ms:
                continue
            if steady < self.back.get(p.kind, (0, steady))[1]:
                continue
            until = steady + min(self.bounds.expiry_ms, max(0, p.late - now_ms) + self.bounds.lead_ms)
            n = p.n * max(1, int(p.jobs * p.confidence))
            cost = max(p.form.cores, 0.001) * p.n * (until - steady) / 1000
            worth = p.confidence * weights.get(p.queue, 1.0) / cost if cost > 0 else 0.0
            new.append(Room(p.kind, p.queue, p.service, p.form, n, p.gang, p.tight, p.near, steady, until, worth))
            if p.gang:
                new[-1] = new[-1]._replace(n=p.n)
        for room in sorted(new, key=lambda r: (-r.worth, r.kind)):
            if room.kind not in self.rooms:
                self._admit(room=room, steady=steady, spare=weights.get(room.queue, 1.0) < top)
        return sorted(self.rooms.values(), key=lambda r: (-r.worth, r.kind))

    def _admit(self, *, room: Room, steady: float, spare: bool) -> None:
        """Take a room in as far as the bounds let it; a gang whole or not at all. `spare`: leave half the purse."""
        left = self.bounds.tasks - sum(r.n for r in self.rooms.values() if r.service == room.service)
        purse = self.purse - sum(r.cores * max(0.0, r.until - steady) / 1000 for r in self.rooms.values())
        purse -= self.bounds.core_s / 4 if spare else 0.0
        each = room.form.cores * (room.until - steady) / 1000
        n = min(room.n, left, int(max(0.0, purse) / each) if each > 0 else room.n)
        if n >= (room.n if room.gang else 1):
            self.rooms[room.kind] = room._replace(n=n)

    def _settle(self, *, steady: float) -> None:
        """Charge for what was held since the last time; close what has expired."""
        if self.at is None:
            self.at = steady
        dt = max(0.0, steady - self.at)
        half = self.bounds.core_s / 2
        self.purse = min(half, self.purse + half * dt / 60_000)
        for kind, room in list(self.rooms.items()):
            used = room.cores * max(0.0, min(steady, room.until) - self.at) / 1000
            self.purse -= used
            self.held += used
            if steady >= room.until:
                del self.rooms[kind]
                self._miss(kind=kind, steady=steady)
        self.purse = max(0.0, self.purse)
        self.at += dt

    def _miss(self, *, kind: str, steady: float) -> None:
        self.misses += 1
        self._tally(kind=kind)[1] += 1
        count = self.back.pop(kind, (0, 0.0))[0] + 1
        if len(self.back) >= KINDS:
            del self.back[next(iter(self.back))]
        wait = 0.0 if count < 2 else min(BACK_MOST_MS, self.bounds.expiry_ms * 2.0 ** min(count, 20))
        self.back[kind] = (count, steady + wait)

    def _tally(self, *, kind: str) -> list[int]:
        row = self.by.pop(kind, [0, 0])
        if len(self.by) >= KINDS:
            del self.by[next(iter(self.by))]
        self.by[kind] = row
        return row

    # -- what became of it

    def room(self, *, q: str, kind: str) -> Room | None:
        """The room that waits for a job of this queue and kind (`kind_key`), if any."""
        return self.rooms.get(kind) or self.rooms.get(queue_key(q=q))

    def hit(self, *, kind: str, steady: float, wait_ms: float) -> None:
        """A job of the kind came and started in its room, `wait_ms` after its call; the room is closed."""
        self._settle(steady=steady)
        if self.rooms.pop(kind, None) is not None:
            self.hits += 1
            self._tally(kind=kind)[0] += 1
            self.back.pop(kind, None)
            self.warm_ms.add(ms=wait_ms)
        else:
            self.began_cold(kind=kind, wait_ms=wait_ms)

    def began_cold(self, *, kind: str, wait_ms: float) -> None:
        """A job started without warm room. One that its kind's back-off kept cold makes the next one shorter."""
        self.cold += 1
        self.cold_ms.add(ms=wait_ms)
        count, until = self.back.get(kind, (0, 0.0))
        if count > 0:
            self.back[kind] = (count - 1, until if count > 2 else 0.0)

    def lost(self, *, kind: str, steady: float) -> None:
        """The room is gone for another reason: taken by urgent work, loss, drain, evacuation. No miss."""
        self._settle(steady=steady)
        self.gone += self.rooms.pop(kind, None) is not None

    def drop(self, *, steady: float) -> None:
        """Give up all room: switched off, or no longer the placing node."""
        for kind in list(self.rooms):
            self.lost(kind=kind, steady=steady)

    def report(self) -> dict[str, Any]:
        """Plain figures for an operator: counts, core-seconds, times to start in milliseconds, kinds that are off."""
        at = self.at or 0.0
        return {
            "on": self.bounds.on,
            "hits": self.hits,
            "misses": self.misses,
            "gone": self.gone,
            "cold": self.cold,
            "core-s-held": round(self.held, 3),
            "core-s-left": round(self.purse, 3),
            "core-s-bound": self.bounds.core_s,
            "warm-ms": self.warm_ms.report(),
            "cold-ms": self.cold_ms.report(),
            "rooms": [[r.kind, r.service, r.n, r.near, round(r.until - at)] for r in self.rooms.values()],
            "off": sorted(k for k, (_, until) in self.back.items() if until > at),
            "kinds": {k: {"hits": h, "misses": m} for k, (h, m) in list(self.by.items())[-16:]},
        }
