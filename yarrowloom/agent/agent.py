"""The agent: hears minions' heartbeats, grants their capacity as exclusive leases, carries orders out and ends back."""

from ..transport.message import Message
from .attachment_claims import AttachmentClaims
from .capacity_reports import CapacityReporter
from .environment import AgentEnvironment
from .failure_detector import FailureDetector
from .heartbeat import EMPTY, UNAVAILABLE, HeartbeatResponse, MinionHeartbeat
from .heartbeat_response import HeartbeatResponder
from .leases import LeaseManager
from .messages import (
    AttachMinion,
    CapacityRequest,
    CapacitySummary,
    LeaseRequest,
    LeaseReturn,
    MinionLostAcknowledged,
    StopTasks,
    TaskEndsAcknowledged,
    TaskOrders,
)
from .minion import Minion, PendingHeartbeat, Phase
from .minion_table import MinionTable
from .task_ends import TaskEndReporter
from .task_runs import TaskRuns
from .timing import NEVER, AgentTiming

GONE_AFTER_S = 1.5  # a minion that drained and says that it ends is lost this long after
FULL_SCAN_S = 0.2  # how often every minion is looked at; what is due sooner is looked at in each tick


class Agent:
    """The part of a core node that alone acts for the minions it owns.

    Invariants: capacity is granted by this agent alone and only of minions it owns; an order is taken only from its
    group's newest epoch, on a lease that the group holds.

    Attributes:
        minions: Owned minions, by their IDs.
    """

    def __init__(self, *, environment: AgentEnvironment, timing: AgentTiming, first_lease_id: int = 1) -> None:
        self.environment = environment
        self._table = MinionTable(environment=environment, timing=timing)
        self.minions = self._table.minions
        self._capacity = CapacityReporter(table=self._table)
        self._leases = LeaseManager(table=self._table, capacity=self._capacity, first_lease_id=first_lease_id)
        self._runs = TaskRuns(table=self._table, leases=self._leases)
        self._ends = TaskEndReporter(table=self._table, runs=self._runs)
        self._responder = HeartbeatResponder(table=self._table, runs=self._runs)
        self._failure_detector = FailureDetector(table=self._table)
        self._scanned_at = NEVER

    @property
    def next_lease_id(self) -> int:
        """Number of the next lease; no two incarnations of a process share one."""
        return self._leases.next_lease_id

    def is_open(self, minion: Minion) -> bool:
        """Whether leases on a minion may be granted."""
        return self._table.is_open(minion)

    # -- ownership

    def add_minion(self, *, minion_id: str, fence: int, service: str, zone: str, labels: list[str]) -> None:
        """Group 0 gave this agent a minion, or gave it anew under a higher fence."""
        known = self.minions.get(minion_id)
        if known is not None and known.fence >= fence:
            return
        if known is not None:
            self._responder.respond_unavailable(known)
        self.minions[minion_id] = Minion(
            minion_id=minion_id,
            fence=fence,
            last_heartbeat_at=self.environment.now,
            service=service,
            zone=zone,
            labels=labels,
        )
        self._table.capacity_changed.add(minion_id)
        self._table.watched.add(minion_id)

    def remove_minion(self, *, minion_id: str) -> None:
        """Group 0 gave a minion to another agent, or removed it."""
        minion = self.minions.pop(minion_id, None)
        if minion is not None:
            self._responder.respond_unavailable(minion)
        self._table.capacity_changed.add(minion_id)
        self._table.watched.discard(minion_id)

    # -- heartbeats

    def on_heartbeat(self, *, minion_id: str, heartbeat: MinionHeartbeat, call: object) -> None:
        """A heartbeat of an owned minion; it is answered now or a little later."""
        environment, minion = self.environment, self.minions[minion_id]
        if not environment.trusted() or minion.phase is Phase.LOST:
            minion.last_heartbeat_at = environment.now  # it lives, though it may not hold on to what it runs
            environment.respond(call=call, response=UNAVAILABLE)
            return
        if minion.call_number_of(heartbeat) <= minion.last_call_number:  # repeated, or late
            response = HeartbeatResponse(fence=minion.fence)
            environment.respond(call=call, response=response.http_response())
            return
        self._responder.respond_unavailable(minion)
        was = (minion.capacity, minion.is_draining)
        minion.record_heartbeat(heartbeat=heartbeat, now=environment.now)
        if minion.phase is Phase.NEW:
            self._send_fence(minion, call=call)
            return
        if minion.phase is Phase.FENCED:
            minion.move(Phase.KNOWN)
        if was != (minion.capacity, minion.is_draining) or minion_id not in self._table.reported_open:
            self._table.capacity_changed.add(minion_id)
        self._table.watched.add(minion_id)
        self._runs.reconcile(minion, after_heartbeat=True)
        self._ends.report(minion)
        minion.pending_heartbeat = PendingHeartbeat(call=call, received_at=environment.now, respond_at=environment.now)
        self._responder.respond_if_due(minion, is_new=True)

    def _send_fence(self, minion: Minion, *, call: object) -> None:
        """The first response tells the fence, and nothing to start: what runs under it is not known yet."""
        minion.move(Phase.FENCED)
        response = HeartbeatResponse(
            fence=minion.fence,
            hold_ms=self._table.timing.hold_ms,
            last_acknowledged_end=minion.last_acknowledged_end,
            retry_after_ms=1,
        )
        self.environment.respond(call=call, response=response.http_response())

    def on_leaving(self, *, minion_id: str, call: object) -> None:
        """A minion says that it ends.

        One that announced before that it drains ends now. For another this is the notice: it serves on for `drain-ms`
        or longer, and what it runs counts as running until an end is listed or its hold is over.
        """
        minion = self.minions.get(minion_id)
        now = self.environment.now
        if minion is not None and minion.phase is not Phase.LOST:
            if minion.has_announced_draining:
                minion.gone_at = minion.gone_at or now + GONE_AFTER_S
            elif not minion.is_draining:
                minion.leaves_at = now + self._table.timing.drain_ms / 1000
            minion.is_draining = True
            self._table.capacity_changed.add(minion_id)
        self.environment.respond(call=call, response=EMPTY)

    # -- messages

    def on_message(self, *, node_id: str, message: Message) -> None:
        """A message from a scheduler."""
        match message:
            case LeaseRequest():
                self._leases.on_request(node_id=node_id, request=message)
            case LeaseReturn():
                self._leases.on_return(message)
            case TaskOrders():
                for minion in self._runs.take_orders(node_id=node_id, message=message):
                    self._responder.respond_if_due(minion)
            case TaskEndsAcknowledged():
                self._on_ends_acknowledged(message)
            case StopTasks():
                self._on_stop_tasks(message)
            case AttachMinion():
                self._on_attach(node_id=node_id, message=message)
            case CapacityRequest():
                self._capacity.on_request(node_id=node_id, message=message)
            case MinionLostAcknowledged():
                self._failure_detector.acknowledge(message)
            case _:
                raise TypeError(f"{type(message).__name__} is no message to an agent")

    def on_capacity_summary(self, message: CapacitySummary) -> None:
        """Another agent tells of its free capacity."""
        self._capacity.on_summary(message)

    def _on_attach(self, *, node_id: str, message: AttachMinion) -> None:
        minion = self._runs.attach(node_id=node_id, message=message)
        if minion is None:
            return
        self._runs.reconcile(minion, after_heartbeat=False)
        self._ends.report(minion)
        self._table.capacity_changed.add(minion.minion_id)
        self._table.watched.add(minion.minion_id)

    def _on_stop_tasks(self, message: StopTasks) -> None:
        for stopped in message.runs:
            minion = self._runs.request_stop(stopped)
            if minion is not None:
                self._responder.respond_if_due(minion)

    def _on_ends_acknowledged(self, message: TaskEndsAcknowledged) -> None:
        minion = self._ends.acknowledge(message)
        if minion is not None:
            self._responder.respond_if_due(minion)

    def on_lost_messages(self, *, node_id: str) -> None:
        """Messages from a node were lost: what its groups last told is not known, so they are to attach anew."""
        for group_id in self._table.group_ids:
            primary = self.environment.primary(group_id=group_id)
            if primary is not None and primary[0] == node_id:
                for minion in self.minions.values():
                    minion.attachments.pop(group_id, None)

    # -- time

    def tick(self) -> None:
        """All that goes by time; called several times a second."""
        if not self._failure_detector.begin_tick():
            return
        claims = AttachmentClaims(table=self._table)
        if self.environment.now - self._scanned_at > FULL_SCAN_S:
            self._scanned_at = self.environment.now
            self._scan_all(claims=claims)
        else:
            self._scan_watched(claims=claims)
        claims.send()
        self._capacity.report()

    def _scan_all(self, *, claims: AttachmentClaims) -> None:
        self._table.watched.clear()
        self._capacity.refresh()
        for minion in list(self.minions.values()):
            self._look_after(minion, claims=claims)

    def _scan_watched(self, *, claims: AttachmentClaims) -> None:
        table = self._table
        for minion in [self.minions[minion_id] for minion_id in sorted(table.watched) if minion_id in self.minions]:
            if minion.phase is not Phase.KNOWN or len(minion.attachments) < table.group_count:
                self._look_after(minion, claims=claims)
                continue
            self._serve(minion)
            if not minion.ends and minion.pending_heartbeat is None:
                table.watched.discard(minion.minion_id)

    def _serve(self, minion: Minion) -> None:
        """What is due soonest: reports of ends, and the response to a heartbeat that waited long enough."""
        if minion.ends:
            self._ends.report(minion)
        pending = minion.pending_heartbeat
        if pending is not None and self.environment.now >= pending.respond_at:
            self._responder.respond_if_due(minion)

    def _look_after(self, minion: Minion, *, claims: AttachmentClaims) -> None:
        """Everything that may be due for a minion."""
        table = self._table
        self._failure_detector.check(minion)
        if minion.phase is Phase.LOST:
            self._failure_detector.report_loss(minion)
        elif minion.phase is Phase.KNOWN:
            claims.collect(minion)
            self._leases.expire(minion)
            if (minion.minion_id in table.reported_open) != table.is_open(minion):
                table.capacity_changed.add(minion.minion_id)
            if minion.runs and table.is_overdue(minion):
                self._runs.reject_unsent(minion)  # they go elsewhere, long before the minion counts as lost
            self._serve(minion)
            is_waiting = bool(minion.ends) or minion.pending_heartbeat is not None
            if is_waiting or len(minion.attachments) < table.group_count:
                table.watched.add(minion.minion_id)
