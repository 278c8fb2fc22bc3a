"""Preemption for a group whose cycle failed: checkpointed runs of later ranks are stopped; nothing saved is lost."""

import math
from dataclasses import dataclass, field

from ..common.resources import Resources
from .capacity import ClusterCapacity
from .pod_group import PodGroup

PREEMPT_AFTER_S = 0.3  # a group that has waited this long may preempt others
STOPPING_COUNTS_S = 2.5  # a run asked to stop counts as capacity to come for this long
MAX_STOPPING = 8  # runs of a service that may be stopping at a time
MAX_CANDIDATES = 64  # runs looked at for one group, and of each rank for overdue ones
OVERDUE_FACTOR = 10.0  # a run this many times as long as estimated is overdue; with each run the more patience
OVERDUE_MIN_S = 8.0  # and not before this


@dataclass(slots=True, kw_only=True)
class Victim:
    """A run that may be stopped: its progress is saved, it is no gang's, and its job has not ended.

    Attributes:
        task: The task's name.
        run: The number of its run.
        minion_id: The minion that it runs on.
        size: The resources that it uses.
        overdue_at: When it has run for so long that it is to go on elsewhere, monotonic seconds.
    """

    task: str
    run: int
    minion_id: str
    size: Resources
    overdue_at: float = math.inf


@dataclass(slots=True)
class Preemptor:
    """Runs that may be stopped. Invariant: only those are stopped, and never more than are waited for.

    Attributes:
        capacity: The minions that the runs are on.
        candidates: By service, rank and task, in order of their starts.
        queue_position: Service and rank of each candidate, by task.
        stopping: Runs asked to stop, by task and run: when (monotonic seconds), and the service of the group that
            waits for it; empty for an overdue run.
        preempted_total: Runs stopped since this scheduler began.
    """

    capacity: ClusterCapacity
    candidates: dict[str, dict[int, dict[str, Victim]]] = field(default_factory=dict)
    queue_position: dict[str, tuple[str, int]] = field(default_factory=dict)
    stopping: dict[tuple[str, int], tuple[float, str]] = field(default_factory=dict)
    preempted_total: int = 0

    def run_started(self, *, victim: Victim, service: str, rank: int) -> None:
        """A run that may be stopped began."""
        self.run_ended(task=victim.task, run=-1)
        self.candidates.setdefault(service, {}).setdefault(rank, {})[victim.task] = victim
        self.queue_position[victim.task] = (service, rank)

    def run_ended(self, *, task: str, run: int) -> None:
        """A run is over."""
        self.stopping.pop((task, run), None)
        position = self.queue_position.pop(task, None)
        if position is not None:
            service, rank = position
            self.candidates[service][rank].pop(task, None)

    def _forget_old_stops(self, *, now: float) -> None:
        for key, (asked_at, _) in list(self.stopping.items()):
            if now - asked_at <= STOPPING_COUNTS_S:
                break
            del self.stopping[key]

    def select_victims(self, *, group: PodGroup, count: int, only_preferred: bool, now: float) -> list[Victim]:
        """Runs that make capacity for up to `count` members: of the last rank first, then the latest started."""
        self._forget_old_stops(now=now)
        awaited = sum(service == group.service for _, service in self.stopping.values())
        wanted = min(count, MAX_STOPPING) - awaited
        selected: list[Victim] = []
        looks_left = MAX_CANDIDATES
        for rank in sorted(self.candidates.get(group.service, {}), reverse=True):
            if rank <= group.rank:
                break
            for victim in reversed(self.candidates[group.service][rank].values()):
                if len(selected) >= wanted or looks_left <= 0:
                    return selected
                looks_left -= 1
                if self._makes_capacity(victim=victim, group=group, only_preferred=only_preferred):
                    selected.append(victim)
        return selected

    def _makes_capacity(self, *, victim: Victim, group: PodGroup, only_preferred: bool) -> bool:
        minion = self.capacity.minions.get(victim.minion_id)
        return (
            minion is not None
            and (victim.task, victim.run) not in self.stopping
            and victim.size.holds(group.size)
            and (not group.required_label or group.required_label in minion.labels)
            and (not only_preferred or group.preferred_label in minion.labels)
        )

    def overdue_runs(self, *, now: float) -> list[tuple[str, Victim]]:
        """Runs far beyond their expected time, with their service; of each rank the oldest few are looked at."""
        overdue = []
        for service, ranks in self.candidates.items():
            for victims in ranks.values():
                for victim, _ in zip(victims.values(), range(MAX_CANDIDATES), strict=False):
                    if now > victim.overdue_at and (victim.task, victim.run) not in self.stopping:
                        overdue.append((service, victim))
        return overdue

    def victims_on(self, *, minion_ids: frozenset[str], service: str, rank: int) -> list[Victim]:
        """Runs of later ranks on nominated minions that may be stopped."""
        return [
            victim
            for victim_rank, victims in self.candidates.get(service, {}).items()
            if victim_rank > rank
            for victim in victims.values()
            if victim.minion_id in minion_ids and (victim.task, victim.run) not in self.stopping
        ]

    def note_stopping(self, *, victims: list[Victim], service: str, now: float) -> None:
        """These runs are asked to stop, for a group of `service` (empty: for none)."""
        for victim in victims:
            self.stopping[victim.task, victim.run] = (now, service)
        self.preempted_total += len(victims)
