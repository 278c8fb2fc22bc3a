"""What an edge checks of a client's request before it forwards it: a chain of filters, each of which may respond."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..cluster_state.routing_table import Route, RoutingTable, key_digest
from ..common.errors import InvalidInputError
from ..jobs.submission import Submission, is_job_id, parse_submission
from ..transport.http_messages import Request, Response

RESPONSE_MARGIN_S = 0.2  # a response leaves this long before the client's deadline,
RESPONSE_MARGIN_DIVISOR = 3  # or this part of the time left before it, if that is less
DEADLINE_HEADER = "x-deadline-ms"
RETRY_AFTER = (("retry-after", "1"),)
AUTHORIZATION_HEADER = "authorization"
KEY_SCHEME = "token"
_CHALLENGE = (("www-authenticate", "Token"),)
_METHODS = ("POST", "GET", "DELETE")
_ALLOW = (("allow", ", ".join(_METHODS)),)


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """A client's request on its way through the filters, with what they found out.

    Attributes:
        call: The key under which it is responded to.
        request: The request.
        path: Its path without the query.
        route: The queue that it is for.
        job_id: What follows the queue's prefix in the path; empty where the request is for the whole queue.
        submission: The job that it submits, if it does.
        ttl_s: Seconds within which it must be responded to.
        tenant: Name of the tenant whose key it carries; empty: none, on a public route.
        key_digest: Stands for that key; empty: it carries none that is known.
    """

    call: int
    request: Request
    path: str = ""
    route: Route | None = None
    job_id: str = ""
    submission: Submission | None = None
    ttl_s: float = 0.0
    tenant: str = ""
    key_digest: str = ""

    @property
    def host(self) -> str:
        """The host that the client named."""
        return self.request.headers.get("host", "")


class FilterEnvironment(Protocol):
    """What the filters need of their edge."""

    @property
    def table(self) -> RoutingTable | None:
        """The routes of the configuration in force; None before the first."""

    def requires_keys(self) -> bool:
        """Whether calls carry keys of tenants, but on public routes."""

    def has_fresh_config(self) -> bool:
        """Whether it may respond on the strength of its configuration alone."""

    def has_capacity(self, *, body_bytes: int) -> bool:
        """Whether it may take one more call with a body of that size."""


Filter = Callable[[FilterEnvironment, RequestContext], Response | None]


def _if_fresh(environment: FilterEnvironment, response: Response) -> Response:
    """A response that rests on the configuration alone; 503 while that may be out of date."""
    if environment.has_fresh_config():
        return response
    return Response.of(503, {"error": "out of touch"}, headers=RETRY_AFTER)


def require_config(environment: FilterEnvironment, _context: RequestContext) -> Response | None:
    """Nothing can be routed before the first configuration."""
    if environment.table is None:
        return Response.of(503, {"error": "no configuration yet"}, headers=RETRY_AFTER)
    return None


def path_of(target: str) -> str:
    """The path of a request's target, without its query; of a target in absolute form, what follows the authority.

    >>> [path_of(target) for target in ("/a/b?c", "//[x", "http://h:80/a?b", "http://h", "*")]
    ['/a/b', '//[x', '/a', '/', '*']
    """
    if not target.startswith("/"):
        scheme, separator, rest = target.partition("://")
        if separator and scheme.isalpha():
            target = "/" + rest.partition("/")[2]
    return target.partition("?")[0].partition("#")[0]


def match_route(environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """Find the queue that host and path belong to."""
    assert environment.table is not None
    context.path = path_of(context.request.path)
    context.route = environment.table.select(host=context.host, path=context.path)
    if context.route is None:
        return _if_fresh(environment, Response.of(404, {"error": "no such queue"}))
    context.job_id = context.path[len(context.route.path_prefix) :].strip("/")
    return None


def presented_key(header: str | None) -> str:
    """The key that an Authorization header presents; empty: none.

    >>> [presented_key(header) for header in ("Token abc", "token  abc ", "Bearer abc", "Token", None)]
    ['abc', 'abc', '', '', '']
    """
    scheme, _, key = (header or "").strip().partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def authenticate(environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """Find the tenant whose key the request carries. A public route takes requests of anyone.

    A key that isn't known here may stand in a newer configuration: 401 only while this one is provably in force.
    """
    assert environment.table is not None
    assert context.route is not None
    key = presented_key(context.request.headers.get(AUTHORIZATION_HEADER))
    digest = key_digest(key=key) if key else ""
    tenant = environment.table.tenants_by_key.get(digest, "")
    if tenant:
        context.tenant, context.key_digest = tenant, digest
        return None
    if context.route.is_public or not environment.requires_keys():
        return None
    return _if_fresh(environment, Response.of(401, {"error": "key missing or unknown"}, headers=_CHALLENGE))


def check_method_and_job_id(environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """Only jobs can be submitted, read and cancelled, and only a queue can be counted."""
    method = context.request.method
    if method not in _METHODS:
        return _if_fresh(environment, Response.of(405, {"error": "method"}, headers=_ALLOW))
    is_count = method == "GET" and not context.job_id
    if is_count or is_job_id(text=context.job_id):
        return None
    return _if_fresh(environment, Response.of(400 if method == "POST" else 410, {"error": "not a job id"}))


def client_patience_s(*, route_deadline_ms: float, header: str | None) -> float:
    """Seconds that a client waits: by its queue, or less by its own header; a header that is no number is passed over.

    >>> [client_patience_s(route_deadline_ms=3000, header=header) for header in (None, "500", "9000", "inf", "soon")]
    [3.0, 0.5, 3.0, 3.0, 3.0]
    """
    try:
        wanted_ms = float(header) if header is not None else route_deadline_ms
    except ValueError:
        wanted_ms = route_deadline_ms
    return min(route_deadline_ms, wanted_ms if math.isfinite(wanted_ms) else route_deadline_ms) / 1000


def set_deadline(_environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """Set the time within which the response must leave; refuse what has no time left."""
    assert context.route is not None
    patience_s = client_patience_s(
        route_deadline_ms=context.route.deadline_ms, header=context.request.headers.get(DEADLINE_HEADER)
    )
    context.ttl_s = patience_s - min(RESPONSE_MARGIN_S, patience_s / RESPONSE_MARGIN_DIVISOR)
    return Response.of(503, {"error": "no time left"}, headers=RETRY_AFTER) if patience_s <= 0 else None


def check_capacity(environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """A bounded number of calls is in progress; more are refused before anything is done for them."""
    if environment.has_capacity(body_bytes=len(context.request.body)):
        return None
    return Response.of(503, {"error": "too many calls in hand"}, headers=RETRY_AFTER)


def check_submission(_environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """Check the job that is submitted."""
    if context.request.method != "POST":
        return None
    try:
        context.submission = parse_submission(body=context.request.body)
    except InvalidInputError as error:
        return Response.of(400, {"error": error.text, "findings": [str(finding) for finding in error.findings]})
    return None


FILTERS: tuple[Filter, ...] = (
    require_config,
    match_route,
    authenticate,
    check_method_and_job_id,
    set_deadline,
    check_capacity,
    check_submission,
)


def first_response(environment: FilterEnvironment, context: RequestContext) -> Response | None:
    """Pass a request through the filters; the response of the first that gives one, None: it is to be forwarded."""
    for request_filter in FILTERS:
        response = request_filter(environment, context)
        if response is not None:
            return response
    return None
