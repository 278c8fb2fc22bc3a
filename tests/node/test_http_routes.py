"""HTTP calls of minions and operators that a core node answers by itself."""

from typing import Any

import pytest

from yarrowloom.node.http_routes import dispatch
from yarrowloom.node.registry_requests import ConfigChange
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.http_messages import Request, Response

JOB_ID = "5c0e7a21d94b36f8"


@pytest.fixture(scope="module")
def sim() -> Sim:
    """A cluster that serves."""
    return cluster(seed=611)[0]


def ask(sim: Sim, *, ip: str, method: str, path: str, body: bytes = b"") -> Response | None:
    """The response that a core gives at once; None: it asks another node first."""
    node = sim.core(ip)
    node.out.answers.clear()
    dispatch(node=node, call=1, request=Request(method=method, path=path, headers={}, body=body))
    answers: list[tuple[Any, Response]] = node.out.answers
    assert len(answers) <= 1
    return answers.pop()[1] if answers else None


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/nothing", b"", 404),
        ("GET", "/minions/i-0", b"", 405),
        ("POST", "/config", b"", 405),
        ("PUT", "/minions/i-0", b"{", 400),
        ("PUT", "/minions/i-0", b"[]", 400),
        ("PUT", "/minions/i-0", b'{"capacity": 3}', 400),
        ("PUT", "/config", b"\xff", 400),
        ("GET", "/jobs/123", b"", 400),
        ("GET", "/state?all=1", b"", 200),
    ],
)
def test_calls_that_need_no_other_node_are_responded_to_at_once(
    sim: Sim, method: str, path: str, body: bytes, status: int
) -> None:
    response = ask(sim, ip=sim.core_ips[0], method=method, path=path, body=body)
    assert response is not None
    assert response.status == status


def test_a_node_that_does_not_schedule_a_job_names_the_one_that_does(sim: Sim) -> None:
    scheduler = sim.serving(group_id=1)[0]
    other = next(ip for ip in sim.core_ips if ip != scheduler)
    here = ask(sim, ip=scheduler, method="GET", path=f"/jobs/{JOB_ID}")
    there = ask(sim, ip=other, method="GET", path=f"/jobs/{JOB_ID}")
    assert here is not None
    assert here.status == 410
    assert there is not None
    assert there.status == 307
    assert there.headers == (("location", f"http://{scheduler}:8000/jobs/{JOB_ID}"),)


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/config"), ("PATCH", "/config"), ("POST", "/evacuation/z0"), ("DELETE", "/minions/i-none")],
)
def test_calls_about_the_registry_wait_for_its_primary(sim: Sim, method: str, path: str) -> None:
    ip = next(ip for ip in sim.core_ips if ip not in sim.serving(group_id=0))
    pending = set(sim.core(ip).calls.pending)
    assert ask(sim, ip=ip, method=method, path=path) is None
    assert len(set(sim.core(ip).calls.pending) - pending) == 1


# Guards against texts that grow as they are passed on: each of these bytes takes six in a message.
@pytest.mark.parametrize(("body", "passed_on"), [(b'{"a":"\x01"}', ""), (b"{", ""), (b'{"a":1}', '{"a":1}')])
def test_only_a_text_that_can_be_read_is_passed_on_to_the_primary(sim: Sim, body: bytes, passed_on: str) -> None:
    ip = sim.core_ips[0]
    assert ask(sim, ip=ip, method="PUT", path="/config", body=body) is None
    node = sim.core(ip)
    change = node.calls.pending[node.calls.last_request_id].body
    assert isinstance(change, ConfigChange)
    assert change.body == passed_on
