"""Nomination: minions that come free are kept for a gang, or for lasting tasks, that waited long."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from .capacity import ClusterCapacity, MinionCapacity
from .pod_group import PodGroup

NOMINATE_AFTER_S = 2.0  # a group that has waited this long may have minions nominated
NOMINATION_MAX_S = 10.0  # a nomination lapses after this long
PAUSE_AFTER_NOMINATION_S = 5.0  # a group whose nomination ended gets no other for this long
PAUSE_AFTER_FAILURE_S = 1.0  # nor does one for which no minions were found, for this long
MAX_NOMINATIONS = 2  # of a service
LASTING_SHARE = 8  # at most one in so many minions of a service is nominated for members that start one by one
MAX_PAUSES = 1000


@dataclass(slots=True, kw_only=True)
class Nomination:
    """Minions kept from work of the same or a later rank, so that they come free for one group.

    Attributes:
        minion_ids: The minions.
        service: The group's service.
        rank: The group's rank.
        is_for_gang: Less than all of the minions is of no use.
        until: When the nomination lapses, monotonic seconds.
    """

    minion_ids: frozenset[str]
    service: str
    rank: int
    is_for_gang: bool
    until: float


@dataclass(slots=True)
class Nominator:
    """The nominations in force. Invariant: they share no minion, and a service has at most `MAX_NOMINATIONS`.

    Attributes:
        capacity: The minions.
        nominations: By job and unit of the group.
        paused_until: Groups that get no nomination before a time, monotonic seconds.
    """

    capacity: ClusterCapacity
    nominations: dict[tuple[str, str], Nomination] = field(default_factory=dict)
    paused_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def nominated_for_others(self, *, group: PodGroup) -> frozenset[str]:
        """Minions that a group is not to use."""
        minion_ids: frozenset[str] = frozenset()
        for unit_id, nomination in self.nominations.items():
            is_others = unit_id != group.unit_id and group.rank >= nomination.rank
            if is_others and group.service == nomination.service:
                minion_ids |= nomination.minion_ids
        return minion_ids

    def drop(self, *, unit_id: tuple[str, str], now: float) -> None:
        """A group is placed or gone, or its nomination came to nothing."""
        nomination = self.nominations.pop(unit_id, None)
        if nomination is not None and nomination.is_for_gang:
            self.paused_until[unit_id] = now + PAUSE_AFTER_NOMINATION_S

    def members_placed(self, *, group: PodGroup, minion_ids: Iterable[str], waiting: int, now: float) -> None:
        """Members were placed; `waiting` others still wait for the other minions."""
        nomination = self.nominations.get(group.unit_id)
        if nomination is None:
            return
        left = nomination.minion_ids - frozenset(minion_ids)
        if waiting and left:
            self.nominations[group.unit_id] = replace(nomination, minion_ids=left)
        else:
            self.drop(unit_id=group.unit_id, now=now)

    def drop_lapsed(self, *, now: float) -> None:
        """Drop what lasted too long, and minions that are gone or take nothing."""
        for unit_id, nomination in list(self.nominations.items()):
            still_open = frozenset(filter(self._is_open, nomination.minion_ids))
            needs_all = nomination.is_for_gang and still_open != nomination.minion_ids
            if now > nomination.until or needs_all or not still_open:
                self.drop(unit_id=unit_id, now=now)
            else:
                self.nominations[unit_id] = replace(nomination, minion_ids=still_open)
        if len(self.paused_until) > MAX_PAUSES:
            self.paused_until.clear()

    def _is_open(self, minion_id: str) -> bool:
        minion = self.capacity.minions.get(minion_id)
        return minion is not None and minion.is_open

    def nominate(
        self, *, group: PodGroup, count: int, tasks_by_minion: Mapping[str, int], now: float
    ) -> Nomination | None:
        """Nominate the least used minions (of one rack, where asked for) that could hold `count` members.

        For members that start one by one, a part of them is enough.

        Args:
            group: The group that waits.
            count: How many members wait.
            tasks_by_minion: Members that run or are being bound, by minion, if the group limits them.
            now: Monotonic seconds.
        """
        if (
            group.unit_id in self.nominations
            or sum(row.service == group.service for row in self.nominations.values()) >= MAX_NOMINATIONS
            or now < self.paused_until.get(group.unit_id, 0.0)
        ):
            return None
        if not group.is_gang:
            count = min(count, max(1, self.capacity.minion_count(service=group.service) // LASTING_SHARE))
        minion_ids = self._least_used(group=group, count=count, tasks_by_minion=tasks_by_minion)
        if minion_ids is None:
            self.paused_until[group.unit_id] = now + PAUSE_AFTER_FAILURE_S
            return None
        nomination = Nomination(
            minion_ids=frozenset(minion_ids),
            service=group.service,
            rank=group.rank,
            is_for_gang=group.is_gang,
            until=now + NOMINATION_MAX_S,
        )
        self.nominations[group.unit_id] = nomination
        return nomination

    def _least_used(self, *, group: PodGroup, count: int, tasks_by_minion: Mapping[str, int]) -> list[str] | None:
        best: tuple[float, str, list[str]] | None = None
        candidates = self._candidates(group=group, tasks_by_minion=tasks_by_minion)
        for rack_name in sorted(candidates):
            members_left, cost, minion_ids = count, 0.0, []
            for use, minion_id, fitting in sorted(candidates[rack_name]):
                if members_left > 0:
                    minion_ids.append(minion_id)
                    members_left, cost = members_left - fitting, max(cost, use)
            is_enough = members_left <= 0 or (minion_ids and not group.is_gang)
            if is_enough and (best is None or cost < best[0]):
                best = (cost, rack_name, minion_ids)
        return best[2] if best is not None else None

    def _candidates(
        self, *, group: PodGroup, tasks_by_minion: Mapping[str, int]
    ) -> dict[str, list[tuple[float, str, int]]]:
        """By rack (one for all, unless one rack is asked for): use for each member that fits, minion, members."""
        taken = frozenset(minion_id for nomination in self.nominations.values() for minion_id in nomination.minion_ids)
        by_rack: dict[str, list[tuple[float, str, int]]] = {}
        for rack_name, rack in self.capacity.racks(service=group.service).items():
            for minion in self.capacity.minions_of_rack(rack=rack):
                fitting = minion.total.copies(group.size)
                if group.max_per_minion:
                    fitting = min(fitting, group.max_per_minion - tasks_by_minion.get(minion.minion_id, 0))
                has_label = not group.required_label or group.required_label in minion.labels
                if fitting > 0 and has_label and minion.minion_id not in taken:
                    row = (_used_share(minion=minion) / fitting, minion.minion_id, fitting)
                    by_rack.setdefault(rack_name if group.prefers_same_rack else "", []).append(row)
        return by_rack


def _used_share(*, minion: MinionCapacity) -> float:
    """Shares in use, summed up over the kinds of resources that the minion has."""
    return sum(1 - free / total for free, total in zip(minion.free, minion.total, strict=True) if total)
