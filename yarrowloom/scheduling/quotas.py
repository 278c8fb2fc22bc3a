"""Quotas of tenants: what a tenant's tasks may hold over all minions, and how many jobs a second it is entitled to.

What they hold is the tenant's debit in the key-value tier. Here stands only what is on its way there: members that are
being bound, groups that wait for the debit to fall, and what each tenant submitted lately.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..cluster_state.routing_table import Tenant
from ..common.resources import NO_RESOURCES, Resources
from ..jobs.model import WAITING
from ..jobs.placements import PlacementClient
from ..jobs.state_machine import Jobs
from .environment import SchedulerEnvironment
from .pod_group import Phase, PodGroup, Priority
from .scheduling_queue import SchedulingQueue

LOOKS_PER_RELEASE = 8  # throttled groups that are looked at when a tenant's tasks end
KEEPS_OTHERS_OFF_AFTER_S = 1.5  # a throttled group that has waited this long is not overtaken by its tenant's others


class ReservedMembers(msgspec.Struct, frozen=True, kw_only=True):
    """Members of a group that are being bound and not yet in the debit."""

    tenant: str
    size: Resources
    count: int


@dataclass(slots=True, kw_only=True)
class ShareBucket:
    """A token bucket: jobs that a tenant may submit now within its share.

    Attributes:
        jobs: Tokens left; at most the jobs of one second.
        updated_at: Monotonic seconds.
    """

    jobs: float
    updated_at: float

    def take(self, *, share: float, now: float) -> bool:
        """Take one job; whether there was one.

        >>> bucket = ShareBucket(jobs=1.0, updated_at=0.0)
        >>> [bucket.take(share=2.0, now=now) for now in (0.0, 0.1, 0.6)]
        [True, False, True]
        """
        most = max(share, 1.0)
        self.jobs = min(most, self.jobs + share * (now - self.updated_at))
        self.updated_at = now
        if self.jobs < 1.0:
            return False
        self.jobs -= 1.0
        return True


@dataclass(slots=True, kw_only=True)
class ThrottledGroups:
    """The groups of one tenant that wait until its tasks hold less.

    Attributes:
        heap: By priority; entries of groups that are throttled no more, or have another priority, are void.
        work: Core milliseconds (in thousandths) and accelerator milliseconds of their waiting members.
        members: By group, how many members its part of `work` counts.
    """

    heap: list[tuple[Priority, tuple[str, str]]] = field(default_factory=list)
    work: list[int] = field(default_factory=lambda: [0, 0])
    members: dict[tuple[str, str], int] = field(default_factory=dict)


class TenantQuotas:
    """Decides how many members of a group may be bound, as far as its tenant's bound goes.

    Invariant: the debit and what is reserved are together within `upper_bound`, but for a task or gang that is within
    the excess that the rules allow and starts while nothing else of its tenant runs.

    Attributes:
        reserved: By group, its members that are being bound.
        reserved_by_tenant: The sum of their sizes.
        throttled: By tenant.
        buckets: By tenant.
    """

    def __init__(
        self,
        *,
        environment: SchedulerEnvironment,
        jobs: Jobs,
        queue: SchedulingQueue,
        placements: PlacementClient,
        excess: float,
    ) -> None:
        """Quotas of which nothing is reserved yet.

        Args:
            environment: The node.
            jobs: The group's jobs, with the store of debits.
            queue: The groups that wait.
            placements: Reads debits.
            excess: The part of a bound by which the rules allow it to be exceeded.
        """
        self.environment = environment
        self.jobs = jobs
        self.queue = queue
        self.placements = placements
        self.excess = excess
        self.reserved: dict[tuple[str, str], ReservedMembers] = {}
        self.reserved_by_tenant: dict[str, Resources] = {}
        self.throttled: dict[str, ThrottledGroups] = {}
        self.buckets: dict[str, ShareBucket] = {}

    # -- bounds

    def allowed(self, *, group: PodGroup, count: int, planned: Resources = NO_RESOURCES) -> int:
        """How many of `count` members may be bound now; all or none of a gang.

        Args:
            group: The group.
            count: Its members that wait.
            planned: What others of its tenant are about to take.
        """
        tenant = self._tenant(group.tenant)
        if tenant is None or tenant.upper_bound == NO_RESOURCES:
            return count
        held = self.held(tenant=group.tenant).plus(planned)
        fitting = min(_copies_within(bound=tenant.upper_bound, held=held, size=group.size), count)
        if group.is_gang and fitting < count:
            fitting = 0
        if not fitting and held == NO_RESOURCES:
            fitting = self._allowed_alone(group=group, count=count, bound=tenant.upper_bound)
        return fitting

    def _tenant(self, name: str) -> Tenant | None:
        return self.environment.tenant(name=name) if name else None

    def held(self, *, tenant: str) -> Resources:
        """What a tenant's tasks hold and are about to hold."""
        debit = self.placements.debit(tenant=tenant, wall_ms=self.environment.wall_now * 1000)
        reserved = self.reserved_by_tenant.get(tenant)
        return debit.used if reserved is None else debit.used.plus(reserved)

    def _allowed_alone(self, *, group: PodGroup, count: int, bound: Resources) -> int:
        """Nothing else of the tenant runs: one task may be wider than the bound, a gang by the allowed excess."""
        if not group.is_gang:
            return 1
        widened = Resources(*(int(limit * (1 + self.excess)) for limit in bound))
        needed = _copies_within(bound=widened, held=NO_RESOURCES, size=group.size)
        return count if needed >= count - 1 else 0

    # -- members that are being bound

    def reserve(self, *, group: PodGroup) -> None:
        """Take note of how many members of a group are being bound."""
        if not group.tenant:
            return
        former = self.reserved.pop(group.unit_id, None)
        if former is not None:
            self._add_reserved(former, sign=-1)
        if group.binding and group.phase is not Phase.GONE:
            row = ReservedMembers(tenant=group.tenant, size=group.size, count=len(group.binding))
            self.reserved[group.unit_id] = row
            self._add_reserved(row, sign=1)

    def _add_reserved(self, row: ReservedMembers, *, sign: int) -> None:
        total = self.reserved_by_tenant.get(row.tenant, NO_RESOURCES).plus(row.size, sign * row.count)
        if total == NO_RESOURCES:
            self.reserved_by_tenant.pop(row.tenant, None)
        else:
            self.reserved_by_tenant[row.tenant] = total

    def forget(self, *, group: PodGroup) -> None:
        """A group is gone."""
        former = self.reserved.pop(group.unit_id, None)
        if former is not None:
            self._add_reserved(former, sign=-1)
        self._count_throttled(group=group, members=0)

    # -- groups that wait for their tenant's debit to fall

    def throttle(self, *, group: PodGroup, count: int) -> None:
        """A group with `count` waiting members, taken from the queue, waits until its tenant's tasks hold less."""
        self.queue.throttle(group=group)
        group.last_failure = f"0/{count} quota"
        groups = self.throttled.setdefault(group.tenant, ThrottledGroups())
        heapq.heappush(groups.heap, (group.priority, group.unit_id))
        self._count_throttled(group=group, members=count)

    def _count_throttled(self, *, group: PodGroup, members: int) -> None:
        groups = self.throttled.get(group.tenant)
        if groups is None:
            return
        more = members - groups.members.pop(group.unit_id, 0)
        if members:
            groups.members[group.unit_id] = members
        groups.work[0] += more * group.estimate_ms * group.size.millicores
        groups.work[1] += more * group.estimate_ms * group.size.gpus
        if not groups.members:
            del self.throttled[group.tenant]

    def released(self, *, tenants: Iterable[str]) -> list[PodGroup]:
        """Tasks of these tenants ended, or were not bound: wake the throttled groups that may be bound now.

        Returns:
            The groups that are active again.
        """
        return [group for tenant in sorted(set(tenants)) if tenant in self.throttled for group in self._wake(tenant)]

    def _wake(self, tenant: str) -> list[PodGroup]:
        groups = self.throttled[tenant]
        planned, woken, passed_over = NO_RESOURCES, list[PodGroup](), list[tuple[Priority, tuple[str, str]]]()
        for _ in range(LOOKS_PER_RELEASE):
            entry = self._pop_valid(groups)
            if entry is None:
                break
            group = self.queue.groups[entry[1]]
            count = self._waiting_members(group)
            allowed = self.allowed(group=group, count=count, planned=planned)
            if allowed:
                planned = planned.plus(group.size, allowed)
                woken.append(group)
                continue
            passed_over.append(entry)
            if self.environment.now - group.waiting_since > KEEPS_OTHERS_OFF_AFTER_S:
                break
        for entry in passed_over:
            heapq.heappush(groups.heap, entry)
        for group in woken:
            self._activate(group)
        return woken

    def _pop_valid(self, groups: ThrottledGroups) -> tuple[Priority, tuple[str, str]] | None:
        """The first entry of a group that is still throttled under this priority."""
        while groups.heap:
            entry = heapq.heappop(groups.heap)
            group = self.queue.groups.get(entry[1])
            if group is not None and group.phase is Phase.THROTTLED and group.priority == entry[0]:
                return entry
        return None

    def _waiting_members(self, group: PodGroup) -> int:
        unit = self.jobs.jobs[group.job_id].units[group.unit_key]
        return unit.task_states.count(WAITING) - len(group.binding)

    def _activate(self, group: PodGroup) -> None:
        self._count_throttled(group=group, members=0)
        self.queue.activate(group=group)

    def wake_all(self) -> list[PodGroup]:
        """Bounds, ranks or services may have changed: all throttled groups are active again."""
        unit_ids = [unit_id for groups in self.throttled.values() for unit_id in groups.members]
        woken = [self.queue.groups[unit_id] for unit_id in unit_ids]
        for group in woken:
            self._activate(group)
        return woken

    # -- admission

    def takes_share(self, *, tenant: str) -> bool:
        """Count a job that a tenant submits; whether it is within the tenant's share of jobs a second."""
        row = self._tenant(tenant)
        if row is None or not row.share:
            return True
        now = self.environment.now
        bucket = self.buckets.setdefault(tenant, ShareBucket(jobs=max(row.share, 1.0), updated_at=now))
        return bucket.take(share=row.share, now=now)

    def is_throttled(self, *, tenant: str) -> bool:
        """Whether work of a tenant waits for its bound."""
        return tenant in self.throttled

    def expected_wait_ms(self, *, tenant: str) -> float:
        """Milliseconds until the throttled work of a tenant has had its resources, within the tenant's bound."""
        groups, row = self.throttled.get(tenant), self._tenant(tenant)
        if groups is None or row is None:
            return 0.0
        bound = row.upper_bound
        cores_ms = groups.work[0] / bound.millicores if bound.millicores else 0.0
        return max(cores_ms, groups.work[1] / bound.gpus if bound.gpus else 0.0)

    # -- for the operator

    def figures(self) -> dict[str, dict[str, object]]:
        """By tenant with work: what it holds, its bound, its share and what waits for its bound."""
        waiting: dict[str, list[PodGroup]] = {}
        for group in self.queue.groups.values():
            if group.tenant:
                waiting.setdefault(group.tenant, []).append(group)
        return {name: self._figures_of(name, groups=groups) for name, groups in sorted(waiting.items())}

    def _figures_of(self, name: str, *, groups: list[PodGroup]) -> dict[str, object]:
        row, now = self._tenant(name), self.environment.now
        members = [self._waiting_members(group) for group in groups]
        oldest = [now - group.waiting_since for group, count in zip(groups, members, strict=True) if count]
        return {
            "holds": list(self.held(tenant=name)),
            "upper-bound": list(row.upper_bound) if row is not None else None,
            "share": row.share if row is not None else None,
            "waiting": sum(members),
            "at-its-bound": sum(group.phase is Phase.THROTTLED for group in groups),
            "oldest-s": round(max(oldest, default=0.0), 2),
        }


def _copies_within(*, bound: Resources, held: Resources, size: Resources) -> int:
    """How many more members fit into a bound; 0 in the bound: no limit in that resource.

    >>> _copies_within(bound=Resources(10, 0, 2), held=Resources(4, 99, 0), size=Resources(2, 7, 1))
    2
    """
    counts = [(limit - used) // need for limit, used, need in zip(bound, held, size, strict=True) if limit and need]
    return max(0, min(counts)) if counts else 1 << 30
