"""The edge node: callers' requests pass a chain of filters, each of which may answer."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from msgspec import UNSET

from ..cluster_state.routing_table import Route
from ..common.errors import InvalidInputError
from ..common.log import Log
from ..common.records import decode
from ..common.settings import NodeSettings
from ..jobs.submission import Submission, group_of, is_job_id, parse_submission
from ..transport.envelope import Kind
from ..transport.http_server import Limits, Request, Response
from .edge_relays import FANOUT
from .messages import ClusterUpdate, ContactProof, Heartbeat, HeartbeatAck
from .node_base import JOB_GROUPS, NodeBase

MARGIN_S = 0.2  # an answer leaves this long before its caller's deadline, or a third of what is left before
HAND_MIN, HAND_MAX = 64, 1024
VIA_S = 1.0  # relays that have been silent, or alone out of touch, this long are left for the cores
FULL_S = 10.0  # a relay that had no room is not asked again this long
RETRY = (("retry-after", "1"),)


@dataclass(kw_only=True)
class Way:
    """A request on its way through the filters."""

    call: Any
    req: Request
    path: str = ""
    route: Route | None = None
    rest: str = ""
    job: Submission | None = None
    ttl: float = 0.0  # seconds until it must be answered


Filter = Callable[[Way], Response | None]


class EdgeNode(NodeBase):
    """Invariants: a request is answered 503 or 429 only if nothing of it was sent on; `hand` counts the bytes of the
    bodies of the calls in hand, which are at most `hand_most` calls and about a sixteenth of the memory.
    """

    def __init__(self, *, settings: NodeSettings, node_id: str, incarnation: int, log: Log) -> None:
        super().__init__(settings=settings, node_id=node_id, incarnation=incarnation, kind="edge", log=log)
        self.limits = Limits()
        self.closing = False
        self.via: list[str] = []
        self.via_at = -9.0
        self.in_touch = False  # as last logged
        self.shun: dict[str, float] = {}  # relays that have no room, and until when
        self.hand = 0
        self.hand_most = min(max(2 * settings.memory_mb, HAND_MIN), HAND_MAX)
        self.filters: tuple[Filter, ...] = (
            self._configured,
            self._routed,
            self._named,
            self._timely,
            self._roomy,
            self._parsed,
        )

    def configured(self) -> None:
        """The operator's limits hold for callers from now on."""
        assert self.table is not None
        configured = self.table.limits  # each is at least 1 where it is set
        self.limits.header_bytes = configured.max_header_bytes or self.limits.header_bytes
        self.limits.body_bytes = configured.max_body_bytes or self.limits.body_bytes
        self.limits.header_ms = configured.header_timeout_ms or self.limits.header_ms
        self.limits.idle_ms = configured.idle_timeout_ms or self.limits.idle_ms

    def ready(self) -> bool:
        """Can serve: configured, with a proof of contact with a primary that is young enough, and knows who keeps the
        records.
        """
        near = self.freshness.age(now=self.now) < self.freshness.ready_s
        return (
            near
            and self.table is not None
            and not self.closing
            and all(group_id in self.epochs.by_group for group_id in range(JOB_GROUPS + 1))
        )

    def sure(self) -> bool:
        """May answer on the strength of its configuration alone."""
        return self.freshness.age(now=self.now) < self.freshness.answer_s

    def _by_table(self, *, response: Response) -> Response:
        """An answer that rests on the configuration alone; 503 while that may be out of date."""
        return response if self.sure() else Response.of(503, {"error": "out of touch"}, headers=RETRY)

    def http(self, *, call: Any, req: Request) -> None:
        """A caller's request."""
        way = Way(call=call, req=req)
        for flt in self.filters:
            response = flt(way)
            if response is not None:
                self.respond(call=call, response=response)
                return
        self._forward(way)

    # -- filters

    def _configured(self, way: Way) -> Response | None:
        if self.table is None:
            return Response.of(503, {"error": "no configuration yet"}, headers=RETRY)
        return None

    def _routed(self, way: Way) -> Response | None:
        assert self.table is not None
        way.path = urlsplit(way.req.path).path
        way.route = self.table.select(host=way.req.headers.get("host", ""), path=way.path)
        if way.route is None:
            return self._by_table(response=Response.of(404, {"error": "no such queue"}))
        way.rest = way.path[len(way.route.path_prefix) :].strip("/")
        return None

    def _named(self, way: Way) -> Response | None:
        method = way.req.method
        if method not in ("POST", "GET", "DELETE"):
            response = Response.of(405, {"error": "method"}, headers=(("allow", "POST, GET, DELETE"),))
            return self._by_table(response=response)
        if method == "GET" and not way.rest:
            return None
        if not is_job_id(text=way.rest):
            return self._by_table(response=Response.of(400 if method == "POST" else 410, {"error": "not a job id"}))
        return None

    def _timely(self, way: Way) -> Response | None:
        """How long the caller waits: by the route, or less by its own word."""
        assert way.route is not None
        left = way.route.deadline_ms
        try:
            said = float(way.req.headers.get("x-deadline-ms", left))
        except ValueError:
            said = left
        left = min(left, said if math.isfinite(said) else left) / 1000
        way.ttl = left - min(MARGIN_S, left / 3)
        return Response.of(503, {"error": "no time left"}, headers=RETRY) if left <= 0 else None

    def _roomy(self, way: Way) -> Response | None:
        """A bounded number of calls is in hand; more are turned away before anything is done for them."""
        size = len(way.req.body)
        if len(self.calls.open) < self.hand_most and self.hand + size <= self.settings.memory_mb << 16:
            return None
        return Response.of(503, {"error": "too many calls in hand"}, headers=RETRY)

    def _parsed(self, way: Way) -> Response | None:
        if way.req.method != "POST":
            return None
        try:
            way.job = parse_submission(body=way.req.body)
        except InvalidInputError as err:
            return Response.of(400, {"error": err.text, "findings": [str(f) for f in err.findings]})
        return None

    def _forward(self, way: Way) -> None:
        assert way.route is not None
        name, method = way.route.name, way.req.method
        ttl, size = way.ttl, len(way.req.body)
        self.hand += size
        seen = self._seen(way)
        if method == "GET" and not way.rest:
            count: dict[str, Any] = {"left": JOB_GROUPS, "sum": 0}
            for group_id in range(1, JOB_GROUPS + 1):
                done = ("count", way.call, size if group_id == 1 else 0, count)
                self.calls.start(group_id=group_id, op="count", b={"q": name, **seen}, done=done, ttl=ttl)
            return
        group_id = group_of(job_id=way.rest, groups=JOB_GROUPS)
        b: dict[str, Any] = {"id": way.rest, "q": name, **seen}
        if method == "POST":
            assert way.job is not None
            b["j"] = {**way.job.document(), "svc": way.route.backend, "mt": way.route.max_attempts}
        op = {"POST": "put", "GET": "get", "DELETE": "del"}[method]
        self.calls.start(group_id=group_id, op=op, b=b, done=(op, way.call, size), ttl=ttl)

    def _seen(self, way: Way) -> dict[str, Any]:
        """By which configuration a call was routed; and while that may be out of date, whither the caller wrote, so
        that the placing node can look in its own.
        """
        assert self.table is not None
        at = {} if self.sure() else {"at": [way.req.headers.get("host", ""), way.path]}
        return {"cv": self.table.config_version, **at}

    def called(self, *, done: tuple[Any, ...], status: int, document: Any, sent: bool) -> None:
        """An answer of the records, or none in time."""
        self.hand -= done[2]
        if done[0] == "count":
            box = done[3]
            if box["left"] <= 0:
                return
            box["left"] -= 1
            if status != 200:
                box["left"] = 0
                refused = status in (404, 503)
                response = Response.of(status, document) if refused else Response.of(504, {"error": "no answer"})
                self.respond(call=done[1], response=response)
                return
            box["sum"] += document["pending"]
            if box["left"] == 0:
                self.respond(call=done[1], response=Response.of(200, {"pending": box["sum"]}))
            return
        if status == 0:
            response = Response.of(504 if sent else 503, {"error": "no answer in time"}, headers=() if sent else RETRY)
        elif status in (429, 503):
            response = Response.of(status, document, headers=RETRY)
        else:
            response = Response.of(status, document)
        self.respond(call=done[1], response=response)

    # -- frames and time

    def on(self, *, node_id: str, kind: Kind, m: Any) -> None:
        """Take one message of a node; `m` is its parsed body.

        Raises:
            MalformedRecordError: The body is not one of this kind.
        """
        if kind is Kind.HEARTBEAT_ACK:
            self._on_heartbeat_ack(node_id=node_id, ack=decode(m, into=HeartbeatAck))
        elif kind is Kind.HEARTBEAT:
            self._feed(heartbeat=decode(m, into=Heartbeat))
        elif kind is Kind.CLUSTER_UPDATE:
            self.apply_update(update=decode(m, into=ClusterUpdate))
        elif kind is Kind.REPLY:
            pend = self.calls.open.get(m["rid"])
            if pend is not None and node_id in pend.nodes and "age" in m:
                self.confirm(sent_at=pend.began, proof=decode(m, into=ContactProof))
            self.calls.reply(node_id=node_id, m=m)

    def _on_heartbeat_ack(self, *, node_id: str, ack: HeartbeatAck) -> None:
        """A core or a relay acknowledged a heartbeat.

        A relay that is not in touch is left as soon as another node is.
        """
        self.heartbeats.last_ack = self.now
        if ack.update is not UNSET:
            self.apply_update(update=ack.update)
        in_touch = self.heartbeats.on_ack(node_id=node_id, ack=ack)
        if ack.is_full:
            self.shun[node_id] = self.now + FULL_S
            self.via = [relay for relay in self.via if relay != node_id]
        elif ack.relays and in_touch:
            relays = [relay for relay in ack.relays if self.shun.get(relay, -math.inf) < self.now]
            if relays:
                self.via, self.via_at = relays, self.now
        elif node_id in self.via and (in_touch or not self.sure()):
            self.via_at = self.now

    def children(self) -> int:
        """How many edges this one may feed: at 2 Mbit/s four, whose hearts and changes take a tenth of the link."""
        return max(1, min(FANOUT, int(2 * self.settings.link_mbps)))

    def _feed(self, *, heartbeat: Heartbeat) -> None:
        """Feed cluster updates to another edge; or turn it away."""
        node_id = heartbeat.node_id
        fed = sum(child != node_id for child in self.roster.alive_senders(now=self.now))
        if fed >= self.children():
            proof = self.proof()
            full = HeartbeatAck(
                sent_at=heartbeat.sent_at,
                proof_age_s=proof.age_s,
                proof_epoch=proof.epoch,
                config_version=proof.config_version,
                is_full=True,
            )
            self.send_message(node_id=node_id, message=full)
            return
        self.on_heartbeat(heartbeat=heartbeat)
        self.send_message(node_id=node_id, message=self.heartbeat_ack(heartbeat=heartbeat))

    def heartbeat_targets(self) -> list[str]:
        """Relays named by a core that feeds enough edges, as long as they are in contact; else the ring. The whole
        configuration comes from cores, whose links carry it.
        """
        is_configured = self.table is not None and not self.dissemination.needs_full_config
        if self.via and self.now - self.via_at < VIA_S and is_configured:
            return self.via + self.heartbeats.probes(known=self.via)
        return self.heartbeats.targets()

    def gap(self, *, node_id: str) -> None:
        """Frames were lost, perhaps answers: ask again at once; news at once if told."""
        self.calls.lost(node_id=node_id)
        self.on_urgent_gap(node_id=node_id)

    def tick(self) -> None:
        """Several times a second."""
        self.heartbeats.send_due()
        self.calls.tick()
        if self.in_touch is not self.sure():
            self.in_touch = not self.in_touch
            config_version = self.table.config_version if self.table is not None else 0
            self.note(event="in-touch" if self.in_touch else "out-of-touch", config_version=config_version)
