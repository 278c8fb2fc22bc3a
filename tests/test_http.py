"""The callers' side over in-memory streams and a simulated clock: limits, slow and broken heads, draining."""

from typing import cast

import trio
import trio.testing

from yarrowloom.wire.http import Limits, Request, Response, Server


async def echo(req: Request) -> Response:
    return Response.of(200, {"n": len(req.body)})


def talk(*, data: bytes, wait: float = 0.0, closing: bool = False, limits: Limits | None = None) -> tuple[bytes, float]:
    """Send bytes, then stay silent; what came back, and when the server let go."""
    async def main() -> tuple[bytes, float]:
        ours, theirs = trio.testing.memory_stream_pair()
        srv = Server(handler=echo, limits=limits or Limits(), closing=closing)
        begun = trio.current_time()
        got = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(srv.serve, cast(trio.SocketStream, theirs))
            await ours.send_all(data)
            while chunk := await ours.receive_some(65536):
                got += chunk
        return got, trio.current_time() - begun

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_answers_and_keeps_the_connection_until_idle() -> None:
    got, took = talk(data=b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                          b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
    assert got.count(b"HTTP/1.1 200") == 2 and b'{"n":3}' in got
    assert 14 < took < 16


def test_slow_head_is_told_so_and_let_go() -> None:
    got, took = talk(data=b"GET /a HTTP/1.1\r\nHos")
    assert got.startswith(b"HTTP/1.1 408") and 2.9 < took < 3.5


def test_oversized_head_and_body() -> None:
    lim = Limits(header_bytes=2048, body_bytes=10)
    got, _ = talk(data=b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 9000 + b"\r\n\r\n", limits=lim)
    assert got.startswith(b"HTTP/1.1 431")
    got, _ = talk(data=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", limits=lim)
    assert got.startswith(b"HTTP/1.1 413")
    got, _ = talk(data=b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                       b"b\r\nhello world\r\n0\r\n\r\n", limits=lim)
    assert got.startswith(b"HTTP/1.1 413")


def test_unreadable_head() -> None:
    got, took = talk(data=b"\x00\x01 nonsense\r\n\r\n")
    assert got.startswith(b"HTTP/1.1 400") and took < 1


def test_draining_answers_then_closes() -> None:
    got, took = talk(data=b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", closing=True)
    assert b"HTTP/1.1 200" in got and b"connection: close" in got.lower() and took < 1
