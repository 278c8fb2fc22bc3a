"""Capacity of the cluster's minions as the scheduler knows it, indexed for the search of a scheduling cycle."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..agent.messages import FreeCapacity
from ..common.resources import NO_RESOURCES, Resources

FAILURES_TO_AVOID = 3  # failures in a row, each of another job, after which a minion is avoided
AVOID_FIRST_S = 1.5  # how long it is avoided at first; doubles with each further failure
AVOID_MAX_S = 12.0
MAX_AVOIDED_SHARE = 4  # at most one in so many minions of a service is avoided at a time


@dataclass(slots=True, kw_only=True)
class MinionCapacity:
    """A minion as attached through its agent.

    Invariants: leases and orders count only with the current `attachment`; `free` is `reported` + `idle_leased` +
    `returned` - `in_flight`; the minion stands in its service's index exactly while `is_open`.

    Attributes:
        minion_id: The minion.
        agent_id: The agent (a core node) that the minion is attached through.
        fence: Of the minion's ownership by that agent; a higher one replaces it.
        attachment: Number of the attachment to this scheduler.
        service: The service whose tasks the minion runs.
        zone: The minion's site.
        labels: The minion's kind first, its rack second, then others.
        total: Resources of the empty minion.
        is_open: Its agent reported free resources and has not withdrawn them.
        reported: Free resources in the agent's last report.
        in_flight: Asked for from the agent and not answered yet.
        idle_leased: Under leases held here that no run uses.
        returned: Under leases given back since the last report.
        free: What a cycle may place on.
        index_key: Its key in the index (free accelerators, free cores); None while it is not open.
        failure_streak: First runs that failed in a row, each of another job.
        last_failed_job_id: The job of the last of these.
        attached_at: When it was attached, monotonic seconds.
        warm_reserved: Kept warm: not for ranks after `warm_rank` whose tasks end after `warm_until`.
        warm_rank: See `warm_reserved`.
        warm_until: See `warm_reserved`; monotonic seconds.
        avoid_until: Nothing new is placed on it before this time, monotonic seconds.
        rack: By its labels, which never change; empty if they tell none.
    """

    minion_id: str
    agent_id: str
    fence: int
    attachment: int
    service: str
    zone: str
    labels: tuple[str, ...]
    total: Resources
    is_open: bool = False
    reported: Resources = NO_RESOURCES
    in_flight: Resources = NO_RESOURCES
    idle_leased: Resources = NO_RESOURCES
    returned: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    index_key: tuple[int, int] | None = None
    failure_streak: int = 0
    last_failed_job_id: str = ""
    attached_at: float = -9.0
    warm_reserved: Resources = NO_RESOURCES
    warm_rank: int = 0
    warm_until: float = 0.0
    avoid_until: float = 0.0
    rack: str = field(init=False)

    def reattached(self, *, attachment: int, now: float) -> "MinionCapacity":
        """The same minion under a new attachment: what was known of its resources, and leases on it, are void."""
        return MinionCapacity(
            minion_id=self.minion_id,
            agent_id=self.agent_id,
            fence=self.fence,
            attachment=attachment,
            service=self.service,
            zone=self.zone,
            labels=self.labels,
            total=self.total,
            failure_streak=self.failure_streak,
            last_failed_job_id=self.last_failed_job_id,
            avoid_until=self.avoid_until,
            attached_at=now,
        )

    def __post_init__(self) -> None:
        """By the published order, a minion's kind is its first label and its rack the second."""
        self.rack = self.labels[1] if len(self.labels) > 1 else ""


@dataclass(slots=True)
class RackCapacity:
    """The open minions of one rack and service.

    Invariant: `free` is the sum of what is free on them, where that is above 0: no more than
    `free.copies(size)` tasks of a size fit in.
    """

    minion_ids: set[str] = field(default_factory=set)
    free: Resources = NO_RESOURCES


@dataclass(slots=True)
class ServiceCapacity:
    """The open minions of one service.

    Invariant: each open minion stands exactly once in `by_free_gpus`, under its free accelerators, in a list sorted
    by its free cores, and in `racks` under its rack; `total` is the sum over all of them, `free` that of what is free
    on them, where it is above 0.
    """

    by_free_gpus: dict[int, list[tuple[int, str]]] = field(default_factory=dict)
    minion_ids_by_label: dict[str, set[str]] = field(default_factory=dict)
    racks: dict[str, RackCapacity] = field(default_factory=dict)
    total: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    minion_count: int = 0

    def used_share(self) -> float:
        """The part of the open minions that is in use, of the kind of resources of which most is; 0 without minions."""
        return max((1 - free / total for free, total in zip(self.free, self.total, strict=True) if total), default=0.0)

    def add(self, *, minion: MinionCapacity) -> None:
        """A minion opens."""
        self.minion_count += 1
        self.total = self.total.plus(minion.total)
        for label in minion.labels:
            self.minion_ids_by_label.setdefault(label, set()).add(minion.minion_id)

    def remove(self, *, minion: MinionCapacity) -> None:
        """A minion is no longer open."""
        self.minion_count -= 1
        self.total = self.total.plus(minion.total, -1)
        for label in minion.labels:
            self.minion_ids_by_label[label].discard(minion.minion_id)

    def add_free(self, *, minion: MinionCapacity, free: Resources) -> None:
        """Count what is free on a minion."""
        rack = self.racks.get(minion.rack)
        if rack is None:
            rack = self.racks[minion.rack] = RackCapacity()
        rack.free = rack.free.plus(free.above_zero())
        self.free = self.free.plus(free.above_zero())
        rack.minion_ids.add(minion.minion_id)

    def remove_free(self, *, minion: MinionCapacity, free: Resources) -> None:
        """Count what was free on a minion no longer."""
        rack = self.racks[minion.rack]
        rack.free = rack.free.plus(free.above_zero(), -1)
        self.free = self.free.plus(free.above_zero(), -1)

    def insert_key(self, *, minion_id: str, key: tuple[int, int]) -> None:
        """Put a minion into the index."""
        insort(self.by_free_gpus.setdefault(key[0], []), (key[1], minion_id))

    def delete_key(self, *, minion_id: str, key: tuple[int, int]) -> None:
        """Take a minion out of the index."""
        row = self.by_free_gpus[key[0]]
        del row[bisect_left(row, (key[1], minion_id))]
        if not row:
            del self.by_free_gpus[key[0]]


class ClusterCapacity:
    """All minions that were attached.

    Invariant: `grown` holds, by service, the free resources of each minion that has more than before, since
    `take_grown`: a task that fits in none of these has no better chance than at its last cycle.

    Attributes:
        minions: By minion id.
        services: Index of the open minions, by service.
        minion_ids_by_agent: The attached minions of each agent.
        last_report: When each agent whose reports count was last heard, monotonic seconds.
        grown: See the invariant.
        visited: Index entries visited by searches: the measure of a cycle's work.
    """

    def __init__(self) -> None:
        self.minions: dict[str, MinionCapacity] = {}
        self.services: dict[str, ServiceCapacity] = {}
        self.minion_ids_by_agent: dict[str, set[str]] = {}
        self.last_report: dict[str, float] = {}
        self.grown: dict[str, dict[str, Resources]] = {}
        self.visited = 0

    # -- membership

    def attach(self, *, minion: MinionCapacity) -> None:
        """A minion as it stands now; an older attachment of it is void."""
        self.remove(minion_id=minion.minion_id)
        self.minions[minion.minion_id] = minion
        self.minion_ids_by_agent.setdefault(minion.agent_id, set()).add(minion.minion_id)

    def remove(self, *, minion_id: str) -> None:
        """Forget a minion."""
        minion = self.minions.pop(minion_id, None)
        if minion is not None:
            minion.is_open = False
            self._reindex(minion)
            self.minion_ids_by_agent[minion.agent_id].discard(minion_id)

    def current(self, *, minion_id: str, attachment: int) -> MinionCapacity | None:
        """The minion, if it is still attached as it was under this attachment."""
        minion = self.minions.get(minion_id)
        return minion if minion is not None and minion.attachment == attachment else None

    # -- reports of agents

    def apply_report(self, *, node_id: str, rows: Iterable[FreeCapacity], closed: list[str], now: float) -> None:
        """Take in an agent's report.

        Args:
            node_id: The agent.
            rows: What is free on each open minion that the report names.
            closed: Minions that are no longer open.
            now: Monotonic seconds.
        """
        self.last_report[node_id] = now
        for row in rows:
            minion = self.minions.get(row.minion_id)
            if minion is not None and minion.agent_id == node_id:
                minion.is_open, minion.returned = True, NO_RESOURCES
                minion.reported = Resources(row.millicores, row.memory_mb, row.gpus)
                self._reindex(minion)
        for minion_id in closed:
            minion = self.minions.get(minion_id)
            if minion is not None and minion.agent_id == node_id and minion.is_open:
                minion.is_open = False
                self._reindex(minion)

    def silent_agents(self, *, now: float, after_s: float) -> list[str]:
        """Agents whose reports count and that were not heard for `after_s` seconds."""
        return [node_id for node_id, heard_at in self.last_report.items() if now - heard_at > after_s]

    def close_agent(self, *, node_id: str) -> None:
        """The reports of an agent count no longer, until it makes new ones."""
        self.last_report.pop(node_id, None)
        for minion_id in self.minion_ids_by_agent.get(node_id, ()):
            self.minions[minion_id].is_open = False
            self._reindex(self.minions[minion_id])

    # -- what the scheduler itself does

    def add_in_flight(self, *, minion: MinionCapacity, size: Resources, count: int) -> None:
        """Resources asked for (`count` above 0), or no longer asked for (below 0)."""
        minion.in_flight = minion.in_flight.plus(size, count)
        self._reindex(minion)

    def add_idle(self, *, minion: MinionCapacity, size: Resources, count: int) -> None:
        """Leases held here become idle (`count` above 0), or are idle no longer (below 0)."""
        minion.idle_leased = minion.idle_leased.plus(size, count)
        self._reindex(minion)

    def add_returned(self, *, minion: MinionCapacity, size: Resources) -> None:
        """A lease was given back; the agent's next report shows it."""
        minion.returned = minion.returned.plus(size)
        self._reindex(minion)

    def _reindex(self, minion: MinionCapacity) -> None:
        """Work out what is free on a minion, and keep index, sums and `grown` in step with it."""
        old_free, old_key = minion.free, minion.index_key
        reported, idle, returned, in_flight = minion.reported, minion.idle_leased, minion.returned, minion.in_flight
        free = minion.free = Resources(
            reported.millicores + idle.millicores + returned.millicores - in_flight.millicores,
            reported.memory_mb + idle.memory_mb + returned.memory_mb - in_flight.memory_mb,
            reported.gpus + idle.gpus + returned.gpus - in_flight.gpus,
        )
        key = (max(free.gpus, 0), free.millicores) if minion.is_open else None
        if key == old_key and free == old_free:
            return
        service = self.services.get(minion.service)
        if service is None:
            service = self.services[minion.service] = ServiceCapacity()
        if old_key is not None:
            service.remove_free(minion=minion, free=old_free)
            if key != old_key:
                service.delete_key(minion_id=minion.minion_id, key=old_key)
        if key is not None:
            service.add_free(minion=minion, free=free)
            if key != old_key:
                service.insert_key(minion_id=minion.minion_id, key=key)
            if old_key is None:
                service.add(minion=minion)
            if old_key is None or not old_free.holds(free):
                self.grown.setdefault(minion.service, {})[minion.minion_id] = free
        elif old_key is not None:
            service.racks[minion.rack].minion_ids.discard(minion.minion_id)
            service.remove(minion=minion)
        minion.index_key = key

    def take_grown(self) -> dict[str, list[Resources]]:
        """By service, what came free since the last call: only amounts that no other of the list covers."""
        grown_by_service: dict[str, list[Resources]] = {}
        for service, free_by_minion in self.grown.items():
            largest: list[Resources] = []
            for free in sorted(set(free_by_minion.values()), reverse=True):
                if not any(other.holds(free) for other in largest):
                    largest.append(free)
            grown_by_service[service] = largest
        self.grown = {}
        return grown_by_service

    # -- failures of minions

    def record_failure(self, *, minion_id: str, job_id: str, now: float) -> bool:
        """Note that a task's first run failed on a minion.

        After failures of three jobs in a row, with no run done in between, the fault is taken to be the minion's: it
        gets nothing new for a while, unless a quarter of its service is avoided already.

        Returns:
            Whether the minion is avoided from now on.
        """
        minion = self.minions.get(minion_id)
        if minion is None or minion.last_failed_job_id == job_id:
            return False
        minion.last_failed_job_id = job_id
        minion.failure_streak += 1
        service = self.services.get(minion.service)
        if minion.failure_streak < FAILURES_TO_AVOID or service is None:
            return False
        avoided = sum(other.avoid_until > now for other in self.minions.values() if other.service == minion.service)
        if MAX_AVOIDED_SHARE * avoided >= service.minion_count:
            return False
        pause_s = AVOID_FIRST_S * 2.0 ** (minion.failure_streak - FAILURES_TO_AVOID)
        minion.avoid_until = now + min(pause_s, AVOID_MAX_S)
        return True

    def record_success(self, *, minion_id: str) -> None:
        """Note that a run was done on a minion."""
        minion = self.minions.get(minion_id)
        if minion is not None and minion.failure_streak:
            minion.failure_streak, minion.avoid_until = 0, 0.0

    # -- search

    def tightest_first(self, *, service: str, size: Resources) -> Iterator[MinionCapacity]:
        """Open minions with the cores and accelerators of one task free, those with the least free first."""
        index = self.services.get(service)
        if index is None:
            return
        for gpus in sorted(gpus for gpus in index.by_free_gpus if gpus >= size.gpus):
            row = index.by_free_gpus[gpus]
            for position in range(bisect_left(row, (size.millicores, "")), len(row)):
                self.visited += 1
                yield self.minions[row[position][1]]

    def with_label(self, *, service: str, label: str) -> list[MinionCapacity]:
        """Open minions with a label, those with the least free first."""
        index = self.services.get(service)
        if index is None:
            return []
        found = [self.minions[minion_id] for minion_id in index.minion_ids_by_label.get(label, ())]
        self.visited += len(found)
        return sorted(found, key=lambda minion: (minion.free.gpus, minion.free.millicores, minion.minion_id))

    def minion_count(self, *, service: str) -> int:
        """How many minions of a service are open."""
        index = self.services.get(service)
        return index.minion_count if index is not None else 0

    def used_share(self, *, service: str) -> float:
        """The part of a service's open minions that is in use; 1 if there are none."""
        index = self.services.get(service)
        return index.used_share() if index is not None and index.minion_count else 1.0

    def racks(self, *, service: str) -> dict[str, RackCapacity]:
        """The racks of a service; some may have no open minion."""
        index = self.services.get(service)
        return index.racks if index is not None else {}

    def minions_of_rack(self, *, rack: RackCapacity) -> list[MinionCapacity]:
        """The open minions of a rack."""
        self.visited += len(rack.minion_ids)
        return [self.minions[minion_id] for minion_id in rack.minion_ids]

    def could_ever_hold(
        self,
        *,
        service: str,
        size: Resources,
        required_label: str,
        count: int,
        without: frozenset[str] = frozenset(),
    ) -> bool:
        """Whether the open minions, but for those named in `without`, could take `count` tasks, were they empty."""
        index = self.services.get(service)
        if index is None:
            return False
        minion_ids: Iterable[str]
        if required_label:
            minion_ids = index.minion_ids_by_label.get(required_label, ())
        else:
            minion_ids = (minion_id for row in index.by_free_gpus.values() for _, minion_id in row)
        for minion_id in minion_ids:
            if minion_id in without:
                continue
            count -= self.minions[minion_id].total.copies(size)
            if count <= 0:
                return True
        return False
