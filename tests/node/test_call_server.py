"""Calls of other nodes: each is carried out once, and declined by a node that no longer serves its group."""

from typing import Any

import orjson

from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.message_kinds import Kind


def test_a_repeat_is_skipped_while_its_call_is_in_progress_and_taken_after_its_reply() -> None:
    sim, _, _, _ = cluster(seed=81)
    ip = sim.serving(group_id=1)[0]
    node = sim.core(ip)
    taken: list[int] = []
    scheduler = node.schedulers[1]
    real = scheduler.call

    def call(*, node_id: str, request_id: int, operation: str, arguments: dict[str, Any]) -> None:
        taken.append(request_id)
        real(node_id=node_id, request_id=request_id, operation=operation, arguments=arguments)

    scheduler.call = call  # type: ignore[method-assign]
    m = {"rid": 7, "g": 1, "op": "count", "b": {"q": "fast"}}
    node.replicas[1].commit(event={"t": "forget", "ids": []})  # an answer must wait for this event
    for _ in range(5):
        node.on_message(node_id="10.0.1.1:7001#ff", kind=Kind.CALL, body=orjson.loads(orjson.dumps(m)))
    assert taken == [7]
    sim.run(seconds=1.0)
    node.on_message(node_id="10.0.1.1:7001#ff", kind=Kind.CALL, body=m)
    assert taken == [7, 7]


def test_a_deposed_primary_declines_the_calls_in_progress() -> None:
    sim, _, _, _ = cluster(seed=82)
    ip = sim.serving(group_id=1)[0]
    node = sim.core(ip)
    node.replicas[1].commit(event={"t": "forget", "ids": []})
    node.on_message(
        node_id="10.0.1.1:7001#ff", kind=Kind.CALL, body={"rid": 7, "g": 1, "op": "count", "b": {"q": "fast"}}
    )
    node.out.sends.clear()
    node.leave()
    rows = [orjson.loads(body) for _, kind, body in node.out.sends if kind is Kind.REPLY]
    assert [(r["rid"], r["s"]) for r in rows] == [(7, 421)]
