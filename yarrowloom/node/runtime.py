"""The trio shell round a node: sockets, disk and clocks; the node itself is a pure state machine.

Inputs are queued and taken in the order of their classes, a short slice at a time, between which all tasks run: so
hundreds of beats that arrive together hold up neither ticks nor hearts.
"""

import math
import secrets
import signal
import time
from functools import partial
from typing import Any

import trio

from ..common.defaults import load as load_defaults
from ..common.effects import AnyEffect
from ..common.errors import StartupError, YarrowError
from ..common.log import Log
from ..common.settings import NodeSettings, load
from ..storage import END, FileSystem, Ring, Verdict, file_sizes, until_taken
from ..storage.startup_retry import RETRY_S
from ..transport.envelope import Kind, Lane, dump
from ..transport.http_server import Request, Response, Server, listen
from ..transport.peer_connections import Peers, Rows
from .admission_deadline import patience_s
from .core import CoreNode
from .counters import Tally
from .edge import EdgeNode
from .identity import FIRST
from .input_scheduler import Input, Rank, Repeats, Turns, rank_of
from .recovery import recover

TICK_CORE_S = 0.05
TICK_EDGE_S = 0.1
QUIET_S = 1.0
SLICE_S = 0.004
LONG_S = 0.02  # after a slice this long all sockets are read before the next tick
WAIT_S = 30.0  # an HTTP call that the node has not answered by then gets 504
DRAIN_LEAST_S = 0.6  # what a core has to say leaves within this time
GRACE_SPARE_S = 1.0  # of `grace-s`: left for the end itself
Node = CoreNode | EdgeNode


class Shell:
    """Owns all tasks of a process. Each input sets the node's clocks, runs the node, and carries out its outputs."""

    def __init__(self, *, node: Node, log: Log, ring: Ring | None, port: int) -> None:
        self.node = node
        self.log = log
        self.ring = ring
        self.peers = Peers(
            address=f"{node.settings.ip}:{port}",
            node_id=node.node_id,
            incarnation=node.incarnation,
            sink=self._frames,
            log=log,
        )
        if isinstance(node, CoreNode):
            self.turns = Turns(tick=self._tick, gap=TICK_CORE_S, chores=node.chores())
        else:
            self.turns = Turns(tick=self._tick, gap=TICK_EDGE_S)
        self.repeats = Repeats()
        self.wake = trio.Event()
        self.running = False
        self.credit = 0.0
        self.swept = 0.0
        self.waits: dict[int, tuple[trio.Event, list[Response], float]] = {}
        self.call = 0
        self.disk: list[tuple[bytes, AnyEffect]] = []
        self.dirty = trio.Event()
        self.servers: list[Server] = []
        self.tally = Tally()

    def step(self, fn: Input) -> None:
        """Give the node one input and carry out what it wants."""
        node = self.node
        node.now, node.wall_now = time.monotonic(), time.time()
        fn()
        out = node.out
        sends, out.sends = out.sends, []
        for address, kind, body in sends:
            self.peers.send(address=address, kind=kind, body=body)
            self.tally.sends(kind=kind, size=len(body))
        if out.writes:
            self.disk += out.writes
            out.writes = []
            self.dirty.set()
        answers, out.answers = out.answers, []
        for key, response in answers:
            wait = self.waits.get(key)
            if wait is not None:
                wait[1].append(response)
                wait[0].set()

    def post(self, *, fn: Input, rank: Rank, until: float = math.inf, expired: Input | None = None) -> None:
        """Queue an input for the node; taken at once while there is credit for it."""
        self.turns.put(fn=fn, rank=rank, until=until, expired=expired)
        self._drain()

    def _drain(self) -> None:
        """Take inputs in their order, whoever brought them. Invariant: between two rounds in which all tasks run, no
        more than a slice is spent here and one input longer than that.
        """
        if self.running:
            return
        self.running = True
        turns = self.turns
        now = time.monotonic()
        try:
            while self.credit > 0:
                fn = turns.take(now=now)
                if fn is None:
                    break
                self.step(fn)
                then, now = now, time.monotonic()
                self.credit -= now - then
        finally:
            turns.ended(now=now)
            self.running = False
        if len(turns):
            self.wake.set()

    def _frames(self, node_id: str, lane: Lane, rows: Rows, lost: bool) -> None:
        node = self.node
        if lost and lane is Lane.URGENT:
            self.post(fn=partial(node.lost_from, node_id=node_id), rank=Rank.URGENT)
        elif lost and lane is Lane.WORK and isinstance(node, CoreNode):  # in each class before what came after
            self.post(fn=partial(node.gap_agent, node_id=node_id), rank=Rank.AGENT)
            self.post(fn=partial(node.gap_place, node_id=node_id), rank=Rank.PLACE)
        elif lost and lane is Lane.WORK:
            self.post(fn=partial(node.gap, node_id=node_id), rank=Rank.AGENT)
        for kind, document in rows:
            self.tally.gets(kind=kind)
            m = self.repeats.screen(node_id=node_id, kind=kind, m=document)
            if m is None:
                continue
            rank = rank_of(kind=kind, m=m)
            until, expired = math.inf, None
            if rank is Rank.LATE and isinstance(node, CoreNode):
                until = time.monotonic() + patience_s(ttl=m.get("ttl"), default=WAIT_S)
                expired = partial(self._guard, node_id, kind, partial(node.too_late, node_id=node_id, m=m))
            self.post(fn=partial(self._on, node_id, kind, m), rank=rank, until=until, expired=expired)

    def _on(self, node_id: str, kind: Kind, m: Any) -> None:
        m = self.repeats.taken(node_id=node_id, kind=kind, m=m)
        self._guard(node_id, kind, partial(self.node.on, node_id=node_id, kind=kind, m=m))

    def _guard(self, node_id: str, kind: Kind, fn: Input) -> None:
        """Handle a message that may be malformed."""
        try:
            fn()
        except (KeyError, IndexError, AttributeError, TypeError, ValueError) as err:
            self.log.warn("frame-malformed", kind=kind.name, peer=node_id, why=repr(err))

    def _tick(self) -> None:
        now = self.node.now
        load = self.turns.load.report(now=now)
        if load is not None:
            self.log.info("busy", **load, waiting="/".join(map(str, self.turns.waiting().values())))
        if now - self.swept > 1.0:
            self.swept = now
            for event, _, until in list(self.waits.values()):
                if now > until:
                    event.set()
        if isinstance(self.node, CoreNode):
            self.node.pulse()
        else:
            self.node.tick()

    async def work(self) -> None:
        """Give credit for one slice after another; the other tasks run between them."""
        turns = self.turns
        while True:
            self.credit = SLICE_S
            self._drain()
            if self.credit < SLICE_S - LONG_S:  # one round of tasks finds what has arrived, the next has taken it
                await trio.lowlevel.checkpoint()
            if len(turns):
                await trio.lowlevel.checkpoint()
                continue
            self.wake = trio.Event()
            with trio.move_on_after(max(0.0, turns.due - time.monotonic())):
                await self.wake.wait()

    async def handle(self, req: Request) -> Response:
        """One HTTP call: wait for the node's answer."""
        self.tally.call(method=req.method, path=req.path)
        if req.path == "/tally" and isinstance(self.node, CoreNode):
            return self.counts()
        self.call += 1
        key = self.call
        box: list[Response] = []
        event = trio.Event()
        self.waits[key] = (event, box, time.monotonic() + WAIT_S)
        try:
            self.post(fn=partial(self.node.http, call=key, req=req), rank=Rank.AGENT)
            await event.wait()
        finally:
            del self.waits[key]
        return box[0] if box else Response(status=504)

    def counts(self) -> Response:
        """What this process has done."""
        table = self.node.table
        return Response.of(200, self.tally.document(config_version=table.config_version if table is not None else 0))

    async def ready(self, req: Request) -> Response:
        """The platform's question."""
        node = self.node
        if req.path == "/tally":
            return self.counts()
        node.now = time.monotonic()
        good = req.path.startswith("/readiness") and isinstance(node, EdgeNode) and node.ready()
        return Response(status=200 if good else 503)

    async def writer(self) -> None:
        """Write and sync records in batches; effects follow."""
        ring, node = self.ring, self.node
        assert ring is not None
        assert isinstance(node, CoreNode)
        while True:
            await self.dirty.wait()
            self.dirty = trio.Event()
            while self.disk:
                batch, self.disk = self.disk, []
                bodies = [b for b, _ in batch]
                head: list[bytes] = []
                if ring.full(extra=ring.room(bodies=bodies)):
                    head = node.checkpoint()
                try:
                    await trio.to_thread.run_sync(self._put, ring, head, bodies)
                except OSError as err:
                    self.log.warn("disk-refused", why=str(err))
                    ring.close()
                    self.disk = batch + self.disk
                    await trio.sleep(RETRY_S)
                    continue
                self.tally.wrote(head=head, bodies=bodies)
                self.post(fn=partial(node.done, effects=[effect for _, effect in batch]), rank=Rank.URGENT)

    @staticmethod
    def _put(ring: Ring, head: list[bytes], bodies: list[bytes]) -> None:
        if head:
            ring.begin(checkpoint=[*head, END], bodies=bodies)
        else:
            ring.append(bodies=bodies)

    async def stop_on_term(self, scope: trio.CancelScope) -> None:
        """SIGTERM drains; SIGHUP reads the settings again."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as sigs:
            async for sig in sigs:
                if sig == signal.SIGHUP:
                    self.reload()
                    continue
                self.log.info("draining")
                await self.drain()
                scope.cancel()
                return

    def reload(self) -> None:
        """Take up the settings file as it is now."""
        try:
            fresh = load()
        except StartupError as err:
            self.log.warn("settings-refused", why=err.text)
            return
        if fresh != self.node.settings:
            self.node.settings = fresh
            self.log.info("settings-applied")

    async def watch_settings(self) -> None:
        """The file may change without a signal."""
        while True:
            await trio.sleep(2.0)
            self.reload()

    async def drain(self) -> None:
        """Let others take over what they can, end when quiet."""
        node = self.node
        if isinstance(node, EdgeNode):
            node.closing = True
            for srv in self.servers:
                srv.closing = True
            grace = node.settings.bound(name="grace-s", default=6.0)
            end = time.monotonic() + max(grace - 1.0, 0.5)
            begun, quiet = time.monotonic(), time.monotonic()
            while time.monotonic() < end:
                now = time.monotonic()
                if any(s.busy for s in self.servers):
                    quiet = now
                if now - begun > 2.5 and now - quiet > QUIET_S:
                    break
                await trio.sleep(0.1)
        else:
            await self.drain_core(node=node)

    async def drain_core(self, *, node: CoreNode) -> None:
        """Hand over and stay until others hold what this node holds, within `grace-s`."""
        begun = time.monotonic()
        most = max(node.settings.bound(name="grace-s", default=6.0) - GRACE_SPARE_S, DRAIN_LEAST_S)
        self.step(node.leave)
        while True:
            await trio.sleep(0.05)
            spent = time.monotonic() - begun
            if spent >= most or (spent >= DRAIN_LEAST_S and node.may_end()):
                break
        alone = node.only_copies()
        if alone:
            self.log.warn("leaves-only-copy", groups=",".join(map(str, alone)))
        self.log.info("drained", s=round(spent, 2), relieved=node.may_end())

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until told to end; started once all its addresses can be reached."""
        node = self.node
        async with trio.open_nursery() as nursery:
            await nursery.start(self.peers.run)
            if self.ring is not None:
                nursery.start_soon(self.writer)
            binds = node.settings.binds
            if isinstance(node, EdgeNode):
                if "front" in binds:
                    srv = Server(handler=self.handle, limits=node.limits)
                    self.servers.append(srv)
                    await nursery.start(partial(listen, address=binds["front"], server=srv))
                if "ready" in binds:
                    await nursery.start(partial(listen, address=binds["ready"], server=Server(handler=self.ready)))
            elif "control" in binds:
                srv = Server(handler=self.handle)
                srv.limits.body_bytes, srv.limits.idle_ms, srv.limits.header_bytes = 16 << 20, 60000, 65536
                self.servers.append(srv)
                await nursery.start(partial(listen, address=binds["control"], server=srv))
            nursery.start_soon(self.work)
            nursery.start_soon(self.watch_settings)
            nursery.start_soon(self.stop_on_term, nursery.cancel_scope)
            self.log.info("started", role=node.kind, node_id=node.node_id)
            task_status.started()


def open_core(*, settings: NodeSettings, log: Log, file_system: FileSystem | None = None) -> Shell:
    """A core process: identity and state from the disk, or new ones."""
    if settings.data_dir is None:
        raise StartupError(text="a core needs data-dir")
    size, most = file_sizes(disk_mb=settings.disk_mb)
    ring = Ring(folder=settings.data_dir, size=size, most=most, file_system=file_system)
    records = until_taken(call=ring.load, ring=ring, log=log)
    if ring.verdict is Verdict.LOST:  # what is left may be old: join as after the loss of the disk
        log.warn("journal-lost", folder=settings.data_dir)
        records = []
    port = settings.ports[0]
    node = recover(
        settings=settings,
        records=records,
        blank=ring.verdict is Verdict.EMPTY,
        log=log,
        now=time.monotonic(),
        rand=secrets.randbelow(1 << 30) / (1 << 30),
        token=secrets.token_hex(4),
        defaults=load_defaults(),
    )
    head = [*node.checkpoint(), END]
    until_taken(call=partial(ring.begin, checkpoint=head), ring=ring, log=log)
    return Shell(node=node, log=log, ring=ring, port=port)


def open_edge(*, settings: NodeSettings, log: Log) -> Shell:
    """An edge process."""
    port = settings.ports[0] + 1
    node_id = f"{settings.ip}:{port}#{secrets.token_hex(4)}"
    node = EdgeNode(settings=settings, node_id=node_id, incarnation=FIRST, log=log)  # the uid is of this life alone
    return Shell(node=node, log=log, ring=None, port=port)


def serve(*, kind: str, level: str = "info") -> None:
    """Run a process of a role until it is told to end."""
    settings = load()
    log = Log(name=kind, level=level)
    shell = open_core(settings=settings, log=log) if kind == "core" else open_edge(settings=settings, log=log)
    trio.run(shell.run)


__all__ = ["Shell", "YarrowError", "dump", "open_core", "open_edge", "serve"]
