"""The scheduler of one job group: owns the parts, takes messages, calls and time, and hands them to the parts."""

from collections.abc import Callable
from typing import Any

from ..agent.messages import (
    AttachmentVerdict,
    CapacityReport,
    ClaimMinions,
    LeaseGrant,
    MinionLostReport,
    OrdersRejected,
    RejectedOrder,
    TaskEndsReport,
    TasksBegun,
)
from ..cluster_state.routing_table import DEFAULT_RANK
from ..common.defaults import Defaults
from ..common.records import decode
from ..common.settings import DEFAULT_MEMORY_MB
from ..jobs.state_machine import Jobs
from ..prediction import History
from ..replication.replica import Replica
from ..transport.message_kinds import Kind
from .admission import Admission
from .attachment import Attachments
from .begun_jobs import BegunJobs
from .binding import Binding
from .context import SchedulerContext
from .effects import OrderRuns, StopRuns
from .environment import SchedulerEnvironment
from .job_queue import JobQueue
from .pod_group import Phase, PodGroup
from .scheduling_pass import SchedulingPass
from .standstill import StandstillMonitor
from .task_ends import TaskEnds
from .warm_capacity import WarmCapacity

SWEEP_PERIOD_S = 1.0
WARM_REPORT_PERIOD_S = 60.0
WARM_REPORT_FIELDS = ("hits", "misses", "gone", "cold", "core-s-held")
SILENT_AFTER_S = 0.9  # over twice an agent's usual pause; reports of one silent for so long count no longer


class Scheduler:
    """Schedules the tasks of one job group; lives with the group's primary.

    Attributes:
        context: The state that the parts share.
        job_queue: Events, and the groups that follow from them.
        attachments: Minions that come and go.
        task_ends: Ends of runs.
        begun_jobs: Runs that have begun.
        warm: Capacity kept for predicted jobs.
        binding: Lease requests, starts and orders.
        admission: Calls of edges.
        passes: Cycles of waiting groups.
        standstills: Tells of jobs that stand still.
    """

    def __init__(
        self,
        *,
        group_id: int,
        environment: SchedulerEnvironment,
        replica: Replica,
        jobs: Jobs,
        history: History,
        defaults: Defaults,
        remote_factor: float,
        retention_s: float,
        quota_excess: float = 0.0,
        memory_mb: int = DEFAULT_MEMORY_MB,
    ) -> None:
        """A scheduler that begins with what the record holds.

        Args:
            group_id: The job group.
            environment: The node.
            replica: The group's record; this node is its primary.
            jobs: The group's jobs.
            history: What was learned of earlier jobs.
            defaults: The installation's settings.
            remote_factor: How many times longer a task runs away from its data.
            retention_s: How long callers are shown an ended job.
            quota_excess: The part of a tenant's bound by which the rules allow it to be exceeded.
            memory_mb: Limit on the process's memory.
        """
        self.context = SchedulerContext.build(
            group_id=group_id,
            environment=environment,
            replica=replica,
            jobs=jobs,
            history=history,
            quota_excess=quota_excess,
        )
        self.job_queue = JobQueue(context=self.context, retention_s=retention_s, memory_mb=memory_mb)
        self.attachments = Attachments(context=self.context, job_queue=self.job_queue)
        self.task_ends = TaskEnds(context=self.context, job_queue=self.job_queue)
        self.begun_jobs = BegunJobs(context=self.context, job_queue=self.job_queue)
        self.warm = WarmCapacity(capacity=self.context.capacity, history=history, settings=defaults["warm"])
        self.binding = Binding(
            context=self.context,
            job_queue=self.job_queue,
            attachments=self.attachments,
            task_ends=self.task_ends,
            warm=self.warm,
        )
        self.admission = Admission(context=self.context, job_queue=self.job_queue)
        self.passes = SchedulingPass(
            context=self.context,
            job_queue=self.job_queue,
            binding=self.binding,
            warm=self.warm,
            remote_factor=remote_factor,
        )
        self.standstills = StandstillMonitor(context=self.context)
        self.swept_at = self.warm_reported_at = environment.now

    # -- messages of agents

    def on_message(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """Take a message of an agent; one of a kind that is not the scheduler's is passed over.

        Args:
            node_id: The agent.
            kind: What the message is.
            body: With the encoded keys.

        Raises:
            MalformedRecordError: The body is not one of this kind; nothing is changed.
        """
        if kind in _HANDLERS:
            message_type, handle = _HANDLERS[kind]
            handle(self, node_id, decode(body, into=message_type))

    def _on_claim(self, node_id: str, message: ClaimMinions) -> None:
        self.attachments.claim(node_id=node_id, claim=message)

    def _on_verdict(self, node_id: str, message: AttachmentVerdict) -> None:
        if message.epoch_number == self.context.replica.state_epoch:
            self.task_ends.never_started(
                RejectedOrder(minion_id=message.minion_id, attachment=message.attachment, task=run.task, run=run.run)
                for run in message.unstarted
            )

    def _on_grant(self, node_id: str, message: LeaseGrant) -> None:
        if self.binding.take_grant(node_id=node_id, grant=message):
            self.passes.run_slice()

    def _on_ends(self, node_id: str, message: TaskEndsReport) -> None:
        self.task_ends.report(node_id=node_id, report=message)
        self.passes.run_slice()

    def _on_tasks_begun(self, node_id: str, message: TasksBegun) -> None:
        self.begun_jobs.report(message)

    def _on_minion_lost(self, node_id: str, message: MinionLostReport) -> None:
        self.attachments.minion_lost(node_id=node_id, report=message)
        self.passes.run_slice()

    def _on_orders_rejected(self, node_id: str, message: OrdersRejected) -> None:
        if message.epoch_number == self.context.replica.state_epoch:
            self.task_ends.never_started(message.orders)

    def _on_capacity_report(self, node_id: str, message: CapacityReport) -> None:
        self.context.capacity.apply_report(
            node_id=message.node_id,
            rows=message.open_minions,
            closed=message.closed_minions,
            now=self.context.environment.now,
        )
        self.passes.run_slice()

    def on_messages_lost(self, *, node_id: str) -> None:
        """Messages of an agent were lost: its minions are attached anew."""
        self.attachments.reattach_all(node_id=node_id)

    # -- calls, effects, configuration

    def call(self, *, node_id: str, request_id: int, operation: str, arguments: dict[str, Any]) -> None:
        """A call of an edge: see `Admission.call`."""
        if self.admission.call(node_id=node_id, request_id=request_id, operation=operation, arguments=arguments):
            self.passes.run_slice()

    def order_runs(self, effect: OrderRuns) -> None:
        """Starts are durable."""
        self.binding.send_orders(effect.runs)

    def stop_runs(self, effect: StopRuns) -> None:
        """What called for stops is durable."""
        self.context.cancellation.send_stops(effect.runs)

    def on_config_change(self) -> None:
        """A newer configuration is in force."""
        self.job_queue.on_config_change()

    # -- time

    def tick(self) -> None:
        """Called several times a second while the group is served here."""
        context = self.context
        self._tick_warm()
        self.binding.give_up_late_requests()
        for node_id in context.capacity.silent_agents(now=context.environment.now, after_s=SILENT_AFTER_S):
            self.attachments.ignore_silent_agent(node_id=node_id)
        context.leases.give_back_expired()
        self.job_queue.begin_due_runs()
        if context.environment.now - self.swept_at > SWEEP_PERIOD_S:
            self.swept_at = context.environment.now
            self._sweep()
        self.passes.run_slice()

    def _tick_warm(self) -> None:
        if not self.warm.is_on:
            return
        environment = self.context.environment
        self.warm.tick(
            now=environment.now,
            wall_now=environment.wall_now,
            ranks=environment.ranks(),
            evacuated=environment.evacuations(),
        )
        if environment.now - self.warm_reported_at > WARM_REPORT_PERIOD_S:
            self.warm_reported_at = environment.now
            report = self.warm.report()
            environment.note(event="warm-capacity", **{name: report[name] for name in WARM_REPORT_FIELDS})

    def _sweep(self) -> None:
        """What is looked through as a whole, once a second."""
        self.passes.stop_overdue_runs()
        self.standstills.report()
        self.job_queue.forget_ended()
        self.context.leases.drop_void()
        self.context.cancellation.repeat()
        self.job_queue.quota_released(tenants=set(self.context.quotas.throttled))

    # -- for the operator

    def explain(self, *, job_id: str) -> list[dict[str, Any]]:
        """Why each group of a job waits, as shown to the operator."""
        queue = self.context.queue
        groups = [queue.groups[job_id, unit_key] for unit_key in sorted(queue.unit_keys_by_job.get(job_id, ()))]
        return [
            {
                "group": f"{job_id}.{group.unit_key}",
                "phase": group.phase.value,
                "members-waiting": group.waiting_count,
                "binding": len(group.binding),
                "rank": group.rank,
                "before": self._groups_before(group),
                "cycles-failed": group.failed_cycles,
                "last": group.last_failure,
                "waited-s": round(self.context.environment.now - group.waiting_since, 2),
            }
            for group in groups
        ]

    def _groups_before(self, group: PodGroup) -> int:
        return sum(
            other.priority < group.priority
            and other.service == group.service
            and other.phase in (Phase.ACTIVE, Phase.UNSCHEDULABLE)
            for other in self.context.queue.groups.values()
        )

    def waiting_groups(self) -> int:
        """How many groups wait for a cycle."""
        return len(self.context.queue)

    def figures(self) -> dict[str, Any]:
        """How the scheduler stands, as shown to the operator."""
        context = self.context
        phases: dict[str, int] = {}
        for group in context.queue.groups.values():
            phases[group.phase.value] = phases.get(group.phase.value, 0) + 1
        return {
            "groups": phases,
            "cycles": self.passes.cycles,
            "failed": self.passes.failed_cycles,
            "asks": len(self.binding.open_requests),
            "pushed-out": context.preemptor.preempted_total,
            "live-jobs": len(self.job_queue.live_jobs),
            "live-jobs-mb": self.job_queue.live_jobs.held_bytes >> 20,
            "nominated": sum(len(row.minion_ids) for row in context.nominator.nominations.values()),
            "tenants": context.quotas.figures(),
            "warm": self.warm.report(),
            "expected-wait-ms": {
                service: round(self.admission.expected_wait_ms(service=service, rank=DEFAULT_RANK))
                for service in context.capacity.services
            },
        }


_HANDLERS: dict[Kind, tuple[type[Any], Callable[[Scheduler, str, Any], None]]] = {
    Kind.CLAIM_MINIONS: (ClaimMinions, Scheduler._on_claim),
    Kind.ATTACHMENT_VERDICT: (AttachmentVerdict, Scheduler._on_verdict),
    Kind.LEASE_GRANT: (LeaseGrant, Scheduler._on_grant),
    Kind.TASK_ENDS: (TaskEndsReport, Scheduler._on_ends),
    Kind.TASKS_BEGUN: (TasksBegun, Scheduler._on_tasks_begun),
    Kind.MINION_LOST: (MinionLostReport, Scheduler._on_minion_lost),
    Kind.ORDERS_REJECTED: (OrdersRejected, Scheduler._on_orders_rejected),
    Kind.CAPACITY_REPORT: (CapacityReport, Scheduler._on_capacity_report),
}
