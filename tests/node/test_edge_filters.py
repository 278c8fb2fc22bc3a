"""What an edge responds to a request before it forwards anything."""

from dataclasses import dataclass, field
from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.routing_table import RoutingTable
from yarrowloom.node.edge_filters import RequestContext, first_response
from yarrowloom.simulator.sample_config import HOST, config
from yarrowloom.transport.http_messages import Request

JOB_ID = "5c0e7a21d94b36f8"
JOB: dict[str, Any] = {"task-spec": "s", "stages": [{"task-count": 1}]}


@dataclass(kw_only=True)
class Edge:
    """What the filters need of their edge."""

    table: RoutingTable | None = field(default_factory=lambda: RoutingTable(document=config(version=1)))
    is_fresh: bool = True
    is_full: bool = False
    needs_keys: bool = False

    def has_fresh_config(self) -> bool:
        return self.is_fresh

    def requires_keys(self) -> bool:
        return self.needs_keys

    def has_capacity(self, *, body_bytes: int) -> bool:
        return not self.is_full


def context(
    *, method: str = "POST", path: str = f"/fast/{JOB_ID}", host: str = HOST, body: Any = JOB, **headers: str
) -> RequestContext:
    names = {"host": host, **{name.replace("_", "-"): value for name, value in headers.items()}}
    request = Request(method=method, path=path, headers=names, body=orjson.dumps(body) if method == "POST" else b"")
    return RequestContext(call=1, request=request)


def status(edge: Edge, request: RequestContext) -> int | None:
    response = first_response(edge, request)
    return response.status if response is not None else None


@pytest.mark.parametrize(
    ("request_fields", "expected"),
    [
        ({}, None),
        ({"method": "GET"}, None),
        ({"method": "GET", "path": "/fast/"}, None),
        ({"method": "DELETE", "path": f"/fast/{JOB_ID}?x=1"}, None),
        ({"host": "elsewhere"}, 404),
        ({"path": "/none/"}, 404),
        ({"method": "PUT"}, 405),
        ({"path": "/fast/123"}, 400),
        ({"method": "GET", "path": "/fast/123"}, 410),
        ({"method": "DELETE", "path": "/fast/"}, 410),
        ({"body": {"stages": []}}, 400),
        ({"x_deadline_ms": "0"}, 503),
    ],
)
def test_requests_that_cannot_be_forwarded_get_their_status(
    request_fields: dict[str, Any], expected: int | None
) -> None:
    assert status(Edge(), context(**request_fields)) == expected


@pytest.mark.parametrize("request_fields", [{"path": "/none/"}, {"method": "PUT"}, {"path": "/fast/123"}])
def test_a_response_that_rests_on_the_configuration_is_503_while_that_may_be_out_of_date(
    request_fields: dict[str, Any],
) -> None:
    assert status(Edge(is_fresh=False), context(**request_fields)) == 503


def test_an_edge_without_configuration_or_capacity_refuses_and_says_when_to_retry() -> None:
    for edge in (Edge(table=None), Edge(is_full=True)):
        response = first_response(edge, context())
        assert response is not None
        assert response.status == 503
        assert ("retry-after", "1") in response.headers


@pytest.mark.parametrize(("deadline_ms", "ttl_s"), [("600", 0.4), ("300", 0.2), ("nan", 2.8), ("soon", 2.8)])
def test_the_response_leaves_before_the_deadline_of_the_client(deadline_ms: str, ttl_s: float) -> None:
    request = context(x_deadline_ms=deadline_ms)
    assert status(Edge(), request) is None
    assert request.ttl_s == pytest.approx(ttl_s)


def test_what_the_filters_found_out_is_in_the_context() -> None:
    request = context()
    assert status(Edge(), request) is None
    assert request.route is not None
    assert (request.route.name, request.job_id) == ("fast", JOB_ID)
    assert request.submission is not None
    assert request.submission.spec == "s"


KEY, OTHER_KEY = "k1-of-alpha", "k1-of-beta"
TENANTS = [{"name": "alpha", "api-keys": [KEY, "k2-of-alpha"]}, {"name": "beta", "api-keys": [OTHER_KEY]}]


def edge_with_tenants(*, is_fresh: bool = True, public: bool = False) -> Edge:
    document = config(version=1) | {"tenant-table": TENANTS}
    document["route-table"] = [{**row, "public": public} for row in document["route-table"]]
    return Edge(table=RoutingTable(document=document), is_fresh=is_fresh, needs_keys=True)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_a_known_key_names_its_tenant(method: str) -> None:
    for key, tenant in ((KEY, "alpha"), (OTHER_KEY, "beta")):
        request = context(method=method, authorization=f"Token {key}")
        assert status(edge_with_tenants(), request) is None
        assert request.tenant == tenant


@pytest.mark.parametrize("header", [{}, {"authorization": "Token wrong"}, {"authorization": f"Bearer {KEY}"}])
def test_a_key_that_is_missing_or_unknown_is_refused_only_by_a_configuration_provably_in_force(
    header: dict[str, str],
) -> None:
    response = first_response(edge_with_tenants(), context(**header))
    assert response is not None
    assert response.status == 401
    assert ("www-authenticate", "Token") in response.headers
    assert b"wrong" not in response.body
    assert status(edge_with_tenants(is_fresh=False), context(**header)) == 503


def test_a_public_route_takes_requests_of_anyone_and_still_knows_keys() -> None:
    edge = edge_with_tenants(public=True)
    anyone, known = context(), context(authorization=f"Token {KEY}")
    assert status(edge, anyone) is None
    assert status(edge, known) is None
    assert (anyone.tenant, known.tenant) == ("", "alpha")


def test_without_tenants_no_key_is_asked_for() -> None:
    assert status(Edge(), context()) is None
