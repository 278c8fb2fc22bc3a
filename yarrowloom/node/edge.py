"""The edge node: forwards clients' requests to the primaries of the job groups."""

from dataclasses import dataclass
from functools import partial
from typing import Any

from msgspec import UNSET

from ..common.log import Log
from ..common.records import Record, decode
from ..common.settings import NodeSettings
from ..jobs.submission import group_of
from ..scheduling.calls import JobCall
from ..transport.http_messages import Limits, Request, Response
from ..transport.message_kinds import Kind
from .assigned_relays import AssignedRelays
from .call_messages import REFUSALS, CallOperation, GroupReply
from .edge_filters import RETRY_AFTER, RequestContext, first_response
from .edge_relays import FANOUT
from .group_calls import GIVEN_UP, CallResult, PendingCall
from .known_versions import UNKNOWN_VERSION, KnownVersions
from .messages import ClusterUpdate, ContactProof, Heartbeat, HeartbeatAck
from .node_base import JOB_GROUPS, NodeBase

CALLS_AT_LEAST, CALLS_AT_MOST = 64, 1024  # bounds of the calls in progress, whatever the memory
CALLS_PER_MB = 2  # of memory
BODY_SHIFT = 16  # a sixteenth of the memory, in bytes by MB, may be held by the bodies of calls in progress
RELAYED_EDGES_PER_MBPS = 2
_OPERATIONS = {
    "POST": CallOperation.SUBMIT_JOB,
    "GET": CallOperation.READ_JOB,
    "DELETE": CallOperation.CANCEL_JOB,
}


class PendingJobs(Record, frozen=True, kw_only=True):
    """A job group's response to `COUNT_PENDING`: how many jobs of the queue wait there."""

    pending: int


@dataclass(slots=True, kw_only=True)
class PendingCount:
    """A client's question how many jobs of a queue wait, while the job groups are asked.

    Attributes:
        context: The request.
        groups_left: Job groups that have not answered.
        total: The sum of the answers.
        has_responded: Whether the client has its response; later answers count for nothing.
    """

    context: RequestContext
    groups_left: int
    total: int = 0
    has_responded: bool = False


def job_response(*, result: CallResult) -> Response:
    """The response to a client's request about one job.

    >>> [job_response(result=CallResult(status=0, document=None, was_sent=sent)).status for sent in (True, False)]
    [504, 503]
    """
    if result.status == GIVEN_UP:
        # 503 promises that nothing was done, so it is for calls that never left this node.
        if result.was_sent:
            return Response.of(504, {"error": "no answer in time"})
        return Response.of(503, {"error": "no answer in time"}, headers=RETRY_AFTER)
    headers = RETRY_AFTER if result.status in REFUSALS else ()
    return Response.of(result.status, result.document, headers=headers)


class EdgeNode(NodeBase):
    """Takes clients' requests, and feeds cluster updates to other edges.

    Invariants: a request is responded to with 503 or 429 only if no node may have taken it; at most `calls_most`
    calls are in progress, whose bodies hold about a sixteenth of the memory.

    Attributes:
        limits: The operator's limits on requests; the server holds the same object.
        is_draining: Whether the process is about to end: it isn't ready any more.
        relays: The edges that feed this one.
        body_bytes: Size of the bodies of the calls in progress.
        early_cancellations: By job group, the numbers of cancellations of jobs that were not known, as told by replies.
        calls_most: Bound of the calls in progress.
    """

    def __init__(self, *, settings: NodeSettings, node_id: str, incarnation: int, log: Log) -> None:
        super().__init__(settings=settings, node_id=node_id, incarnation=incarnation, kind="edge", log=log)
        self.limits = Limits()
        self.is_draining = False
        self.relays = AssignedRelays()
        self.body_bytes = 0
        self.early_cancellations = {group_id: KnownVersions() for group_id in range(1, JOB_GROUPS + 1)}
        self.calls_most = min(max(CALLS_PER_MB * settings.memory_mb, CALLS_AT_LEAST), CALLS_AT_MOST)
        self._logged_contact = False

    # -- configuration

    def configured(self) -> None:
        """The operator's limits hold for clients from now on."""
        assert self.table is not None
        configured = self.table.limits  # each is at least 1 where it is set
        self.limits.header_bytes = configured.max_header_bytes or self.limits.header_bytes
        self.limits.body_bytes = configured.max_body_bytes or self.limits.body_bytes
        self.limits.header_ms = configured.header_timeout_ms or self.limits.header_ms
        self.limits.idle_ms = configured.idle_timeout_ms or self.limits.idle_ms

    def ready(self) -> bool:
        """Whether it can serve.

        It must be configured, have a recent proof of contact with group 0's primary, and know the epochs of all
        groups.
        """
        return (
            self.freshness.age(now=self.now) < self.freshness.ready_s
            and self.table is not None
            and not self.is_draining
            and all(group_id in self.epochs.by_group for group_id in range(JOB_GROUPS + 1))
        )

    def requires_keys(self) -> bool:
        """Whether calls carry keys of tenants: by the settings, or since the configuration has tenants."""
        return self.settings.requires_keys or (self.table is not None and bool(self.table.tenants))

    def has_fresh_config(self) -> bool:
        """Whether it may respond on the strength of its configuration alone."""
        return self.freshness.age(now=self.now) < self.freshness.answer_s

    # -- clients' requests

    def on_http_request(self, *, call: int, request: Request) -> None:
        """A client's request."""
        context = RequestContext(call=call, request=request)
        response = first_response(self, context)
        if response is not None:
            self.respond(call=call, response=response)
        elif context.job_id:
            self._forward(context)
        else:
            self._count_pending(context)

    def has_capacity(self, *, body_bytes: int) -> bool:
        """Whether it may take one more call with a body of that size."""
        if len(self.calls.pending) >= self.calls_most:
            return False
        return self.body_bytes + body_bytes <= self.settings.memory_mb << BODY_SHIFT

    def _forward(self, context: RequestContext) -> None:
        """Ask the job's group."""
        assert context.route is not None
        submission: dict[str, Any] | None = None
        if context.submission is not None:
            added: dict[str, Any] = {"svc": context.route.backend, "mt": context.route.max_attempts}
            if context.tenant:
                added["tn"] = context.tenant
            submission = {**context.submission.document(), **added}
        self.body_bytes += len(context.request.body)
        self.calls.start(
            group_id=group_of(job_id=context.job_id, groups=JOB_GROUPS),
            operation=_OPERATIONS[context.request.method],
            body=self._job_call(context, submission=submission),
            on_end=partial(self._on_job_result, context),
            ttl_s=context.ttl_s,
        )

    def _on_job_result(self, context: RequestContext, result: CallResult) -> None:
        self.body_bytes -= len(context.request.body)
        self.respond(call=context.call, response=job_response(result=result))

    def _count_pending(self, context: RequestContext) -> None:
        """Ask all job groups how many jobs of the queue wait."""
        self.body_bytes += len(context.request.body)
        count = PendingCount(context=context, groups_left=JOB_GROUPS)
        for group_id in range(1, JOB_GROUPS + 1):
            self.calls.start(
                group_id=group_id,
                operation=CallOperation.COUNT_PENDING,
                body=self._job_call(context),
                on_end=partial(self._on_count_result, count),
                ttl_s=context.ttl_s,
            )

    def _on_count_result(self, count: PendingCount, result: CallResult) -> None:
        context = count.context
        count.groups_left -= 1
        if count.groups_left == 0:
            self.body_bytes -= len(context.request.body)
        if count.has_responded:
            return
        if result.status != 200:
            count.has_responded = True
            is_refused = result.status in (404, 503)
            no_answer = Response.of(504, {"error": "no answer"})
            response = Response.of(result.status, result.document) if is_refused else no_answer
            self.respond(call=context.call, response=response)
            return
        count.total += decode(result.document, into=PendingJobs).pending
        if count.groups_left == 0:
            self.respond(call=context.call, response=Response.of(200, {"pending": count.total}))

    def _job_call(self, context: RequestContext, *, submission: dict[str, Any] | None = None) -> JobCall:
        """The body of a call about a job or a queue.

        It names the configuration that the request was routed by; while that may be out of date, also what the client
        named, so that the scheduler can look that up in its own.
        """
        assert self.table is not None
        assert context.route is not None
        is_fresh = self.has_fresh_config()
        return JobCall(
            job_id=context.job_id,
            queue=context.route.name,
            address=context.route.address,
            config_version=self.table.config_version,
            caller_route=UNSET if is_fresh else (context.host, context.path),
            submission=UNSET if submission is None else submission,
            tenant=context.tenant,
            key_digest=UNSET if is_fresh else context.key_digest,
            known_cancellation=self._known_cancellation(context),
        )

    def _known_cancellation(self, context: RequestContext) -> int:
        """The newest early cancellation in the job's group that was known here before the request was sent.

        Race: the request may have waited in its socket while its job was cancelled elsewhere and this edge heard of it.
        """
        if not context.job_id:
            return UNKNOWN_VERSION
        group_id = group_of(job_id=context.job_id, groups=JOB_GROUPS)
        return self.early_cancellations[group_id].known_at(at=context.request.sent_after)

    # -- messages of other nodes

    def on_message(self, *, node_id: str, kind: Kind, body: object) -> None:
        """Take one message of a node; `body` is parsed.

        Raises:
            MalformedRecordError: The body is not one of this kind.
        """
        if kind is Kind.HEARTBEAT_ACK:
            self._on_heartbeat_ack(node_id=node_id, ack=decode(body, into=HeartbeatAck))
        elif kind is Kind.HEARTBEAT:
            self._feed(heartbeat=decode(body, into=Heartbeat))
        elif kind is Kind.CLUSTER_UPDATE:
            self.apply_update(update=decode(body, into=ClusterUpdate))
        elif kind is Kind.REPLY:
            self._on_reply(node_id=node_id, reply=decode(body, into=GroupReply))

    def _on_reply(self, *, node_id: str, reply: GroupReply) -> None:
        """A reply to a call; it may also tell of cancellations, and prove how new the configuration here is."""
        call = self.calls.pending.get(reply.request_id)
        if call is not None and node_id in call.open_copies:
            self._learn_from(reply, call=call)
        self.calls.on_reply(node_id=node_id, reply=reply)

    def _learn_from(self, reply: GroupReply, *, call: PendingCall) -> None:
        if reply.proof_age_s is not UNSET:
            proof = ContactProof(age_s=reply.proof_age_s, epoch=reply.proof_epoch, config_version=reply.config_version)
            self.confirm(sent_at=call.started_at, proof=proof)
        if reply.newest_cancellation is not UNSET and call.group_id in self.early_cancellations:
            self.early_cancellations[call.group_id].learn(version=reply.newest_cancellation, now=self.now)

    def _on_heartbeat_ack(self, *, node_id: str, ack: HeartbeatAck) -> None:
        """A core or a relay acknowledged a heartbeat.

        A relay that has no contact with the primary is left as soon as another node has.
        """
        self.heartbeats.last_ack = self.now
        if ack.update is not UNSET:
            self.apply_update(update=ack.update)
        is_in_contact = self.heartbeats.on_ack(node_id=node_id, ack=ack)
        if ack.is_full:
            self.relays.on_full(node_id=node_id, now=self.now)
        elif ack.relays and is_in_contact:
            self.relays.on_assigned(node_ids=ack.relays, now=self.now)
        else:
            is_useful = is_in_contact or not self.has_fresh_config()
            self.relays.on_ack(node_id=node_id, is_useful=is_useful, now=self.now)

    def children_most(self) -> int:
        """How many edges this one may feed: at 2 Mbit/s four, whose heartbeats and updates take a tenth of the link."""
        return max(1, min(FANOUT, int(RELAYED_EDGES_PER_MBPS * self.settings.link_mbps)))

    def _feed(self, *, heartbeat: Heartbeat) -> None:
        """Feed cluster updates to another edge, or tell it that there is no capacity for it."""
        node_id = heartbeat.node_id
        children = sum(child != node_id for child in self.roster.alive_senders(now=self.now))
        if children < self.children_most():
            self.on_heartbeat(heartbeat=heartbeat)
            self.send_message(node_id=node_id, message=self.heartbeat_ack(heartbeat=heartbeat))
            return
        proof = self.proof()
        full = HeartbeatAck(
            sent_at=heartbeat.sent_at,
            proof_age_s=proof.age_s,
            proof_epoch=proof.epoch,
            config_version=proof.config_version,
            is_full=True,
        )
        self.send_message(node_id=node_id, message=full)

    def heartbeat_targets(self) -> list[str]:
        """Who gets this node's heartbeats.

        Relays that a core named, as long as they are in contact; else the nodes on the ring. The whole configuration
        comes from cores, whose links carry it.
        """
        is_configured = self.table is not None and not self.dissemination.needs_full_config
        if is_configured and self.relays.are_in_contact(now=self.now):
            return self.relays.node_ids + self.heartbeats.probes(known=self.relays.node_ids)
        return self.heartbeats.targets()

    def on_frames_lost(self, *, node_id: str) -> None:
        """Frames of a node were lost, perhaps replies and updates: ask again at once."""
        self.calls.on_frames_lost(node_id=node_id)
        self.on_urgent_frames_lost(node_id=node_id)

    # -- time

    def tick(self) -> None:
        """Do what is due; called several times a second."""
        self.heartbeats.send_due()
        self.calls.tick()
        if self._logged_contact is not self.has_fresh_config():
            self._logged_contact = not self._logged_contact
            event = "contact-restored" if self._logged_contact else "contact-lost"
            self.note(event=event, config_version=self.config_version())
