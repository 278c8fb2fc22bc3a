"""HTTP/1.1 served on trio: one task owns one connection.

Plain requests (see `plain`) take the short way; with the first that is not, the connection and all it has received
pass to h11 for good.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import orjson
import trio

from . import listener as accept
from .header_rules import Rule, screen
from .http_head import Head, read_head, write_head

JSON = (("content-type", "application/json"),)


@dataclass(kw_only=True)
class Limits:
    """Limits on the callers' side; replaced in place when a configuration says so."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: int = 3000
    idle_ms: int = 15000


@dataclass(kw_only=True)
class Request:
    """One call as it arrived; header names are lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass(kw_only=True)
class Response:
    """What is answered."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def of(cls, status: int, document: object = None, *, headers: tuple[tuple[str, str], ...] = ()) -> "Response":
        """Build from plain data."""
        if document is None:
            return cls(status=status, headers=headers)
        return cls(status=status, body=orjson.dumps(document), headers=JSON + headers)


Handler = Callable[[Request], Awaitable[Response]]


@dataclass(kw_only=True)
class Server:
    """Serves one listening address. `closing` makes each response the last of its connection."""

    handler: Handler
    limits: Limits = field(default_factory=Limits)
    closing: bool = False
    busy: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Own one connection until it ends."""
        try:
            await _Conn(server=self, stream=stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError, h11.ProtocolError, OSError):
            pass
        finally:
            with trio.move_on_after(0.5) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)


class _Conn:
    def __init__(self, *, server: Server, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        limits = server.limits
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=max(limits.header_bytes, 1024))
        self.buffer = bytearray()  # received and not yet used on the short way
        self.deadline = 0.0  # of the request that is being read there

    async def run(self) -> None:
        first = True
        while True:
            request = await self._plain(first=first)
            if request is None:
                break
            first = False
            self.server.busy += 1
            try:
                response = await self.server.handler(request)
            finally:
                self.server.busy -= 1
            closing = self.server.closing
            head = write_head(
                status=response.status, headers=response.headers, closing=closing, size=len(response.body)
            )
            with trio.fail_after(10):
                await self.stream.send_all(head + response.body)
            if closing or ("connection", "close") in response.headers:
                return
        if self.buffer:
            self.connection.receive_data(bytes(self.buffer))
            await self._judged(first=first)

    async def _plain(self, *, first: bool) -> Request | None:
        """The next plain request; None: the connection is over, or what is in `buf` is for h11."""
        limits = self.server.limits
        began = first or bool(self.buffer)
        self.deadline = trio.current_time() + (limits.header_ms if began else limits.idle_ms) / 1000
        head: Head | bool | None = None
        while True:
            if self.buffer:
                if head is None:
                    head = read_head(buffer=self.buffer, most=limits.header_bytes)
                    if isinstance(head, Head):
                        self.deadline = trio.current_time() + max(limits.header_ms, limits.idle_ms) / 1000
                if head is False or (isinstance(head, Head) and head.end - head.start > limits.body_bytes):
                    return None
                if isinstance(head, Head) and len(self.buffer) >= head.end:
                    body = bytes(self.buffer[head.start : head.end])
                    del self.buffer[: head.end]
                    return Request(method=head.method, path=head.path, headers=head.headers, body=body)
            with trio.move_on_at(self.deadline) as scope:
                data = await self.stream.receive_some(65536)
            if scope.cancelled_caught:
                if self.buffer:
                    await self._refuse(status=408)
                    self.buffer.clear()
                return None
            if not data:
                return None  # h11 says what is wrong with half a request
            if not began:
                began = True
                self.deadline = trio.current_time() + limits.header_ms / 1000
            self.buffer += data

    async def _judged(self, *, first: bool) -> None:
        while True:
            request = await self._read(first=first)
            first = False
            if request is None:
                return
            self.server.busy += 1
            try:
                response = await self.server.handler(request)
            finally:
                self.server.busy -= 1
            await self._send(response)
            if self.connection.our_state is h11.MUST_CLOSE or self.connection.our_state is h11.CLOSED:
                return
            try:
                self.connection.start_next_cycle()
            except h11.LocalProtocolError:
                return

    async def _read(self, *, first: bool) -> Request | None:
        limits = self.server.limits
        head: h11.Request | None = None
        body = bytearray()
        wait = limits.header_ms if first else limits.idle_ms
        deadline = trio.current_time() + wait / 1000
        began = first
        if self.buffer:  # handed over: time goes on
            self.buffer.clear()
            deadline, began = self.deadline, True
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as err:
                await self._refuse(status=err.error_status_hint or 400)
                return None
            if event is h11.NEED_DATA:
                if not began and self.connection.trailing_data[0]:
                    began = True
                    deadline = trio.current_time() + limits.header_ms / 1000
                if self.connection.they_are_waiting_for_100_continue:
                    await self.stream.send_all(
                        self.connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                    )
                with trio.move_on_at(deadline) as scope:
                    data = await self.stream.receive_some(65536)
                if scope.cancelled_caught:
                    if began and (head is not None or self.connection.trailing_data[0]):
                        await self._refuse(status=408)
                    return None
                if not began and data:
                    began = True
                    deadline = trio.current_time() + limits.header_ms / 1000
                self.connection.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                deadline = trio.current_time() + max(limits.header_ms, limits.idle_ms) / 1000
                size = dict(event.headers).get(b"content-length")
                if size is not None and int(size) > limits.body_bytes:
                    await self._refuse(status=413)
                    return None
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    await self._refuse(status=413)
                    return None
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                if sum(len(k) + len(v) + 4 for k, v in head.headers) > limits.header_bytes:
                    await self._refuse(status=431)
                    return None
                return Request(
                    method=head.method.decode(),
                    path=head.target.decode("latin-1"),
                    body=bytes(body),
                    headers={k.decode(): v.decode("latin-1") for k, v in head.headers},
                )
            else:
                return None

    async def _refuse(self, *, status: int) -> None:
        if self.connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send(Response(status=status, headers=(("connection", "close"),)))

    async def _send(self, response: Response) -> None:
        if self.connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = screen(headers=response.headers, rule=Rule.RESPONSE)
        if self.server.closing and not any(k == "connection" for k, _ in headers):
            headers.append(("connection", "close"))
        headers.append(("content-length", str(len(response.body))))
        data = self.connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self.connection.send(h11.Data(data=response.body)) or b""
        data += self.connection.send(h11.EndOfMessage()) or b""
        with trio.fail_after(10):
            await self.stream.send_all(data)


async def listen(
    *, address: str, server: Server, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Accept connections at HOST:PORT for ever; started once clients can connect. The listener is closed once this has
    ended, however it ends.
    """
    with accept.open_listener(address=address) as listener:
        task_status.started()
        await accept.serve(listener=listener, handler=server.serve)
