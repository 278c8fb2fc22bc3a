"""HTTP/1.1 served on trio: one task owns one connection."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import h11
import msgspec
import orjson
import trio

from . import listener as accept
from .header_rules import Rule, screen
from .http_head import Head, Unread, read_head, write_head

JSON = (("content-type", "application/json"),)
CONNECTION_CLOSE = ("connection", "close")
RECEIVE_BYTES = 65536
SEND_TIMEOUT_S = 10  # for one response
CLOSE_TIMEOUT_S = 0.5
HEADER_OVERHEAD_BYTES = 4  # of a header line, beside its name and value
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    OSError,
)


@dataclass(kw_only=True)
class Limits:
    """Limits on what clients may send; replaced in place when a configuration says so.

    Attributes:
        header_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        header_ms: Time from a request's first byte until its head is whole.
        idle_ms: Time that a connection may stay without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: int = 3000
    idle_ms: int = 15000


class Request(msgspec.Struct, kw_only=True):
    """One request as it arrived; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


class Response(msgspec.Struct, kw_only=True):
    """The answer to one request."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def of(cls, status: int, document: object = None, *, headers: tuple[tuple[str, str], ...] = ()) -> "Response":
        """A response with a JSON body, or with an empty one."""
        if document is None:
            return cls(status=status, headers=headers)
        return cls(status=status, body=orjson.dumps(document), headers=JSON + headers)


Handler = Callable[[Request], Awaitable[Response]]
ErrorHandler = Callable[[Request, Exception], Response]


def _internal_error(_request: Request, _error: Exception) -> Response:
    return Response(status=500)


@dataclass(kw_only=True)
class Server:
    """Serves the requests that come to one address.

    Attributes:
        handler: Answers a request.
        on_error: Makes the answer to a request whose handler raised.
        closing: Each response is the last of its connection.
        busy: Requests that are being answered.
    """

    handler: Handler
    on_error: ErrorHandler = _internal_error
    limits: Limits = field(default_factory=Limits)
    closing: bool = False
    busy: int = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request; it counts as busy meanwhile."""
        self.busy += 1
        try:
            return await self.handler(request)
        except Exception as error:
            return self.on_error(request, error)
        finally:
            self.busy -= 1

    async def serve(self, stream: trio.SocketStream) -> None:
        """Own one connection until it ends."""
        try:
            with suppress(*CONNECTION_ERRORS):
                await _Connection(server=self, stream=stream).run()
        finally:
            with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)


class _Connection:
    """One connection from its start to its end.

    Plain requests (see `http_head`) are read on a short way; with the first that is not plain, the connection and all
    that it has received pass to h11 for good.
    """

    def __init__(self, *, server: Server, stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream

    async def run(self) -> None:
        plain = _PlainReader(stream=self._stream, limits=self._server.limits)
        while (request := await plain.next_request()) is not None:
            response = await self._server.handle(request)
            closing = self._server.closing
            head = write_head(
                status=response.status, headers=response.headers, closing=closing, size=len(response.body)
            )
            with trio.fail_after(SEND_TIMEOUT_S):
                await self._stream.send_all(head + response.body)
            if closing or CONNECTION_CLOSE in response.headers:
                return
        if plain.timed_out:
            await _H11Exchange(server=self._server, stream=self._stream).refuse(status=408)
        elif plain.buffer:
            await _H11Exchange(server=self._server, stream=self._stream).run(plain=plain)


class _PlainReader:
    """Reads plain requests from a stream.

    Attributes:
        buffer: What was received and belongs to no request that was returned.
        deadline: The steady time until which the request that is being read has to be whole.
        is_first: No request was read yet.
        timed_out: A request was begun and not ended in time.
    """

    def __init__(self, *, stream: trio.SocketStream, limits: Limits) -> None:
        self.buffer = bytearray()
        self.deadline = 0.0
        self.is_first = True
        self.timed_out = False
        self._stream = stream
        self._limits = limits

    async def next_request(self) -> Request | None:
        """The next plain request; None: the connection is over or timed out, or `buffer` is for h11."""
        begun = self.is_first or bool(self.buffer)
        self.deadline = trio.current_time() + (self._limits.header_ms if begun else self._limits.idle_ms) / 1000
        head: Head | Unread = Unread.INCOMPLETE
        while True:
            if self.buffer and head is Unread.INCOMPLETE:
                head = self._read_head()
            if head is Unread.NOT_PLAIN or (isinstance(head, Head) and head.body_bytes > self._limits.body_bytes):
                return None
            if isinstance(head, Head) and len(self.buffer) >= head.end:
                return self._take(head)
            if not await self._receive(begun=begun):
                return None
            begun = True

    def _read_head(self) -> Head | Unread:
        head = read_head(buffer=self.buffer, most=self._limits.header_bytes)
        if isinstance(head, Head):
            self.deadline = trio.current_time() + max(self._limits.header_ms, self._limits.idle_ms) / 1000
        return head

    def _take(self, head: Head) -> Request:
        body = bytes(self.buffer[head.start : head.end])
        del self.buffer[: head.end]
        self.is_first = False
        return Request(method=head.method, path=head.path, headers=head.headers, body=body)

    async def _receive(self, *, begun: bool) -> bool:
        """Receive more; false: nothing more comes, or not in time. h11 says what is wrong with half a request."""
        data: bytes | bytearray = b""
        with trio.move_on_at(self.deadline) as scope:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        if scope.cancelled_caught:
            self.timed_out = bool(self.buffer)
        if not data:
            return False
        if not begun:
            self.deadline = trio.current_time() + self._limits.header_ms / 1000
        self.buffer += data
        return True


class _RefusedError(Exception):
    """A request that is answered with an error status, after which the connection ends."""

    def __init__(self, *, status: int) -> None:
        super().__init__(status)
        self.status = status


class _H11Exchange:
    """Requests and responses of one connection by h11, which judges all that is not plain."""

    def __init__(self, *, server: Server, stream: trio.SocketStream) -> None:
        limits = server.limits
        self._server = server
        self._stream = stream
        self._limits = limits
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max(limits.header_bytes, 1024))
        self._deadline = 0.0
        self._begun = False  # something of the request that is being read has come

    async def run(self, *, plain: _PlainReader) -> None:
        """Go on with what a plain reader has received; the time that it gave the request goes on."""
        self._h11.receive_data(bytes(plain.buffer))
        self._deadline, self._begun = plain.deadline, True
        while (request := await self._next_request()) is not None:
            await self._send(await self._server.handle(request))
            if self._h11.our_state is h11.MUST_CLOSE or self._h11.our_state is h11.CLOSED:
                return
            try:
                self._h11.start_next_cycle()
            except h11.LocalProtocolError:
                return
            self._deadline, self._begun = self._time_after(self._limits.idle_ms), False

    async def refuse(self, *, status: int) -> None:
        """Answer with an error status and end the connection."""
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send(Response(status=status, headers=(CONNECTION_CLOSE,)))

    async def _next_request(self) -> Request | None:
        """The next request; None: the connection is over, or was refused."""
        try:
            return await self._read_request()
        except _RefusedError as refusal:
            await self.refuse(status=refusal.status)
        except h11.RemoteProtocolError as error:
            await self.refuse(status=error.error_status_hint or 400)
        return None

    async def _read_request(self) -> Request | None:
        """Read events until a request is whole.

        Raises:
            _RefusedError: It is too large or too slow.
            h11.RemoteProtocolError: It is malformed.
        """
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if not await self._receive(has_head=head is not None):
                    return None
            elif isinstance(event, h11.Request):
                head = event
                self._deadline = self._time_after(max(self._limits.header_ms, self._limits.idle_ms))
                self._check_declared_size(head)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise _RefusedError(status=413)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return self._request(head=head, body=bytes(body))
            else:
                return None

    async def _receive(self, *, has_head: bool) -> bool:
        """Receive more; false: an idle connection has ended or timed out."""
        if not self._begun and self._h11.trailing_data[0]:
            self._begin()
        if self._h11.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._h11.send(informational) or b"")
        data: bytes | bytearray = b""
        with trio.move_on_at(self._deadline) as scope:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        if scope.cancelled_caught:
            if self._begun and (has_head or self._h11.trailing_data[0]):
                raise _RefusedError(status=408)
            return False
        if not self._begun and data:
            self._begin()
        self._h11.receive_data(bytes(data))
        return True

    def _begin(self) -> None:
        self._begun = True
        self._deadline = self._time_after(self._limits.header_ms)

    @staticmethod
    def _time_after(milliseconds: float) -> float:
        return trio.current_time() + milliseconds / 1000

    def _check_declared_size(self, head: h11.Request) -> None:
        size = dict(head.headers).get(b"content-length")
        if size is not None and int(size) > self._limits.body_bytes:
            raise _RefusedError(status=413)

    def _request(self, *, head: h11.Request, body: bytes) -> Request:
        if (
            sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in head.headers)
            > self._limits.header_bytes
        ):
            raise _RefusedError(status=431)
        return Request(
            method=head.method.decode(),
            path=head.target.decode("latin-1"),
            body=body,
            headers={name.decode(): value.decode("latin-1") for name, value in head.headers},
        )

    async def _send(self, response: Response) -> None:
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = screen(headers=response.headers, rule=Rule.RESPONSE)
        if self._server.closing and not any(name == "connection" for name, _ in headers):
            headers.append(CONNECTION_CLOSE)
        headers.append(("content-length", str(len(response.body))))
        data = self._h11.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self._h11.send(h11.Data(data=response.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        with trio.fail_after(SEND_TIMEOUT_S):
            await self._stream.send_all(data)


async def listen(
    *, address: str, server: Server, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Accept connections at HOST:PORT for ever; started once clients can connect.

    The listener is closed once this has ended, however it ends.
    """
    with accept.open_listener(address=address) as listener:
        task_status.started()
        await accept.serve(listener=listener, handler=server.serve)
