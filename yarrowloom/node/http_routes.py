"""Calls of minions and of the operator, declared beside their handlers."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from ..jobs.submission import group_of, is_job_id
from ..transport.http_server import JSON, Request, Response
from .node_base import JOB_GROUPS

if TYPE_CHECKING:
    from .core_environment import CoreEnvironment

Handler = Callable[["CoreEnvironment", Any, Request, str], None]
CALLS: list[tuple[str, re.Pattern[str], Handler]] = []
CONF_TTL = 3.5


def declare(method: str, path: str) -> Callable[[Handler], Handler]:
    """Say which call a handler answers; the path's group is its argument."""

    def wrap(fn: Handler) -> Handler:
        CALLS.append((method, re.compile(path), fn))
        return fn

    return wrap


def dispatch(*, node: "CoreEnvironment", call: Any, req: Request) -> None:
    """Find the handler and let it answer."""
    path = req.path.split("?", 1)[0]
    known = False
    for method, pat, fn in CALLS:
        hit = pat.fullmatch(path)
        if hit is not None:
            known = True
            if method == req.method:
                fn(node, call, req, hit.group(1) if pat.groups else "")
                return
    node.respond(call=call, response=Response.of(405 if known else 404, {"error": "no such call"}))


@declare("PUT", r"/minions/([^/]+)")
def beat(node: "CoreEnvironment", call: Any, req: Request, minion_id: str) -> None:
    """A minion's beat: to its agent, here or elsewhere."""
    try:
        document = orjson.loads(req.body)
        if not isinstance(document, dict) or not isinstance(document.get("capacity", {}), dict):
            raise ValueError
    except ValueError:
        node.respond(call=call, response=Response.of(400, {"error": "not a beat"}))
        return
    node.heartbeat_routing.on_heartbeat(minion_id=minion_id, document=document, call=call)


@declare("DELETE", r"/minions/([^/]+)")
def leave(node: "CoreEnvironment", call: Any, req: Request, minion_id: str) -> None:
    """A minion ends."""
    node.heartbeat_routing.on_departure(minion_id=minion_id, call=call)


@declare("PUT", r"/config")
def put_config(node: "CoreEnvironment", call: Any, req: Request, _arg: str) -> None:
    """A complete configuration."""
    _change(node=node, call=call, req=req)


@declare("PATCH", r"/config")
def patch_config(node: "CoreEnvironment", call: Any, req: Request, _arg: str) -> None:
    """A change of named items."""
    _change(node=node, call=call, req=req)


def _change(*, node: "CoreEnvironment", call: Any, req: Request) -> None:
    try:
        text = req.body.decode()
    except UnicodeDecodeError:
        node.respond(call=call, response=Response.of(400, {"error": "invalid", "findings": ["(body): not UTF-8"]}))
        return
    node.calls.start(
        group_id=0,
        op="conf",
        b={"m": req.method, "base": req.headers.get("if-match"), "body": text},
        done=("http", call),
        ttl=CONF_TTL,
    )


@declare("GET", r"/config")
def get_config(node: "CoreEnvironment", call: Any, req: Request, _arg: str) -> None:
    """The newest configuration, whole."""
    node.calls.start(group_id=0, op="getconf", b={}, done=("http", call), ttl=CONF_TTL)


@declare("POST", r"/evacuation/([^/]+)")
def evac_start(node: "CoreEnvironment", call: Any, req: Request, zone: str) -> None:
    """Nothing more is to be sent to a site's minions."""
    _evacuate(node=node, call=call, zone=zone, on=True)


@declare("DELETE", r"/evacuation/([^/]+)")
def evac_end(node: "CoreEnvironment", call: Any, req: Request, zone: str) -> None:
    """The evacuation is taken back."""
    _evacuate(node=node, call=call, zone=zone, on=False)


def _evacuate(*, node: "CoreEnvironment", call: Any, zone: str, on: bool) -> None:
    """The order goes with the registry's version that is known here now: a copy that is delayed can't undo a later
    order.
    """
    node.calls.start(
        group_id=0,
        op="evac",
        b={"site": zone, "on": on, "mods": node.roster.registry.version},
        done=("http", call),
        ttl=CONF_TTL,
    )


@declare("GET", r"/state")
def state(node: "CoreEnvironment", call: Any, req: Request, _arg: str) -> None:
    """What this node knows, for the operator's command line."""
    node.respond(call=call, response=Response(status=200, body=orjson.dumps(node.describe()), headers=JSON))


@declare("GET", r"/jobs/([^/]+)")
def explain(node: "CoreEnvironment", call: Any, req: Request, job_id: str) -> None:
    """Why a job waits: its groups, their last cycle, its place in the queue. Elsewhere than at the placing node, the
    answer names that one (307).
    """
    if not is_job_id(text=job_id):
        node.respond(call=call, response=Response.of(400, {"error": "not a job id"}))
        return
    group_id = group_of(job_id=job_id, groups=JOB_GROUPS)
    if group_id in node.schedulers and node.replicas[group_id].is_serving():
        job = node.jobs[group_id].jobs.get(job_id)
        node.respond(
            call=call,
            response=Response.of(410, {"error": "no such job"})
            if job is None
            else Response.of(
                200,
                {
                    "id": job_id,
                    "queue": job.queue,
                    "state": job.state.value,
                    "groups": node.schedulers[group_id].explain(job_id=job_id),
                },
            ),
        )
        return
    prim = node.primary(group_id=group_id)
    ctl = node.roster.control_address(node_id=prim[0]) if prim else ""
    if not ctl:
        node.respond(call=call, response=Response.of(503, {"error": "no placing node known"}))
    else:
        node.respond(call=call, response=Response(status=307, headers=(("location", f"http://{ctl}/jobs/{job_id}"),)))
