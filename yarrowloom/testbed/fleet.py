"""Drives hollow minions over real sockets: one task and one connection for each, one clock for all."""

import heapq
import itertools
import random
from dataclasses import dataclass
from typing import Any

import orjson
import trio

from .pipeline import Line
from .simulated_minion import BEAT_TTL_S, Bounds, Hollow, Watcher, Yard


@dataclass(kw_only=True)
class Crew:
    """What a fleet is made of: minions are dealt to sites in turn, and to `racks` racks within each."""

    count: int
    zones: list[str]
    service: str = "hollow"
    cap: tuple[int, int, int] = (16000, 32768, 0)
    gpu_every: int = 0  # every so many-th minion has `gpus` accelerators
    gpus: int = 0
    racks: int = 4
    guards: bool = False


@dataclass(kw_only=True)
class Tally:
    """Counts of a fleet."""

    beats: int = 0
    missed: int = 0
    sent: int = 0  # bytes of beats
    got: int = 0  # bytes of answers


class Fleet:
    """Invariant: each minion's task alone sends its beats; the clock alone carries out what falls due."""

    def __init__(
        self,
        *,
        crew: Crew,
        cores: list[str],
        seed: int,
        watcher: Watcher,
        bounds: Bounds | None = None,
        fail: float = 0.0,
    ) -> None:
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
        zone = crew.zones[num % len(crew.zones)]
        name = f"r-{zone}-{num // len(crew.zones) % crew.racks}"
        gpus = crew.gpus if crew.gpu_every and num % crew.gpu_every == 0 else 0
        return Hollow(
            yard=self.yard,
            minion_id=f"i-{num:05d}-{life}",
            service=crew.service,
            zone=zone,
            cap=(crew.cap[0], crew.cap[1], gpus),
            labels=("gpu" if gpus else "cpu", name),
            guards=crew.guards,
            due=trio.current_time() + self.rng.random() * self.yard.bounds.beat,
        )

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
            _, num, life = m.minion_id.split("-")
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
                status, got = await line.call(
                    method="PUT",
                    address=m.target or self.cores[at % len(self.cores)],
                    path=f"/minions/{m.minion_id}",
                    body=body,
                )
                self._heard(m=m, seq=seq, sent=sent, status=status, size=len(body), got=got)
                if not m.target and status != 200:
                    at += 1
        finally:
            self._due.pop(m, None)
            self._at.pop(m, None)
            await line.close()

    def _heard(self, *, m: Hollow, seq: int, sent: float, status: int, size: int, got: bytes) -> None:
        now = trio.current_time()
        document: Any = None
        if 200 <= status < 300 and now - sent <= BEAT_TTL_S:
            try:
                document = orjson.loads(got) if got else {}
            except orjson.JSONDecodeError:
                document = None
        self.tally.beats += 1
        self.tally.sent += size
        self.tally.got += len(got)
        if isinstance(document, dict):
            m.answer(seq=seq, document=document, sent=sent, now=now)
        else:
            self.tally.missed += 1
            m.miss(seq=seq, now=now)
        self._plan(m=m)
        self._settle()
