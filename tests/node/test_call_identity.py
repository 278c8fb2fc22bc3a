"""An answer belongs to one call of one life of one node, and comes from a node that was asked."""

from typing import Any

import orjson

from yarrowloom.common.log import Log
from yarrowloom.node.call_messages import GroupReply
from yarrowloom.node.config_reads import OPERATOR_CALL_TTL_S
from yarrowloom.node.core import CoreNode
from yarrowloom.node.http_routes import dispatch
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.http_messages import Request
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import Kind

ADDR = "10.9.0.9:7000"


def caller(*, sim: Sim, incarnation: int, node_id: str = ADDR + "#0") -> CoreNode:
    """A core process beside the cluster that knows its epochs."""
    node = CoreNode(
        settings=sim.settings(ip="10.9.0.9", first=False),
        node_id=node_id,
        incarnation=incarnation,
        first=False,
        now=sim.now,
        log=Log(name="t", level="error"),
    )
    node.learn(epochs=sim.core(sim.serving(group_id=0)[0]).epochs.rows())
    node.now = sim.now
    return node


def asked(node: CoreNode) -> tuple[str, dict[str, Any]]:
    """The call that a node has just sent: the address and the message."""
    rows = [(address, orjson.loads(body)) for address, kind, body in node.out.sends if kind is Kind.CALL]
    node.out.sends.clear()
    assert len(rows) == 1
    return rows[0]


def answered(sim: Sim, *, node_id: str, m: dict[str, Any]) -> tuple[str, dict[str, Any]]:
    """What the primary of group 0 answers a call: who and what."""
    primary = sim.core(sim.serving(group_id=0)[0])
    got: list[dict[str, Any]] = []
    real = primary.send_message

    def send(*, node_id: str, message: Message) -> None:
        if isinstance(message, GroupReply):
            got.append(orjson.loads(message.encoded()))
        real(node_id=node_id, message=message)

    primary.send_message = send  # type: ignore[method-assign]
    primary.on_message(node_id=node_id, kind=Kind.CALL, body=m)
    assert sim.until(cond=lambda: bool(got), limit=2.0)
    primary.send_message = real  # type: ignore[method-assign]
    return primary.node_id, got[0]


def ends(node: CoreNode) -> list[int]:
    """The statuses that the node's HTTP calls were answered with."""
    return [response.status for _, response in node.out.answers]


def ask(node: CoreNode) -> dict[str, Any]:
    dispatch(node=node, call=1, request=Request(method="GET", path="/config", headers={}))
    return asked(node)[1]


def test_an_answer_to_an_earlier_life_is_not_taken_by_the_next_one() -> None:
    sim, _, _, _ = cluster(seed=5)
    old = caller(sim=sim, incarnation=1_000_000)
    by, late = answered(sim, node_id=old.node_id, m=ask(old))
    new = caller(sim=sim, incarnation=2_000_000)  # the numbers of both began alike: incarnation modulo a million
    ask(new)
    new.on_message(node_id=by, kind=Kind.REPLY, body=late)
    assert ends(new) == []
    assert len(new.calls.pending) == 1


def test_an_answer_to_a_node_that_lost_its_disk_is_not_taken_by_its_successor() -> None:
    sim, _, _, _ = cluster(seed=6)
    old = caller(sim=sim, incarnation=1)
    by, late = answered(sim, node_id=old.node_id, m=ask(old))
    new = caller(sim=sim, incarnation=1, node_id=ADDR + "#77")
    ask(new)
    new.on_message(node_id=by, kind=Kind.REPLY, body=late)
    assert ends(new) == []
    assert len(new.calls.pending) == 1


def test_an_answer_of_a_node_that_was_not_asked_is_refused() -> None:
    sim, _, _, _ = cluster(seed=7)
    node = caller(sim=sim, incarnation=1)
    by, right = answered(sim, node_id=node.node_id, m=ask(node))
    other = next(sim.core(ip).node_id for ip in sim.core_ips if sim.core(ip).node_id != by)
    node.on_message(node_id=other, kind=Kind.REPLY, body=dict(right))
    assert ends(node) == []
    assert len(node.calls.pending) == 1
    node.on_message(node_id=by, kind=Kind.REPLY, body=right)
    assert ends(node) == [200]
    assert not node.calls.pending


def test_an_answer_after_its_call_was_given_up_is_dropped() -> None:
    sim, _, _, _ = cluster(seed=8)
    node = caller(sim=sim, incarnation=1)
    by, late = answered(sim, node_id=node.node_id, m=ask(node))
    node.now += OPERATOR_CALL_TTL_S + 0.1
    node.calls.tick()
    assert ends(node) == [503]
    ask(node)
    node.on_message(node_id=by, kind=Kind.REPLY, body=late)
    assert ends(node) == [503]
    assert len(node.calls.pending) == 1
