"""Binding: what a cycle decided becomes leases of the agents, then durable starts, then orders."""

from dataclasses import dataclass, field

import msgspec
from msgspec import UNSET, structs

from ..agent.messages import LeaseGrant, LeaseRequest, MinionCount, RejectedOrder, TaskOrder, TaskOrders
from ..common.resources import NO_RESOURCES, Resources
from ..jobs.events import TaskStart
from ..jobs.model import RUNNING, WAITING, JobState
from ..jobs.task_name import task_name
from ..prediction import kind_key
from .attachment import NO_ESTIMATE_MS, Attachments
from .capacity import MinionCapacity
from .context import SchedulerContext
from .effects import OrderRuns, StartedRun
from .job_queue import JobQueue
from .lease_cache import HeldLease
from .pod_group import Phase, PodGroup
from .scheduling_cycle import Decision
from .task_ends import TaskEnds
from .warm_capacity import WarmCapacity

REQUEST_TIMEOUT_S = 0.6
REQUESTS_PER_EPOCH = 1 << 32  # request numbers of two epochs never meet
GANG_HOLD_S = 2.0  # an agent holds a gang's lease unused for this long
MAX_AGENTS_ASKED = 4  # by a request and the redirects that follow it


@dataclass(slots=True, kw_only=True)
class BindingAttempt:
    """One binding of one group.

    Invariant: a gang's members start only once no request is open and none was refused; else all leases go back.

    Attributes:
        group: The group.
        min_count: How many members were placed: all of them must start, if it is a gang.
        unleased: By minion, the members without a lease.
        leased: Members with their lease, not started yet.
        open_requests: Lease requests that have not been answered.
        has_failed: A request was refused or not answered in time.
    """

    group: PodGroup
    min_count: int
    unleased: dict[str, list[int]]
    leased: list[tuple[int, HeldLease]] = field(default_factory=list)
    open_requests: int = 0
    has_failed: bool = False

    def take_unleased(self, *, minion_id: str) -> int | None:
        """A member without a lease: one placed on this minion if there is one, else any other."""
        members = self.unleased.get(minion_id) or next((rest for rest in self.unleased.values() if rest), None)
        return members.pop() if members else None


class RequestedMinion(msgspec.Struct, frozen=True, kw_only=True):
    """Leases asked for on one minion, under the attachment of that time."""

    minion_id: str
    attachment: int
    count: int


class OpenLeaseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to one agent that has not been answered.

    Attributes:
        request_id: Its number.
        agent_id: The agent that was asked.
        sent_at: Monotonic seconds.
        size: What each lease is to hold.
        attempt: The binding that it is a part of.
        minions: What the cycle chose; empty for a redirect: the agent chooses.
        count: How many leases.
        asked_agents: The agents that were asked one after another, this one included.
    """

    request_id: int
    agent_id: str
    sent_at: float
    size: Resources
    attempt: BindingAttempt
    minions: list[RequestedMinion]
    count: int
    asked_agents: list[str]


class Binding:
    """Asks agents for leases, records starts and orders them.

    A grant answers a request only if it has its number, which names the epoch too, and comes from the agent asked.

    Invariants: an order leaves only after its start is durable, and only if nothing came in between; a minion's
    `in_flight` capacity is the sum of the open requests on it.

    Attributes:
        open_requests: By number, in the order in which they were sent.
        last_request_id: The newest number; no two epochs of a group share one.
    """

    def __init__(
        self,
        *,
        context: SchedulerContext,
        job_queue: JobQueue,
        attachments: Attachments,
        task_ends: TaskEnds,
        warm: WarmCapacity,
    ) -> None:
        self.context = context
        self.job_queue = job_queue
        self.attachments = attachments
        self.task_ends = task_ends
        self.warm = warm
        self.open_requests: dict[int, OpenLeaseRequest] = {}
        self.last_request_id = context.replica.state_epoch * REQUESTS_PER_EPOCH

    # -- lease requests

    def bind(self, *, group: PodGroup, decision: Decision) -> None:
        """Bind the members that a cycle placed.

        Cached leases serve at once. Agents are asked for the rest, all in parallel: they answer at once, so no
        attempt ever waits for another's.
        """
        unleased: dict[str, list[int]] = {}
        for member, minion_id in decision.placements:
            unleased.setdefault(minion_id, []).append(member)
        attempt = BindingAttempt(group=group, min_count=len(decision.placements), unleased=unleased)
        group.binding.update(decision.placements)
        self.context.quotas.reserve(group=group)
        requested: list[RequestedMinion] = []
        for minion_id, members in unleased.items():
            minion = self.context.capacity.minions[minion_id]
            self._use_cached(attempt=attempt, minion=minion)
            if members:
                row = RequestedMinion(minion_id=minion_id, attachment=minion.attachment, count=len(members))
                requested.append(row)
        self._return_obstructing(group=group, requested=requested)
        by_agent: dict[str, list[RequestedMinion]] = {}
        for row in requested:
            by_agent.setdefault(self.context.capacity.minions[row.minion_id].agent_id, []).append(row)
        for node_id, minions in sorted(by_agent.items()):
            self._reserve(minions=minions, size=group.size, sign=1)
            count = sum(row.count for row in minions)
            self._request(attempt=attempt, agent_id=node_id, minions=minions, count=count, asked_agents=[node_id])
        self._settle(attempt=attempt)

    def _use_cached(self, *, attempt: BindingAttempt, minion: MinionCapacity) -> None:
        members = attempt.unleased[minion.minion_id]
        cache = self.context.leases.cache
        for lease in cache.take(minion_id=minion.minion_id, size=attempt.group.size, count=len(members)):
            attempt.leased.append((members.pop(), lease))

    def _return_obstructing(self, *, group: PodGroup, requested: list[RequestedMinion]) -> None:
        """Give idle leases back where what is asked for fits only in place of them."""
        returned: list[HeldLease] = []
        for row in requested:
            minion = self.context.capacity.minions[row.minion_id]
            without_idle = minion.reported.plus(minion.returned).plus(minion.in_flight, -1)
            if not without_idle.holds(NO_RESOURCES.plus(group.size, row.count)):
                returned += self.context.leases.cache.take_all(minion_id=row.minion_id)
        self.context.leases.give_back(returned)

    def _reserve(self, *, minions: list[RequestedMinion], size: Resources, sign: int) -> None:
        """Count what is asked for on these minions as in flight (`sign` 1), or no longer (-1)."""
        for row in minions:
            minion = self.context.capacity.current(minion_id=row.minion_id, attachment=row.attachment)
            if minion is not None:
                self.context.capacity.add_in_flight(minion=minion, size=size, count=sign * row.count)

    def _request(
        self,
        *,
        attempt: BindingAttempt,
        agent_id: str,
        minions: list[RequestedMinion],
        count: int,
        asked_agents: list[str],
    ) -> None:
        """Send a lease request: metadata only."""
        group = attempt.group
        members_by_minion = self.members_by_minion(group=group) if group.max_per_minion else {}
        for row in minions if group.max_per_minion else ():
            members_by_minion[row.minion_id] -= row.count  # what is asked for now is not there yet
        self.last_request_id += 1
        attempt.open_requests += 1
        self.open_requests[self.last_request_id] = OpenLeaseRequest(
            request_id=self.last_request_id,
            agent_id=agent_id,
            sent_at=self.context.environment.now,
            size=group.size,
            attempt=attempt,
            minions=minions,
            count=count,
            asked_agents=asked_agents,
        )
        message = LeaseRequest(
            group_id=self.context.group_id,
            request_id=self.last_request_id,
            service=group.service,
            millicores=group.size.millicores,
            memory_mb=group.size.memory_mb,
            gpus=group.size.gpus,
            required_label=group.required_label,
            preferred_label=group.preferred_label,
            count=count,
            asked_agents=asked_agents,
            max_per_minion=group.max_per_minion,
            members_by_minion=members_by_minion,
            minions=[MinionCount(minion_id=row.minion_id, count=row.count) for row in minions],
        )
        if group.is_gang:
            message = structs.replace(message, all_or_nothing=True, hold_s=GANG_HOLD_S)
        self.context.environment.send_message(node_id=agent_id, message=message)

    def members_by_minion(self, *, group: PodGroup) -> dict[str, int]:
        """How many members of a group run or are being bound, by minion."""
        unit = self.context.jobs.jobs[group.job_id].units[group.unit_key]
        counts: dict[str, int] = {}
        for minion_id in group.binding.values():
            counts[minion_id] = counts.get(minion_id, 0) + 1
        for index in unit.indices(state=RUNNING):
            counts[unit.minion_ids[index]] = counts.get(unit.minion_ids[index], 0) + 1
        return counts

    # -- answers

    def take_grant(self, *, node_id: str, grant: LeaseGrant) -> bool:
        """An agent's decision, with what is left free on the minions that were asked for.

        Returns:
            Whether it answers an open request; else its leases are given back.
        """
        request = self.open_requests.get(grant.request_id)
        if request is not None and request.agent_id != node_id:
            request = None
        if request is not None:
            self._close(request)
        if grant.free:
            self.context.capacity.apply_report(
                node_id=node_id, rows=grant.free, closed=[], now=self.context.environment.now
            )
        leases = self._granted_leases(
            node_id=node_id, grant=grant, size=request.size if request is not None else grant.size
        )
        if request is None:
            self.context.leases.give_back(leases)
            return False
        attempt = request.attempt
        for lease in leases:
            member = attempt.take_unleased(minion_id=lease.minion_id)
            if member is not None:
                attempt.leased.append((member, lease))
            else:
                self.context.leases.give_back([lease])
        missing = request.count - len(leases)
        if missing > 0:
            self._redirect(request=request, agent_id=grant.redirect, count=missing)
        self._settle(attempt=attempt)
        return True

    def _granted_leases(self, *, node_id: str, grant: LeaseGrant, size: Resources) -> list[HeldLease]:
        return [
            HeldLease(
                agent_id=node_id,
                minion_id=granted.minion_id,
                lease_id=granted.lease_id,
                attachment=granted.attachment,
                idle_since=self.context.environment.now,
                size=size,
            )
            for granted in grant.leases
            if self.context.capacity.current(minion_id=granted.minion_id, attachment=granted.attachment) is not None
        ]

    def _redirect(self, *, request: OpenLeaseRequest, agent_id: str, count: int) -> None:
        """Ask the agent that the last one named for the leases that are missing, if the group allows it."""
        attempt, group = request.attempt, request.attempt.group
        may_follow = not group.is_gang and not group.max_per_minion and len(request.asked_agents) < MAX_AGENTS_ASKED
        if agent_id and may_follow:
            asked_agents = [*request.asked_agents, agent_id]
            self._request(attempt=attempt, agent_id=agent_id, minions=[], count=count, asked_agents=asked_agents)
        else:
            attempt.has_failed = True

    def _close(self, request: OpenLeaseRequest) -> None:
        """A request is answered or given up: what it asked for is no longer in flight."""
        del self.open_requests[request.request_id]
        request.attempt.open_requests -= 1
        self._reserve(minions=request.minions, size=request.size, sign=-1)

    def give_up_late_requests(self) -> None:
        """Requests that were not answered in time count as refused.

        An agent that has said nothing since it was asked is asked no more until it is heard again: at high load its
        minions seem to be the only ones with free capacity.
        """
        late: list[OpenLeaseRequest] = []
        for request in self.open_requests.values():
            if self.context.environment.now - request.sent_at <= REQUEST_TIMEOUT_S:
                break
            late.append(request)
        last_report = self.context.capacity.last_report
        silent = {
            request.agent_id for request in late if last_report.get(request.agent_id, request.sent_at) < request.sent_at
        }
        for node_id in sorted(silent):
            self.attachments.ignore_silent_agent(node_id=node_id)
        for request in late:
            self._close(request)
            request.attempt.has_failed = True
            self._settle(attempt=request.attempt)

    # -- starts

    def _settle(self, *, attempt: BindingAttempt) -> None:
        """Start what may start; once no request is open, members that were refused wait again."""
        group = attempt.group
        is_live = group.phase is not Phase.GONE
        valid = [(member, lease) for member, lease in attempt.leased if self._is_valid(lease)]
        if not group.is_gang:
            attempt.leased = []
            if is_live and valid:
                self._start(group=group, leased=valid)
            else:
                self.context.leases.give_back([lease for _, lease in valid])
        if attempt.open_requests:
            return
        if group.is_gang:
            self._settle_gang(attempt=attempt, valid=valid)
        unleased = [member for members in attempt.unleased.values() for member in members]
        for member in unleased:
            group.binding.pop(member, None)
        if not is_live:
            return
        if attempt.has_failed or unleased:
            self._requeue(group=group)
        self.job_queue.count_waiting(group=group)
        if attempt.has_failed and group.tenant:
            self.job_queue.quota_released(tenants={group.tenant})

    def _is_valid(self, lease: HeldLease) -> bool:
        return self.context.capacity.current(minion_id=lease.minion_id, attachment=lease.attachment) is not None

    def _settle_gang(self, *, attempt: BindingAttempt, valid: list[tuple[int, HeldLease]]) -> None:
        """Start all members, or give all leases back."""
        group, granted = attempt.group, len(attempt.leased)
        attempt.leased = []
        if group.phase is not Phase.GONE and not attempt.has_failed and len(valid) == attempt.min_count:
            self._start(group=group, leased=sorted(valid, key=lambda row: row[0]))
            return
        self.context.leases.give_back([lease for _, lease in valid])
        self.context.environment.trace(
            event="gang-binding-failed", id=group.job_id, unit=group.unit_key, n=attempt.min_count, got=granted
        )
        attempt.has_failed = True
        group.binding.clear()

    def _requeue(self, *, group: PodGroup) -> None:
        """The snapshot was out of date: the group waits again, a gang with backoff."""
        if group.phase is Phase.THROTTLED:
            return  # its members wait for their tenant's quota, which the binding's end releases
        queue = self.context.queue
        was_bound = group.phase is Phase.BOUND
        queue.activate(group=group)
        if group.is_gang and was_bound:
            group.transition(Phase.SCHEDULING)
            queue.mark_unschedulable(group=group, now=self.context.environment.now)

    def _start(self, *, group: PodGroup, leased: list[tuple[int, HeldLease]]) -> None:
        """Record starts; the orders follow once they are durable."""
        job_id, unit_key = group.job_id, group.unit_key
        self._use_warm_capacity(group=group)
        unit = self.context.jobs.jobs[job_id].units[unit_key]
        last_gang_run = max(unit.run_ids) if group.is_gang else 0
        starts: list[StartedRun] = []
        for index, lease in leased:
            group.binding.pop(index, None)
            if unit.task_states[index] is not WAITING:
                self.context.leases.give_back([lease])
                continue
            run = 1 + (last_gang_run if group.is_gang else unit.run_ids[index])
            self.context.leases.by_task[task_name(job_id=job_id, unit_key=unit_key, index=index)] = lease
            starts.append(StartedRun(job_id=job_id, unit_key=unit_key, index=index, run=run, lease=lease))
        if not starts:
            return
        self._trace_start(group=group, count=len(starts))
        self.context.nominator.members_placed(
            group=group,
            minion_ids=[start.lease.minion_id for start in starts],
            waiting=unit.task_states.count(WAITING) - len(starts),
            now=self.context.environment.now,
        )
        bound = self.context.placements.bind(
            job_id=job_id,
            unit_key=unit_key,
            starts=[
                TaskStart(index=start.index, run_id=start.run, minion_id=start.lease.minion_id) for start in starts
            ],
            wall_ms=self.context.wall_now_ms,
        )
        self.job_queue.commit(bound, then=OrderRuns(group_id=self.context.group_id, runs=starts))
        for start in starts:
            self.context.running.started(job_id=job_id, unit_key=unit_key, index=start.index)
        self.job_queue.count_waiting(group=group)

    def _use_warm_capacity(self, *, group: PodGroup) -> None:
        """A job's first tasks use up the capacity kept warm for it."""
        job = self.context.jobs.jobs[group.job_id]
        if self.warm.is_on and group.unit_key.startswith("0.") and not job.has_placed_task():
            self.warm.job_started(
                queue=job.queue,
                kind=kind_key(queue=job.queue, steps=job.steps),
                now=self.context.environment.now,
                wait_ms=self.context.environment.wall_now * 1000 - job.accepted_at_ms,
            )

    def _trace_start(self, *, group: PodGroup, count: int) -> None:
        job = self.context.jobs.jobs[group.job_id]
        self.context.environment.trace(
            event="tasks-started",
            id=group.job_id,
            unit=group.unit_key,
            queue=job.queue,
            n=count,
            of=len(job.units[group.unit_key].task_states),
            est=group.estimate_ms,
            wait=round(self.context.environment.now - group.waiting_since, 2),
            near=group.preferred_label,
            cycles=group.failed_cycles,
        )

    # -- orders

    def send_orders(self, runs: list[StartedRun]) -> None:
        """Starts are durable: order the runs, unless something came in between."""
        orders: dict[str, list[TaskOrder]] = {}
        specs: dict[str, dict[str, str]] = {}
        pending_jobs: dict[str, set[str]] = {}
        cancelled: list[RejectedOrder] = []
        for started in runs:
            lease = started.lease
            job = self.context.jobs.jobs.get(started.job_id)
            minion = self.context.capacity.current(minion_id=lease.minion_id, attachment=lease.attachment)
            if job is None or job.is_trimmed or minion is None:
                continue
            if not job.units[started.unit_key].is_running(index=started.index, run_id=started.run):
                continue
            order = self._order(started=started)
            if job.has_ended:
                cancelled.append(
                    RejectedOrder(
                        minion_id=order.minion_id, attachment=order.attachment, task=order.task, run=order.run
                    )
                )
                continue
            orders.setdefault(minion.agent_id, []).append(order)
            specs.setdefault(minion.agent_id, {})[started.job_id] = job.spec
            if job.state is JobState.PENDING:
                pending_jobs.setdefault(minion.agent_id, set()).add(started.job_id)
        for node_id, agent_orders in orders.items():
            message = TaskOrders(
                group_id=self.context.group_id,
                epoch_number=self.context.replica.state_epoch,
                specs=specs[node_id],
                orders=agent_orders,
                pending_jobs=sorted(pending_jobs[node_id]) if node_id in pending_jobs else UNSET,
            )
            self.context.environment.send_message(node_id=node_id, message=message)
        if cancelled:
            self.task_ends.never_started(cancelled)

    def _order(self, *, started: StartedRun) -> TaskOrder:
        job = self.context.jobs.jobs[started.job_id]
        step, unit = job.step_of(unit_key=started.unit_key), job.units[started.unit_key]
        return TaskOrder(
            minion_id=started.lease.minion_id,
            attachment=started.lease.attachment,
            lease_id=started.lease.lease_id,
            task=task_name(job_id=started.job_id, unit_key=started.unit_key, index=started.index),
            run=started.run,
            checkpoint=unit.saved_progress[0 if step.is_gang else started.index],
            estimate_ms=NO_ESTIMATE_MS if step.is_long_running else step.estimate_ms,
        )
