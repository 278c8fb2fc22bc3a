"""Requests that wait in the socket of a process that stands still: real processes on loopback (issue 43).

The senders keep their connections open, and a process stands still for no longer than the other calls take. Nothing
that is looked at depends on times.
"""

import pathlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest
import trio

from yarrowloom.replication.roles import Role
from yarrowloom.simulator.sample_config import HOST, config
from yarrowloom.testbed.cluster import Cluster, Node, Shape

pytestmark = pytest.mark.crowd

GUARD_S = 120.0  # ends a test that would hang
DEADLINE_MS = 30_000  # of clients' requests: longer than any standstill here
LOOK_S = 0.02
ZONE = "hall-0"
EVACUATION = f"/evacuation/{ZONE}"
JOB = {"task-spec": "x", "stages": [{"task-count": 1, "cpus": 1}]}
CANCELLED, KEPT = "/fast/00000000000000c0", "/fast/00000000000000c1"


def play(script: Callable[[Cluster], Awaitable[None]], *, shape: Shape) -> None:
    async def main() -> None:
        with trio.fail_after(GUARD_S), Cluster(shape=shape) as cluster:
            cluster.start_all()
            document = config(version=2)
            for route in document["route-table"]:
                route["deadline-ms"] = DEADLINE_MS
            await cluster.configure(document=document)
            await cluster.ready()
            await script(cluster)
            cluster.watch()

    trio.run(main)


class Waiting:
    """A request on a connection of its own that stays open."""

    def __init__(self, *, address: str, method: str, path: str, document: object = None) -> None:
        host, port = address.split(":")
        body = b"" if document is None else orjson.dumps(document)
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n"
        self._socket = socket.create_connection((host, int(port)))
        self._socket.sendall(head.encode() + body)

    async def status(self) -> int:
        with self._socket:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(self._socket))
            return int((await stream.receive_some(65536)).split()[1])


async def stop(cluster: Cluster, node: Node) -> None:
    """A process stands still; this returns once it does."""
    assert node.proc is not None
    cluster.freeze(node=node, on=True)
    stat = pathlib.Path(f"/proc/{node.proc.pid}/stat")
    while stat.read_text().rsplit(")", 1)[1].split()[0] != "T":
        await trio.sleep(LOOK_S)


async def ask(cluster: Cluster, *, address: str, method: str, path: str, document: object = None) -> int:
    status, _ = await cluster.call(method=method, address=address, path=path, document=document, Host=HOST)
    return status


async def order(cluster: Cluster, *, node: Node, method: str) -> None:
    """An operator's order, sent again until it is acknowledged."""
    while await ask(cluster, address=node.binds["control"], method=method, path=EVACUATION) != 200:
        await trio.sleep(LOOK_S)


async def state(cluster: Cluster, node: Node) -> dict[str, Any]:
    """What a core knows."""
    while True:
        status, document = await cluster.call(method="GET", address=node.binds["control"], path="/state")
        if status == 200:
            assert isinstance(document, dict)
            return document
        await trio.sleep(LOOK_S)


async def bystander(cluster: Cluster) -> Node:
    """A core that holds nothing of group 0, once there is one."""
    while True:
        for node in cluster.cores:
            known = await state(cluster, node)
            group = known["groups"]["0"]
            if group["role"] == Role.IDLE.value and group["epoch"] and len(known["members"]) == len(cluster.cores):
                return node
        await trio.sleep(LOOK_S)


# Guards against a job that runs after its cancelling was answered with 410 (review/10, UNASKED).
def test_a_submission_in_the_socket_of_an_edge_is_judged_by_when_it_was_sent() -> None:
    async def script(cluster: Cluster) -> None:
        edge, other = cluster.edges
        front, near = edge.binds["front"], other.binds["front"]
        await stop(cluster, edge)
        waiting = [Waiting(address=front, method="POST", path=path, document=JOB) for path in (CANCELLED, KEPT)]
        assert await ask(cluster, address=near, method="DELETE", path=CANCELLED) == 410
        cluster.freeze(node=edge, on=False)
        assert [await request.status() for request in waiting] == [503, 200]
        shown = [await ask(cluster, address=near, method="GET", path=path) for path in (CANCELLED, KEPT)]
        assert shown == [410, 200]
        assert await ask(cluster, address=front, method="POST", path=CANCELLED, document=JOB) == 200  # sent after it

    play(script, shape=Shape(cores=1, edges=2))


# Guards against an old order that undoes the evacuation in force (review/9, EVAC).
@pytest.mark.parametrize("last", ["POST", "DELETE"])
def test_an_evacuation_order_in_the_socket_of_a_core_does_not_undo_a_later_one(last: str) -> None:
    async def script(cluster: Cluster) -> None:
        old = {"POST": "DELETE", "DELETE": "POST"}[last]
        evacuated = [ZONE] if last == "POST" else []
        stopped = await bystander(cluster)
        near = next(node for node in cluster.cores if node is not stopped)
        await order(cluster, node=near, method="POST")
        if last == "DELETE":
            await order(cluster, node=near, method=last)
        while (await state(cluster, stopped))["evacuated"] != evacuated:
            await trio.sleep(LOOK_S)
        await stop(cluster, stopped)
        waiting = Waiting(address=stopped.binds["control"], method=old, path=EVACUATION)
        for method in (old, last):
            await order(cluster, node=near, method=method)
        cluster.freeze(node=stopped, on=False)
        assert await waiting.status() == 503
        for node in cluster.cores:
            while (await state(cluster, node))["evacuated"] != evacuated:
                await trio.sleep(LOOK_S)
        assert (await state(cluster, near))["evacuated"] == evacuated

    play(script, shape=Shape(cores=3, edges=1))


# Guards against refusing what waited, though nothing newer contradicts it.
def test_an_evacuation_order_in_the_socket_of_a_core_is_carried_out_if_none_came_meanwhile() -> None:
    async def script(cluster: Cluster) -> None:
        stopped = await bystander(cluster)
        near = next(node for node in cluster.cores if node is not stopped)
        await stop(cluster, stopped)
        waiting = Waiting(address=stopped.binds["control"], method="POST", path=EVACUATION)
        assert (await state(cluster, near))["evacuated"] == []
        cluster.freeze(node=stopped, on=False)
        assert await waiting.status() == 200
        while (await state(cluster, near))["evacuated"] != [ZONE]:
            await trio.sleep(LOOK_S)

    play(script, shape=Shape(cores=3, edges=1))
