"""Group-aware preemption, run after a failed cycle: checkpointed work of a later rank makes room.

Nothing that was saved is lost.
Also nomination: minions kept free for a gang that waited long.
"""

import math
from dataclasses import dataclass, field

from .capacity import Room, Size
from .pod_group import Group

AFTER_S = 0.3  # a group that has waited this long may push others out
AGAIN_S = 2.5  # a run asked to stop is counted as room to come for this long
MOST = 8
LOOKS = 64
CRAWL_X = 10.0  # a run this many times as long as guessed, and CRAWL_S, crawls; with each run the more patience
CRAWL_S = 8.0
NOMINATE_AFTER_S = 2.0
NOMINATE_MOST_S = 10.0
NOMINATED = 2


@dataclass(slots=True, kw_only=True)
class Victim:
    """A run that may be stopped: its progress is kept, it is no gang's, its job is not ended."""

    task: str
    run: int
    minion_id: str
    size: Size
    horizon: float = math.inf  # beyond this it crawls: it goes on elsewhere


@dataclass(slots=True)
class Preemptor:
    """Runs that may go, by service and rank, in order of their starts. Invariants: only those are stopped, and never
    more than are waited for.
    """

    room: Room
    runs: dict[str, dict[int, dict[str, Victim]]] = field(default_factory=dict)
    at: dict[str, tuple[str, int]] = field(default_factory=dict)
    going: dict[tuple[str, int], tuple[float, str]] = field(default_factory=dict)
    total: int = 0

    def started(self, *, victim: Victim, service: str, rank: int) -> None:
        """A run that may be stopped began."""
        self.ended(task=victim.task, run=-1)
        self.runs.setdefault(service, {}).setdefault(rank, {})[victim.task] = victim
        self.at[victim.task] = (service, rank)

    def ended(self, *, task: str, run: int) -> None:
        """A run is over."""
        self.going.pop((task, run), None)
        where = self.at.pop(task, None)
        if where is not None:
            self.runs[where[0]][where[1]].pop(task, None)

    def _tidy(self, *, now: float) -> None:
        for key, (at, _) in list(self.going.items()):
            if now - at <= AGAIN_S:
                break
            del self.going[key]

    def choose(self, *, group: Group, n: int, strict: bool, now: float) -> list[Victim]:
        """Room for up to `n` members: the last rank first, then the latest start (the least work behind it)."""
        self._tidy(now=now)
        n = min(n, MOST) - sum(service == group.service for _, service in self.going.values())
        out: list[Victim] = []
        looks = LOOKS
        for rank in sorted(self.runs.get(group.service, {}), reverse=True):
            if rank <= group.rank:
                break
            for victim in reversed(self.runs[group.service][rank].values()):
                if len(out) >= n or looks <= 0:
                    return out
                looks -= 1
                spot = self.room.spots.get(victim.minion_id)
                if (
                    spot is not None
                    and (victim.task, victim.run) not in self.going
                    and victim.size.holds(group.size)
                    and (not group.req or group.req in spot.labels)
                    and (not strict or group.near in spot.labels)
                ):
                    out.append(victim)
        return out

    def crawling(self, *, now: float) -> list[tuple[str, Victim]]:
        """Runs far beyond their time, with their service: of each rank the oldest few are looked at."""
        out = []
        for service, ranks in self.runs.items():
            for rows in ranks.values():
                for victim, _ in zip(rows.values(), range(LOOKS), strict=False):
                    if now > victim.horizon and (victim.task, victim.run) not in self.going:
                        out.append((service, victim))
        return out

    def on(self, *, minion_ids: frozenset[str], service: str, rank: int) -> list[Victim]:
        """What runs on nominated minions and may go."""
        return [
            v
            for r, rows in self.runs.get(service, {}).items()
            if r > rank
            for v in rows.values()
            if v.minion_id in minion_ids and (v.task, v.run) not in self.going
        ]

    def stop(self, *, victims: list[Victim], service: str, now: float) -> list[list[object]]:
        """Take note that they are stopped: rows for the agents."""
        for v in victims:
            self.going[v.task, v.run] = (now, service)
        self.total += len(victims)
        return [[v.minion_id, v.task, v.run] for v in victims]


@dataclass(slots=True, kw_only=True)
class Nomination:
    """Minions that work of the same or a later rank keeps off, so that their room comes free for one gang."""

    minion_ids: frozenset[str]
    service: str
    rank: int
    until: float


@dataclass(slots=True)
class Nominator:
    """Invariant: nominations share no minion, and there are at most NOMINATED."""

    room: Room
    by: dict[tuple[str, str], Nomination] = field(default_factory=dict)
    rest: dict[tuple[str, str], float] = field(default_factory=dict)

    def off(self, *, group: Group) -> frozenset[str]:
        """Minions that a group is to keep off."""
        out: frozenset[str] = frozenset()
        for unit, nom in self.by.items():
            if unit != (group.job_id, group.key) and group.rank >= nom.rank and group.service == nom.service:
                out |= nom.minion_ids
        return out

    def drop(self, *, unit: tuple[str, str], now: float) -> None:
        """A group is placed or gone."""
        if self.by.pop(unit, None) is not None:
            self.rest[unit] = now + NOMINATE_MOST_S / 2

    def sweep(self, *, now: float) -> None:
        """Drop what lasted too long, or names a minion that is gone or takes nothing."""
        for unit, nom in list(self.by.items()):
            if now > nom.until or any(
                (s := self.room.spots.get(minion_id)) is None or not s.open for minion_id in nom.minion_ids
            ):
                self.drop(unit=unit, now=now)
        if len(self.rest) > 1000:
            self.rest.clear()

    def nominate(self, *, group: Group, n: int, now: float) -> Nomination | None:
        """The least used minions (of one rack, where asked) that could hold all of a gang."""
        unit = (group.job_id, group.key)
        if unit in self.by or len(self.by) >= NOMINATED or now < self.rest.get(unit, 0.0):
            return None
        taken = frozenset(minion_id for nom in self.by.values() for minion_id in nom.minion_ids)
        best: tuple[float, str, list[str]] | None = None
        racks: dict[str, list[tuple[float, str, int]]] = {}
        for name, rack in self.room.racks(service=group.service).items():
            for spot in self.room.of_rack(rack=rack):
                top = spot.cap.copies(group.size)
                if top and spot.minion_id not in taken and (not group.req or group.req in spot.labels):
                    used = sum(1 - have / cap for have, cap in zip(spot.free, spot.cap, strict=True) if cap)
                    racks.setdefault(name if group.tight else "", []).append((used / top, spot.minion_id, top))
        for name in sorted(racks):
            left, cost, minion_ids = n, 0.0, []
            for used, minion_id, top in sorted(racks[name]):
                if left > 0:
                    minion_ids.append(minion_id)
                    left, cost = left - top, max(cost, used)
            if left <= 0 and (best is None or cost < best[0]):
                best = (cost, name, minion_ids)
        if best is None:
            self.rest[unit] = now + 1.0
            return None
        nom = Nomination(
            minion_ids=frozenset(best[2]), service=group.service, rank=group.rank, until=now + NOMINATE_MOST_S
        )
        self.by[unit] = nom
        return nom
