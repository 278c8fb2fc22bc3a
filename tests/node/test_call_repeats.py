"""What a call that is sent again, late, or to a successor at the same address may do: once, or nothing."""

from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.registry import Registry
from yarrowloom.node.call_messages import GroupReply
from yarrowloom.node.core import CoreNode
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import Kind

CALLER = "10.9.0.9:7000#0"
STEP = {"task-count": 2, "cpus": 500, "mem-mb": 64, "estimate-ms": 500}


def answers(sim: Sim, node: CoreNode, *, m: dict[str, Any], wait: float = 1.0) -> list[tuple[int, Any]]:
    """What a node answers a call, sent as given."""
    got: list[tuple[int, Any]] = []
    real = node.send_message

    def send(*, node_id: str, message: Message) -> None:
        if isinstance(message, GroupReply) and message.request_id == m["rid"] and node_id == CALLER:
            reply = orjson.loads(message.encoded())
            got.append((reply["s"], reply["d"]))
        real(node_id=node_id, message=message)

    node.send_message = send  # type: ignore[method-assign]
    node.on_message(node_id=CALLER, kind=Kind.CALL, body=orjson.loads(orjson.dumps(m)))
    sim.run(seconds=wait)
    node.send_message = real  # type: ignore[method-assign]
    return got


def owner_of(sim: Sim, *, minion_id: str) -> CoreNode:
    return next(sim.core(ip) for ip in sim.core_ips if minion_id in sim.core(ip).agent.minions)


@pytest.mark.parametrize("op", ["leave", "beat"])
def test_a_call_for_the_agent_of_a_node_that_is_gone_is_not_carried_out_by_its_successor(op: str) -> None:
    sim, _, _, _ = cluster(seed=501)
    node = owner_of(sim, minion_id="i-0")
    gone = node.node_id.split("#")[0] + "#before"
    m = {"rid": 5, "to": gone, "g": -1, "op": op, "b": {"m": "i-0", "d": {}}}
    assert answers(sim, node, m=m) == [(503, {})]
    assert not node.agent.minions["i-0"].is_draining


def test_a_node_that_does_not_hold_a_minion_does_not_say_that_it_has_left() -> None:
    """It answered 200: the minion ended, and its agent went on to wait for it."""
    sim, _, _, _ = cluster(seed=502)
    owner = owner_of(sim, minion_id="i-0")
    other = next(sim.core(ip) for ip in sim.core_ips if sim.core(ip) is not owner)
    m = {"rid": 6, "to": other.node_id, "g": -1, "op": "leave", "b": {"m": "i-0"}}
    assert answers(sim, other, m=m) == [(503, {})]


def test_a_minion_leaves_through_any_node_and_its_agent_knows() -> None:
    sim, _, _, _ = cluster(seed=503)
    owner = owner_of(sim, minion_id="i-0")
    for ip in sim.core_ips:
        status, _ = sim.ask(ip=ip, method="DELETE", path="/minions/i-0")
        assert status == 200
        assert owner.agent.minions["i-0"].is_draining


def test_only_nodes_that_were_asked_answer_a_minion_that_leaves() -> None:
    """The primary of group 0 handed the call on, and a third node answered it."""
    sim, _, _, _ = cluster(seed=504)
    primary = sim.core(sim.serving(group_id=0)[0])
    minion_id = next(m for ip in sim.core_ips if sim.core(ip) is not primary for m in sim.core(ip).agent.minions)
    got = answers(sim, primary, m={"rid": 7, "to": primary.node_id, "g": 0, "op": "leave", "b": {"m": minion_id}})
    assert got == [(200, {"o": owner_of(sim, minion_id=minion_id).node_id})]
    got = answers(sim, primary, m={"rid": 8, "to": primary.node_id, "g": 0, "op": "leave", "b": {"m": "i-unknown"}})
    assert got == [(200, {})]


@pytest.mark.parametrize("seed", range(6))
def test_a_job_that_is_handed_in_again_after_a_change_of_primary_is_one_job(seed: int) -> None:
    sim, oracle, caller, _ = cluster(seed=510 + seed)
    job_id = caller.submit(stages=[dict(STEP)])
    assert sim.until(cond=lambda: job_id in oracle.accepted, limit=3.0)
    node = sim.core(sim.serving(group_id=1)[0])
    queue = node.jobs[1].jobs[job_id].queue
    old = sim.serving(group_id=1)[0]
    sim.kill(ip=old)
    assert sim.until(cond=lambda: bool(sim.serving(group_id=1)), limit=8.0)
    new = sim.core(sim.serving(group_id=1)[0])
    assert new.node_id != node.node_id
    b = {"id": job_id, "q": queue, "j": {}}
    for request_id in (9, 9, 10):
        assert answers(sim, new, m={"rid": request_id, "to": "", "g": 1, "op": "put", "b": b}) == [(200, {})]
    other = {"id": job_id, "q": "another", "j": {}}
    assert answers(sim, new, m={"rid": 11, "to": "", "g": 1, "op": "put", "b": other}) == [(409, {})]
    sim.run(seconds=6.0)
    assert caller.state(job_id=job_id) == (200, "complete")
    assert oracle.broken == []


def test_a_cancelled_job_stays_so_when_the_call_that_handed_it_in_comes_late() -> None:
    sim, oracle, caller, _ = cluster(seed=520)
    job_id = caller.submit(stages=[{**STEP, "estimate-ms": 60000}])
    assert sim.until(cond=lambda: job_id in oracle.accepted, limit=3.0)
    node = sim.core(sim.serving(group_id=1)[0])
    queue = node.jobs[1].jobs[job_id].queue
    b = {"id": job_id, "q": queue}
    for request_id in (12, 13):
        assert answers(sim, node, m={"rid": request_id, "to": "", "g": 1, "op": "del", "b": b}) == [(200, {})]
    assert answers(sim, node, m={"rid": 14, "to": "", "g": 1, "op": "put", "b": {**b, "j": {}}}) == [(200, {})]
    assert node.jobs[1].jobs[job_id].state == "cancelled"


def test_the_end_of_a_minion_told_late_does_not_end_the_one_that_came_back() -> None:
    """`gone` is sent again for half a minute."""
    registry = Registry()
    registry.apply({"t": "own", "ms": [["i-0", "a#0", {"site": "z", "svc": "s", "labels": []}]]})
    first = registry.minions["i-0"].fence
    for _ in range(2):
        registry.apply({"t": "gone", "m": "i-0", "f": first})
    assert registry.minions == {}
    registry.apply({"t": "own", "ms": [["i-0", "b#0", {"site": "z", "svc": "s", "labels": []}]]})
    registry.apply({"t": "gone", "m": "i-0", "f": first})
    assert registry.minions["i-0"].owner == "b#0"


def test_a_beat_that_comes_again_or_late_changes_nothing() -> None:
    sim, _, _, _ = cluster(seed=530)
    node = owner_of(sim, minion_id="i-0")
    minion = node.agent.minions["i-0"]
    document = {
        "backend": "svc",
        "zone": "z0",
        "state": "draining",
        "call-seq": minion.last_call_number,
        "running": [["x.0.0.0", 9]],
        "capacity": {"cpus": 1, "mem-mb": 1, "gpus": 0},
    }
    before = (minion.last_call_number, dict(minion.listed_runs), minion.capacity, minion.is_draining)
    m = {"rid": 15, "to": node.node_id, "g": -1, "op": "beat", "b": {"m": "i-0", "d": document}}
    got = answers(sim, node, m=m, wait=0.0)
    assert (minion.last_call_number, dict(minion.listed_runs), minion.capacity, minion.is_draining) == before
    assert got == [(200, {"fence-no": minion.fence})]


def test_a_who_call_that_comes_again_gives_one_owner() -> None:
    sim, _, _, _ = cluster(seed=540)
    primary = sim.core(sim.serving(group_id=0)[0])
    b = {"m": "i-new", "site": "z1", "svc": "svc", "labels": []}
    owners = [
        answers(sim, primary, m={"rid": request_id, "to": primary.node_id, "g": 0, "op": "who", "b": b})
        for request_id in (20, 20, 21)
    ]
    assert all(rows == owners[0] and rows[0][0] == 200 for rows in owners)
    fence = primary.registry.minions["i-new"].fence
    assert answers(sim, primary, m={"rid": 22, "to": primary.node_id, "g": 0, "op": "who", "b": b}) == owners[0]
    assert primary.registry.minions["i-new"].fence == fence
