"""Frames between nodes over TCP: per peer and lane one sending task; one receiving task per connection.

Frames may be lost (a connection that breaks drops what it held); they never repeat and never go back, also not from
one life of a process to an earlier one at the same address. Lives are told apart without a clock: see `Seen`.
"""

import secrets
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple

import orjson
import trio

from ..common.log import Log
from . import listener as accept
from .envelope import LANES, Frame, Kind, Lane, MalformedFrameError, Sealer, Splitter, bundle, envelope_fault, unbundle

_USER_TIMEOUT = 18  # TCP_USER_TIMEOUT, absent from the socket module on some builds
QUEUE_MOST = 8000  # messages waiting for one peer in one lane; what comes beyond is dropped
FRAME_BYTES = 128 * 1024
MARK_S = 0.5
TRAIL = 4  # marks after the last message: longer than a dead connection stays unnoticed
OWED = 60  # marks tried after a loss
DIAL_S = 1.0  # to connect and to answer the challenge
MAGIC = b"YLPEER02"
CHALLENGE_BYTES = len(MAGIC) + 8
RETIRED_MOST = 16  # identities remembered per address
Rows = list[tuple[Kind, Any]]
Sink = Callable[[str, Lane, Rows, bool], None]


class Line:
    """What waits for one peer in one lane. Invariants: each frame's `seq` is above the last one's, and by more than
    one exactly if messages between them were dropped; messages leave in the order in which they came.
    """

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
        waits behind it, which would be stale by then.
        """
        self.marks = OWED if held or self.rows else self.marks - 1
        self.rows.clear()
        self.seq += 1

    def sent(self, *, real: bool) -> None:
        """A frame has left."""
        self.marks = TRAIL if real else min(self.marks, TRAIL) - 1


class Identity(NamedTuple):
    """One life of a process. A core keeps its uid with its disk and counts its lives there (`incarnation`); an edge
    has a uid of its own for each life.
    """

    node_id: str
    incarnation: int


@dataclass(slots=True, kw_only=True)
class _Sender:
    """The life that counts at one address."""

    identity: Identity
    connection: int  # the newest one that brought a frame of this life
    sequences: dict[int, int] = field(default_factory=dict)  # by lane: the number of the newest frame taken
    retired: dict[Identity, None] = field(default_factory=dict)  # lives before this one, the oldest first


class Seen:
    """The newest frame taken from each address in each lane, and of which life of the process there.

    Invariants: sequence numbers belong to one address, lane and life; at an address one life counts at a time, and one
    that another has taken the place of never counts again. Of two lives with one uid the higher incarnation is the
    later one; of two with different uids the one whose connection was accepted later, as no connection can be opened
    (see `Peers`) by a process whose successor has already opened one.
    """

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def take(
        self, *, src: str, lane: int, node_id: str, incarnation: int, seq: int, connection: int
    ) -> tuple[bool, bool]:
        """Whether a frame is to be taken, and whether others before it are missing. `incarnation` is the sender's;
        `connection`: connections are numbered as they are accepted.

        >>> seen = Seen()
        >>> [seen.take(src="a", lane=2, node_id="a#0", incarnation=1, seq=n, connection=1) for n in (1, 2, 2, 4)]
        [(True, True), (True, False), (False, False), (True, True)]
        >>> seen.take(src="a", lane=2, node_id="a#7", incarnation=1, seq=1, connection=2)
        (True, True)
        >>> seen.take(src="a", lane=2, node_id="a#0", incarnation=1, seq=5, connection=1)
        (False, False)
        """
        sender = self._senders.get(src)
        if sender is None:
            sender = self._senders[src] = _Sender(identity=Identity(node_id, incarnation), connection=connection)
        elif sender.identity != (node_id, incarnation):
            identity = Identity(node_id, incarnation)
            if not self._follows(sender=sender, identity=identity, connection=connection):
                return False, False
            sender = self._senders[src] = self._succeeded(sender=sender, identity=identity, connection=connection)
        if connection > sender.connection:
            sender.connection = connection
        last = sender.sequences.get(lane, 0)
        if seq <= last:
            return False, False
        sender.sequences[lane] = seq
        return True, last == 0 or seq != last + 1

    def current(self, *, src: str) -> Identity | None:
        """The life that counts at an address."""
        sender = self._senders.get(src)
        return sender.identity if sender is not None else None

    @staticmethod
    def _follows(*, sender: _Sender, identity: Identity, connection: int) -> bool:
        if identity in sender.retired:
            return False
        if identity.node_id == sender.identity.node_id:
            return identity.incarnation > sender.identity.incarnation
        return connection > sender.connection

    @staticmethod
    def _succeeded(*, sender: _Sender, identity: Identity, connection: int) -> _Sender:
        retired = {**sender.retired, sender.identity: None}
        while len(retired) > RETIRED_MOST:
            del retired[next(iter(retired))]
        return _Sender(identity=identity, connection=max(connection, sender.connection), retired=retired)


class Peers:
    """Owns the sockets to and from other nodes. `sink` takes (uid, lane, messages, whether any before are lost);
    losses are told for the lane of work only.

    Who accepts a connection numbers it and then sends a random challenge; the other side sends that back ahead of its
    first frame. So whoever sent a frame was alive after its connection got its number, and of two processes that
    followed each other at an address the later one has the higher numbers, whatever a cut or a full backlog held up.
    """

    def __init__(self, *, address: str, node_id: str, incarnation: int, sink: Sink, log: Log) -> None:
        self.address = address
        self.node_id = node_id
        self.incarnation = incarnation
        self.sink = sink
        self.log = log
        self._out: dict[tuple[str, Lane], tuple[Line, trio.Event]] = {}
        self._seen = Seen()
        self._accepted = 0  # connections so far
        self._checked: dict[int, tuple[int, str, str, int]] = {}  # by connection: the last good envelope
        self._told: dict[int, None] = {}  # connections with frames of a life that does not count
        self._nursery: trio.Nursery | None = None

    def send(self, *, address: str, kind: Kind, body: bytes) -> None:
        """Queue a message; dropped when the peer's queue is full."""
        lane = LANES[kind]
        if address == self.address:  # parsed, not handed over: what a state machine holds must not be shared
            self.sink(self.node_id, lane, [(kind, orjson.loads(body))], False)
            return
        pair = self._out.get((address, lane))
        if pair is None:
            pair = self._out[address, lane] = (Line(), trio.Event())
            assert self._nursery is not None
            self._nursery.start_soon(self._pump, address, lane, pair[0])
        line, wake = pair
        full = line.full
        if not line.put(kind=kind, body=body) and not full:
            self.log.warn("peer-queue-full", peer=address, lane=lane.name)
        wake.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve for ever; started once peers can connect and messages can be sent. The listener is closed once this
        has ended, however it ends: the address is free again.
        """
        with accept.open_listener(address=self.address) as listener:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(partial(accept.serve, listener=listener, handler=self._take))
                nursery.start_soon(self._mark)
                task_status.started()

    async def _mark(self) -> None:
        """Wake lanes of work that fell silent."""
        while True:
            await trio.sleep(MARK_S)
            for (_, lane), (line, wake) in self._out.items():
                if lane is Lane.WORK and line.marks > 0:
                    wake.set()

    async def _next(self, *, address: str, lane: Lane, line: Line) -> bool:
        """Wait for messages; false: none, but a mark is due."""
        if not line.rows:
            await self._out[address, lane][1].wait()
        self._out[address, lane] = (line, trio.Event())
        return bool(line.rows)

    async def _pump(self, address: str, lane: Lane, line: Line) -> None:
        host, port = address.rsplit(":", 1)
        stream: trio.SocketStream | None = None
        sealer = Sealer(lane=lane, src=self.address, node_id=self.node_id, incarnation=self.incarnation)
        try:
            while True:
                real = await self._next(address=address, lane=lane, line=line)
                seq, body = line.take()
                raw = sealer.seal(seq=seq, body=body)
                try:
                    if stream is None:
                        with trio.fail_after(DIAL_S):
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
        finally:
            if stream is not None:
                stream.socket.close()

    async def _dial(self, *, host: str, port: int) -> trio.SocketStream:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, _USER_TIMEOUT, 1500)
            await sock.connect((host, port))
            stream = trio.SocketStream(sock)
            await stream.send_all(await self._challenge(stream=stream))
        except BaseException:
            sock.close()
            raise
        return stream

    @staticmethod
    async def _challenge(*, stream: trio.SocketStream) -> bytes:
        """What the other side asks to have sent back; raises OSError if that is nothing of the kind."""
        got = b""
        while len(got) < CHALLENGE_BYTES:
            data = await stream.receive_some(CHALLENGE_BYTES - len(got))
            if not data:
                raise OSError("connection closed ahead of its challenge")
            got += data
        if not got.startswith(MAGIC):
            raise OSError("not a challenge")
        return got

    async def _take(self, stream: trio.SocketStream) -> None:
        self._accepted += 1
        connection = self._accepted
        challenge = MAGIC + secrets.token_bytes(CHALLENGE_BYTES - len(MAGIC))
        try:
            await stream.send_all(challenge)
            await self._receive(stream=stream, connection=connection, challenge=challenge)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self._checked.pop(connection, None)
            await trio.aclose_forcefully(stream)

    async def _receive(self, *, stream: trio.SocketStream, connection: int, challenge: bytes) -> None:
        """Take what one connection brings until it ends or brings what cannot be read."""
        cut = Splitter()
        opening = bytearray()
        opened = False
        while True:
            data = bytes(await stream.receive_some(262144))
            if not data:
                return
            if not opened:
                opening += data
                if not challenge.startswith(opening[:CHALLENGE_BYTES]):
                    self.log.warn("peer-malformed", why="the challenge was not sent back")
                    return
                if len(opening) < CHALLENGE_BYTES:
                    continue
                opened, data = True, bytes(opening[CHALLENGE_BYTES:])
            malformed = None
            try:
                frames = cut.feed(data)
            except MalformedFrameError as err:
                frames, malformed = err.frames, str(err)
            for frm in frames:
                self._deliver(frm, connection=connection)
            if malformed is not None:
                self.log.warn("peer-malformed", why=malformed)
                return

    def _deliver(self, frm: Frame, *, connection: int) -> None:
        number, src, node_id, incarnation, seq = (
            frm.lane,
            frm.src,
            frm.node_id,
            frm.incarnation,
            frm.seq,
        )  # reading a field is not cheap
        envelope = (number, src, node_id, incarnation)
        if seq < 1 or self._checked.get(connection) != envelope:  # else it is as good as the last one's
            fault = envelope_fault(lane=number, src=src, node_id=node_id, incarnation=incarnation, seq=seq)
            if fault:
                self.log.warn("frame-malformed", peer=node_id, why=fault)
                return
            self._checked[connection] = envelope
        fresh, lost = self._seen.take(
            src=src, lane=number, node_id=node_id, incarnation=incarnation, seq=seq, connection=connection
        )
        if not fresh:
            self._passed_over(src=src, identity=Identity(node_id, incarnation), connection=connection)
            return
        lane = Lane(number)
        unknown: set[int] = set()
        try:
            rows = unbundle(body=frm.body, unknown=unknown)
        except (ValueError, TypeError) as err:
            self.log.warn("frame-malformed", peer=node_id, why=repr(err))
            lane, rows, lost = Lane.WORK, [], True
        if unknown:
            self.log.warn("frame-kind-unknown", peer=node_id, kinds=sorted(unknown)[:8])
        if rows or lost:
            self.sink(node_id, lane, rows, lost)

    def _passed_over(self, *, src: str, identity: Identity, connection: int) -> None:
        """Tell, once for each connection, that its frames are those of a life that does not count (any more)."""
        now = self._seen.current(src=src)
        if now is None or now == identity or connection in self._told:
            return
        self._told[connection] = None
        while len(self._told) > RETIRED_MOST:
            del self._told[next(iter(self._told))]
        self.log.warn(
            "peer-life-retired",
            peer=identity.node_id,
            incarnation=identity.incarnation,
            current=now.node_id,
            current_incarnation=now.incarnation,
        )
