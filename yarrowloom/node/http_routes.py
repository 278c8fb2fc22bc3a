"""HTTP calls of minions and operators at a core node: a table of routes with their handlers."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

import msgspec
import orjson

from ..jobs.state_machine import Jobs
from ..jobs.submission import group_of, is_job_id
from ..replication import Replica
from ..scheduling import Scheduler
from ..transport.http_messages import JSON, Request, Response
from .call_messages import CallOperation
from .config_reads import OPERATOR_CALL_TTL_S, ConfigReads, registry_response
from .group_calls import CallResult, GroupCalls
from .heartbeat_routing import HeartbeatRouting
from .node_base import JOB_GROUPS
from .registry_requests import ConfigChange, EvacuationChange
from .roster import Roster


class HttpEnvironment(Protocol):
    """What the handlers need of their node."""

    calls: GroupCalls
    config_reads: ConfigReads
    heartbeat_routing: HeartbeatRouting
    roster: Roster
    schedulers: dict[int, Scheduler]
    replicas: dict[int, Replica]
    jobs: dict[int, Jobs]

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Node ID of a group's primary and the number of its epoch; None: no epoch is known."""

    def respond(self, *, call: int, response: Response) -> None:
        """Respond to an HTTP call."""

    def describe(self) -> Mapping[str, Any]:
        """A summary of the node for its operator."""


class HttpCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that matched a route.

    Attributes:
        call: The key under which it is responded to.
        request: The request.
        argument: What stands in the place of the pattern's group; empty if there is none.
    """

    call: int
    request: Request
    argument: str


Handler = Callable[[HttpEnvironment, HttpCall], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRoute:
    """Which calls a handler takes: by method, and by a pattern of the whole path."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def dispatch(*, node: HttpEnvironment, call: int, request: Request) -> None:
    """Find the handler of a call and let it respond; 404 for an unknown path, 405 for an unknown method there."""
    path = request.path.split("?", 1)[0]
    is_known_path = False
    for route in ROUTES:
        match = route.pattern.fullmatch(path)
        if match is None:
            continue
        is_known_path = True
        if route.method == request.method:
            argument = match.group(1) if route.pattern.groups else ""
            route.handler(node, HttpCall(call=call, request=request, argument=argument))
            return
    node.respond(call=call, response=Response.of(405 if is_known_path else 404, {"error": "no such call"}))


# -- minions


def take_heartbeat(node: HttpEnvironment, call: HttpCall) -> None:
    """A minion's heartbeat goes to its agent, here or elsewhere."""
    try:
        document = orjson.loads(call.request.body)
    except orjson.JSONDecodeError:
        document = None
    if not isinstance(document, dict) or not isinstance(document.get("capacity", {}), dict):
        node.respond(call=call.call, response=Response.of(400, {"error": "not a beat"}))
        return
    node.heartbeat_routing.on_heartbeat(minion_id=call.argument, document=document, call=call.call)


def take_departure(node: HttpEnvironment, call: HttpCall) -> None:
    """A minion ends."""
    node.heartbeat_routing.on_departure(minion_id=call.argument, call=call.call)


# -- operators


def _respond_with_result(node: HttpEnvironment, call: int, result: CallResult) -> None:
    """Pass on what group 0 responded to an operator's call."""
    node.respond(call=call, response=registry_response(result))


def _call_registry(
    node: HttpEnvironment,
    call: HttpCall,
    *,
    operation: CallOperation,
    body: ConfigChange | EvacuationChange,
) -> None:
    node.calls.start(
        group_id=0,
        operation=operation,
        body=body,
        on_end=partial(_respond_with_result, node, call.call),
        ttl_s=OPERATOR_CALL_TTL_S,
    )


def change_config(node: HttpEnvironment, call: HttpCall) -> None:
    """A whole configuration (PUT), or a change of named items (PATCH)."""
    request = call.request
    try:
        text = _readable_text(request.body)
    except UnicodeDecodeError:
        invalid = {"error": "invalid", "findings": ["(body): not UTF-8"]}
        node.respond(call=call.call, response=Response.of(400, invalid))
        return
    change = ConfigChange(method=request.method, expected_version=request.headers.get("if-match"), body=text)
    _call_registry(node, call, operation=CallOperation.CHANGE_CONFIG, body=change)


def _readable_text(body: bytes) -> str:
    """The text of a JSON document; empty, which the primary refuses as well, if it is none.

    As a part of a message, a text that is no JSON may take six times its size.

    Raises:
        UnicodeDecodeError: It is not UTF-8.
    """
    text = body.decode()
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    return text


def read_config(node: HttpEnvironment, call: HttpCall) -> None:
    """The newest configuration, whole."""
    node.config_reads.read(call=call.call)


def start_evacuation(node: HttpEnvironment, call: HttpCall) -> None:
    """Nothing may start in a zone from now on."""
    _change_evacuation(node, call, is_on=True)


def end_evacuation(node: HttpEnvironment, call: HttpCall) -> None:
    """The evacuation of a zone is taken back."""
    _change_evacuation(node, call, is_on=False)


def _change_evacuation(node: HttpEnvironment, call: HttpCall, *, is_on: bool) -> None:
    """The order goes with the registry's version that was known here before it was sent.

    So a delayed copy can't undo a later order. Race: a process that stood still, or is busy, learns of later orders
    before it reads one that waits in its socket; the version known by then would let that one pass for the newest.
    """
    known_version = node.roster.registry_versions.known_at(at=call.request.sent_after)
    change = EvacuationChange(zone=call.argument, is_on=is_on, known_version=known_version)
    _call_registry(node, call, operation=CallOperation.CHANGE_EVACUATION, body=change)


def read_state(node: HttpEnvironment, call: HttpCall) -> None:
    """What this node knows, for the operator's command line."""
    body = orjson.dumps(node.describe())
    node.respond(call=call.call, response=Response(status=200, body=body, headers=JSON))


def explain_job(node: HttpEnvironment, call: HttpCall) -> None:
    """Why a job waits: its groups of tasks, their last cycle, their place in the queue.

    A node that doesn't schedule the job names the one that does (307).
    """
    job_id = call.argument
    if not is_job_id(text=job_id):
        node.respond(call=call.call, response=Response.of(400, {"error": "not a job id"}))
        return
    group_id = group_of(job_id=job_id, groups=JOB_GROUPS)
    is_scheduled_here = group_id in node.schedulers and node.replicas[group_id].is_serving()
    explain = _job_explanation if is_scheduled_here else _redirect_to_scheduler
    node.respond(call=call.call, response=explain(node, job_id=job_id, group_id=group_id))


def _job_explanation(node: HttpEnvironment, *, job_id: str, group_id: int) -> Response:
    job = node.jobs[group_id].jobs.get(job_id)
    if job is None:
        return Response.of(410, {"error": "no such job"})
    groups = node.schedulers[group_id].explain(job_id=job_id)
    return Response.of(200, {"id": job_id, "queue": job.queue, "state": job.state.value, "groups": groups})


def _redirect_to_scheduler(node: HttpEnvironment, *, job_id: str, group_id: int) -> Response:
    primary = node.primary(group_id=group_id)
    address = node.roster.control_address(node_id=primary[0]) if primary is not None else ""
    if not address:
        return Response.of(503, {"error": "no placing node known"})
    return Response(status=307, headers=(("location", f"http://{address}/jobs/{job_id}"),))


def _route(method: str, pattern: str, handler: Handler) -> HttpRoute:
    return HttpRoute(method=method, pattern=re.compile(pattern), handler=handler)


ROUTES: tuple[HttpRoute, ...] = (
    _route("PUT", r"/minions/([^/]+)", take_heartbeat),
    _route("DELETE", r"/minions/([^/]+)", take_departure),
    _route("PUT", r"/config", change_config),
    _route("PATCH", r"/config", change_config),
    _route("GET", r"/config", read_config),
    _route("POST", r"/evacuation/([^/]+)", start_evacuation),
    _route("DELETE", r"/evacuation/([^/]+)", end_evacuation),
    _route("GET", r"/state", read_state),
    _route("GET", r"/jobs/([^/]+)", explain_job),
)
