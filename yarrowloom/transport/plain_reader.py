"""The short way of reading requests: those that are plain (see `http_head`), each with a body of a declared size."""

import trio

from .block_buffer import BLOCK_BYTES, BlockBuffer
from .caller_budget import FIELD_BYTES, CallerAccount
from .dated_stream import DatedStream
from .http_head import Head, Unread, read_head
from .http_messages import Limits, Request

RECEIVE_BYTES = BLOCK_BYTES  # received bytes take the places of blocks


class PlainReader:
    """Reads plain requests from a stream. What it holds is charged to the connection's account.

    Attributes:
        buffer: What was received and belongs to no request that was returned.
        deadline: The steady time until which the request that is being read has to be whole.
        sent_after: The monotonic time before which nothing was sent of the request that is being read.
        is_first: No request was read yet.
        timed_out: A request was begun and not ended in time.
    """

    def __init__(self, *, stream: DatedStream, limits: Limits, account: CallerAccount) -> None:
        self.buffer = bytearray()
        self.deadline = 0.0
        self.sent_after = stream.sent_after
        self.is_first = True
        self.timed_out = False
        self._body = BlockBuffer()  # of a request whose head is whole
        self._stream = stream
        self._limits = limits
        self._account = account

    async def next_request(self) -> Request | None:
        """The next plain request; None: the connection is over or timed out, or `buffer` is for h11.

        Raises:
            CallerClosedError: The connection was closed to make room.
        """
        begun = self.is_first or bool(self.buffer)
        self.deadline = trio.current_time() + (self._limits.header_ms if begun else self._limits.idle_ms) / 1000
        self.sent_after = self._stream.sent_after  # of what has come with the request before
        head = self._read_head() if self.buffer else Unread.INCOMPLETE
        while head is Unread.INCOMPLETE:
            if self.buffer:
                self._account.hold(len(self.buffer))
            if not await self._receive(begun=begun):
                return None
            begun = True
            head = self._read_head()
        if not isinstance(head, Head) or head.body_bytes > self._limits.body_bytes:
            return None
        return await self._read_body(head)

    def drop(self) -> None:
        """Let go of what was received: the connection was closed to make room."""
        self.buffer.clear()
        self._body.clear()

    def _read_head(self) -> Head | Unread:
        head = read_head(buffer=self.buffer, most=self._limits.header_bytes)
        if isinstance(head, Head):
            self.deadline = trio.current_time() + max(self._limits.header_ms, self._limits.idle_ms) / 1000
        return head

    async def _read_body(self, head: Head) -> Request | None:
        """The request with its body; None: the body is cut short."""
        if len(self.buffer) >= head.end:  # as with nearly all
            body = bytes(self.buffer[head.start : head.end])
            del self.buffer[: head.end]
            return self._request(head=head, body=body)
        self._body.append(self.buffer[head.start :])
        del self.buffer[head.start :]  # the head stays, for h11 to judge
        head_bytes = head.start + len(head.headers) * FIELD_BYTES
        while len(self._body) < head.body_bytes:
            self._account.hold(head_bytes + self._body.capacity_bytes)
            missing_bytes = head.body_bytes - len(self._body)
            data = await self._receive_some(min(missing_bytes, RECEIVE_BYTES))
            if not data:
                return None
            self._body.append(data)
        self.buffer.clear()
        return self._request(head=head, body=self._body.take())

    def _request(self, *, head: Head, body: bytes) -> Request:
        self.is_first = False
        return Request(method=head.method, path=head.path, headers=head.headers, body=body, sent_after=self.sent_after)

    async def _receive(self, *, begun: bool) -> bool:
        """Receive more of a head; false: nothing more comes, or not in time."""
        data = await self._receive_some(RECEIVE_BYTES)
        if not data:
            return False
        if not begun:
            self.deadline = trio.current_time() + self._limits.header_ms / 1000
        if not self.buffer:
            self.sent_after = self._stream.sent_after
        self.buffer += data
        return True

    async def _receive_some(self, most_bytes: int) -> bytes | bytearray:
        """What comes next; empty: nothing, or not in time. h11 says what is wrong with half a request."""
        data: bytes | bytearray = b""
        with trio.move_on_at(self.deadline) as scope:
            data = await self._stream.receive_some(most_bytes)
        if scope.cancelled_caught:
            self.timed_out = bool(self.buffer)
        return data
