"""An answer belongs to one exchange on one connection: over real sockets on loopback, matched by the runtime."""

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from tests.support.loopback import HOST, settings
from yarrowloom.common.log import Log
from yarrowloom.common.settings import check
from yarrowloom.node.runtime import Runtime
from yarrowloom.node.startup import open_edge
from yarrowloom.transport.http_messages import Request, Response
from yarrowloom.transport.http_server import Server

SILENT_TICKS_S = 100.0  # later than any call waits
Handler = Callable[[Request], Awaitable[Response]]


class Bench:
    """An edge's runtime behind a listening socket; the test answers in the node's place."""

    def __init__(self) -> None:
        document = settings(binds={"front": f"{HOST}:1"}, inner=7000, seed=f"{HOST}:2", data=None)
        self.runtime: Runtime = open_edge(settings=check(document=document), log=Log(name="t", level="error"))
        self.runtime.credit_s = 1e9
        self.asked: dict[str, int] = {}  # the node's key of each call, by path
        self._arrivals: dict[str, trio.Event] = {}
        self.clients = contextlib.ExitStack()  # closed with the test
        self.runtime.node.on_http_request = self._on_request  # type: ignore[method-assign]
        self.runtime.node.tick = lambda: None  # type: ignore[method-assign]
        self.runtime.inputs._tick.run = lambda: None
        self.server = Server(handler=self.runtime.handle_request)
        self.port = 0

    def _on_request(self, *, call: Any, request: Request) -> None:
        self.asked[request.path] = call
        self._arrival(request.path).set()

    def _arrival(self, path: str) -> trio.Event:
        return self._arrivals.setdefault(path, trio.Event())

    async def listen(self, *, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self.server.serve, listeners)

    async def asks(self, path: str) -> int:
        """Wait until the node has been asked this."""
        await self._arrival(path).wait()
        return self.asked[path]

    def answer(self, path: str) -> None:
        """The node answers; the body tells which call it is for."""
        response = Response.of(200, {"for": path})
        self.runtime.step(lambda: self.runtime.node.respond(call=self.asked[path], response=response))

    def time_out(self) -> None:
        """All calls in hand have waited too long."""
        self.runtime.node.now += SILENT_TICKS_S * 1e6
        self.runtime.tick()


async def connected(bench: Bench, *, port: int = 0) -> trio.SocketStream:
    sock = bench.clients.enter_context(trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((HOST, port))
    await sock.connect((HOST, bench.port))
    return trio.SocketStream(sock)


def reset(stream: trio.SocketStream) -> None:
    """Close with a reset."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


def get(path: str, *, more: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n{more}\r\n".encode()


async def answers(stream: trio.SocketStream, *, count: int) -> bytes:
    got = b""
    while got.count(b"HTTP/1.1 ") < count or not got.endswith((b"}", b"content-length: 0\r\n\r\n")):
        data = await stream.receive_some(65536)
        if not data:
            break
        got += data
    return got


def play(script: Callable[[Bench], Awaitable[None]]) -> None:
    async def main() -> None:
        bench = Bench()
        with trio.fail_after(20), bench.clients:
            async with trio.open_nursery() as nursery:
                await nursery.start(bench.listen)
                await script(bench)
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("more", ["", "Expect: nothing\r\nTE: trailers\r\n"])
def test_pipelined_requests_are_answered_in_their_order(more: str) -> None:
    """On the short way and by h11."""

    async def script(bench: Bench) -> None:
        stream = await connected(bench)
        await stream.send_all(b"".join(get(f"/{i}", more=more) for i in range(5)))
        for i in range(5):
            await bench.asks(f"/{i}")
            assert f"/{i + 1}" not in bench.asked  # one at a time
            bench.answer(f"/{i}")
        got = await answers(stream, count=5)
        assert [got.index(b'"for":"/%d"' % i) for i in range(5)] == sorted(
            got.index(b'"for":"/%d"' % i) for i in range(5)
        )

    play(script)


@pytest.mark.parametrize("more", ["", "TE: trailers\r\n"])
def test_a_client_that_closed_its_sending_side_still_gets_its_answer(more: str) -> None:
    async def script(bench: Bench) -> None:
        stream = await connected(bench)
        await stream.send_all(get("/a", more=more))
        await stream.send_eof()
        await bench.asks("/a")
        bench.answer("/a")
        assert b'"for":"/a"' in await answers(stream, count=1)
        assert await stream.receive_some(10) == b""

    play(script)


@pytest.mark.parametrize(
    "half",
    [
        b"",
        b"G",
        b"GET /a HT",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ],
)
def test_a_reset_in_a_request_reaches_no_handler_and_nobody_else(half: bytes) -> None:
    async def script(bench: Bench) -> None:
        first, other = await connected(bench), await connected(bench)
        await other.send_all(get("/b"))
        await bench.asks("/b")
        await first.send_all(half)
        reset(first)
        again = await connected(bench)
        await again.send_all(get("/c"))
        await bench.asks("/c")
        bench.answer("/c")
        bench.answer("/b")
        assert b'"for":"/b"' in await answers(other, count=1)
        assert b'"for":"/c"' in await answers(again, count=1)
        assert sorted(bench.asked) == ["/b", "/c"]

    play(script)


def test_a_client_that_is_gone_while_its_call_is_in_hand_leaves_its_answer_to_nobody() -> None:
    """The call goes on, its answer is dropped; a new connection from the same address and port gets its own alone."""

    async def script(bench: Bench) -> None:
        first = await connected(bench)
        port = first.socket.getsockname()[1]
        await first.send_all(get("/a"))
        await bench.asks("/a")
        reset(first)
        again = await connected(bench, port=port)
        await again.send_all(get("/b"))
        await bench.asks("/b")
        assert len(bench.runtime.exchanges) == 2
        bench.answer("/a")
        bench.answer("/b")
        got = await answers(again, count=1)
        assert b'"for":"/b"' in got
        assert b"/a" not in got
        assert got.count(b"HTTP/1.1") == 1
        assert len(bench.runtime.exchanges) == 0

    play(script)


def test_a_reset_in_an_answer_ends_that_connection_only() -> None:
    async def script(bench: Bench) -> None:
        first, other = await connected(bench), await connected(bench)
        await first.send_all(get("/a"))
        await other.send_all(get("/b"))
        await bench.asks("/a")
        await bench.asks("/b")
        big = Response(status=200, body=b"x" * (32 << 20))
        bench.runtime.step(lambda: bench.runtime.node.respond(call=bench.asked["/a"], response=big))
        assert await first.receive_some(1000)
        reset(first)
        bench.answer("/b")
        assert b'"for":"/b"' in await answers(other, count=1)

    play(script)


def test_an_answer_after_its_call_timed_out_goes_to_no_later_call() -> None:
    async def script(bench: Bench) -> None:
        stream = await connected(bench)
        await stream.send_all(get("/a"))
        await bench.asks("/a")
        bench.time_out()
        assert (await answers(stream, count=1)).startswith(b"HTTP/1.1 504")
        await stream.send_all(get("/b"))
        await bench.asks("/b")
        bench.answer("/a")
        bench.answer("/a")
        with trio.move_on_after(0) as scope:
            await trio.sleep_forever()
        assert scope.cancelled_caught
        assert len(bench.runtime.exchanges) == 1
        bench.answer("/b")
        got = await answers(stream, count=1)
        assert got.count(b"HTTP/1.1") == 1
        assert b'"for":"/b"' in got

    play(script)


def test_a_node_that_answers_twice_is_heard_once() -> None:
    async def script(bench: Bench) -> None:
        stream = await connected(bench)
        await stream.send_all(get("/a"))
        await bench.asks("/a")
        node = bench.runtime.node

        def twice() -> None:
            for n in (1, 2):
                node.respond(call=bench.asked["/a"], response=Response.of(200, {"n": n}))

        bench.runtime.step(twice)
        assert b'{"n":1}' in await answers(stream, count=1)
        await stream.send_all(get("/b"))
        await bench.asks("/b")
        bench.answer("/b")
        assert b'"for":"/b"' in await answers(stream, count=1)

    play(script)
