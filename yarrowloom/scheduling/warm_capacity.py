"""Warm capacity: kept on minions that will take a job predicted to come soon. No order goes out before the job does."""

from dataclasses import dataclass, field
from typing import Any

from ..common.defaults import WarmRow
from ..common.resources import NO_RESOURCES, Resources
from ..prediction import Bounds, History, Room, Warm
from .capacity import ClusterCapacity
from .scheduling_cycle import PlacementRequest, run_cycle

PLAN_PERIOD_S = 0.25
WEIGHT_PER_RANK = 4.0  # a queue's predictions weigh this many times those of the next rank


@dataclass(slots=True, kw_only=True)
class WarmReservation:
    """Capacity kept for one predicted kind of job.

    Attributes:
        room: The prediction's wish.
        rank: The rank of its queue.
        size: What one task needs.
        tasks_by_minion: For how many tasks each minion keeps capacity.
    """

    room: Room
    rank: int
    size: Resources
    tasks_by_minion: dict[str, int] = field(default_factory=dict)


class WarmCapacity:
    """The warm reservations of a scheduler.

    Invariants: what a minion keeps (`MinionCapacity.warm_reserved`) is the sum of the reservations here; it is only
    a filter of later ranks' cycles, so nothing is started, leased or shown by it.

    Attributes:
        capacity: The minions.
        history: What was learned of earlier jobs.
        warm: The plan: which kinds are worth a reservation, within the settings' bounds.
        reservations: By kind of job.
        planned_at: When the plan was made last, monotonic seconds.
    """

    def __init__(self, *, capacity: ClusterCapacity, history: History, settings: WarmRow) -> None:
        self.capacity = capacity
        self.history = history
        self.warm = Warm(
            bounds=Bounds(
                on=settings["on"],
                core_s=settings["core_s"],
                tasks=settings["tasks"],
                expiry_ms=settings["expiry_ms"],
                lead_ms=settings["lead_ms"],
                least=settings["least"],
            )
        )
        self.reservations: dict[str, WarmReservation] = {}
        self.planned_at = -9.0

    @property
    def is_on(self) -> bool:
        """Whether the settings switch warming on."""
        return self.warm.bounds.on

    def tick(self, *, now: float, wall_now: float, ranks: dict[str, int], evacuated: frozenset[str]) -> None:
        """Plan anew, a few times a second.

        Args:
            now: Monotonic seconds.
            wall_now: Wall seconds.
            ranks: By queue of the newest configuration, its rank.
            evacuated: Zones to which nothing is to be sent.
        """
        if not self.is_on or now - self.planned_at < PLAN_PERIOD_S:
            return
        self.planned_at = now
        for kind, reservation in list(self.reservations.items()):
            if not self._is_valid(reservation=reservation, ranks=ranks, evacuated=evacuated):
                self.warm.lost(kind=kind, steady=now * 1000)
        rooms = self._plan(now=now, wall_now=wall_now, ranks=ranks)
        for kind in [kind for kind in self.reservations if kind not in rooms]:
            self._drop(kind=kind)
        for kind, room in rooms.items():
            if kind not in self.reservations and not self._reserve(room=room, rank=ranks[room.queue], now=now):
                self.warm.lost(kind=kind, steady=now * 1000)

    def _is_valid(self, *, reservation: WarmReservation, ranks: dict[str, int], evacuated: frozenset[str]) -> bool:
        """Whether its queue still has its rank, and all its minions are open."""
        if ranks.get(reservation.room.queue) != reservation.rank:
            return False
        minions = [self.capacity.minions.get(minion_id) for minion_id in reservation.tasks_by_minion]
        return all(minion is not None and minion.is_open and minion.zone not in evacuated for minion in minions)

    def _plan(self, *, now: float, wall_now: float, ranks: dict[str, int]) -> dict[str, Room]:
        now_ms = int(wall_now * 1000)
        predictions = self.history.predict(now_ms=now_ms, horizon_ms=int(self.warm.bounds.expiry_ms))
        last_rank = max(ranks.values(), default=0)
        rooms = self.warm.plan(
            now_ms=now_ms,
            steady=now * 1000,
            preds=[prediction for prediction in predictions if prediction.queue in ranks],
            weight={queue: WEIGHT_PER_RANK ** (last_rank - rank) for queue, rank in ranks.items()},
        )
        return {room.kind: room for room in rooms}

    def _reserve(self, *, room: Room, rank: int, now: float) -> bool:
        """Choose the minions by a cycle of its own; False if it finds none."""
        size = Resources(room.form.cpu, room.form.mem, room.form.gpu)
        decision = run_cycle(
            capacity=self.capacity,
            request=PlacementRequest(
                service=room.service,
                size=size,
                members=list(range(room.n)),
                min_count=room.n if room.gang else 1,
                required_label=room.form.req,
                preferred_label=room.near,
                same_rack=room.tight and room.gang,
                rank=rank + 1,
                now=now,
            ),
        )
        if not decision.feasible:
            return False
        reservation = self.reservations[room.kind] = WarmReservation(room=room, rank=rank, size=size)
        tasks = reservation.tasks_by_minion
        for _, minion_id in decision.placements:
            tasks[minion_id] = tasks.get(minion_id, 0) + 1
        for minion_id in tasks:
            self._update_minion(minion_id=minion_id)
        return True

    def _drop(self, *, kind: str) -> None:
        reservation = self.reservations.pop(kind)
        for minion_id in reservation.tasks_by_minion:
            self._update_minion(minion_id=minion_id)
        self.capacity.grown.setdefault(reservation.room.service, {}).update(
            (minion_id, minion.free)
            for minion_id in reservation.tasks_by_minion
            if (minion := self.capacity.minions.get(minion_id)) is not None and minion.is_open
        )

    def _update_minion(self, *, minion_id: str) -> None:
        """Sum up what the reservations keep on a minion."""
        minion = self.capacity.minions.get(minion_id)
        if minion is None:
            return
        reservations = [row for row in self.reservations.values() if minion_id in row.tasks_by_minion]
        minion.warm_reserved = NO_RESOURCES
        for reservation in reservations:
            tasks = reservation.tasks_by_minion[minion_id]
            minion.warm_reserved = minion.warm_reserved.plus(reservation.size, tasks)
        minion.warm_rank = min((reservation.rank for reservation in reservations), default=0)
        minion.warm_until = max((reservation.room.until / 1000 for reservation in reservations), default=0.0)

    def job_started(self, *, queue: str, kind: str, wait_ms: float, now: float) -> None:
        """A job's first tasks start: its reservation has served, or there was none."""
        if not self.is_on:
            return
        room = self.warm.room(q=queue, kind=kind)
        if room is not None and room.kind in self.reservations:
            self.warm.hit(kind=room.kind, steady=now * 1000, wait_ms=wait_ms)
            self._drop(kind=room.kind)
        else:
            self.warm.began_cold(kind=kind, wait_ms=wait_ms)

    def report(self) -> dict[str, Any]:
        """Figures for the operator."""
        return self.warm.report()
