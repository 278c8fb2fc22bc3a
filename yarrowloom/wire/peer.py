"""Frames between nodes over TCP: per peer and lane one sending task; one receiving task per connection.

Frames may be lost (a connection that breaks drops what it held); they never repeat and never go back.
"""

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson
import trio

from ..base.log import Log
from .frame import LANES, Frame, Kind, Lane, Sealer, Splitter, bundle, unbundle

_USER_TIMEOUT = 18    # TCP_USER_TIMEOUT, absent from the socket module on some builds
QUEUE_MOST = 8000     # messages waiting for one peer in one lane; what comes beyond is dropped
FRAME_BYTES = 128 * 1024
MARK_S = 0.5
TRAIL = 4             # marks after the last message: longer than a dead connection stays unnoticed
OWED = 60             # marks tried after a loss
Rows = list[tuple[Kind, Any]]
Sink = Callable[[str, Lane, Rows, bool], None]


class Line:
    """What waits for one peer in one lane. Invariants: each frame's `seq` is above the last one's, and by more than
    one exactly if messages between them were dropped; messages leave in the order in which they came."""

    def __init__(self) -> None:
        self.rows: deque[tuple[int, bytes]] = deque()
        self.seq = 0
        self.marks = 0
        self.full = False

    def put(self, *, kind: Kind, body: bytes) -> bool:
        """Queue a message; false: dropped."""
        if len(self.rows) >= QUEUE_MOST:
            if not self.full:
                self.seq += 1
            self.full = True
            return False
        self.rows.append((int(kind), body))
        return True

    def take(self) -> tuple[int, bytes]:
        """The next frame's number and body: all that waits, bounded in bytes but at least one message."""
        rows: list[tuple[int, bytes]] = []
        size = 0
        while self.rows and (not rows or size + len(self.rows[0][1]) <= FRAME_BYTES):
            rows.append(self.rows.popleft())
            size += len(rows[-1][1])
        self.seq += 1
        self.full = False
        return self.seq, bundle(rows=rows)

    def broken(self, *, held: bool) -> None:
        """A frame was not sent (`held`: messages, or what a connection held, are lost with it): neither is what
        waits behind it, which would be stale by then."""
        self.marks = OWED if held or self.rows else self.marks - 1
        self.rows.clear()
        self.seq += 1

    def sent(self, *, real: bool) -> None:
        """A frame has left."""
        self.marks = TRAIL if real else min(self.marks, TRAIL) - 1


class Seen:
    """The newest frame taken from each peer in each lane."""

    def __init__(self) -> None:
        self._at: dict[tuple[str, int], tuple[int, int]] = {}

    def take(self, *, src: str, lane: int, boot: int, seq: int) -> tuple[bool, bool]:
        """Whether a frame is to be taken, and whether others before it are missing.

        >>> seen = Seen()
        >>> [seen.take(src="a", lane=2, boot=1, seq=n) for n in (1, 2, 2, 4)]
        [(True, True), (True, False), (False, False), (True, True)]
        """
        old = self._at.get((src, lane), (0, 0))
        if (boot, seq) <= old:
            return False, False
        self._at[src, lane] = (boot, seq)
        return True, boot != old[0] or seq != old[1] + 1


class Peers:
    """Owns the sockets to and from other nodes. `sink` takes (uid, lane, messages, whether any before are lost);
    losses are told for the lane of work only."""

    def __init__(self, *, addr: str, uid: str, boot: int, sink: Sink, log: Log) -> None:
        self.addr = addr
        self.uid = uid
        self.boot = boot
        self.sink = sink
        self.log = log
        self._out: dict[tuple[str, Lane], tuple[Line, trio.Event]] = {}
        self._seen = Seen()
        self._nursery: trio.Nursery | None = None

    def send(self, *, addr: str, kind: Kind, body: bytes) -> None:
        """Queue a message; dropped when the peer's queue is full."""
        lane = LANES[kind]
        if addr == self.addr:     # parsed, not handed over: what a state machine holds must not be shared
            self.sink(self.uid, lane, [(kind, orjson.loads(body))], False)
            return
        pair = self._out.get((addr, lane))
        if pair is None:
            pair = self._out[addr, lane] = (Line(), trio.Event())
            assert self._nursery is not None
            self._nursery.start_soon(self._pump, addr, lane, pair[0])
        line, wake = pair
        full = line.full
        if not line.put(kind=kind, body=body) and not full:
            self.log.warn("peer-queue-full", peer=addr, lane=lane.name)
        wake.set()

    async def run(self) -> None:
        """Serve for ever."""
        host, port = self.addr.rsplit(":", 1)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            lst = await trio.open_tcp_listeners(int(port), host=host, backlog=256)
            nursery.start_soon(trio.serve_listeners, self._take, lst)
            nursery.start_soon(self._mark)

    async def _mark(self) -> None:
        """Wake lanes of work that fell silent."""
        while True:
            await trio.sleep(MARK_S)
            for (_, lane), (line, wake) in self._out.items():
                if lane is Lane.WORK and line.marks > 0:
                    wake.set()

    async def _next(self, *, addr: str, lane: Lane, line: Line) -> bool:
        """Wait for messages; false: none, but a mark is due."""
        if not line.rows:
            await self._out[addr, lane][1].wait()
        self._out[addr, lane] = (line, trio.Event())
        return bool(line.rows)

    async def _pump(self, addr: str, lane: Lane, line: Line) -> None:
        host, port = addr.rsplit(":", 1)
        stream: trio.SocketStream | None = None
        sealer = Sealer(lane=lane, src=self.addr, uid=self.uid, boot=self.boot)
        while True:
            real = await self._next(addr=addr, lane=lane, line=line)
            seq, body = line.take()
            raw = sealer.seal(seq=seq, body=body)
            try:
                if stream is None:
                    with trio.fail_after(1.0):
                        stream = await self._dial(host=host, port=int(port))
                # A dead peer is found by the socket's own time limit; a slow link may take long over a frame.
                with trio.fail_after(10.0):
                    await stream.send_all(raw)
                line.sent(real=real)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
                line.broken(held=real or stream is not None)
                if stream is not None:
                    await trio.aclose_forcefully(stream)
                stream = None
                await trio.sleep(0.05)

    async def _dial(self, *, host: str, port: int) -> trio.SocketStream:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, _USER_TIMEOUT, 1500)
            await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def _take(self, stream: trio.SocketStream) -> None:
        cut = Splitter()
        try:
            while True:
                try:
                    data = await stream.receive_some(262144)
                    if not data:
                        return
                    frames = cut.feed(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                    return
                except ValueError as err:
                    self.log.warn("peer-malformed", why=str(err))
                    return
                for frm in frames:     # a fault in what takes them is not the peer's
                    self._deliver(frm)
        finally:
            await trio.aclose_forcefully(stream)

    def _deliver(self, frm: Frame) -> None:
        fresh, lost = self._seen.take(src=frm.src, lane=frm.lane, boot=frm.boot, seq=frm.seq)
        if not fresh:
            return
        try:
            lane, rows = Lane(frm.lane), unbundle(body=frm.body)
        except (ValueError, TypeError) as err:
            self.log.warn("frame-malformed", peer=frm.uid, why=repr(err))
            lane, rows, lost = Lane.WORK, [], True
        if rows or lost:
            self.sink(frm.uid, lane, rows, lost)
