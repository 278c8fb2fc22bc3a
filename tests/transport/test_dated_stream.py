"""Requests carry a time that is certainly before they were sent, however long they waited unread: over real sockets."""

import contextlib
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial

import pytest
import trio
import trio.testing

from tests.support.loopback import HOST, reserved_ports
from yarrowloom.transport.http_messages import Request, Response
from yarrowloom.transport.http_server import Server, listen

PLAIN, BY_H11 = b"", b"TE: trailers\r\n"
LIMIT_S = 20.0


class Service:
    """A server whose handler keeps what it is asked, and answers a path once that is allowed.

    Whatever the test does between two awaits is a standstill of the server.
    """

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.requests: dict[str, Request] = {}
        self._asked: dict[str, trio.Event] = {}
        self._allowed: dict[str, trio.Event] = {}
        self.clients = contextlib.ExitStack()

    def connect(self) -> socket.socket:
        return self.clients.enter_context(socket.create_connection((HOST, self.port)))

    def asked(self, path: str) -> trio.Event:
        return self._asked.setdefault(path, trio.Event())

    def allowed(self, path: str) -> trio.Event:
        return self._allowed.setdefault(path, trio.Event())

    async def handle(self, request: Request) -> Response:
        self.requests[request.path] = request
        self.asked(request.path).set()
        await self.allowed(request.path).wait()
        return Response.of(200)

    async def sent_after(self, path: str) -> float:
        await self.asked(path).wait()
        self.allowed(path).set()
        return self.requests[path].sent_after


def play(script: Callable[[Service], Awaitable[None]]) -> None:
    async def main(port: int) -> None:
        service = Service(port=port)
        with trio.fail_after(LIMIT_S), service.clients:
            async with trio.open_nursery() as nursery:
                server = Server(handler=service.handle)
                await nursery.start(partial(listen, address=f"{HOST}:{port}", server=server))
                await script(service)
                nursery.cancel_scope.cancel()

    with reserved_ports(1) as [port]:
        trio.run(main, port)


def get(path: str, *, more: bytes) -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: h\r\n%b\r\n" % (path.encode(), more)


async def idle() -> None:
    """The server has nothing to do, and polls its sockets more than once."""
    for _ in range(3):
        await trio.testing.wait_all_tasks_blocked()


@pytest.mark.parametrize("more", [PLAIN, BY_H11])
def test_a_request_on_a_new_connection_that_waited_is_not_dated_later_than_it_was_sent(more: bytes) -> None:
    async def script(service: Service) -> None:
        begun = time.monotonic()
        await idle()
        sent_at = time.monotonic()
        service.connect().sendall(get("/a", more=more))
        assert begun <= await service.sent_after("/a") <= sent_at

    play(script)


@pytest.mark.parametrize("more", [PLAIN, BY_H11])
def test_a_request_on_an_idle_connection_is_dated_between_its_opening_and_its_sending(more: bytes) -> None:
    async def script(service: Service) -> None:
        client = service.connect()
        for path in ("/a", "/b"):
            await idle()
            idle_at = time.monotonic()
            await idle()
            sent_at = time.monotonic()
            client.sendall(get(path, more=more))
            assert idle_at <= await service.sent_after(path) <= sent_at

    play(script)


@pytest.mark.parametrize("more", [PLAIN, BY_H11])
def test_a_request_that_waited_behind_another_is_not_dated_later_than_it_was_sent(more: bytes) -> None:
    async def script(service: Service) -> None:
        client = service.connect()
        client.sendall(get("/a", more=more))
        await service.asked("/a").wait()
        sent_at = time.monotonic()
        client.sendall(get("/b", more=more))
        await idle()  # it is not read: the first one is still being answered
        await service.sent_after("/a")
        assert await service.sent_after("/b") <= sent_at

    play(script)


@pytest.mark.parametrize("more", [PLAIN, BY_H11])
def test_requests_sent_together_are_not_dated_later_than_they_were_sent(more: bytes) -> None:
    async def script(service: Service) -> None:
        await idle()
        sent_at = time.monotonic()
        service.connect().sendall(get("/a", more=more) + get("/b", more=more))
        assert await service.sent_after("/a") <= sent_at
        await idle()
        assert await service.sent_after("/b") <= sent_at

    play(script)


@pytest.mark.parametrize("more", [PLAIN, BY_H11])
def test_a_request_in_parts_is_dated_by_its_first_one(more: bytes) -> None:
    async def script(service: Service) -> None:
        client = service.connect()
        await idle()
        sent_at = time.monotonic()
        whole = get("/a", more=more)
        client.sendall(whole[:-2])
        await idle()
        client.sendall(whole[-2:])
        assert await service.sent_after("/a") <= sent_at

    play(script)


def test_connections_that_wait_for_many_others_are_not_dated_later_than_they_were_opened() -> None:
    async def script(service: Service) -> None:
        await idle()
        sent_at = time.monotonic()
        for i in range(150):
            service.connect().sendall(get(f"/{i}", more=PLAIN))
        dates = [await service.sent_after(f"/{i}") for i in range(150)]
        assert max(dates) <= sent_at
        await idle()
        idle_at = time.monotonic()
        await idle()
        service.connect().sendall(get("/late", more=PLAIN))
        assert idle_at <= await service.sent_after("/late")

    play(script)
