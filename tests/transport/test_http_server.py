"""The callers' side over in-memory streams and a simulated clock: limits, slow and broken heads, draining."""

import random

import h11
import pytest
import trio
import trio.testing

from yarrowloom.transport import plain_reader
from yarrowloom.transport.http_head import Unread, write_head
from yarrowloom.transport.http_messages import Limits, Request, Response
from yarrowloom.transport.http_server import Server


async def echo(request: Request) -> Response:
    return Response.of(200, {"n": len(request.body)})


def talk(*, data: bytes, wait: float = 0.0, closing: bool = False, limits: Limits | None = None) -> tuple[bytes, float]:
    """Send bytes, then stay silent; what came back, and when the server let go."""

    async def main() -> tuple[bytes, float]:
        ours, theirs = trio.testing.memory_stream_pair()
        server = Server(handler=echo, limits=limits or Limits(), closing=closing)
        begun = trio.current_time()
        got = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            await ours.send_all(data)
            while chunk := await ours.receive_some(65536):
                got += chunk
        return got, trio.current_time() - begun

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_answers_and_keeps_the_connection_until_idle() -> None:
    got, took = talk(
        data=b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    )
    assert got.count(b"HTTP/1.1 200") == 2
    assert b'{"n":3}' in got
    assert 14 < took < 16


def test_slow_head_is_told_so_and_let_go() -> None:
    got, took = talk(data=b"GET /a HTTP/1.1\r\nHos")
    assert got.startswith(b"HTTP/1.1 408")
    assert 2.9 < took < 3.5


def test_oversized_head_and_body() -> None:
    limits = Limits(header_bytes=2048, body_bytes=10)
    got, _ = talk(data=b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 9000 + b"\r\n\r\n", limits=limits)
    assert got.startswith(b"HTTP/1.1 431")
    got, _ = talk(data=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", limits=limits)
    assert got.startswith(b"HTTP/1.1 413")
    got, _ = talk(
        data=b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n",
        limits=limits,
    )
    assert got.startswith(b"HTTP/1.1 413")


def test_unreadable_head() -> None:
    got, took = talk(data=b"\x00\x01 nonsense\r\n\r\n")
    assert got.startswith(b"HTTP/1.1 400")
    assert took < 1


def test_draining_answers_then_closes() -> None:
    got, took = talk(data=b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", closing=True)
    assert b"HTTP/1.1 200" in got
    assert b"connection: close" in got.lower()
    assert took < 1


async def mirror(request: Request) -> Response:
    return Response.of(
        200 if request.body else 404,
        [request.method, request.path, sorted(request.headers.items()), len(request.body)],
        headers=(("retry-after", "1"),),
    )


def pieces(*, parts: list[bytes], gap: float, end: bool) -> tuple[bytes, float]:
    """Send parts with pauses between them; what came back, and when the server let go."""

    async def main() -> tuple[bytes, float]:
        ours, theirs = trio.testing.memory_stream_pair()
        server = Server(handler=mirror, limits=Limits(header_bytes=2048, body_bytes=500))
        got = b""

        async def push() -> None:
            try:
                for part in parts:
                    await ours.send_all(part)
                    await trio.sleep(gap)
                if end:
                    await ours.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass

        begun = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            nursery.start_soon(push)
            while chunk := await ours.receive_some(65536):
                got += chunk
            took = trio.current_time() - begun
            nursery.cancel_scope.cancel()
        return got, took

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


HEADS = [
    b"PUT /minions/i HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
    b"PUT /m HTTP/1.1\r\nHost: h\r\nX: \t a b \t\r\nConnection: keep-alive\r\ncontent-length: 0\r\n\r\n",
    b"GET /q?a=1 HTTP/1.1\r\nHost: h\r\nAccept:*/*\r\nY:\r\n\r\n",
    b"GET /q HTTP/1.1\r\n\r\n",
    b"GET /q HTTP/1.0\r\nHost: h\r\n\r\n",
    b"HEAD /q HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /q HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    b"GET /q HTTP/1.1\nHost: h\n\n",
    b"POST /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"POST /q HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
    b"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: -2\r\n\r\n",
    b"GET /q HTTP/1.1\r\nHost: h\r\n X: y\r\n\r\n",
    b"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 501\r\n\r\n" + b"z" * 501,
    b"\x16\x03\x01",
    b"GET /q HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2100 + b"\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: \xe4\r\n\r\n",
    b"GET /" + b"p" * 1990 + b" HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 1000 + b"\r\n\r\n",
    b"GET /q HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    b"GET  /q HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /q",
]


@pytest.mark.parametrize("seed", range(150))
def test_the_short_way_answers_as_h11_does(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Plain and odd requests, one after another, in any pieces, slow, cut off or left open."""
    rng = random.Random(seed)
    raw = b"".join(rng.choice(HEADS[:3] if rng.random() < 0.6 else HEADS) for _ in range(rng.randint(1, 5)))
    if rng.random() < 0.2:
        raw = raw[: rng.randrange(len(raw)) + 1]
    cuts = sorted(rng.randrange(len(raw) + 1) for _ in range(rng.randint(0, 4)))
    parts = [p for a, b in zip([0, *cuts], [*cuts, len(raw)], strict=True) if (p := raw[a:b])]
    gap, end = rng.choice([0.0, 0.0, 0.4, 1.4, 2.9]), rng.random() < 0.3
    got, took = pieces(parts=parts, gap=gap, end=end)
    monkeypatch.setattr(plain_reader, "read_head", lambda **_: Unread.NOT_PLAIN)
    want, until = pieces(parts=parts, gap=gap, end=end)
    assert got.lower() == want.lower()
    assert abs(took - until) < 0.01


def test_a_header_that_cannot_be_written_is_refused() -> None:
    for val in ("a\r\nb: c", "a\nb", "\u20ac"):
        with pytest.raises(h11.LocalProtocolError):
            write_head(status=200, headers=(("x", val),), closing=False, size=0)
