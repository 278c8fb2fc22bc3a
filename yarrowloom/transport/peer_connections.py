"""Connections to and from other nodes over TCP, and the frames that they carry.

For each peer and lane one task sends; for each accepted connection one task receives. Frames may be lost (a connection
that breaks drops what it held); they are never repeated and never overtaken, also not by frames of an earlier
incarnation of a process at the same address. Incarnations are told apart without a clock: see `SequenceTracker`.
"""

import secrets
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import orjson
import trio

from ..common.log import Log
from . import listener as accept
from .caller_budget import CallerBudget, CallerClosedError
from .envelope import Frame, FrameDecoder, FrameEncoder, MalformedFrameError, envelope_fault, split_messages
from .message_kinds import LANES, Kind, Lane
from .send_queue import SendQueue
from .sequence_tracker import SenderIdentity, SequenceTracker

TCP_USER_TIMEOUT = 18  # absent from the socket module on some builds
TCP_USER_TIMEOUT_MS = 1500  # a connection whose data stays unacknowledged for this long is dead
PROBE_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 1.0  # to connect and to answer the challenge
SEND_TIMEOUT_S = 10.0  # for one frame; a dead peer is found sooner, but a slow link may take long over a frame
RECONNECT_PAUSE_S = 0.05
RECEIVE_BYTES = 256 * 1024
MAGIC = b"YLPEER02"
CHALLENGE_BYTES = len(MAGIC) + 8
MAX_REPORTED = 16  # connections with frames of a retired incarnation that are reported once each

Messages = list[tuple[Kind, Any]]
MessageSink = Callable[[str, Lane, Messages, bool], None]
RestartListener = Callable[[str], None]
SEND_ERRORS = (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError)
RECEIVE_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, CallerClosedError)


@dataclass(slots=True, kw_only=True)
class _Outgoing:
    """What leaves for one peer in one lane.

    Attributes:
        queue: The messages.
        wake: Wakes the sending task.
        is_outdated: The connection was opened to an earlier incarnation of the peer.
        sending: Ends the sending of the present frame; None: none was sent yet.
        has_sent: A frame has left since the last look for silent lanes.
    """

    queue: SendQueue = field(default_factory=SendQueue)
    wake: trio.Event = field(default_factory=trio.Event)
    is_outdated: bool = False
    sending: trio.CancelScope | None = None
    has_sent: bool = False

    def renew(self) -> None:
        """Have the connection closed, and what is being sent on it fail."""
        self.is_outdated = True
        self.wake.set()
        if self.sending is not None:
            self.sending.cancel()


class PeerConnections:
    """Owns the sockets to and from other nodes.

    A connection to a peer belongs to an incarnation of it: with the first frame of a newer one it is closed. After a
    loss of power it looks whole for long, and all that is sent on it is lost.

    Whoever accepts a connection numbers it and then sends a random challenge, which the other side sends back ahead of
    its first frame. So the sender of a frame was alive after its connection got its number, and of two processes that
    followed each other at an address the later one has the higher numbers, whatever a network partition or a full
    backlog delayed.
    """

    def __init__(
        self,
        *,
        address: str,
        node_id: str,
        incarnation: int,
        sink: MessageSink,
        log: Log,
        on_restart: RestartListener | None = None,
        caller_budget: CallerBudget | None = None,
    ) -> None:
        """Create the connections of a node; `run` opens them.

        Args:
            address: HOST:PORT at which other nodes connect.
            node_id: The id of this node.
            incarnation: The number of this process among those with this node id.
            sink: Takes (node id, lane, messages, whether messages before them were lost).
            log: Where malformed input is reported.
            on_restart: Is told the address of a peer of which a newer incarnation was heard.
            caller_budget: What callers may hold; whoever connects is one until it has sent the challenge back.
        """
        self.address = address
        self.node_id = node_id
        self.incarnation = incarnation
        self.sink = sink
        self.log = log
        self.on_restart = on_restart
        self._caller_budget = caller_budget if caller_budget is not None else CallerBudget()
        self._outgoing: dict[tuple[str, Lane], _Outgoing] = {}
        self._tracker = SequenceTracker()
        self._accepted = 0  # connections so far
        self._receiving: dict[int, trio.CancelScope] = {}  # by connection: what ends it
        self._checked: dict[int, tuple[int, str, str, int]] = {}  # by connection: the last good envelope
        self._reported: dict[int, None] = {}  # connections with frames of a retired incarnation
        self._nursery: trio.Nursery | None = None

    def send(self, *, address: str, kind: Kind, body: bytes) -> None:
        """Queue a message; it is dropped when the peer's queue is full."""
        lane = LANES[kind]
        if address == self.address:  # parsed, not handed over: what a state machine holds must not be shared
            self.sink(self.node_id, lane, [(kind, orjson.loads(body))], False)
            return
        outgoing = self._outgoing.get((address, lane)) or self._start_sending(address=address, lane=lane)
        was_full = outgoing.queue.is_full
        if not outgoing.queue.put(kind=kind, body=body) and not was_full:
            self.log.warn("peer-queue-full", peer=address, lane=lane.name)
        outgoing.wake.set()

    def _start_sending(self, *, address: str, lane: Lane) -> _Outgoing:
        assert self._nursery is not None
        outgoing = self._outgoing[address, lane] = _Outgoing()
        self._nursery.start_soon(self._send_frames, address, lane, outgoing)
        return outgoing

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve for ever; started once peers can connect and messages can be sent.

        The listener is closed once this has ended, however it ends: the address is free again.
        """
        with accept.open_listener(address=self.address) as listener:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(partial(accept.serve, listener=listener, handler=self._receive_connection))
                nursery.start_soon(self._wake_for_probes)
                task_status.started()

    # -- sending

    async def _wake_for_probes(self) -> None:
        """Wake lanes that fell silent: nobody could notice that the last frames were lost with a dead connection."""
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            for (_, lane), outgoing in self._outgoing.items():
                is_silent, outgoing.has_sent = not outgoing.has_sent, False
                # Lanes of work are probed in any case: a gap there must be found as soon as can be.
                if outgoing.queue.probes_due > 0 and (is_silent or lane is Lane.WORK):
                    outgoing.wake.set()

    async def _send_frames(self, address: str, lane: Lane, outgoing: _Outgoing) -> None:
        """Own the connection to one peer in one lane for ever."""
        encoder = FrameEncoder(lane=lane, source=self.address, node_id=self.node_id, incarnation=self.incarnation)
        stream: trio.SocketStream | None = None
        try:
            while True:
                held_messages = await self._next(outgoing)
                if outgoing.is_outdated:
                    outgoing.is_outdated = False
                    await self._close(stream)
                    stream = None
                sequence, body = outgoing.queue.take()
                frame = encoder.encode(sequence=sequence, body=body)
                with trio.CancelScope() as outgoing.sending:
                    try:
                        if stream is None:
                            with trio.fail_after(CONNECT_TIMEOUT_S):
                                stream = await self._connect(address=address)
                        with trio.fail_after(SEND_TIMEOUT_S):
                            await stream.send_all(frame)
                        outgoing.queue.on_sent(held_messages=held_messages)
                        outgoing.has_sent = True
                        continue
                    except SEND_ERRORS:
                        pass
                if outgoing.is_outdated:
                    outgoing.queue.on_renewed()
                    continue
                outgoing.queue.on_failure(lost_messages=held_messages or stream is not None)
                await self._close(stream)
                stream = None
                await trio.sleep(RECONNECT_PAUSE_S)
        finally:
            if stream is not None:
                stream.socket.close()

    @staticmethod
    async def _close(stream: trio.SocketStream | None) -> None:
        if stream is not None:
            await trio.aclose_forcefully(stream)

    @staticmethod
    async def _next(outgoing: _Outgoing) -> bool:
        """Wait for messages; false: there are none, but a probe is due."""
        if not outgoing.queue.messages:
            await outgoing.wake.wait()
        outgoing.wake = trio.Event()
        return bool(outgoing.queue.messages)

    async def _connect(self, *, address: str) -> trio.SocketStream:
        """Connect and answer the challenge. Raises OSError or a trio error."""
        host, port = address.rsplit(":", 1)
        connection = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
            await connection.connect((host, int(port)))
            stream = trio.SocketStream(connection)
            await stream.send_all(await self._read_challenge(stream=stream))
        except BaseException:
            connection.close()
            raise
        return stream

    @staticmethod
    async def _read_challenge(*, stream: trio.abc.Stream) -> bytes:
        """What the other side asks to have sent back. Raises OSError if that is no challenge."""
        received = b""
        while len(received) < CHALLENGE_BYTES:
            data = await stream.receive_some(CHALLENGE_BYTES - len(received))
            if not data:
                raise OSError("connection closed ahead of its challenge")
            received += data
        if not received.startswith(MAGIC):
            raise OSError("not a challenge")
        return received

    # -- receiving

    async def _receive_connection(self, stream: trio.abc.Stream) -> None:
        """Own one accepted connection until it ends."""
        self._accepted += 1
        connection = self._accepted
        try:
            with suppress(*RECEIVE_ERRORS), trio.CancelScope() as scope:
                self._receiving[connection] = scope
                rest = await self._challenge(stream=stream, scope=scope)
                await self._receive_frames(stream=stream, connection=connection, rest=rest)
        finally:
            del self._receiving[connection]
            self._checked.pop(connection, None)
            await trio.aclose_forcefully(stream)

    def close_incoming(self, node_id: str, lane: Lane) -> None:
        """End the connections on which a node's frames of a lane come; what they still hold is lost."""
        for connection, (lane_number, _, sender, _) in self._checked.items():
            if (sender, lane_number) == (node_id, lane):
                self._receiving[connection].cancel()

    async def _challenge(self, *, stream: trio.abc.Stream, scope: trio.CancelScope) -> bytes | None:
        """What follows the challenge that was sent back; None: the connection ended or sent something else.

        Until then whoever connected is no node, and its connection counts among those of callers.

        Raises:
            CallerClosedError: There is no room for it.
        """
        account = self._caller_budget.open(on_evicted=scope.cancel)
        challenge = MAGIC + secrets.token_bytes(CHALLENGE_BYTES - len(MAGIC))
        try:
            await stream.send_all(challenge)
            return await self._read_opening(stream=stream, challenge=challenge)
        finally:
            account.close()

    async def _receive_frames(self, *, stream: trio.abc.Stream, connection: int, rest: bytes | None) -> None:
        """Take what one connection brings until it ends or brings what cannot be read.

        Args:
            stream: The connection.
            connection: Its number.
            rest: What has come of it; None: it has ended.
        """
        decoder = FrameDecoder()
        while rest is not None:
            malformed = None
            try:
                frames = decoder.feed(rest)
            except MalformedFrameError as error:
                frames, malformed = error.frames, str(error)
            for frame in frames:
                if not self._deliver(frame, connection=connection):
                    return
            if malformed is not None:
                self.log.warn("peer-malformed", why=malformed)
                return
            rest = bytes(await stream.receive_some(RECEIVE_BYTES)) or None

    async def _read_opening(self, *, stream: trio.abc.Stream, challenge: bytes) -> bytes | None:
        """What follows the challenge that was sent back; None: the connection ended or sent something else."""
        opening = bytearray()
        while len(opening) < CHALLENGE_BYTES:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            opening += data
            if not challenge.startswith(opening[:CHALLENGE_BYTES]):
                self.log.warn("peer-malformed", why="the challenge was not sent back")
                return None
        return bytes(opening[CHALLENGE_BYTES:])

    def _deliver(self, frame: Frame, *, connection: int) -> bool:
        """Hand a frame's messages to the sink, unless it is malformed, repeated or of a retired incarnation.

        Returns:
            Whether it is well formed.
        """
        # Reading a protobuf field is not cheap: each is read once.
        lane_number, source, node_id = frame.lane, frame.source, frame.node_id
        incarnation, sequence = frame.incarnation, frame.sequence
        envelope = (lane_number, source, node_id, incarnation)
        if sequence < 1 or self._checked.get(connection) != envelope:  # else it is as good as the last one's
            fault = envelope_fault(
                lane=lane_number, source=source, node_id=node_id, incarnation=incarnation, sequence=sequence
            )
            if fault:
                self.log.warn("frame-malformed", peer=node_id, why=fault)
                return False
            self._checked[connection] = envelope
        former = self._tracker.current(source=source)
        is_new, is_gap = self._tracker.take(
            source=source,
            lane=lane_number,
            node_id=node_id,
            incarnation=incarnation,
            sequence=sequence,
            connection=connection,
        )
        if is_new and is_gap and former is not None and former != (node_id, incarnation):
            self._on_successor(address=source)
        if is_new:
            return self._hand_over(node_id=node_id, lane=Lane(lane_number), body=frame.body, is_gap=is_gap)
        self._report_retired(source=source, identity=SenderIdentity(node_id, incarnation), connection=connection)
        return True

    def _on_successor(self, *, address: str) -> None:
        """A newer incarnation of a peer was heard: connections to the one before lead nowhere."""
        for (peer, _), outgoing in self._outgoing.items():
            if peer == address:
                outgoing.renew()
        if self.on_restart is not None:
            self.on_restart(address)

    def _hand_over(self, *, node_id: str, lane: Lane, body: bytes, is_gap: bool) -> bool:
        """Hand over what a frame holds; false: its body cannot be read, which counts as a loss."""
        is_readable = True
        unknown: set[int] = set()
        try:
            messages = split_messages(body=body, unknown=unknown)
        except (ValueError, TypeError) as error:
            self.log.warn("frame-malformed", peer=node_id, why=repr(error))
            lane, messages, is_gap, is_readable = Lane.WORK, [], True, False
        if unknown:
            self.log.warn("frame-kind-unknown", peer=node_id, kinds=sorted(unknown)[:8])
        if messages or is_gap:
            self.sink(node_id, lane, messages, is_gap)
        return is_readable

    def _report_retired(self, *, source: str, identity: SenderIdentity, connection: int) -> None:
        """Log, once for each connection, that its frames are those of an incarnation that does not count any more."""
        current = self._tracker.current(source=source)
        if current is None or current == identity or connection in self._reported:
            return
        self._reported[connection] = None
        while len(self._reported) > MAX_REPORTED:
            del self._reported[next(iter(self._reported))]
        self.log.warn(
            "peer-life-retired",
            peer=identity.node_id,
            incarnation=identity.incarnation,
            current=current.node_id,
            current_incarnation=current.incarnation,
        )
