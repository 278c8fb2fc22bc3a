"""Edges under load and out of reach: bounded work in hand, answers before deadlines, a readiness that is true."""

from typing import Any

import pytest

from yarrowloom.node.edge import EdgeNode
from yarrowloom.simulator.link_cluster import LinkSim, put
from yarrowloom.simulator.sample_config import HOST, config
from yarrowloom.transport.http_messages import Response
from yarrowloom.transport.message_kinds import Kind

JOB: dict[str, Any] = {"task-spec": "s", "stages": [{"task-count": 1, "cpus": 10, "mem-mb": 1}]}


def ready(*, seed: int, **kw: Any) -> tuple[LinkSim, EdgeNode]:
    sim = LinkSim(seed=seed, mbps=100.0, **kw)
    sim.run(seconds=1.0)
    put(sim, method="PUT", document=config(version=3), base=0)
    sim.run(seconds=2.0)
    return sim, sim.edges()[0]


def cut(sim: LinkSim) -> None:
    for core in sim.core_ips:
        sim.cut(a=sim.edge_ips[0], b=core)


def call(
    sim: LinkSim,
    got: dict[str, tuple[float, Response]],
    *,
    n: int,
    method: str = "POST",
    deadline: object = 3000,
    document: Any = None,
) -> str:
    """Send a call to the first edge; its answer and when it came go to `got` under the job's ID."""
    job_id = f"{n:016x}"
    sim.http(
        ip=sim.edge_ips[0],
        src="caller",
        method=method,
        path=f"/fast/{job_id}",
        document=(document or JOB) if method == "POST" else None,
        headers={"host": HOST, "x-deadline-ms": str(deadline)},
        back=lambda response: got.setdefault(job_id, (sim.now, response)) and None,
    )
    return job_id


def test_a_flood_is_turned_away_at_once_and_nothing_of_it_is_sent_on() -> None:
    sim, node = ready(seed=1)
    cut(sim)
    assert node.calls_most == 512
    got: dict[str, tuple[float, Response]] = {}
    request_id, t0 = node.calls.last_request_id, sim.now
    for n in range(900):
        call(sim, got, n=n)
    sim.run(seconds=0.1)
    assert len(got) == 900 - 512
    assert len(node.calls.pending) == 512 == node.calls.last_request_id - request_id
    assert all(r.status == 503 and ("retry-after", "1") in r.headers and at - t0 < 0.05 for at, r in got.values())
    assert sim.ask(ip=sim.edge_ips[0], method="GET", path="/none/", headers={"host": HOST})[0] == 404
    sim.run(seconds=3.0)
    assert len(got) == 900
    assert not node.calls.pending
    assert node.body_bytes == 0
    sim.heal()
    sim.run(seconds=2.0)
    job_id = call(sim, got, n=1000)
    sim.run(seconds=1.0)
    assert got[job_id][1].status == 200
    assert node.body_bytes == 0


def test_large_bodies_in_hand_are_bounded_too() -> None:
    sim, node = ready(seed=2)
    cut(sim)
    got: dict[str, tuple[float, Response]] = {}
    document = {"task-spec": "s" * 3900, "stages": [{**JOB["stages"][0], "affinity": "r" * 600} for _ in range(250)]}
    for n in range(200):
        call(sim, got, n=n, document=document)
    sim.run(seconds=0.1)
    assert 0 < len(node.calls.pending) < 200
    assert node.body_bytes <= 256 << 16
    assert len(got) == 200 - len(node.calls.pending)
    assert {r.status for _, r in got.values()} == {503}
    sim.run(seconds=3.0)
    assert node.body_bytes == 0
    assert len(got) == 200


@pytest.mark.parametrize("deadline", [400, 1000, 3000, 9000, "inf", "nan", "soon"])
def test_a_call_is_answered_before_its_deadline(deadline: object) -> None:
    sim, _ = ready(seed=3)
    cut(sim)
    got: dict[str, tuple[float, Response]] = {}
    t0 = sim.now
    for n, method in enumerate(("POST", "GET", "DELETE")):
        call(sim, got, n=n, method=method, deadline=deadline)
    limit = min(deadline, 3000) / 1000 if isinstance(deadline, int) else 3.0
    sim.run(seconds=limit)
    assert len(got) == 3
    assert all(limit * 0.5 < at - t0 < limit and r.status == 504 for at, r in got.values())


@pytest.mark.parametrize("deadline", [0, -5])
def test_a_call_that_has_no_time_left_is_refused(deadline: int) -> None:
    sim, node = ready(seed=4)
    got: dict[str, tuple[float, Response]] = {}
    request_id = node.calls.last_request_id
    call(sim, got, n=1, deadline=deadline)
    sim.run(seconds=0.05)
    assert [r.status for _, r in got.values()] == [503]
    assert node.calls.last_request_id == request_id


def test_asking_for_a_state_logs_nothing() -> None:
    sim, node = ready(seed=5)
    got: dict[str, tuple[float, Response]] = {}
    job_id = call(sim, got, n=7)
    sim.run(seconds=1.0)
    primary = sim.core(sim.serving(group_id=1)[0])
    applied, request_id = primary.replicas[1].last_applied, node.calls.last_request_id
    for _ in range(50):
        got.clear()
        call(sim, got, n=7, method="GET")
        sim.run(seconds=0.02)
        assert got[job_id][1].status == 200
    assert primary.replicas[1].last_applied == applied
    assert node.calls.last_request_id == request_id + 50


def test_an_edge_stays_ready_while_cores_are_busy_and_says_so_when_it_is_cut_off() -> None:
    sim, node = ready(seed=6)
    sim.lose = lambda src, dst, kind, m: kind is Kind.HEARTBEAT_ACK and dst == sim.edge_ips[0]
    for _ in range(9):  # no longer: proof older than three quarters of `config-apply-ms` is none
        sim.run(seconds=0.1)
        node.now = sim.now
        assert node.ready()
    got: dict[str, tuple[float, Response]] = {}
    for n in range(30):  # answers of calls prove the way as well as those of hearts
        call(sim, got, n=n)
        sim.run(seconds=0.2)
        node.now = sim.now
        assert node.ready()
    cut(sim)
    sim.run(seconds=1.5)
    node.now = sim.now
    assert not node.ready()
    sim.lose = lambda src, dst, kind, m: False
    sim.heal()
    sim.run(seconds=1.0)
    node.now = sim.now
    assert node.ready()
