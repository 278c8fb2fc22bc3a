"""The scheduling queue: pod groups that wait for a cycle, and those whose last cycle failed."""

import heapq
from bisect import bisect_right, insort
from dataclasses import dataclass, field
from operator import attrgetter
from typing import NamedTuple

from ..common.resources import Resources
from .pod_group import FIRST_RANK, Phase, PodGroup, Priority

BACKOFF_S = 0.1  # after the first failed cycle; doubles with each further one
BACKOFF_MAX_S = 2.0
BACKOFF_FIRST_MAX_S = 1.0  # of groups that go before all ranks
BACKOFF_DOUBLINGS = 10  # beyond these the exponent no longer grows
VOID_ENTRIES_ALLOWED = 64  # void entries that a list may hold beyond two for each group
KEPT_OFF_MAX_S = 2.0  # a group that has waited this long may take capacity that is kept for others
EXHAUSTED_SIZES_KEPT = 15  # sizes without capacity that a scan remembers, beside the newest


class QueueEntry(NamedTuple):
    """A group's place in a list of the queue; void unless `number` is the group's `entry_number`."""

    priority: Priority
    job_id: str
    unit_key: str
    number: int


_entry_priority = attrgetter("priority")


@dataclass(slots=True)
class UnschedulableScan:
    """A scan over one service's unschedulable groups in order of priority, made in slices of bounded work.

    A group that fits in nothing that came free, or needs at least as much as a size in `exhausted`, is passed over.

    Attributes:
        is_running: The scan has not reached the end of the list.
        position: The priority of the last group that was looked at; None at the start.
        looks_left: How many groups may still be looked at in this slice.
        grown: What came free before the scan began.
        grown_since: What came free since then: a cause for the next scan.
        exhausted: Sizes, with a required label, for which no open minion had capacity in this scan.
        blocking_ranks: By required label ("" for any minion), the earliest rank of groups whose capacity is kept for
            them.
    """

    is_running: bool = False
    position: Priority | None = None
    looks_left: int = 0
    grown: list[Resources] = field(default_factory=list)
    grown_since: list[Resources] = field(default_factory=list)
    exhausted: list[tuple[Resources, str]] = field(default_factory=list)
    blocking_ranks: dict[str, int] = field(default_factory=dict)

    def resume(self, *, blocking_ranks: dict[str, int], looks: int) -> None:
        """Begin a slice: go on where the last one stopped, or begin the next scan if something came free."""
        self.blocking_ranks = blocking_ranks
        self.looks_left = looks
        if not self.is_running:
            self.grown, self.grown_since = self.grown_since, []
            self.exhausted, self.position = [], None
            self.is_running = bool(self.grown)

    def add_grown(self, *, sizes: list[Resources]) -> None:
        """So much came free on some minions."""
        uncovered = [size for size in self.grown_since if not any(other.holds(size) for other in sizes)]
        self.grown_since = uncovered + sizes

    def add_exhausted(self, *, size: Resources, required_label: str) -> None:
        """No open minion has capacity for this."""
        others = [
            (other, label)
            for other, label in self.exhausted
            if not (other.holds(size) and required_label in ("", label))
        ]
        self.exhausted = [*others[:EXHAUSTED_SIZES_KEPT], (size, required_label)]

    def is_blocked(self, group: PodGroup) -> bool:
        """Whether all capacity is kept for an earlier rank."""
        if group.takes_kept_capacity:
            return False
        return any(not label and rank < group.rank for label, rank in self.blocking_ranks.items())

    def is_exhausted(self, group: PodGroup) -> bool:
        """Whether no open minion has capacity for one member."""
        size, required_label = group.size, group.required_label
        return any(size.holds(other) and label in ("", required_label) for other, label in self.exhausted)

    def should_skip(self, group: PodGroup) -> bool:
        """Whether nothing has changed for an unschedulable group since its last cycle."""
        size = group.size
        return not any(free.holds(size) for free in self.grown) or self.is_blocked(group) or self.is_exhausted(group)


class SchedulingQueue:
    """Groups that wait.

    Invariants: an ACTIVE group stands in `active` under its priority, an UNSCHEDULABLE one in its service's list,
    each by exactly one entry that bears its `entry_number`; other entries are dropped when they are met.

    Attributes:
        groups: All groups, by job and unit.
        unit_keys_by_job: The units of each job that have a group here.
        active: By service, a heap of the groups that wait for a cycle.
        unschedulable: By service, those whose last cycle failed, sorted by priority.
        backoffs: A heap of the ends of backoffs, monotonic seconds.
        waiting_work: By service and rank, the work that waits: core milliseconds (in thousandths) and accelerator
            milliseconds.
    """

    def __init__(self) -> None:
        self.groups: dict[tuple[str, str], PodGroup] = {}
        self.unit_keys_by_job: dict[str, set[str]] = {}
        self.active: dict[str, list[QueueEntry]] = {}
        self.unschedulable: dict[str, list[QueueEntry]] = {}
        self.backoffs: list[tuple[float, str, str]] = []
        self.waiting_work: dict[tuple[str, int], list[int]] = {}

    def __len__(self) -> int:
        """Groups that wait for a cycle."""
        return sum(group.phase in (Phase.ACTIVE, Phase.UNSCHEDULABLE) for group in self.groups.values())

    # -- membership

    def add(self, *, group: PodGroup) -> None:
        """A group enters."""
        self.groups[group.unit_id] = group
        self.unit_keys_by_job.setdefault(group.job_id, set()).add(group.unit_key)
        self._push_active(group)

    def remove(self, *, job_id: str, unit_key: str) -> None:
        """A group leaves."""
        group = self.groups.pop((job_id, unit_key), None)
        if group is None:
            return
        self.set_waiting(group=group, count=0)
        group.transition(Phase.GONE)
        unit_keys = self.unit_keys_by_job[job_id]
        unit_keys.discard(unit_key)
        if not unit_keys:
            del self.unit_keys_by_job[job_id]

    def set_waiting(self, *, group: PodGroup, count: int) -> None:
        """So many of the group's members wait now."""
        more = count - group.waiting_count
        if more:
            work = self.waiting_work.setdefault((group.service, group.rank), [0, 0])
            work[0] += more * group.estimate_ms * group.size.millicores
            work[1] += more * group.estimate_ms * group.size.gpus
            group.waiting_count = count

    # -- phases

    def activate(self, *, group: PodGroup) -> None:
        """Back to the active groups at once, with its first-seen time kept."""
        if group.phase is not Phase.ACTIVE:
            group.transition(Phase.ACTIVE)
            self._push_active(group)

    def mark_unschedulable(self, *, group: PodGroup, now: float) -> None:
        """A cycle failed: the group waits; its backoff doubles with each failure in a row.

        It ends no later than the time from which the group may take capacity that is kept for others.
        """
        group.transition(Phase.UNSCHEDULABLE)
        longest_s = BACKOFF_MAX_S if group.ordinary_rank is None else BACKOFF_FIRST_MAX_S
        backoff_s = min(BACKOFF_S * 2.0 ** min(group.failed_cycles, BACKOFF_DOUBLINGS), longest_s)
        group.backoff_until = now + backoff_s
        if now < group.waiting_since + KEPT_OFF_MAX_S < group.backoff_until:
            group.backoff_until = group.waiting_since + KEPT_OFF_MAX_S
        group.failed_cycles += 1
        self._insert_unschedulable(group)
        heapq.heappush(self.backoffs, (group.backoff_until, group.job_id, group.unit_key))

    def throttle(self, *, group: PodGroup) -> None:
        """A group waits for its tenant's quota: it stands in no list, and its work waits for no minion."""
        group.transition(Phase.THROTTLED)
        self.set_waiting(group=group, count=0)

    def mark_bound(self, *, group: PodGroup) -> None:
        """All members run or have a lease asked for."""
        group.transition(Phase.BOUND)

    def reprioritize(self, *, group: PodGroup, priority: Priority, service: str, goes_first: bool = False) -> None:
        """A group's priority or service changed.

        Args:
            group: The group.
            priority: By its job's queue.
            service: On whose minions its tasks run.
            goes_first: It goes before all ranks, of whatever rank its job is.
        """
        ordinary_rank = priority.rank if goes_first else None
        if goes_first:
            priority = priority._replace(is_worthless=False, rank=FIRST_RANK)
        if priority == group.priority and service == group.service:
            return
        count = group.waiting_count
        self.set_waiting(group=group, count=0)
        group.priority, group.service, group.ordinary_rank = priority, service, ordinary_rank
        self.set_waiting(group=group, count=count)
        if group.phase is Phase.ACTIVE:
            self._push_active(group)
        elif group.phase is Phase.UNSCHEDULABLE:
            self._insert_unschedulable(group)

    def take_backoff_ended(self, *, now: float, limit: int) -> list[PodGroup]:
        """Up to `limit` unschedulable groups whose backoff has ended; the others are left for the next call."""
        ended: list[PodGroup] = []
        while len(ended) < limit and self.backoffs and self.backoffs[0][0] <= now:
            _, job_id, unit_key = heapq.heappop(self.backoffs)
            group = self.groups.get((job_id, unit_key))
            if group is not None and group.phase is Phase.UNSCHEDULABLE and group.backoff_until <= now:
                ended.append(group)
        return ended

    # -- entries

    def _entry(self, group: PodGroup) -> QueueEntry:
        group.entry_number += 1
        return QueueEntry(group.priority, group.job_id, group.unit_key, group.entry_number)

    def _push_active(self, group: PodGroup) -> None:
        heapq.heappush(self.active.setdefault(group.service, []), self._entry(group))

    def _insert_unschedulable(self, group: PodGroup) -> None:
        entry = self._entry(group)
        entries = self.unschedulable.setdefault(group.service, [])
        # Groups that the end of their backoff activates leave void entries, which no scan may have met.
        if len(entries) > VOID_ENTRIES_ALLOWED + 2 * len(self.groups):
            entries[:] = [row for row in entries if self._valid_group(row, Phase.UNSCHEDULABLE) is not None]
        insort(entries, entry)

    def _valid_group(self, entry: QueueEntry, phase: Phase) -> PodGroup | None:
        group = self.groups.get((entry.job_id, entry.unit_key))
        is_valid = group is not None and group.phase is phase and group.entry_number == entry.number
        return group if is_valid else None

    # -- the next group

    def pop(self, *, service: str, scan: UnschedulableScan) -> PodGroup | None:
        """The first waiting group of a service in order of priority.

        Considered are the active groups and, while the scan runs, unschedulable ones beyond its position that it
        does not pass over.

        Returns:
            The group, its phase SCHEDULING; None if nothing is left or the scan has no looks left.
        """
        active, unschedulable = self.active.get(service, []), self.unschedulable.get(service, [])
        while scan.looks_left > 0:
            while active and self._valid_group(active[0], Phase.ACTIVE) is None:
                heapq.heappop(active)
            index, group = self._next_scanned(unschedulable, scan)
            scan.looks_left -= 1
            if group is not None and (not active or unschedulable[index].priority < active[0].priority):
                scan.position = unschedulable[index].priority
                if scan.should_skip(group):
                    continue
                del unschedulable[index]
            elif active:
                entry = heapq.heappop(active)
                group = self.groups[entry.job_id, entry.unit_key]
            else:
                return None
            group.transition(Phase.SCHEDULING)
            return group
        return None

    def _next_scanned(self, entries: list[QueueEntry], scan: UnschedulableScan) -> tuple[int, PodGroup | None]:
        """The next valid entry beyond the scan's position, void ones dropped; without one, the scan has ended."""
        if scan.is_running:
            index = 0
            if scan.position is not None:
                index = bisect_right(entries, scan.position, key=_entry_priority)
            while index < len(entries):
                group = self._valid_group(entries[index], Phase.UNSCHEDULABLE)
                if group is not None:
                    return index, group
                del entries[index]
            scan.is_running = False
        return len(entries), None
