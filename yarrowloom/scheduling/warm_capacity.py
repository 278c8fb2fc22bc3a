"""Warm room: kept on minions that will take a job that is about to be called. No order goes out before the call."""

from dataclasses import dataclass, field
from typing import Any

from ..common.defaults import WarmRow
from ..prediction import Bounds, History, Room, Warm
from . import scheduling_cycle as cycle
from .capacity import NONE, Size
from .capacity import Room as Table
from .scheduling_cycle import Ask

EVERY_S = 0.25


@dataclass(slots=True, kw_only=True)
class Kept:
    """One room: minions with the tasks kept for on each."""

    room: Room
    rank: int
    size: Size
    at: dict[str, int] = field(default_factory=dict)


class Warmer:
    """Lives with the placing node. Invariants: what a minion keeps (`Spot.keep`) is the sum of the rooms here; it is
    only a filter of later ranks' cycles, so nothing is started, leased or shown by it.
    """

    def __init__(self, *, table: Table, past: History, row: WarmRow) -> None:
        self.table = table
        self.past = past
        self.warm = Warm(
            bounds=Bounds(
                on=row["on"],
                core_s=row["core_s"],
                tasks=row["tasks"],
                expiry_ms=row["expiry_ms"],
                lead_ms=row["lead_ms"],
                least=row["least"],
            )
        )
        self.kept: dict[str, Kept] = {}
        self.planned = -9.0

    @property
    def on(self) -> bool:
        """Switched on."""
        return self.warm.bounds.on

    def tick(self, *, now: float, wall_now: float, ranks: dict[str, int], shut: frozenset[str]) -> None:
        """Plan anew, a few times a second. `ranks`: by queue that is still there; `shut`: sites evacuated."""
        if not self.on or now - self.planned < EVERY_S:
            return
        self.planned = now
        steady = now * 1000
        for kind, kept in list(self.kept.items()):
            if (
                kept.room.queue not in ranks
                or ranks[kept.room.queue] != kept.rank
                or any(
                    (s := self.table.spots.get(minion_id)) is None or not s.open or s.zone in shut
                    for minion_id in kept.at
                )
            ):
                self.warm.lost(kind=kind, steady=steady)
        preds = [
            p
            for p in self.past.predict(now_ms=int(wall_now * 1000), horizon_ms=int(self.warm.bounds.expiry_ms))
            if p.queue in ranks
        ]
        worst = max(ranks.values(), default=0)
        rooms = {
            r.kind: r
            for r in self.warm.plan(
                now_ms=int(wall_now * 1000),
                steady=steady,
                preds=preds,
                weight={q: 4.0 ** (worst - rank) for q, rank in ranks.items()},
            )
        }
        for kind in [k for k in self.kept if k not in rooms]:
            self._drop(kind=kind)
        for kind, room in rooms.items():
            if kind not in self.kept and not self._keep(room=room, rank=ranks[room.queue], now=now):
                self.warm.lost(kind=kind, steady=steady)

    def _keep(self, *, room: Room, rank: int, now: float) -> bool:
        """A cycle of its own chooses the minions."""
        size = Size(room.form.cpu, room.form.mem, room.form.gpu)
        got = cycle.run(
            room=self.table,
            ask=Ask(
                service=room.service,
                size=size,
                members=list(range(room.n)),
                need=room.n if room.gang else 1,
                req=room.form.req,
                near=room.near,
                tight=room.tight and room.gang,
                rank=rank + 1,
                now=now,
            ),
        )
        if not got.feasible:
            return False
        kept = self.kept[room.kind] = Kept(room=room, rank=rank, size=size)
        for _, minion_id in got.placed:
            kept.at[minion_id] = kept.at.get(minion_id, 0) + 1
        for minion_id in kept.at:
            self._sum(minion_id=minion_id)
        return True

    def _drop(self, *, kind: str) -> None:
        kept = self.kept.pop(kind)
        for minion_id in kept.at:
            self._sum(minion_id=minion_id)
        self.table.grown.setdefault(kept.room.service, {}).update(
            (minion_id, s.free)
            for minion_id in kept.at
            if (s := self.table.spots.get(minion_id)) is not None and s.open
        )

    def _sum(self, *, minion_id: str) -> None:
        spot = self.table.spots.get(minion_id)
        if spot is None:
            return
        rows = [k for k in self.kept.values() if minion_id in k.at]
        spot.keep = NONE
        for kept in rows:
            spot.keep = spot.keep.plus(kept.size, kept.at[minion_id])
        spot.keep_rank = min((k.rank for k in rows), default=0)
        spot.keep_till = max((k.room.until / 1000 for k in rows), default=0.0)

    def started(self, *, queue: str, kind: str, wait_ms: float, now: float) -> None:
        """A job's first tasks start: its room has served, or there was none."""
        if not self.on:
            return
        room = self.warm.room(q=queue, kind=kind)
        if room is not None and room.kind in self.kept:
            self.warm.hit(kind=room.kind, steady=now * 1000, wait_ms=wait_ms)
            self._drop(kind=room.kind)
        else:
            self.warm.began_cold(kind=kind, wait_ms=wait_ms)

    def report(self) -> dict[str, Any]:
        """Figures for the operator."""
        return self.warm.report()
