"""Requests and responses of one connection by h11, for whatever is not plain."""

from typing import Protocol

import h11
import trio

from .block_buffer import BlockBuffer
from .caller_budget import FIELD_BYTES, PARSER_BYTES, CallerAccount
from .dated_stream import DatedStream
from .header_rules import Rule, screen
from .http_messages import CONNECTION_CLOSE, SEND_TIMEOUT_S, Limits, Request, Response
from .plain_reader import RECEIVE_BYTES, PlainReader

HEADER_OVERHEAD_BYTES = 4  # of a header line, beside its name and value
EVENTS_PER_TURN = 64


class Exchanger(Protocol):
    """What an exchange needs of its server.

    Attributes:
        limits: Limits on requests.
        closing: Each response is the last of its connection.
        parsing: Held by the connection that parses: one at a time.
    """

    limits: Limits
    closing: bool
    parsing: trio.Lock

    async def answer(self, request: Request, *, account: CallerAccount, next_bytes: int) -> Response:
        """Answer one request, or refuse it for want of room."""


class _RefusedError(Exception):
    """A request that is answered with an error status, after which the connection ends."""

    def __init__(self, *, status: int) -> None:
        super().__init__(status)
        self.status = status


class _IncomingRequest:
    """A request that is being read.

    Attributes:
        head: Its head, once that is whole.
        body: What has come of its body.
        sent_after: The monotonic time before which nothing of it was sent.
        is_whole: Nothing of it is missing.
    """

    def __init__(self, *, sent_after: float) -> None:
        self.head: h11.Request | None = None
        self.body = BlockBuffer()
        self.sent_after = sent_after
        self.is_whole = False


class H11Exchange:
    """Requests and responses of one connection by h11, which judges all that is not plain.

    Invariant: between two rounds in which all other tasks run, the connections of a server parse no more than
    EVENTS_PER_TURN events together. A body may come in chunks of one byte.
    """

    def __init__(self, *, server: Exchanger, stream: DatedStream, account: CallerAccount) -> None:
        limits = server.limits
        self._server = server
        self._stream = stream
        self._account = account
        self._limits = limits
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max(limits.header_bytes, 1024))
        self._sent_after = stream.sent_after  # of what is not parsed yet
        self._incoming = _IncomingRequest(sent_after=self._sent_after)
        self._deadline = 0.0
        self._begun = False  # something of the request that is being read has come

    async def run(self, *, plain: PlainReader) -> None:
        """Go on with what a plain reader has received; the time that it gave the request goes on.

        Raises:
            CallerClosedError: The connection was closed to make room.
        """
        self._h11.receive_data(bytes(plain.buffer))
        plain.buffer.clear()
        self._deadline, self._begun, self._sent_after = plain.deadline, True, plain.sent_after
        while (request := await self._next_request()) is not None:
            next_bytes = self._unparsed_bytes()
            await self._send(await self._server.answer(request, account=self._account, next_bytes=next_bytes))
            if self._h11.our_state is h11.MUST_CLOSE or self._h11.our_state is h11.CLOSED:
                return
            try:
                self._h11.start_next_cycle()
            except h11.LocalProtocolError:
                return
            self._account.read(received_bytes=PARSER_BYTES + self._unparsed_bytes())
            self._deadline, self._begun = self._time_after(self._limits.idle_ms), False
            self._sent_after = self._stream.sent_after

    def drop(self) -> None:
        """Let go of what was received: the connection was closed to make room."""
        self._incoming.body.clear()

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
        """Read events until a request is whole; None: the connection has ended.

        Raises:
            _RefusedError: It is too large or too slow.
            h11.RemoteProtocolError: It is malformed.
            CallerClosedError: The connection was closed to make room.
        """
        incoming = self._incoming = _IncomingRequest(sent_after=self._sent_after)
        while True:
            async with self._server.parsing:
                event = self._take_events(incoming)
            if event is h11.NEED_DATA:
                self._charge()
                if not await self._receive(has_head=incoming.head is not None):
                    return None
            elif incoming.is_whole:
                return self._request(incoming)
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None

    def _take_events(self, incoming: _IncomingRequest) -> object:
        """Take events until there are no more, the request is whole or a turn is over; the last one."""
        event: object = h11.NEED_DATA
        for _ in range(EVENTS_PER_TURN):
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                incoming.head = event
                self._deadline = self._time_after(max(self._limits.header_ms, self._limits.idle_ms))
                self._check_declared_size(event)
            elif isinstance(event, h11.Data):
                incoming.body.append(event.data)
                if len(incoming.body) > self._limits.body_bytes:
                    raise _RefusedError(status=413)
            else:
                incoming.is_whole = isinstance(event, h11.EndOfMessage)
                break
        return event

    def _charge(self) -> None:
        """Charge what was received; called when that has been parsed as far as can be, and when more has come."""
        head = self._incoming.head
        fields = len(head.headers) if head is not None else 0
        held_bytes = self._incoming.body.capacity_bytes + self._unparsed_bytes()
        self._account.hold(PARSER_BYTES + fields * FIELD_BYTES + held_bytes)

    def _unparsed_bytes(self) -> int:
        return len(self._h11.trailing_data[0])

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
            self._incoming.sent_after = self._stream.sent_after
        self._h11.receive_data(bytes(data))
        self._charge()
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

    def _request(self, incoming: _IncomingRequest) -> Request:
        head = incoming.head
        assert head is not None
        if (
            sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in head.headers)
            > self._limits.header_bytes
        ):
            raise _RefusedError(status=431)
        return Request(
            method=head.method.decode(),
            path=head.target.decode("latin-1"),
            body=incoming.body.take(),
            headers={name.decode(): value.decode("latin-1") for name, value in head.headers},
            sent_after=incoming.sent_after,
        )

    async def _send(self, response: Response) -> None:
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = screen(headers=response.headers, rule=Rule.RESPONSE)
        if self._server.closing and not any(name == "connection" for name, _ in headers):
            headers.append(CONNECTION_CLOSE)
        headers.append(("content-length", str(len(response.body))))
        self._account.send(response_bytes=PARSER_BYTES + len(response.body))
        data = self._h11.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self._h11.send(h11.Data(data=response.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        with trio.fail_after(SEND_TIMEOUT_S):
            await self._stream.send_all(data)
