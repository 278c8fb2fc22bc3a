"""The short way of reading requests: those that are plain (see `http_head`), each with a body of a declared size."""

import trio

from .http_head import Head, Unread, read_head
from .http_messages import Limits, Request

RECEIVE_BYTES = 65536


class PlainReader:
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
