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
        self.srv = server
        self.stream = stream
        lim = server.limits
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=max(lim.header_bytes, 1024))
        self.buf = bytearray()  # received and not yet used on the short way
        self.horizon = 0.0  # of the request that is being read there

    async def run(self) -> None:
        first = True
        while True:
            req = await self._plain(first=first)
            if req is None:
                break
            first = False
            self.srv.busy += 1
            try:
                response = await self.srv.handler(req)
            finally:
                self.srv.busy -= 1
            closing = self.srv.closing
            head = write_head(
                status=response.status, headers=response.headers, closing=closing, size=len(response.body)
            )
            with trio.fail_after(10):
                await self.stream.send_all(head + response.body)
            if closing or ("connection", "close") in response.headers:
                return
        if self.buf:
            self.conn.receive_data(bytes(self.buf))
            await self._judged(first=first)

    async def _plain(self, *, first: bool) -> Request | None:
        """The next plain request; None: the connection is over, or what is in `buf` is for h11."""
        lim = self.srv.limits
        began = first or bool(self.buf)
        self.horizon = trio.current_time() + (lim.header_ms if began else lim.idle_ms) / 1000
        head: Head | bool | None = None
        while True:
            if self.buf:
                if head is None:
                    head = read_head(buf=self.buf, most=lim.header_bytes)
                    if isinstance(head, Head):
                        self.horizon = trio.current_time() + max(lim.header_ms, lim.idle_ms) / 1000
                if head is False or (isinstance(head, Head) and head.end - head.start > lim.body_bytes):
                    return None
                if isinstance(head, Head) and len(self.buf) >= head.end:
                    body = bytes(self.buf[head.start : head.end])
                    del self.buf[: head.end]
                    return Request(method=head.method, path=head.path, headers=head.headers, body=body)
            with trio.move_on_at(self.horizon) as scope:
                data = await self.stream.receive_some(65536)
            if scope.cancelled_caught:
                if self.buf:
                    await self._refuse(status=408)
                    self.buf.clear()
                return None
            if not data:
                return None  # h11 says what is wrong with half a request
            if not began:
                began = True
                self.horizon = trio.current_time() + lim.header_ms / 1000
            self.buf += data

    async def _judged(self, *, first: bool) -> None:
        while True:
            req = await self._read(first=first)
            first = False
            if req is None:
                return
            self.srv.busy += 1
            try:
                response = await self.srv.handler(req)
            finally:
                self.srv.busy -= 1
            await self._send(response)
            if self.conn.our_state is h11.MUST_CLOSE or self.conn.our_state is h11.CLOSED:
                return
            try:
                self.conn.start_next_cycle()
            except h11.LocalProtocolError:
                return

    async def _read(self, *, first: bool) -> Request | None:
        lim = self.srv.limits
        head: h11.Request | None = None
        body = bytearray()
        wait = lim.header_ms if first else lim.idle_ms
        horizon = trio.current_time() + wait / 1000
        began = first
        if self.buf:  # handed over: time goes on
            self.buf.clear()
            horizon, began = self.horizon, True
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as err:
                await self._refuse(status=err.error_status_hint or 400)
                return None
            if event is h11.NEED_DATA:
                if not began and self.conn.trailing_data[0]:
                    began = True
                    horizon = trio.current_time() + lim.header_ms / 1000
                if self.conn.they_are_waiting_for_100_continue:
                    await self.stream.send_all(
                        self.conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                    )
                with trio.move_on_at(horizon) as scope:
                    data = await self.stream.receive_some(65536)
                if scope.cancelled_caught:
                    if began and (head is not None or self.conn.trailing_data[0]):
                        await self._refuse(status=408)
                    return None
                if not began and data:
                    began = True
                    horizon = trio.current_time() + lim.header_ms / 1000
                self.conn.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                horizon = trio.current_time() + max(lim.header_ms, lim.idle_ms) / 1000
                size = dict(event.headers).get(b"content-length")
                if size is not None and int(size) > lim.body_bytes:
                    await self._refuse(status=413)
                    return None
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > lim.body_bytes:
                    await self._refuse(status=413)
                    return None
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                if sum(len(k) + len(v) + 4 for k, v in head.headers) > lim.header_bytes:
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
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send(Response(status=status, headers=(("connection", "close"),)))

    async def _send(self, response: Response) -> None:
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = screen(headers=response.headers, rule=Rule.RESPONSE)
        if self.srv.closing and not any(k == "connection" for k, _ in headers):
            headers.append(("connection", "close"))
        headers.append(("content-length", str(len(response.body))))
        data = self.conn.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self.conn.send(h11.Data(data=response.body)) or b""
        data += self.conn.send(h11.EndOfMessage()) or b""
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
