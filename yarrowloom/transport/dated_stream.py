"""Streams that tell when what they received may have been sent at the earliest.

A process that stands still or is slow reads late what its sockets have received. By then it may have learned of things
that happened after a request was sent, perhaps because its sender gave up. What is unread in a socket cannot be older
than the last moment at which the socket was known to be empty: a read found nothing, or a poll of the event loop did
not report it.
"""

import math
import socket
import time

import trio

UNKNOWN_TIME = -math.inf  # nothing bounds the age of what was received


class PollTimes(trio.abc.Instrument):
    """When the event loop of this run has polled its sockets.

    Attributes:
        count: Polls that have begun.
        previous_at: Monotonic time at which the poll before the last one began.
    """

    def __init__(self) -> None:
        self.count = 0
        self.previous_at = UNKNOWN_TIME
        self._last_at = UNKNOWN_TIME

    def before_io_wait(self, timeout: float) -> None:
        """A poll begins."""
        self.count += 1
        self.previous_at, self._last_at = self._last_at, time.monotonic()


_RUN_POLL_TIMES: trio.lowlevel.RunVar[PollTimes] = trio.lowlevel.RunVar("poll-times")


def poll_times() -> PollTimes:
    """The poll times of the present run; they are taken from the first call on."""
    try:
        return _RUN_POLL_TIMES.get()
    except LookupError:
        times = PollTimes()
        trio.lowlevel.add_instrument(times)
        _RUN_POLL_TIMES.set(times)
        return times


class SocketWatch:
    """Waits for a socket, and knows when it was empty last.

    Attributes:
        empty_at: Monotonic time. Invariant: at this time or later, nothing waited unread in the socket.
    """

    def __init__(self, *, watched: socket.socket, empty_at: float = UNKNOWN_TIME) -> None:
        self.empty_at = empty_at
        self._socket = watched
        self._polls = poll_times()

    async def wait_readable(self) -> None:
        """Wait until something waits in the socket.

        The first poll may report what came before it began. With a later one, the poll before it has found nothing.
        """
        first = self._polls.count + 1
        await trio.lowlevel.wait_readable(self._socket)
        if self._polls.count > first:
            self.empty_at = self._polls.previous_at


class DatedStream(trio.abc.Stream):
    """A stream of bytes with the earliest time at which they may have been sent.

    Attributes:
        sent_after: Monotonic time; what was received last was sent later.
    """

    sent_after = UNKNOWN_TIME

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all of it."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until something can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive what comes next; empty: the other side sends no more."""
        return await self._stream.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close it."""
        await self._stream.aclose()


class DatedSocketStream(DatedStream):
    """A connected TCP socket."""

    RECEIVE_BYTES = 65536  # where the caller names no bound

    def __init__(self, *, connection: socket.socket, opened_after: float) -> None:
        """Take over a connection.

        Args:
            connection: The socket; it is closed with the stream.
            opened_after: Monotonic time; the connection was opened later.
        """
        super().__init__(trio.SocketStream(trio.socket.from_stdlib_socket(connection)))
        self._connection = connection
        self._watch = SocketWatch(watched=connection, empty_at=opened_after)

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive what comes next; empty: the other side sends no more.

        Raises:
            OSError: The connection is broken or closed.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        has_waited = False
        while True:
            looked_at = time.monotonic()
            try:
                data = self._connection.recv(max_bytes or self.RECEIVE_BYTES)
                break
            except BlockingIOError:
                self._watch.empty_at = looked_at
            await self._watch.wait_readable()
            has_waited = True
        self.sent_after = self._watch.empty_at
        if not has_waited:
            await trio.lowlevel.cancel_shielded_checkpoint()
        return data


def dated(stream: trio.abc.Stream) -> DatedStream:
    """The stream itself if it dates what it receives; else as one that does not know."""
    return stream if isinstance(stream, DatedStream) else DatedStream(stream)
