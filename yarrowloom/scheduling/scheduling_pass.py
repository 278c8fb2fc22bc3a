"""Scheduling passes: groups are taken from the queue, their cycles run, and they are bound or put back."""

import math

from ..agent.messages import StoppedRun
from ..jobs.model import WAITING
from ..jobs.task_name import parse_task_name
from .binding import Binding
from .context import SchedulerContext
from .job_queue import JobQueue
from .nomination import NOMINATE_AFTER_S
from .pod_group import Phase, PodGroup
from .preemption import PREEMPT_AFTER_S, Victim
from .scheduling_cycle import Decision, PlacementRequest, run_cycle
from .scheduling_queue import KEPT_OFF_MAX_S, UnschedulableScan
from .warm_capacity import WarmCapacity

MIN_SLICE_PERIOD_S = 0.008  # slices of passes are at least this far apart
CYCLE_COST_S = 0.0003  # what a cycle takes, with what follows from it,
VISIT_COST_S = 2e-6  # and a visit of an index entry
SLICE_PERIOD_FACTOR = 2  # a slice is followed by as much time for everything else
LOOKS_PER_SLICE = 400  # groups looked at in one slice for one service
CYCLES_PER_SLICE = 24
VISITS_PER_SLICE = 3000  # index entries visited
BACKOFFS_PER_SLICE = 32  # ends of backoffs taken up; the rest is for the next slices
MEMBERS_PER_CYCLE = 256  # of a group that is no gang
BLOCK_AFTER_S = 0.1  # a group that has waited this long keeps later ranks off the capacity it could use
BLOCK_MAX_S = 8.0  # if it finds none even so long, it stops keeping others off
KEPT_WHILE_USED = 0.6  # share of a service in use from which on capacity may be kept from a job for longer
EXCLUDE_FAILED_S = 4.0  # a group keeps off minions on which a member failed at least this long
LOCALITY_MAX_ESTIMATE_MS = 4000  # the longest run time that counts when a group waits for minions near its data
LOCALITY_DIVISOR = 2000.0  # of that run time: half of what being away costs, in seconds
SAME_RACK_MAX_ESTIMATE_MS = 6000


class SchedulingPass:
    """Passes over the queue in slices of bounded work.

    Invariants: the work of one slice is bounded by the constants above, whatever waits; a pass goes on where the last
    slice stopped; slices take no more than half of the time, by what they are known to cost, whoever asks for them.

    Attributes:
        remote_factor: How many times longer a task runs away from its data.
        scans: By service, the scan over its unschedulable groups.
        blocking: By service, then by required label and rank: the groups that keep later ranks off capacity, with
            the time until which they do (monotonic seconds), in order of their failed cycles.
        next_slice_at: Monotonic seconds.
        cycles: Cycles run so far.
        failed_cycles: Those that placed nothing.
    """

    def __init__(
        self,
        *,
        context: SchedulerContext,
        job_queue: JobQueue,
        binding: Binding,
        warm: WarmCapacity,
        remote_factor: float,
    ) -> None:
        self.context = context
        self.job_queue = job_queue
        self.binding = binding
        self.warm = warm
        self.remote_factor = remote_factor
        self.scans: dict[str, UnschedulableScan] = {}
        self.blocking: dict[str, dict[tuple[str, int], dict[tuple[str, str], float]]] = {}
        self.next_slice_at = -9.0
        self.cycles = 0
        self.failed_cycles = 0

    # -- slices

    def run_slice(self) -> None:
        """One slice of a pass, if one is due."""
        context, now = self.context, self.context.environment.now
        if now < self.next_slice_at or not context.replica.is_serving():
            return
        cycles, visited = self.cycles, context.capacity.visited
        context.nominator.drop_lapsed(now=now)
        for group in context.queue.take_backoff_ended(now=now, limit=BACKOFFS_PER_SLICE):
            self._reactivate(group=group)
        for service, sizes in context.capacity.take_grown().items():
            self._scan(service).add_grown(sizes=sizes)
        for service in sorted(context.queue.active.keys() | self.scans.keys()):
            self._run_service(service=service)
        cycles_s = (self.cycles - cycles) * CYCLE_COST_S
        visits_s = (context.capacity.visited - visited) * VISIT_COST_S
        self.next_slice_at = now + max(MIN_SLICE_PERIOD_S, SLICE_PERIOD_FACTOR * (cycles_s + visits_s))

    def _scan(self, service: str) -> UnschedulableScan:
        return self.scans.setdefault(service, UnschedulableScan())

    def _reactivate(self, *, group: PodGroup) -> None:
        """A group's backoff is over: its priority may have changed."""
        self.context.queue.activate(group=group)
        self._update_priority(group=group)

    def _update_priority(self, *, group: PodGroup) -> None:
        job = self.context.jobs.jobs[group.job_id]
        priority, _ = self.context.policy.priority(
            job=job, job_id=group.job_id, unit_key=group.unit_key, first_seen=group.first_seen
        )
        goes_first = group.is_long_running and self._has_waited_long(group=group)
        self.context.queue.reprioritize(group=group, priority=priority, service=group.service, goes_first=goes_first)

    def _run_service(self, *, service: str) -> None:
        capacity, scan = self.context.capacity, self._scan(service)
        scan.resume(blocking_ranks=self._blocking_ranks(service=service), looks=LOOKS_PER_SLICE)
        max_visited = capacity.visited + VISITS_PER_SLICE
        for _ in range(CYCLES_PER_SLICE):
            if capacity.visited >= max_visited:
                return
            group = self.context.queue.pop(service=service, scan=scan)
            if group is None:
                return
            self._schedule(group=group, scan=scan)

    def _blocking_ranks(self, *, service: str) -> dict[str, int]:
        """By required label, the earliest rank of groups that keep later ranks off capacity."""
        ranks: dict[str, int] = {}
        for (label, rank), units in sorted(self.blocking.get(service, {}).items()):
            while units and label not in ranks:
                unit_id, until = next(iter(units.items()))
                group = self.context.queue.groups.get(unit_id)
                if (
                    group is None
                    or group.phase in (Phase.BOUND, Phase.THROTTLED)
                    or self.context.environment.now > until
                    or group.rank != rank
                ):
                    del units[unit_id]
                else:
                    ranks[label] = rank
        return ranks

    # -- one group

    def _schedule(self, *, group: PodGroup, scan: UnschedulableScan) -> None:
        """A group's cycle, and what follows from it."""
        queue = self.context.queue
        group.last_cycle_at = self.context.environment.now
        unit = self.context.jobs.jobs[group.job_id].units[group.unit_key]
        members = [index for index in unit.indices(state=WAITING) if index not in group.binding]
        if not members or (group.is_gang and unit.has_running_task()):
            queue.mark_bound(group=group)
            return
        waiting = len(members)
        members = members[: self.context.quotas.allowed(group=group, count=waiting)]
        if not members:
            self._throttle(group=group, count=waiting)
            return
        if self.context.environment.wall_now > group.worthless_after and not group.priority.is_worthless:
            self._update_priority(group=group)
        group.takes_kept_capacity = self._may_take_kept_capacity(group=group)
        if group.takes_kept_capacity and not group.is_gang and not group.is_long_running:
            members = members[:1]  # its job stands still no longer: what else is kept stays kept
        waits_for_data = self._waits_for_data(group=group)
        if scan.is_blocked(group):
            decision = Decision(placements=[], feasible=False, fitting=0, rejections={"kept-for-rank": len(members)})
        elif scan.is_exhausted(group):
            decision = Decision(placements=[], feasible=False, fitting=0, rejections={"as-before": len(members)})
        else:
            decision = self._cycle(group=group, members=members, scan=scan, only_preferred=waits_for_data)
        if not decision.feasible:
            self._cycle_failed(
                group=group, decision=decision, count=len(members), waits_for_data=waits_for_data, scan=scan
            )
            return
        group.failed_cycles = 0
        self.blocking.get(group.service, {}).get((group.required_label, group.rank), {}).pop(group.unit_id, None)
        self.binding.bind(group=group, decision=decision)
        if group.phase is not Phase.SCHEDULING:
            return
        if waiting > len(decision.placements):
            queue.activate(group=group)
        else:
            queue.mark_bound(group=group)

    def _may_take_kept_capacity(self, *, group: PodGroup) -> bool:
        """Whether nothing is kept from a group any more: not for others, nor for a better place of its own.

        So nothing stands still for long beside capacity that waits for something else. While most of the service is in
        use, what little is free stays kept, but for tasks that run until they are stopped.
        """
        if not self._has_waited_long(group=group):
            return False
        if group.is_long_running:
            return True
        if self.context.capacity.used_share(service=group.service) >= KEPT_WHILE_USED:
            return False
        return not group.binding and not self.context.jobs.jobs[group.job_id].has_running_task()

    def _has_waited_long(self, *, group: PodGroup) -> bool:
        """Whether a group has waited so long that nothing is kept from it. How long before its adoption isn't known."""
        return group.was_adopted or self.context.environment.now - group.waiting_since >= KEPT_OFF_MAX_S

    def _throttle(self, *, group: PodGroup, count: int) -> None:
        """The group's tenant holds all that it may: it waits for that, and keeps nobody from any minion."""
        self.context.nominator.drop(unit_id=group.unit_id, now=self.context.environment.now)
        self.context.quotas.throttle(group=group, count=count)

    def _waits_for_data(self, *, group: PodGroup) -> bool:
        """Whether a group still waits for the minions near its data: about as long as being away would cost."""
        if not group.preferred_label or group.takes_kept_capacity:
            return False
        patience_s = min(group.estimate_ms, LOCALITY_MAX_ESTIMATE_MS) / LOCALITY_DIVISOR * (self.remote_factor - 1)
        if self.context.environment.now - group.waiting_since >= patience_s:
            return False
        return bool(self.context.capacity.with_label(service=group.service, label=group.preferred_label))

    def _cycle(self, *, group: PodGroup, members: list[int], scan: UnschedulableScan, only_preferred: bool) -> Decision:
        self.cycles += 1
        request = self._request(group=group, members=members, scan=scan, only_preferred=only_preferred)
        decision = run_cycle(capacity=self.context.capacity, request=request)
        if not decision.feasible and request.same_rack and self._may_span_racks(group=group):
            request.same_rack = False
            decision = run_cycle(capacity=self.context.capacity, request=request)
        is_restricted = (
            only_preferred
            or request.same_rack
            or request.reserved_labels
            or request.nominated_for_others
            or group.max_per_minion
            or group.preferred_label
        )
        if decision.fitting == 0 and not is_restricted:
            scan.add_exhausted(size=group.size, required_label=group.required_label)
        return decision

    def _may_span_racks(self, *, group: PodGroup) -> bool:
        """Whether a gang has waited for one rack about as long as being apart would cost, or may wait no longer."""
        if group.takes_kept_capacity:
            return True
        patience_s = min(group.estimate_ms, SAME_RACK_MAX_ESTIMATE_MS) / 1000 * (self.remote_factor - 1)
        return self.context.environment.now - group.waiting_since > patience_s

    def _request(
        self, *, group: PodGroup, members: list[int], scan: UnschedulableScan, only_preferred: bool
    ) -> PlacementRequest:
        now = self.context.environment.now
        reserved_labels = [label for label, rank in scan.blocking_ranks.items() if label and rank < group.rank]
        nominated_for_others = self.context.nominator.nominated_for_others(group=group)
        if group.takes_kept_capacity:
            reserved_labels, nominated_for_others = [], frozenset()
        failed_minion_ids = frozenset(group.failed_minion_ids)
        return PlacementRequest(
            service=group.service,
            size=group.size,
            members=members if group.is_gang else members[:MEMBERS_PER_CYCLE],
            min_count=len(members) if group.is_gang else 1,
            required_label=group.required_label,
            preferred_label=group.preferred_label,
            only_preferred=only_preferred,
            same_rack=group.is_gang and group.prefers_same_rack,
            max_per_minion=group.max_per_minion,
            tasks_by_minion=self.binding.members_by_minion(group=group) if group.max_per_minion else {},
            reserved_labels=tuple(sorted(reserved_labels)),
            nominated_for_others=nominated_for_others,
            failed_minion_ids=failed_minion_ids,
            excludes_failed=self._excludes_failed(group=group, failed_minion_ids=failed_minion_ids),
            now=now,
            rank=group.rank,
            longest_run_s=self._longest_run_s(group=group) if self.warm.reservations else 0.0,
        )

    def _excludes_failed(self, *, group: PodGroup, failed_minion_ids: frozenset[str]) -> bool:
        """Whether a group keeps off the minions on which a member failed: for a while, and if there are any others."""
        waited_s = self.context.environment.now - group.waiting_since
        if not failed_minion_ids or waited_s >= EXCLUDE_FAILED_S or group.takes_kept_capacity:
            return False
        return self.context.capacity.could_ever_hold(
            service=group.service,
            size=group.size,
            required_label=group.required_label,
            count=1,
            without=failed_minion_ids,
        )

    def _longest_run_s(self, *, group: PodGroup) -> float:
        """How long a member runs at most, as learned from earlier jobs."""
        job = self.context.jobs.jobs[group.job_id]
        step = job.step_of(unit_key=group.unit_key)
        if group.is_gang or step.is_long_running:
            return math.inf
        return self.context.history.run_time(queue=job.queue, step=step).p95 / 1000

    # -- failed cycles

    def _cycle_failed(
        self, *, group: PodGroup, decision: Decision, count: int, waits_for_data: bool, scan: UnschedulableScan
    ) -> None:
        """Nothing binds: preemption for the whole group, then backoff."""
        self.failed_cycles += 1
        waited_s = self.context.environment.now - group.waiting_since
        self._note_failure(group=group, decision=decision, count=count, waited_s=waited_s)
        could_hold = self.context.capacity.could_ever_hold(
            service=group.service,
            size=group.size,
            required_label=group.required_label,
            count=count if group.is_gang else 1,
        )
        if group.exceeds_cluster is could_hold:
            group.exceeds_cluster = not could_hold
            self.job_queue.count_waiting(group=group)
        if not could_hold:
            group.last_failure += " never: no minions known could hold it"
        if not group.priority.is_worthless:
            if group.is_gang:
                self._nominate(group=group, count=count, waited_s=waited_s)
            else:
                self._preempt_for(group=group, count=count, waited_s=waited_s, only_preferred=waits_for_data)
                if group.is_long_running:  # members wait for whole minions beside small work that never stops coming
                    self._nominate(group=group, count=count, waited_s=waited_s)
                if not waits_for_data and could_hold and BLOCK_AFTER_S <= waited_s < BLOCK_MAX_S:
                    self._block_later_ranks(group=group, scan=scan)
        self.context.queue.mark_unschedulable(group=group, now=self.context.environment.now)

    def _note_failure(self, *, group: PodGroup, decision: Decision, count: int, waited_s: float) -> None:
        rejections = " ".join(f"{name}:{minions}" for name, minions in sorted(decision.rejections.items()))
        reason = rejections or "no-minion"
        group.last_failure = f"{decision.fitting}/{count} {reason}"
        self.context.environment.trace(
            event="cycle-failed",
            id=group.job_id,
            unit=group.unit_key,
            rank=group.rank,
            waited=round(waited_s, 2),
            fit=decision.fitting,
            members=count,
            why=reason,
        )

    def _preempt_for(self, *, group: PodGroup, count: int, waited_s: float, only_preferred: bool) -> None:
        if waited_s <= PREEMPT_AFTER_S:
            return
        victims = self.context.preemptor.select_victims(
            group=group, count=count, only_preferred=only_preferred, now=self.context.environment.now
        )
        self._preempt(victims=victims, service=group.service, awaited_by=group.service)

    def _nominate(self, *, group: PodGroup, count: int, waited_s: float) -> None:
        """Nominate minions for a group that has waited long, and preempt what may be preempted there."""
        if waited_s <= NOMINATE_AFTER_S:
            return
        nomination = self.context.nominator.nominate(
            group=group,
            count=count,
            tasks_by_minion=self.binding.members_by_minion(group=group) if group.max_per_minion else {},
            now=self.context.environment.now,
        )
        if nomination is None:
            return
        victims = self.context.preemptor.victims_on(
            minion_ids=nomination.minion_ids, service=group.service, rank=group.rank
        )
        self._preempt(victims=victims, service=group.service, awaited_by="")
        self.context.environment.trace(
            event="minions-nominated",
            id=group.job_id,
            unit=group.unit_key,
            n=count,
            minions=len(nomination.minion_ids),
        )

    def _preempt(self, *, victims: list[Victim], service: str, awaited_by: str) -> None:
        if victims:
            self._stop(victims=victims, awaited_by=awaited_by)
            self.context.environment.note(event="runs-preempted", runs=len(victims), service=service)

    def _stop(self, *, victims: list[Victim], awaited_by: str) -> None:
        self.context.preemptor.note_stopping(victims=victims, service=awaited_by, now=self.context.environment.now)
        self.context.cancellation.send_stops(
            [StoppedRun(minion_id=victim.minion_id, task=victim.task, run=victim.run) for victim in victims]
        )

    def _block_later_ranks(self, *, group: PodGroup, scan: UnschedulableScan) -> None:
        """Keep later ranks off the capacity that the group could use."""
        label, rank = group.required_label, group.rank
        units = self.blocking.setdefault(group.service, {}).setdefault((label, rank), {})
        units[group.unit_id] = group.waiting_since + BLOCK_MAX_S
        scan.blocking_ranks[label] = min(scan.blocking_ranks.get(label, rank), rank)

    def stop_overdue_runs(self) -> None:
        """Runs far beyond their expected time go on elsewhere from their checkpoint."""
        for service, victim in self.context.preemptor.overdue_runs(now=self.context.environment.now):
            address = parse_task_name(victim.task)
            unit_id = (address.job_id, address.unit_key) if address is not None else None
            group = self.context.queue.groups.get(unit_id) if unit_id is not None else None
            if group is not None:
                group.failed_minion_ids.add(victim.minion_id)
            self._stop(victims=[victim], awaited_by="")
            self.context.environment.note(
                event="run-overdue", task=victim.task, minion=victim.minion_id, service=service
            )
