"""Drives hollow minions over real sockets: one task and one connection for each, one clock for all."""

import heapq
import itertools
import random
from dataclasses import dataclass
from typing import Any

import orjson
import trio

from .hollow import BEAT_TTL_S, Bounds, Hollow, Watcher, Yard

_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError, ValueError)
_MOST = 4 << 20


class Line:
    """A minion's connection, kept from beat to beat. It reads only what the system writes (a status, a length, a
    body): an HTTP library took a millisecond of processor time a call, which bounded a process to 900 calls a second.
    """

    def __init__(self) -> None:
        self._addr = ""
        self._stream: trio.SocketStream | None = None

    async def call(self, *, method: str, addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        """One call; status 0: no answer within a second."""
        with trio.move_on_after(BEAT_TTL_S):
            try:
                if self._stream is None or addr != self._addr:
                    await self.close()
                    self._stream, self._addr = await self._dial(addr=addr), addr
                await self._stream.send_all(
                    f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                return await self._read(stream=self._stream)
            except _BROKEN:
                pass
        await self.close()
        return 0, b""

    @staticmethod
    async def _dial(*, addr: str) -> trio.SocketStream:
        host, port = addr.rsplit(":", 1)
        sock = trio.socket.socket()
        try:
            await sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def _read(self, *, stream: trio.SocketStream) -> tuple[int, bytes]:
        raw = b""
        while (end := raw.find(b"\r\n\r\n")) < 0:
            raw += await self._more(stream=stream)
        head = raw[:end].lower().split(b"\r\n")
        rows = dict(row.split(b":", 1) for row in head[1:])
        size = int(rows[b"content-length"]) if b"content-length" in rows else 0
        if size > _MOST:
            raise ValueError("answer too large")
        while len(raw) < end + 4 + size:
            raw += await self._more(stream=stream)
        if rows.get(b"connection", b"").strip() == b"close":
            await self.close()
        return int(head[0].split(b" ")[1]), raw[end + 4:]

    @staticmethod
    async def _more(*, stream: trio.SocketStream) -> bytes:
        data = await stream.receive_some(65536)
        if not data:
            raise OSError("closed")
        return bytes(data)

    async def close(self) -> None:
        """Let go."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)


@dataclass(kw_only=True)
class Crew:
    """What a fleet is made of: minions are dealt to sites in turn, and to `racks` racks within each."""

    count: int
    sites: list[str]
    svc: str = "hollow"
    cap: tuple[int, int, int] = (16000, 32768, 0)
    gpu_every: int = 0            # every so many-th minion has `gpus` accelerators
    gpus: int = 0
    racks: int = 4
    guards: bool = False


@dataclass(kw_only=True)
class Tally:
    """Counts of a fleet."""

    beats: int = 0
    missed: int = 0
    sent: int = 0                 # bytes of beats
    got: int = 0                  # bytes of answers


class Fleet:
    """Invariant: each minion's task alone sends its beats; the clock alone carries out what falls due."""

    def __init__(self, *, crew: Crew, cores: list[str], seed: int, watcher: Watcher, bounds: Bounds | None = None,
                 fail: float = 0.0) -> None:
        self.cores = cores
        self.crew = crew
        self.rng = random.Random(seed)
        self.yard = Yard(seed=seed, bounds=bounds or Bounds(), watcher=watcher, fail=fail)
        self.tally = Tally()
        self.minions: list[Hollow] = []
        self._due: dict[Hollow, trio.CancelScope] = {}
        self._heap: list[tuple[float, int, Hollow]] = []
        self._at: dict[Hollow, float] = {}
        self._count = itertools.count()
        self._tick = trio.CancelScope()

    def make(self, *, num: int, life: int = 0) -> Hollow:
        """The `num`-th minion."""
        crew = self.crew
        site = crew.sites[num % len(crew.sites)]
        name = f"r-{site}-{num // len(crew.sites) % crew.racks}"
        gpus = crew.gpus if crew.gpu_every and num % crew.gpu_every == 0 else 0
        return Hollow(yard=self.yard, mid=f"i-{num:05d}-{life}", svc=crew.svc, site=site,
                      cap=(crew.cap[0], crew.cap[1], gpus), labels=("gpu" if gpus else "cpu", name),
                      guards=crew.guards, due=trio.current_time() + self.rng.random() * self.yard.bounds.beat)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._clock)
            for num in range(self.crew.count):
                self.add(m=self.make(num=num))

    def add(self, *, m: Hollow) -> None:
        """One minion more."""
        self.minions.append(m)
        self._nursery.start_soon(self._beats, m)

    def crash(self, *, m: Hollow) -> None:
        """It dies, and comes back under a new id."""
        if m.up:
            m.crash(now=trio.current_time())
            self.minions.remove(m)
            self._settle()
            _, num, life = m.mid.split("-")
            self.add(m=self.make(num=int(num), life=int(life) + 1))

    def _settle(self) -> None:
        """Tell tasks and clock of what moved."""
        touched, self.yard.touched = self.yard.touched, set()
        for m in touched:
            self._plan(m=m)
            scope = self._due.get(m)
            if scope is not None:
                scope.deadline = m.due

    def _plan(self, *, m: Hollow) -> None:
        at = m.wake()
        if at != self._at.get(m):
            self._at[m] = at
            heapq.heappush(self._heap, (at, next(self._count), m))
            if at < self._tick.deadline:
                self._tick.deadline = at

    async def _clock(self) -> None:
        while True:
            now = trio.current_time()
            while self._heap and self._heap[0][0] <= now:
                at, _, m = heapq.heappop(self._heap)
                if self._at.get(m) != at:
                    continue
                del self._at[m]
                if m.up:
                    m.advance(now=now)
                    self._plan(m=m)
                    self._settle()
            with trio.CancelScope(deadline=self._heap[0][0] if self._heap else now + 1.0) as self._tick:
                await trio.sleep_forever()

    async def _beats(self, m: Hollow) -> None:
        line = Line()
        at = self.rng.randrange(len(self.cores))
        try:
            while m.up:
                with trio.CancelScope(deadline=m.due) as scope:
                    self._due[m] = scope
                    await trio.sleep_forever()
                self._due.pop(m, None)
                if not m.up:
                    return
                sent = trio.current_time()
                m.advance(now=sent)
                body = orjson.dumps(m.beat(now=sent))
                seq = m.seq
                self._settle()
                status, got = await line.call(method="PUT", addr=m.target or self.cores[at % len(self.cores)],
                                              path=f"/minions/{m.mid}", body=body)
                self._heard(m=m, seq=seq, sent=sent, status=status, size=len(body), got=got)
                if not m.target and status != 200:
                    at += 1
        finally:
            self._due.pop(m, None)
            self._at.pop(m, None)
            await line.close()

    def _heard(self, *, m: Hollow, seq: int, sent: float, status: int, size: int, got: bytes) -> None:
        now = trio.current_time()
        doc: Any = None
        if 200 <= status < 300 and now - sent <= BEAT_TTL_S:
            try:
                doc = orjson.loads(got) if got else {}
            except orjson.JSONDecodeError:
                doc = None
        self.tally.beats += 1
        self.tally.sent += size
        self.tally.got += len(got)
        if isinstance(doc, dict):
            m.answer(seq=seq, doc=doc, sent=sent, now=now)
        else:
            self.tally.missed += 1
            m.miss(seq=seq, now=now)
        self._plan(m=m)
        self._settle()
