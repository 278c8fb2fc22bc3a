"""Crowds of callers that send much and read little, at a core and an edge that run as real processes on loopback.

What is looked at does not depend on the machine's speed: that a process lives, its peak memory with the bytes that wait
unread in its sockets, its open descriptors, and that ordinary requests are answered.
"""

import contextlib
import os
import pathlib
import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import trio

from yarrowloom.simulator.sample_config import HOST as HOST_NAME
from yarrowloom.simulator.sample_config import config
from yarrowloom.testbed.cluster import Cluster, Node, Shape

GUARD_S = 240.0  # ends a test that would hang; no test is about time
SAMPLE_S = 0.02
SEND_BYTES = 65536
CONNECTED = "01"  # a socket's state in the system's table
_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

Pieces = Callable[[], Iterable[bytes | memoryview]]


# -- the processes


@dataclass(kw_only=True)
class Observed:
    """A process, and the most that was seen of it.

    Attributes:
        bytes_at_once: Its resident memory with what waited unread in its sockets, at one time.
        descriptors: Descriptors that were open at one time.
    """

    node: Node
    bytes_at_once: int = 0
    descriptors: int = 0

    @property
    def pid(self) -> int:
        assert self.node.proc is not None
        return self.node.proc.pid

    def sample(self) -> None:
        """Look at it now."""
        with contextlib.suppress(OSError, StopIteration):  # it has ended, which others notice
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
            unread = waiting_bytes(addresses=self.node.binds.values())
            self.bytes_at_once = max(self.bytes_at_once, self._resident_bytes("VmRSS") + unread)

    def peak_bytes(self) -> int:
        """The most memory that it had, by the system and by the samples."""
        return max(self._resident_bytes("VmHWM"), self.bytes_at_once)

    def _resident_bytes(self, key: str) -> int:
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return next(int(line.split()[1]) << 10 for line in status.splitlines() if line.startswith(f"{key}:"))


def waiting_bytes(*, addresses: Iterable[str]) -> int:
    """Bytes that wait in the connected sockets of local addresses, by the system's table."""
    wanted = set()
    for address in addresses:
        host, port = address.split(":")
        wanted.add(f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{int(port):04X}")
    rows = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(row[4].split(":")[1], 16) for row in rows if row[1] in wanted and row[3] == CONNECTED)


@dataclass(kw_only=True)
class Deployment:
    """A core and an edge, configured and ready."""

    cluster: Cluster
    core: Observed
    edge: Observed

    @property
    def control(self) -> str:
        return self.core.node.binds["control"]

    @property
    def front(self) -> str:
        return self.edge.node.binds["front"]

    @property
    def internal(self) -> str:
        return f"{self.edge.node.ip}:{self.cluster.ports[0] + 1}"

    @property
    def ready(self) -> str:
        return self.edge.node.binds["ready"]

    async def answered(self, *, address: str, method: str, path: str, document: object = None) -> Any:
        """Ask again, as callers do, until the request is answered with 200; the document."""
        while True:
            status, got = await self.cluster.call(
                method=method, address=address, path=path, document=document, Host=HOST_NAME
            )
            if status == 200:
                return got
            self.cluster.watch()
            await trio.sleep(SAMPLE_S)

    async def answers_ordinary_requests(self) -> None:
        """Ask each port once for what its callers ask."""
        await self.answered(address=self.ready, method="GET", path="/readiness")
        await self.answered(address=self.front, method="GET", path="/fast/")
        await self.answered(address=self.control, method="GET", path="/config")

    async def watch(self) -> None:
        """Sample the processes until cancelled."""
        while True:
            self.core.sample()
            self.edge.sample()
            await trio.sleep(SAMPLE_S)


@contextlib.contextmanager
def deployment(*, limits: dict[str, int]) -> Iterator[Deployment]:
    """Start a core and an edge with these limits; they are ended with the block."""
    with Cluster(shape=Shape(cores=1, edges=1, disk_mb=128, limits=limits)) as cluster:
        cluster.start_all()
        yield Deployment(cluster=cluster, core=Observed(node=cluster.cores[0]), edge=Observed(node=cluster.edges[0]))


# -- crowds


@dataclass(kw_only=True)
class Crowd:
    """Callers of one address that all do the same and stay open.

    Attributes:
        size: How many.
        pieces: What each of them sends.
        reads: Whether each waits for an answer.
        rounds: How often each connects and sends; it stays open the last time.
    """

    address: str
    size: int
    pieces: Pieces
    reads: bool = False
    rounds: int = 1
    _unfinished: int = field(default=0, init=False)
    _has_sent: trio.Event = field(default_factory=trio.Event, init=False)

    async def run(self) -> None:
        """Send all that the process takes; the connections stay open until this is cancelled."""
        self._unfinished = self.size
        async with trio.open_nursery() as nursery:
            for _ in range(self.size):
                nursery.start_soon(self._call)

    async def has_sent(self) -> None:
        """Wait until each caller has sent all, or was refused."""
        await self._has_sent.wait()

    async def _call(self) -> None:
        for _ in range(self.rounds - 1):
            with contextlib.suppress(*_ERRORS):
                async with await self._connected() as stream:
                    await self._send(stream)
        with contextlib.suppress(*_ERRORS):
            async with await self._connected() as stream:
                with contextlib.suppress(*_ERRORS):
                    await self._send(stream)
                self._one_has_sent()
                await trio.sleep_forever()
        self._one_has_sent()

    async def _connected(self) -> trio.SocketStream:
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))

    async def _send(self, stream: trio.SocketStream) -> None:
        for piece in self.pieces():
            await stream.send_all(piece)
        if self.reads:
            await stream.receive_some(SEND_BYTES)

    def _one_has_sent(self) -> None:
        self._unfinished -= 1
        if self._unfinished == 0:
            self._has_sent.set()


def head(*lines: str, method: str = "POST", path: str = "/fast/00000000000000aa") -> bytes:
    """A request's head without the empty line that ends it."""
    return "".join(f"{line}\r\n" for line in (f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", *lines)).encode()


def plain(*, opening: bytes, size: int, sent: int, piece: int = SEND_BYTES) -> Pieces:
    """A body of a declared size of which only the first bytes are sent, in pieces."""
    body = memoryview(b"x" * piece)

    def pieces() -> Iterator[bytes | memoryview]:
        yield opening + b"Content-Length: %d\r\n\r\n" % size
        for start in range(0, sent, piece):
            yield body[: sent - start]

    return pieces


def chunked(*, opening: bytes, chunk: int, chunks: int) -> Pieces:
    """A body in chunks of one size, without the one that ends it."""
    row = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    rows_each = max(1, SEND_BYTES // len(row))
    piece = memoryview(row * rows_each)

    def pieces() -> Iterator[bytes | memoryview]:
        yield opening + b"Transfer-Encoding: chunked\r\n\r\n"
        for start in range(0, chunks, rows_each):
            yield piece[: len(row) * (chunks - start)]

    return pieces


def whole(*, opening: bytes, body: bytes) -> Pieces:
    """A whole request in one piece."""
    data = opening + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return lambda: (data,)


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Of the core and of the edge: their settings, and the bounds that they are held to."""

    memory_mb: int
    descriptors: int

    def published(self) -> dict[str, int]:
        return {"memory-mb": self.memory_mb, "fd-limit": self.descriptors}


def endure(
    *,
    limits: Limits,
    crowd: Callable[[Deployment], Crowd],
    routes: int = 0,
    after: Callable[[Deployment], Awaitable[object]] | None = None,
) -> None:
    """Let a crowd send; beside it, and after it has gone, ordinary requests are answered, and the limits hold.

    Args:
        limits: Of both processes.
        crowd: The callers.
        routes: How many more routes the configuration has.
        after: Is awaited once the crowd has gone and ordinary requests were answered.
    """

    async def main() -> None:
        with trio.fail_after(GUARD_S), deployment(limits=limits.published()) as at:
            await at.cluster.configure(document=config(version=2, more=routes))
            await at.cluster.ready()
            async with trio.open_nursery() as watching:
                watching.start_soon(at.watch)
                await _beside_and_after(at=at, crowd=crowd(at))
                if after is not None:
                    await after(at)
                watching.cancel_scope.cancel()
            at.cluster.watch()
            for observed in (at.core, at.edge):
                assert observed.peak_bytes() <= limits.memory_mb << 20, observed
                assert observed.descriptors <= limits.descriptors, observed

    trio.run(main)


async def _beside_and_after(*, at: Deployment, crowd: Crowd) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(crowd.run)
        await crowd.has_sent()
        await at.answers_ordinary_requests()
        nursery.cancel_scope.cancel()
    await at.answers_ordinary_requests()
