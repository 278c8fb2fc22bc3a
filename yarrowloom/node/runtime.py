"""The trio side of a process: runs a node, which is a pure state machine, on sockets, a disk and clocks.

Inputs are queued and handled in the order of their classes, a short slice of time after the other, between which all
tasks run: so hundreds of heartbeats that arrive together hold up neither ticks nor replication.
"""

import math
import signal
import time
from functools import partial

import trio

from ..common import early_signals
from ..common.errors import SettingsError, StateInDoubtError
from ..common.log import Log
from ..common.settings import load as load_settings
from ..storage import RingJournal
from ..transport.caller_budget import CallerBudget
from ..transport.http_messages import Handler, Limits, Request, Response
from ..transport.http_server import Server, listen
from ..transport.message_kinds import Kind, Lane
from ..transport.peer_connections import Messages, PeerConnections
from .admission_deadline import admission_deadline_s
from .caller_limits import apply_limits
from .core import CoreNode
from .counters import Counters
from .disk_writer import DiskWriter, Write
from .draining import drain_core, drain_edge
from .edge import EdgeNode
from .http_exchanges import EXCHANGE_MOST_S, HttpExchanges
from .input_guard import InputGuard
from .input_scheduler import DuplicateFilter, Input, InputClass, InputScheduler, ParsedBody, classify_message

TICK_CORE_S = 0.05
TICK_EDGE_S = 0.1
SLICE_S = 0.004  # time for inputs between two rounds of the other tasks
LONG_SLICE_S = 0.02  # after a slice this long all sockets are read before the next tick
EXPIRY_CHECK_S = 1.0
SETTINGS_CHECK_S = 2.0
CONTROL_BODY_BYTES = 16 << 20
CONTROL_HEADER_BYTES = 65536
CONTROL_IDLE_MS = 60000
COUNTERS_PATH = "/tally"
READINESS_PATH = "/readiness"
Node = CoreNode | EdgeNode


class Runtime:
    """Owns all tasks of a process. Each input sets the node's clocks, runs the node, and carries out its outputs.

    Invariant: between two rounds in which all other tasks run, no more than a slice of time is spent on inputs, and
    one input longer than that.

    Attributes:
        node: The state machine; touched by `step` and in inputs only.
        credit_s: What is left of the present slice.
        disk_writer: The journal's writer; None: an edge keeps nothing.
        exchanges: HTTP calls that wait for the node's response.
        servers: Servers of clients and minions, which are drained before the process ends.
        caller_budget: What the callers of all its servers may hold.
    """

    def __init__(self, *, node: Node, log: Log, ring: RingJournal | None, port: int) -> None:
        self.node = node
        self.log = log
        self.caller_budget = CallerBudget()
        apply_limits(budget=self.caller_budget, settings=node.settings)
        self.peers = PeerConnections(
            address=f"{node.settings.ip}:{port}",
            node_id=node.node_id,
            incarnation=node.incarnation,
            sink=self.receive_frames,
            log=log,
            on_restart=self._on_peer_restarted,
            caller_budget=self.caller_budget,
        )
        self.disk_writer: DiskWriter | None = None
        if isinstance(node, CoreNode):
            self.inputs = InputScheduler(tick=self.tick, interval_s=TICK_CORE_S, periodic_inputs=node.periodic_inputs())
            if ring is not None:
                self.disk_writer = DiskWriter(
                    ring=ring, snapshot=node.snapshot_records, on_written=self._on_written, log=log
                )
        else:
            self.inputs = InputScheduler(tick=self.tick, interval_s=TICK_EDGE_S)
        self.duplicates = DuplicateFilter()
        self.guard = InputGuard(log=log, close_connection=self.peers.close_incoming)
        self.exchanges = HttpExchanges()
        self.counters = Counters()
        self.servers: list[Server] = []
        self.credit_s = 0.0
        self._is_handling = False
        self._has_inputs = trio.Event()
        self._expiry_checked_at = 0.0

    # -- inputs

    def step(self, run: Input) -> None:
        """Give the node one input and carry out what it wants."""
        node = self.node
        node.now, node.wall_now = time.monotonic(), time.time()
        run()
        self._carry_out()

    def _step_or_end(self, run: Input) -> None:
        """Give the node an input that was queued.

        Input of others has its guard, so what raises here goes by time or follows a sync. It is handled in the task of
        whoever queued an input last, and must not pass for an error of that one.

        Raises:
            StateInDoubtError: The input failed, perhaps half way.
        """
        try:
            self.step(run)
        except StateInDoubtError:
            raise
        except Exception as error:
            raise StateInDoubtError(text=repr(error)) from error

    def _carry_out(self) -> None:
        """Send, write and answer what the node put into its outbox."""
        outbox = self.node.out
        sends, outbox.sends = outbox.sends, []
        for address, kind, body in sends:
            self.peers.send(address=address, kind=kind, body=body)
            self.counters.count_sent(kind=kind, size_bytes=len(body))
        writes, outbox.writes = outbox.writes, []
        if writes and self.disk_writer is not None:
            self.disk_writer.add(writes=writes)
        answers, outbox.answers = outbox.answers, []
        for key, response in answers:
            self.exchanges.respond(key=key, response=response)

    def post(
        self, *, run: Input, input_class: InputClass, expires_at: float = math.inf, on_expired: Input | None = None
    ) -> None:
        """Queue an input for the node; handled at once while there is credit for it."""
        self.inputs.put(run=run, input_class=input_class, expires_at=expires_at, on_expired=on_expired)
        self._handle_inputs()

    def _handle_inputs(self) -> None:
        """Handle inputs in their order, whoever brought them, until the credit is used up."""
        if self._is_handling:
            return
        self._is_handling = True
        inputs = self.inputs
        now = time.monotonic()
        try:
            while self.credit_s > 0:
                run = inputs.take(now=now)
                if run is None:
                    break
                self._step_or_end(run)
                before, now = now, time.monotonic()
                self.credit_s -= now - before
        finally:
            inputs.record_end(now=now)
            self._is_handling = False
        if len(inputs):
            self._has_inputs.set()

    async def handle_inputs(self) -> None:
        """Give credit for one slice after another; the other tasks run between them."""
        while True:
            self.credit_s = SLICE_S
            self._handle_inputs()
            if self.credit_s < SLICE_S - LONG_SLICE_S:
                # One round of tasks finds what has arrived, the next has read it.
                await trio.lowlevel.checkpoint()
            if len(self.inputs):
                await trio.lowlevel.checkpoint()
                continue
            self._has_inputs = trio.Event()
            with trio.move_on_after(max(0.0, self.inputs.due_at - time.monotonic())):
                await self._has_inputs.wait()

    # -- frames from other nodes

    def receive_frames(self, node_id: str, lane: Lane, rows: Messages, lost: bool) -> None:
        """Queue the messages of a frame; `lost`: frames of that lane before this one did not arrive."""
        if lost:
            self._report_loss(node_id=node_id, lane=lane)
        for kind, document in rows:
            self.counters.count_received(kind=kind)
            message = self.duplicates.admit(node_id=node_id, kind=kind, message=document)
            if message is not None:
                self._post_message(node_id=node_id, kind=kind, message=message)

    def _report_loss(self, *, node_id: str, lane: Lane) -> None:
        """Tell the node of lost frames, in each class before what came after them."""
        node = self.node
        if lane is Lane.URGENT:
            self.post(run=partial(node.on_urgent_frames_lost, node_id=node_id), input_class=InputClass.URGENT)
        elif lane is Lane.WORK and isinstance(node, CoreNode):
            self.post(run=partial(node.on_agent_frames_lost, node_id=node_id), input_class=InputClass.AGENT)
            self.post(run=partial(node.on_scheduler_frames_lost, node_id=node_id), input_class=InputClass.SCHEDULING)
        elif lane is Lane.WORK:
            self.post(run=partial(node.on_frames_lost, node_id=node_id), input_class=InputClass.AGENT)

    def _on_peer_restarted(self, address: str) -> None:
        """What was under way to a peer went to an incarnation of it that is no more."""
        if isinstance(self.node, CoreNode):
            run = partial(self.node.on_peer_restarted, address=address)
            self.post(run=run, input_class=InputClass.URGENT)

    def _post_message(self, *, node_id: str, kind: Kind, message: ParsedBody) -> None:
        node = self.node
        input_class = classify_message(kind=kind, message=message)
        expires_at, on_expired = math.inf, None
        if input_class is InputClass.CLIENT and isinstance(node, CoreNode):
            wait_s = admission_deadline_s(ttl_s=message.get("ttl"), default_s=EXCHANGE_MOST_S)
            expires_at = time.monotonic() + wait_s
            on_expired = partial(
                self.guard.run_message,
                node_id=node_id,
                kind=kind,
                run=partial(node.on_call_expired, node_id=node_id, body=message),
            )
        run = partial(self._handle_message, node_id, kind, message)
        self.post(run=run, input_class=input_class, expires_at=expires_at, on_expired=on_expired)

    def _handle_message(self, node_id: str, kind: Kind, message: ParsedBody) -> None:
        message = self.duplicates.release(node_id=node_id, kind=kind, message=message)
        run = partial(self.node.on_message, node_id=node_id, kind=kind, body=message)
        self.guard.run_message(node_id=node_id, kind=kind, run=run)

    # -- time and disk

    def tick(self) -> None:
        """The node's regular input, and what the process does as often."""
        now = self.node.now
        busy_time = self.inputs.busy_time.report(now=now)
        if busy_time is not None:
            waiting = "/".join(map(str, self.inputs.queue_lengths().values()))
            self.log.info("process-busy", **busy_time, waiting=waiting)
        if now - self._expiry_checked_at > EXPIRY_CHECK_S:
            self._expiry_checked_at = now
            self.exchanges.expire(now=now)
            self._report_callers()
        if isinstance(self.node, CoreNode):
            self.node.pulse()
        else:
            self.node.tick()

    def _report_callers(self) -> None:
        """Log what callers were refused for want of room."""
        closed, refused = self.caller_budget.take_counts()
        if closed or refused:
            held_mb = self.caller_budget.held_bytes >> 20
            self.log.warn("callers-limited", closed=closed, refused=refused, held_mb=held_mb)

    def _on_written(self, snapshot: list[bytes], batch: list[Write]) -> None:
        """Records are durable: their effects follow."""
        assert isinstance(self.node, CoreNode)
        self.counters.count_written(snapshot=snapshot, records=[record for record, _ in batch])
        effects = [effect for _, effect in batch]
        self.post(run=partial(self.node.on_synced, effects=effects), input_class=InputClass.URGENT)

    # -- HTTP

    async def handle_request(self, request: Request) -> Response:
        """One HTTP call of a client, a minion or an operator: wait for the node's response."""
        self.counters.count_http_call(method=request.method, path=request.path)
        if request.path == COUNTERS_PATH and isinstance(self.node, CoreNode):
            return self.counters_response()
        key = self.exchanges.begin(now=time.monotonic())
        try:
            run = partial(
                self.guard.run_request,
                request=request,
                run=partial(self.node.on_http_request, call=key, request=request),
                respond=partial(self._respond, key),
            )
            self.post(run=run, input_class=InputClass.AGENT)
            return await self.exchanges.response(key=key)
        finally:
            self.exchanges.discard(key=key)

    def _respond(self, key: int, response: Response) -> None:
        self.exchanges.respond(key=key, response=response)

    def error_response(self, request: Request, error: Exception) -> Response:
        """The answer to a request whose handler raised.

        Raises:
            StateInDoubtError: The process must end.
        """
        if isinstance(error, StateInDoubtError):
            raise error
        return self.guard.error_response(request=request, error=error)

    def counters_response(self) -> Response:
        """What this process has done since its start."""
        table = self.node.table
        config_version = table.config_version if table is not None else 0
        return Response.of(200, self.counters.document(config_version=config_version))

    async def handle_probe(self, request: Request) -> Response:
        """A readiness probe of the platform, or a request for the counters."""
        node = self.node
        if request.path == COUNTERS_PATH:
            return self.counters_response()
        node.now = time.monotonic()
        is_ready = request.path.startswith(READINESS_PATH) and isinstance(node, EdgeNode) and node.ready()
        return Response(status=200 if is_ready else 503)

    # -- settings and signals

    async def watch_signals(self, scope: trio.CancelScope) -> None:
        """SIGTERM drains the node and ends the process; SIGHUP reads the settings again.

        Signals that came while the process started are handled first.
        """
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            for number in early_signals.take():
                if await self._on_signal(number):
                    scope.cancel()
                    return
            async for number in signals:
                if await self._on_signal(number):
                    scope.cancel()
                    return

    async def _on_signal(self, number: int) -> bool:
        """Handle a signal; true: the process is to end."""
        if number == signal.SIGHUP:
            self.reload_settings()
            return False
        self.log.info("drain-started")
        await self.drain()
        return True

    async def drain(self) -> None:
        """Let other nodes take over what they can."""
        if isinstance(self.node, EdgeNode):
            await drain_edge(node=self.node, servers=self.servers)
        else:
            await drain_core(node=self.node, step=self.step, log=self.log)

    async def watch_settings(self) -> None:
        """Read the settings now and then: the file may change without a signal."""
        while True:
            await trio.sleep(SETTINGS_CHECK_S)
            self.reload_settings()

    def reload_settings(self) -> None:
        """Take up the settings file as it is now; one that can't be used is passed over."""
        try:
            settings = load_settings()
        except SettingsError as error:
            self.log.warn("settings-refused", why=error.text)
            return
        if settings != self.node.settings:
            self.node.settings = settings
            apply_limits(budget=self.caller_budget, settings=settings)
            self.log.info("settings-applied")

    # -- tasks

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until told to end; started once all its addresses can be reached."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.peers.run)
            if self.disk_writer is not None:
                nursery.start_soon(self.disk_writer.run)
            await self._listen(nursery=nursery)
            nursery.start_soon(self.handle_inputs)
            nursery.start_soon(self.watch_settings)
            nursery.start_soon(self.watch_signals, nursery.cancel_scope)
            self.log.info("process-started", role=self.node.kind, node_id=self.node.node_id)
            task_status.started()

    async def _listen(self, *, nursery: trio.Nursery) -> None:
        """Serve the HTTP addresses that the settings name."""
        node, addresses = self.node, self.node.settings.binds
        if isinstance(node, EdgeNode):
            if "front" in addresses:
                front = self._server(handler=self.handle_request, limits=node.limits)
                self.servers.append(front)
                await nursery.start(partial(listen, address=addresses["front"], server=front))
            if "ready" in addresses:
                probes = self._server(handler=self.handle_probe, limits=Limits())
                await nursery.start(partial(listen, address=addresses["ready"], server=probes))
        elif "control" in addresses:
            limits = Limits(body_bytes=CONTROL_BODY_BYTES, header_bytes=CONTROL_HEADER_BYTES, idle_ms=CONTROL_IDLE_MS)
            control = self._server(handler=self.handle_request, limits=limits)
            self.servers.append(control)
            await nursery.start(partial(listen, address=addresses["control"], server=control))

    def _server(self, *, handler: Handler, limits: Limits) -> Server:
        return Server(handler=handler, on_error=self.error_response, limits=limits, budget=self.caller_budget)
