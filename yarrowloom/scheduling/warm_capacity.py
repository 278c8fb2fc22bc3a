"""Warm capacity: kept on minions that will take a job predicted to come soon. No order goes out before the job does."""

from dataclasses import dataclass, field
from typing import Any

from ..common.defaults import WarmRow
from ..common.resources import NO_RESOURCES, Resources
from ..prediction import History, WarmLimits, WarmPlanner, WarmRequest
from .capacity import ClusterCapacity
from .scheduling_cycle import PlacementRequest, run_cycle

PLAN_PERIOD_S = 0.25
WEIGHT_PER_RANK = 4.0  # a queue's predictions weigh this many times those of the next rank


@dataclass(slots=True, kw_only=True)
class WarmReservation:
    """Capacity kept for one predicted kind of job.

    Attributes:
        request: What the plan wants.
        rank: The rank of its queue.
        size: What one task needs.
        tasks_by_minion: For how many tasks each minion keeps capacity.
    """

    request: WarmRequest
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
        planner: Plans which kinds are worth a reservation, within the settings' limits.
        reservations: By kind of job.
        planned_at: When the plan was made last, monotonic seconds.
    """

    def __init__(self, *, capacity: ClusterCapacity, history: History, settings: WarmRow) -> None:
        self.capacity = capacity
        self.history = history
        self.planner = WarmPlanner(
            limits=WarmLimits(
                is_on=settings["on"],
                max_core_s_per_minute=settings["core_s"],
                max_tasks=settings["tasks"],
                max_hold_ms=settings["expiry_ms"],
                lead_ms=settings["lead_ms"],
                min_confidence=settings["least"],
            )
        )
        self.reservations: dict[str, WarmReservation] = {}
        self.planned_at = -9.0

    @property
    def is_on(self) -> bool:
        """Whether the settings switch warming on."""
        return self.planner.limits.is_on

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
                self.planner.give_up(kind=kind, steady_ms=now * 1000)
        requests = self._plan(now=now, wall_now=wall_now, ranks=ranks)
        for kind in [kind for kind in self.reservations if kind not in requests]:
            self._drop(kind=kind)
        for kind, request in requests.items():
            if kind not in self.reservations and not self._reserve(request=request, rank=ranks[request.queue], now=now):
                self.planner.give_up(kind=kind, steady_ms=now * 1000)

    def _is_valid(self, *, reservation: WarmReservation, ranks: dict[str, int], evacuated: frozenset[str]) -> bool:
        """Whether its queue still has its rank, and all its minions are open."""
        if ranks.get(reservation.request.queue) != reservation.rank:
            return False
        minions = [self.capacity.minions.get(minion_id) for minion_id in reservation.tasks_by_minion]
        return all(minion is not None and minion.is_open and minion.zone not in evacuated for minion in minions)

    def _plan(self, *, now: float, wall_now: float, ranks: dict[str, int]) -> dict[str, WarmRequest]:
        now_ms = int(wall_now * 1000)
        predictions = self.history.predict(now_ms=now_ms, horizon_ms=int(self.planner.limits.max_hold_ms))
        last_rank = max(ranks.values(), default=0)
        requests = self.planner.plan(
            wall_now_ms=now_ms,
            steady_ms=now * 1000,
            predictions=[prediction for prediction in predictions if prediction.queue in ranks],
            weights={queue: WEIGHT_PER_RANK ** (last_rank - rank) for queue, rank in ranks.items()},
        )
        return {request.kind: request for request in requests}

    def _reserve(self, *, request: WarmRequest, rank: int, now: float) -> bool:
        """Choose the minions by a cycle of its own; False if it finds none."""
        size = request.shape.resources
        decision = run_cycle(
            capacity=self.capacity,
            request=PlacementRequest(
                service=request.service,
                size=size,
                members=list(range(request.task_count)),
                min_count=request.task_count if request.is_gang else 1,
                required_label=request.shape.required_label,
                preferred_label=request.preferred_label,
                same_rack=request.prefers_same_rack and request.is_gang,
                rank=rank + 1,
                now=now,
            ),
        )
        if not decision.feasible:
            return False
        reservation = self.reservations[request.kind] = WarmReservation(request=request, rank=rank, size=size)
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
        self.capacity.grown.setdefault(reservation.request.service, {}).update(
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
        minion.warm_until = max((reservation.request.until_ms / 1000 for reservation in reservations), default=0.0)

    def job_started(self, *, queue: str, kind: str, wait_ms: float, now: float) -> None:
        """A job's first tasks start: its reservation has served, or there was none."""
        if not self.is_on:
            return
        request = self.planner.request_for(queue=queue, kind=kind)
        if request is not None and request.kind in self.reservations:
            self.planner.hit(kind=request.kind, steady_ms=now * 1000, wait_ms=wait_ms)
            self._drop(kind=request.kind)
        else:
            self.planner.started_cold(kind=kind, wait_ms=wait_ms)

    def report(self) -> dict[str, Any]:
        """Figures for the operator."""
        return self.planner.report()
