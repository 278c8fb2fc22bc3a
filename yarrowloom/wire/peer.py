"""Frames between nodes over TCP: one sending task per peer, one receiving task per connection.

Frames may be lost (a connection that breaks drops what it held); they never repeat and never go back.
"""

import math
import socket
from collections.abc import Callable

import trio

from ..base.log import Log
from .frame import Frame, Kind, Splitter, pack

_USER_TIMEOUT = 18  # TCP_USER_TIMEOUT, absent from the socket module on some builds
Sink = Callable[[str, str, Kind, bytes], None]


class Peers:
    """Owns the sockets to and from other nodes. `sink` takes (uid, addr, kind, body)."""

    def __init__(self, *, addr: str, uid: str, boot: int, sink: Sink, gap: Callable[[str], None],
                 log: Log) -> None:
        self.addr = addr
        self.uid = uid
        self.boot = boot
        self.sink = sink
        self.gap = gap
        self.log = log
        self._out: dict[str, trio.MemorySendChannel[bytes]] = {}
        self._seq: dict[str, int] = {}
        self._seen: dict[str, tuple[int, int]] = {}
        self._nursery: trio.Nursery | None = None

    def send(self, *, addr: str, kind: Kind, body: bytes) -> None:
        """Queue a frame; dropped when the peer's queue is full."""
        if addr == self.addr:
            self._loop.send_nowait((kind, body))
            return
        seq = self._seq.get(addr, 0) + 1
        self._seq[addr] = seq
        raw = pack(frame=Frame(kind=int(kind), src=self.addr, uid=self.uid, boot=self.boot, seq=seq, body=body))
        chan = self._out.get(addr)
        if chan is None:
            chan, recv = trio.open_memory_channel[bytes](4000)
            self._out[addr] = chan
            assert self._nursery is not None
            self._nursery.start_soon(self._pump, addr, recv)
        try:
            chan.send_nowait(raw)
        except trio.WouldBlock:
            self.log.warn("peer-queue-full", peer=addr)

    async def run(self) -> None:
        """Serve for ever."""
        self._loop, recv = trio.open_memory_channel[tuple[Kind, bytes]](math.inf)
        host, port = self.addr.rsplit(":", 1)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._self_loop, recv)
            lst = await trio.open_tcp_listeners(int(port), host=host, backlog=256)
            nursery.start_soon(trio.serve_listeners, self._take, lst)

    async def _self_loop(self, recv: trio.MemoryReceiveChannel[tuple[Kind, bytes]]) -> None:
        async for kind, body in recv:
            self.sink(self.uid, self.addr, kind, body)

    async def _pump(self, addr: str, recv: trio.MemoryReceiveChannel[bytes]) -> None:
        host, port = addr.rsplit(":", 1)
        stream: trio.SocketStream | None = None
        async for raw in recv:
            parts = [raw]
            try:
                while sum(map(len, parts)) < 262144:
                    parts.append(recv.receive_nowait())
            except trio.WouldBlock:
                pass
            try:
                with trio.fail_after(1.0):
                    if stream is None:
                        stream = await self._dial(host=host, port=int(port))
                with trio.fail_after(2.0):
                    await stream.send_all(b"".join(parts))
            except (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
                if stream is not None:
                    await trio.aclose_forcefully(stream)
                stream = None
                try:
                    while True:
                        recv.receive_nowait()
                except trio.WouldBlock:
                    pass
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
                data = await stream.receive_some(262144)
                if not data:
                    return
                for frm in cut.feed(data):
                    self._deliver(frm)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
        except ValueError as err:
            self.log.warn("peer-malformed", why=str(err))
        finally:
            await trio.aclose_forcefully(stream)

    def _deliver(self, frm: Frame) -> None:
        boot, seq = self._seen.get(frm.src, (0, 0))
        if frm.boot < boot or (frm.boot == boot and frm.seq <= seq):
            return
        self._seen[frm.src] = (frm.boot, frm.seq)
        if frm.boot != boot or frm.seq != seq + 1:
            self.gap(frm.uid)
        try:
            kind = Kind(frm.kind)
        except ValueError:
            self.log.warn("peer-unknown-kind", kind=frm.kind)
            return
        self.sink(frm.uid, frm.src, kind, frm.body)
