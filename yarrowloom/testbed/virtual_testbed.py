"""A cluster in one process on a virtual clock and network: sizes that no machine holds as processes.

The nodes are the real state machines; what each input costs in processor time is measured, by node and kind.
"""

import heapq
import itertools
import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import orjson

from ..common.effects import Effect
from ..common.log import Log
from ..common.settings import NodeSettings
from ..node.core import CoreNode
from ..node.edge import EdgeNode
from ..replication.epoch import addr_of
from ..transport.http_messages import Request, Response
from ..transport.message_kinds import Kind
from .callers import HOST, key_of
from .fleet import Crew
from .judge import Judge
from .simulated_minion import Bounds, Hollow, Yard

PORTS = (7000, 7015)
LAG_S = 0.0005
SYNC_S = 0.002
TICK_S = {"core": 0.05, "edge": 0.1}


def take(node: CoreNode | EdgeNode, *, node_id: str, kind: Kind, body: bytes) -> None:
    """Give a node one message."""
    node.on_message(node_id=node_id, kind=kind, body=orjson.loads(body))


@dataclass(kw_only=True)
class Cost:
    """What the inputs of one kind cost a node: how many, nanoseconds of processor time, bytes that came in."""

    count: int = 0
    ns: int = 0
    size: int = 0


@dataclass(kw_only=True)
class Seat:
    """One node. `inputs` and `sent` are by kind of frame, `tick`, `disk` or HTTP call."""

    ip: str
    node: CoreNode | EdgeNode
    inputs: dict[str, Cost] = field(default_factory=dict)
    sent: dict[str, Cost] = field(default_factory=dict)
    disk: list[tuple[bytes, Effect]] = field(default_factory=list)
    busy: bool = False

    def reset(self) -> None:
        """Count anew."""
        self.inputs, self.sent = {}, {}


class Bed:
    """Invariant: events at one time run in the order of their planning, so a seed fixes all but the costs."""

    def __init__(self, *, cores: int, edges: int, seed: int, zones: int = 3, beat_ms: int = 1000) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.judge = Judge()
        self.yard = Yard(seed=seed, bounds=Bounds(beat=beat_ms / 1000), watcher=self.judge)
        self.seats: dict[str, Seat] = {}
        self.minions: list[Hollow] = []
        self.beats = 0
        self._plans: dict[Hollow, tuple[list[float], int]] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._calls: dict[int, Callable[[Response], None]] = {}
        self.zones = [f"hall-{i}" for i in range(min(zones, cores))]
        self.core_ips = [f"10.0.{i // 200}.{i % 200 + 1}" for i in range(cores)]
        self.edge_ips = [f"10.1.{i // 200}.{i % 200 + 1}" for i in range(edges)]
        for i, ip in enumerate(self.core_ips + self.edge_ips):
            self._boot(ip=ip, core=i < cores, zone=self.zones[i % len(self.zones)], beat_ms=beat_ms)

    def _boot(self, *, ip: str, core: bool, zone: str, beat_ms: int) -> None:
        kind = "core" if core else "edge"
        binds = {"control": f"{ip}:8000"} if core else {"front": f"{ip}:8001", "ready": f"{ip}:8002"}
        settings = NodeSettings(
            name=ip,
            role=kind,
            ip=ip,
            zone=zone,
            zones=dict.fromkeys(self.zones, "r"),
            binds=binds,
            ports=PORTS,
            seeds=tuple(f"{s}:8000" for s in self.core_ips[:3]),
            bootstrap=True,
            data_dir="/" if core else None,
            disk_mb=64,
            memory_mb=256,
            heartbeat_interval_ms=beat_ms,
            bounds={},
        )
        log = Log(name="bed", level="error")
        node: CoreNode | EdgeNode
        if core:
            node_id = f"{ip}:{PORTS[0]}#0" if ip in self.core_ips[:3] else f"{ip}:{PORTS[0]}#{secrets.token_hex(4)}"
            node = CoreNode(
                settings=settings,
                node_id=node_id,
                incarnation=1,
                log=log,
                first=ip in self.core_ips[:3],
                now=self.now,
                rand=self.rng.random(),
            )
        else:
            node = EdgeNode(settings=settings, node_id=f"{ip}:{PORTS[0] + 1}#e", incarnation=1, log=log)
        seat = self.seats[ip] = Seat(ip=ip, node=node)
        self.at(delay=self.rng.random() * 0.05, fn=partial(self._tick, seat, TICK_S[kind]))

    # -- time

    def at(self, *, delay: float, fn: Callable[[], None]) -> None:
        """Plan something."""
        heapq.heappush(self._heap, (self.now + delay, next(self._count), fn))

    def run(self, *, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, fn = heapq.heappop(self._heap)
            fn()
        self.now = end

    def until(self, *, cond: Callable[[], bool], limit: float) -> bool:
        """Let time pass until something holds; whether it does."""
        end = self.now + limit
        while not cond() and self.now < end:
            self.run(seconds=0.002)
        return cond()

    # -- nodes

    def step(self, *, seat: Seat, kind: str, size: int, fn: Callable[[], None]) -> None:
        """Give a node one input, take what it cost and carry out what it wants."""
        node = seat.node
        node.now, node.wall_now = self.now, 1.7e9 + self.now
        begun = time.process_time_ns()
        fn()
        cost = seat.inputs.setdefault(kind, Cost())
        cost.ns += time.process_time_ns() - begun
        cost.count += 1
        cost.size += size
        out = node.out
        sends, out.sends = out.sends, []
        for address, what, body in sends:
            to = address.split(":")[0]
            if to != seat.ip:
                row = seat.sent.setdefault(what.name, Cost())
                row.count += 1
                row.size += len(body)
            if to in self.seats:
                dst = self.seats[to]
                if address != addr_of(node_id=dst.node.node_id):
                    continue
                self.at(
                    delay=0.0 if to == seat.ip else LAG_S,
                    fn=partial(
                        self.step,
                        seat=dst,
                        kind=what.name,
                        size=len(body),
                        fn=partial(take, dst.node, node_id=node.node_id, kind=what, body=body),
                    ),
                )
        if out.writes:
            seat.disk += out.writes
            out.writes = []
            self._sync(seat)
        answers, out.answers = out.answers, []
        for key, response in answers:
            back = self._calls.pop(key, None)
            if back is not None:
                self.at(delay=LAG_S, fn=partial(back, response))

    def _tick(self, seat: Seat, gap: float) -> None:
        self.step(seat=seat, kind="tick", size=0, fn=seat.node.tick)
        self.at(delay=gap, fn=partial(self._tick, seat, gap))

    def _sync(self, seat: Seat) -> None:
        if seat.busy or not seat.disk:
            return
        seat.busy = True
        batch, seat.disk = seat.disk, []

        def synced() -> None:
            seat.busy = False
            node = seat.node
            assert isinstance(node, CoreNode)
            self.step(
                seat=seat,
                kind="disk",
                size=sum(len(b) for b, _ in batch),
                fn=partial(node.on_synced, effects=[e for _, e in batch]),
            )
            self._sync(seat)

        self.at(delay=SYNC_S, fn=synced)

    def core(self, *, ip: str) -> CoreNode:
        """A core node."""
        node = self.seats[ip].node
        assert isinstance(node, CoreNode)
        return node

    # -- calls

    def http(
        self, *, ip: str, method: str, path: str, body: bytes, headers: dict[str, str], back: Callable[[Response], None]
    ) -> None:
        """An HTTP call; `back` gets the answer."""
        key = next(self._count)
        self._calls[key] = back
        seat = self.seats[ip]
        req = Request(method=method, path=path, headers=headers, body=body, sent_after=self.now)
        kind = f"{method} {path.split('/')[1] if seat.ip in self.core_ips else 'job'}"
        self.at(
            delay=LAG_S,
            fn=partial(
                self.step,
                seat=seat,
                kind=kind,
                size=len(body),
                fn=partial(seat.node.on_http_request, call=key, request=req),
            ),
        )

    def ask(
        self, *, ip: str, method: str, path: str, document: object = None, limit: float = 10.0, **heads: str
    ) -> tuple[int, Any]:
        """Call and wait; status 0: no answer."""
        got: list[Response] = []
        self.http(
            ip=ip,
            method=method,
            path=path,
            body=orjson.dumps(document) if document is not None else b"",
            headers={k.replace("_", "-").lower(): v for k, v in heads.items()},
            back=got.append,
        )
        self.until(cond=lambda: bool(got), limit=limit)
        return (got[0].status, orjson.loads(got[0].body) if got[0].body else None) if got else (0, None)

    def configure(self, *, document: dict[str, Any], base: int = 0, method: str = "PUT") -> None:
        """Hand a configuration in until it is accepted."""
        for i in range(100):
            status, _ = self.ask(
                ip=self.core_ips[i % len(self.core_ips)],
                method=method,
                path="/config",
                document=document,
                If_Match=str(base),
            )
            if status == 200:
                return
            self.run(seconds=0.1)
        raise RuntimeError(f"configuration not accepted: {status}")

    def submit(
        self,
        *,
        job_id: str,
        document: dict[str, Any],
        prefix: str,
        tries: int = 3,
        back: Callable[[Response], None] | None = None,
    ) -> None:
        """Hand a job in at some edge."""
        self.judge.sent(job_id=job_id, document=document, tries=tries)
        self.http(
            ip=self.rng.choice(self.edge_ips),
            method="POST",
            path=prefix + job_id,
            body=orjson.dumps(document),
            headers={"host": HOST, "x-deadline-ms": "3000", "authorization": f"Token {key_of(prefix=prefix)}"},
            back=back or (lambda _res: None),
        )

    # -- minions

    def enrol(self, *, crew: Crew, ramp_s: float = 1.0) -> None:
        """Add minions, spread over `ramp_s` seconds."""
        for num in range(crew.count):
            zone = crew.zones[num % len(crew.zones)]
            gpus = crew.gpus if crew.gpu_every and num % crew.gpu_every == 0 else 0
            m = Hollow(
                yard=self.yard,
                minion_id=f"i-{num:05d}",
                service=crew.service,
                zone=zone,
                cap=(*crew.cap[:2], gpus),
                labels=("gpu" if gpus else "cpu", f"r-{zone}-{num // len(crew.zones) % crew.racks}"),
            )
            m.due = self.now + self.rng.random() * ramp_s
            self.minions.append(m)
            self._drive(m, [0.0], self.rng.randrange(len(self.core_ips)))

    def _drive(self, m: Hollow, planned: list[float], at: int) -> None:
        """Plan the minion's next turn. `planned` holds when that is, so that an earlier one takes its place."""
        when = min(m.wake(), m.due if not m.open else 1e18)
        if when >= 1e18 or (planned[0] and planned[0] <= when and planned[0] >= self.now):
            return
        planned[0] = when

        def turn() -> None:
            if planned[0] != when:
                return
            planned[0] = 0.0
            m.advance(now=self.now)
            if not m.open and self.now >= m.due:
                self._beat(m, planned, at)
            self._drive(m, planned, at)
            touched, self.yard.touched = self.yard.touched, set()
            for other in touched - {m}:
                if other in self._plans:
                    self._drive(other, *self._plans[other])

        self._plans[m] = (planned, at)
        self.at(delay=max(0.0, when - self.now), fn=turn)

    def _beat(self, m: Hollow, planned: list[float], at: int) -> None:
        self.beats += 1
        sent = self.now
        body = orjson.dumps(m.beat(now=sent))
        seq = m.seq

        def back(response: Response) -> None:
            if response.status == 200:
                m.answer(
                    seq=seq, document=orjson.loads(response.body) if response.body else {}, sent=sent, now=self.now
                )
            else:
                m.miss(seq=seq, now=self.now)
            touched, self.yard.touched = self.yard.touched, set()
            for other in {m, *touched}:
                self._drive(other, *self._plans[other])

        dst = m.target.split(":")[0] or self.core_ips[(at + m.seq) % len(self.core_ips)]
        self.http(ip=dst, method="PUT", path=f"/minions/{m.minion_id}", body=body, headers={}, back=back)
