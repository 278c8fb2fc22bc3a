"""Machines in simulated time with their processes, disks and clocks; `cluster` adds the network."""

import heapq
import math
import random
from collections.abc import Callable
from functools import partial
from typing import TypedDict

from ...common.log import Log
from ...common.settings import NodeSettings
from ...node.core import CoreNode
from ...node.edge import EdgeNode
from ...node.identity import FIRST_INCARNATION
from ...node.input_scheduler import Input, InputClass, InputScheduler
from ...node.recovery import recover
from ...node.runtime import TICK_CORE_S
from ...storage import SNAPSHOT_END
from ...transport.http_messages import Response
from ...transport.message_kinds import Kind, Lane
from ..digest import RunDigest
from ..errors import SimulationError
from .process import Disk, Proc
from .processor import Meter, Quota, cost

PORTS = (7000, 7015)
BUSY = 20_000  # no cluster of the tests' size has so many events in 10 ms
BOUNDS = {"max-hold-ms": 6000.0, "stop-grace-ms": 400.0, "spread-factor": 2.0, "status_s": 120.0, "grace-s": 6.0}


class ClusterOptions(TypedDict, total=False):
    """Optional arguments of `Machines`, for subclasses and factories that pass them on."""

    zones: int
    cores: int
    edges: int
    sync_s: float
    speed: float
    losses: int
    digest: RunDigest | None


class Machines:
    """The machines of a simulated cluster and its queue of events.

    Invariant: events planned for the same time run in the order in which they were planned, so a seed determines the
    run.
    """

    def __init__(
        self,
        *,
        seed: int,
        zones: int = 3,
        cores: int = 3,
        edges: int = 1,
        sync_s: float = 0.005,
        speed: float = 0.0,
        losses: int = 1,
        digest: RunDigest | None = None,
    ) -> None:
        """Start the processes of all machines.

        Args:
            seed: Seed of all random numbers of the simulation.
            zones: Number of zones, over which the machines are distributed in turn.
            cores: Number of core machines.
            edges: Number of edge machines.
            sync_s: Mean duration of a disk sync in seconds.
            speed: Relative speed of the processor that each core process has for itself; 0 if steps take no time.
            losses: Number of disks that may be lost at the same time.
            digest: Receives all frames, disk records and HTTP responses of the processes.
        """
        self.digest = digest
        self.speed = speed
        self.losses = losses
        self.meter = Meter()
        self.quotas: dict[str, Quota] = {}  # by machine; only where processor time is charged
        self.rng = random.Random(seed)
        self.now = 100.0
        self.wall0 = 1_700_000_000.0
        self.skew: dict[str, float] = {}  # by machine: how far its wall clock is off
        self.sync_s = sync_s
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.procs: dict[str, Proc] = {}
        self.disks: dict[str, Disk] = {}
        self.node_ids: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.stalls: dict[str, float] = {}
        self.seq: dict[tuple[str, str, int, Lane], int] = {}
        self.last: dict[tuple[str, str, Lane], float] = {}
        self.process_count = 0
        self.calls: dict[int, Callable[[Response], None]] = {}
        self.callers: dict[int, str] = {}  # by call: who waits for its response
        self.call_count = 0
        self.zones = [f"z{i}" for i in range(zones)]
        self.core_ips = [f"10.{i % zones}.0.{i + 1}" for i in range(cores)]
        self.edge_ips = [f"10.{i % zones}.1.{i + 1}" for i in range(edges)]
        for ip in self.core_ips:
            self.boot(ip=ip, first=True)
        for ip in self.edge_ips:
            self.boot(ip=ip, first=True)

    # -- time

    def at(self, *, delay: float, fn: Callable[[], None]) -> None:
        """Schedule an event `delay` seconds from now."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay, self.count, fn))

    def run(self, *, seconds: float) -> None:
        """Let simulated time pass."""
        end = self.now + seconds
        mark, count = self.now, 0
        while self.heap and self.heap[0][0] <= end:
            self.now, _, fn = heapq.heappop(self.heap)
            mark, count = (mark, count + 1) if self.now < mark + 0.01 else (self.now, 0)
            if count >= BUSY:
                raise SimulationError(
                    text=f"{count} events in 10 ms at {self.now:.4f}: something goes round without end"
                )
            fn()
        self.now = end

    def until(self, *, cond: Callable[[], bool], limit: float) -> bool:
        """Run until a condition holds; return whether it does."""
        end = self.now + limit
        while self.now < end:
            if cond():
                return True
            self.run(seconds=0.05)
        return cond()

    def clock(self, ip: str) -> float:
        """Return the time that a machine's monotonic clock shows."""
        return self.now

    # -- machines

    def settings(self, *, ip: str, first: bool) -> NodeSettings:
        """Return the settings of a machine's process; `first` if it bootstraps the cluster."""
        core = ip.split(".")[2] != "1"
        binds = {"control": f"{ip}:8000"} if core else {"front": f"{ip}:8001", "ready": f"{ip}:8002"}
        return NodeSettings(
            name=ip,
            role="core" if core else "edge",
            ip=ip,
            zone=f"z{ip.split('.')[1]}",
            zones=dict.fromkeys(self.zones, "r"),
            binds=binds,
            ports=PORTS,
            seeds=tuple(f"{s}:8000" for s in self.core_ips[:3]),
            bootstrap=first,
            losses=self.losses,
            data_dir="/d" if core else None,
            disk_mb=64,
            memory_mb=256,
            heartbeat_interval_ms=1400,
            bounds=BOUNDS,
        )

    def boot(self, *, ip: str, first: bool = False) -> None:
        """Start a machine's process from what its disk holds."""
        self.process_count += 1
        core = ip.split(".")[2] != "1"
        st = self.settings(ip=ip, first=first)
        log = Log(name="sim", level="error")
        node: CoreNode | EdgeNode
        if core:
            disk = self.disks.setdefault(ip, Disk())
            node = recover(
                settings=st,
                records=disk.synced,
                log=log,
                now=self.clock(ip),
                rand=self.rng.random(),
                token=f"{self.process_count:x}x",
            )
            node_id = node.node_id
            disk.synced = [*node.snapshot_records(), SNAPSHOT_END]
            self._digest_records(ip=ip, bodies=disk.synced)
        else:
            node_id = f"{ip}:7001#{self.process_count:x}"
            node = EdgeNode(settings=st, node_id=node_id, incarnation=FIRST_INCARNATION, log=log)
        self.node_ids[ip] = node_id
        proc = Proc(node=node, process_number=self.process_count)
        self.procs[ip] = proc
        if core and self.speed:
            pulse = self.core(ip).pulse
            chores: dict[InputClass, Input] = {
                rank: partial(self._step, ip, proc, fn) for rank, fn in self.core(ip).periodic_inputs().items()
            }
            proc.input_scheduler = InputScheduler(
                tick=lambda: self._step(ip, proc, pulse), interval_s=TICK_CORE_S, periodic_inputs=chores
            )
            self._go(ip, proc)
            return
        self.at(delay=self.rng.random() * 0.05, fn=lambda: self._tick(ip, proc))

    def kill(self, *, ip: str, power: bool = False) -> None:
        """End a process; after a power failure only a random prefix of the unsynced records is kept."""
        proc = self.procs[ip]
        proc.up = False
        disk = self.disks.get(ip)
        if disk is not None:
            keep = len(disk.pending) if not power else self.rng.randint(0, len(disk.pending))
            disk.synced += disk.pending[:keep]
            disk.pending = []

    def wipe(self, *, ip: str) -> None:
        """Lose the disk (of a machine that is down)."""
        self.disks[ip] = Disk()

    def freeze(self, *, ip: str, seconds: float) -> None:
        """Stop a process for a while; its inputs wait."""
        proc = self.procs[ip]
        if self.now >= proc.frozen_until:
            proc.frozen_at = self.clock(ip)
        proc.frozen_until = self.now + seconds

        def thaw() -> None:
            box, proc.inbox = proc.inbox, []
            for fn in box:
                fn()
            self._go(ip, proc)

        self.at(delay=seconds + 1e-6, fn=thaw)

    def cut(self, *, a: str, b: str, one_way: bool = False) -> None:
        """Partition two addresses from each other."""
        self.cuts.add((a, b))
        if not one_way:
            self.cuts.add((b, a))

    def heal(self) -> None:
        """End all network partitions."""
        self.cuts.clear()

    # -- inputs and outputs

    def post(
        self,
        ip: str,
        proc: Proc,
        fn: Callable[[], None],
        *,
        rank: InputClass,
        mark: tuple[int, int, int] = (0, 0, 0),
        until: float = math.inf,
    ) -> None:
        """Give a process an input: at once, or queued where processor time is charged.

        Args:
            ip: The machine of the process.
            proc: The process; nothing happens if it no longer runs.
            fn: Handles the input.
            rank: The class of the input, which determines its place in the queue.
            mark: The messages, bytes and HTTP calls that come with the input, for the cost model.
            until: Simulated time after which a queued input is dropped.
        """
        if proc.input_scheduler is None:
            self.step(ip, proc, fn)
            return

        def run() -> None:
            proc.mark = mark
            self._step(ip, proc, fn)

        proc.input_scheduler.put(run=run, input_class=rank, expires_at=until)
        self._go(ip, proc)

    def _go(self, ip: str, proc: Proc) -> None:
        """Handle the next input of a process that is not busy."""
        scheduler = proc.input_scheduler
        if (
            scheduler is None
            or proc.busy
            or not proc.up
            or self.procs.get(ip) is not proc
            or self.now < proc.frozen_until
        ):
            return
        run = scheduler.take(now=self.now)
        if run is not None:
            run()
        elif scheduler.due_at > proc.woken:
            proc.woken = scheduler.due_at
            self.at(delay=scheduler.due_at - self.now + 1e-9, fn=lambda: self._go(ip, proc))

    def _step(self, ip: str, proc: Proc, fn: Callable[[], None]) -> None:
        """Run a step that takes processor time; its effects are carried out at its end."""
        node, out = proc.node, proc.node.out
        node.now, node.wall_now = self.clock(ip), self.wall0 + self.now
        calls = self.meter.run(fn)
        messages, size, http = proc.mark
        proc.mark = (0, 0, 0)
        size += sum(len(body) for _, _, body in out.sends) + sum(len(body) for body, _ in out.writes)
        spent = (
            cost(calls=calls, messages=messages + len(out.sends), size=size, http=http + len(out.answers)) / self.speed
        )
        proc.busy = True
        proc.spent += spent

        def end() -> None:
            proc.busy = False
            self.step(ip, proc, lambda: None)
            self._go(ip, proc)

        quota = self.quotas.get(ip)
        self.at(delay=spent if quota is None else quota.delay(now=self.now, work_s=spent), fn=end)

    def step(self, ip: str, proc: Proc, fn: Callable[[], None]) -> None:
        """Give a process one input and carry out the effects."""
        if not proc.up or self.procs.get(ip) is not proc:
            return
        if self.now < proc.frozen_until:
            proc.inbox.append(lambda: self.step(ip, proc, fn))
            return
        node = proc.node
        node.now, node.wall_now = self.clock(ip), self.wall0 + self.now + self.skew.get(ip, 0.0)
        fn()
        out = node.out
        sends, out.sends = out.sends, []
        for address, kind, body in sends:
            dst = address.split(":")[0]
            self._digest_frame(ip=ip, dst=dst, kind=kind, body=body)
            self._send(ip, proc, dst, kind, body)
        if out.writes:
            self._digest_records(ip=ip, bodies=[body for body, _ in out.writes])
            proc.disk += out.writes
            self.disks[ip].pending += [b for b, _ in out.writes]
            out.writes = []
            self._sync(ip, proc)
        answers, out.answers = out.answers, []
        for key, response in answers:
            self._digest_response(ip=ip, call=key, response=response)
            back = self.calls.pop(key, None)
            if back is not None:
                self.at(delay=0.002, fn=lambda back=back, response=response: back(response))  # type: ignore[misc]

    def _tick(self, ip: str, proc: Proc) -> None:
        if not proc.up or self.procs.get(ip) is not proc:
            return
        if self.now >= proc.frozen_until:
            self.step(ip, proc, proc.node.tick)
        self.at(delay=0.05 + self.rng.random() * 0.01, fn=lambda: self._tick(ip, proc))

    def _sync(self, ip: str, proc: Proc) -> None:
        if proc.disk_busy or not proc.disk:
            return
        proc.disk_busy = True
        batch, proc.disk = proc.disk, []
        wait = max(0.0, self.stalls.get(ip, 0.0) - self.now) + self.sync_s * (0.5 + self.rng.random())

        def synced() -> None:
            if not proc.up or self.procs.get(ip) is not proc:
                return
            disk = self.disks[ip]
            disk.synced += [b for b, _ in batch]
            del disk.pending[: len(batch)]
            proc.disk_busy = False
            node = self.core(ip)
            self.post(ip, proc, lambda: node.on_synced(effects=[e for _, e in batch]), rank=InputClass.URGENT)
            self._sync(ip, proc)

        self.at(delay=wait, fn=synced)

    # -- the digest of the run

    def _digest_frame(self, *, ip: str, dst: str, kind: int, body: bytes) -> None:
        if self.digest is not None:
            self.digest.frame(at_s=self.now, source=ip, destination=dst, kind=kind, body=body)

    def _digest_records(self, *, ip: str, bodies: list[bytes]) -> None:
        if self.digest is not None:
            for body in bodies:
                self.digest.record(at_s=self.now, machine=ip, body=body)

    def _digest_response(self, *, ip: str, call: int, response: Response) -> None:
        if self.digest is not None:
            self.digest.response(
                at_s=self.now,
                source=ip,
                destination=self.callers.get(call, ""),
                status=response.status,
                headers=response.headers,
                body=response.body,
            )

    # -- what `cluster` carries out

    def _send(self, ip: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
        """Carry a message of a process to another machine."""
        raise NotImplementedError

    def core(self, ip: str) -> CoreNode:
        """Return the core node of a machine."""
        raise NotImplementedError
