"""A hollow minion: beats, fences, holds and ends as PROTOCOL has them, with tasks that only pass time.

A state machine without sockets or clocks; all times are seconds of one steady clock given by the caller.
"""

import enum
import math
import random
import zlib
from dataclasses import dataclass, field
from typing import Any, Protocol

from .work import Work, read

BEAT_TTL_S = 1.0
AFTER_END_S = 0.05
MISS_S = 0.1
MOST_ENDS = 500


class How(str, enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    LOST = "lost"  # never listed: the minion crashed


class Phase(enum.Enum):
    """What a run is at."""

    WAIT = "wait"  # a gang's member without the others
    WORK = "work"
    STOP = "stop"


MOVES: dict[Phase, frozenset[Phase]] = {
    Phase.WAIT: frozenset({Phase.WORK, Phase.STOP}),
    Phase.WORK: frozenset({Phase.STOP}),
    Phase.STOP: frozenset(),
}


class Watcher(Protocol):
    """Told of all starts, ends and notes; see judge.py."""

    def started(self, *, m: "Hollow", task: str, run: int, spec: str, saved: str) -> None:
        """A task began."""

    def ended(self, *, m: "Hollow", task: str, run: int, how: str) -> None:
        """It ended."""

    def note(self, *, task: str, how: str) -> None:
        """`last-seen` reached its end."""


@dataclass(kw_only=True)
class Bounds:
    """Figures of the rules in force, in seconds; `drift` is by how much the minion's clock is slow."""

    beat: float = 1.0
    max_hold: float = 10.0
    gang_wait: float = 3.0
    stop: float = 0.2
    checkpoint: float = 2.0
    restore: float = 0.25
    spread: float = 2.0
    drift: float = 0.02


@dataclass(kw_only=True)
class Run:
    """A run on a minion.

    Invariants: `at` is when its phase ends by itself; while it works, `ready` is when the work itself began and
    `base` what had been done before, in seconds of `size` in all.
    """

    task: str
    run: int
    work: Work
    size: float
    at: float
    phase: Phase = Phase.WORK
    ready: float = 0.0
    base: float = 0.0
    fail: bool = False

    def move(self, phase: Phase) -> None:
        """Change phase by the table."""
        assert phase in MOVES[self.phase], (self.phase, phase)
        self.phase = phase

    def did(self, *, now: float) -> float:
        """Seconds of work that are done."""
        gone = max(0.0, now - self.ready) if self.phase is Phase.WORK else 0.0
        return min(self.size, self.base + gone)

    def pct(self, *, now: float) -> int:
        """0 to 99; tasks that last show 50."""
        return 50 if self.work.ms < 0 else min(99, int(100 * self.did(now=now) / max(self.size, 1e-6)))


@dataclass(kw_only=True)
class Gang:
    """The members of a gang's run that are here, by task."""

    here: dict[str, "Hollow"] = field(default_factory=dict)


def unit_of(*, task: str) -> str:
    """ID.K.STEP of a task.

    >>> unit_of(task="ab.0.1.7")
    'ab.0.1'
    """
    return task.rsplit(".", 1)[0]


def mark(*, name: str) -> str:
    """Eight digits that tell whose progress a saved text is."""
    return f"{zlib.crc32(name.encode()):08x}"


class Yard:
    """What the hollow minions of one process share. Invariant: `gangs` lists the runs that are on some minion."""

    def __init__(self, *, seed: int, bounds: Bounds, watcher: Watcher, fail: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.watcher = watcher
        self.fail = fail
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.touched: set[Hollow] = set()  # minions whose `due` or `wake` moved through another one


class Hollow:
    """A simulated minion, which sends heartbeats and keeps runs without executing anything.

    Invariants: at most one heartbeat is open; a number of `ends` is used once in an incarnation; `top` holds the
    highest run started or stopped of each task; nothing runs beyond `hold`.
    """

    def __init__(
        self,
        *,
        yard: Yard,
        minion_id: str,
        service: str,
        zone: str,
        cap: tuple[int, int, int],
        labels: tuple[str, ...],
        guards: bool = False,
        due: float = 0.0,
    ) -> None:
        self.yard, self.minion_id, self.service, self.zone, self.cap = yard, minion_id, service, zone, cap
        self.labels, self.guards, self.due = labels, guards, due
        self.drift = yard.rng.uniform(0.0, yard.bounds.drift)
        self.running: dict[str, Run] = {}
        self.ends: dict[int, tuple[str, int, str, str, float]] = {}
        self.top: dict[str, int] = {}
        self.num = 0
        self.seen = 0
        self.fence = 0
        self.hold = 0.0
        self.lapsed = 0.0  # when the last hold ended, whether or not something ran
        self.seq = 0
        self.open = 0
        self.up = True
        self.state = "ready"
        self.leave = 0.0
        self.target = ""

    # -- time

    def wake(self) -> float:
        """When `advance` has something to do."""
        if not self.running:
            return math.inf
        return min(self.hold, min(r.at for r in self.running.values()))

    def advance(self, *, now: float) -> None:
        """Carry out what fell due."""
        if now >= self.hold > self.lapsed:
            self.lapsed = self.hold
        if not self.running:
            return
        if now >= self.hold:
            for r in list(self.running.values()):
                self._end(r=r, how=How.LAPSED, now=now)
            return
        for r in list(self.running.values()):
            if r.task in self.running and now >= r.at:
                how = (
                    How.ALONE
                    if r.phase is Phase.WAIT
                    else How.STOPPED
                    if r.phase is Phase.STOP
                    else (How.FAILED if r.fail else How.DONE)
                )
                self._end(r=r, how=how, now=now)

    def _end(self, *, r: Run, how: How, now: float) -> None:
        gang = self.yard.gangs.get((unit_of(task=r.task), r.run))
        saved = self._saved(r=r, now=now, stop=how is How.STOPPED)
        del self.running[r.task]
        self.yard.watcher.ended(m=self, task=r.task, run=r.run, how=how.value)
        if how is not How.LOST:
            self.num += 1
            self.ends[self.num] = (r.task, r.run, how.value, saved, now)
            if not self.open:
                self.due = min(self.due, now + AFTER_END_S)
            self.yard.touched.add(self)
        if gang is None:
            return
        gang.here.pop(r.task, None)
        if not gang.here:
            del self.yard.gangs[(unit_of(task=r.task), r.run)]
        together = r.phase is not Phase.WAIT
        for task, other in list(gang.here.items()):
            mate = other.running.get(task)
            if mate is not None and together:
                other._end(r=mate, how=How.DONE if how is How.DONE else How.BROKEN, now=now)

    def _saved(self, *, r: Run, now: float, stop: bool) -> str:
        """Progress kept: whole spans of `checkpoint` seconds, all of it at a stop."""
        if not r.work.ckpt:
            return ""
        span = self.yard.bounds.checkpoint
        did = r.did(now=now)
        kept = did if stop or r.phase is Phase.STOP else max(r.base, r.base + (did - r.base) // span * span)
        return f"{int(kept * 1000):08x}{self._mark(r=r)}" if kept > 0 else ""

    def _mark(self, *, r: Run) -> str:
        return mark(name=unit_of(task=r.task) if r.work.gang else r.task)

    # -- beats

    def beat(self, *, now: float) -> dict[str, Any]:
        """The body of the next beat, which is open from now on."""
        assert not self.open
        assert self.up
        self.seq += 1
        self.open = self.seq
        cpus, mem, gpus = self.cap
        document: dict[str, Any] = {
            "backend": self.service,
            "address": f"{self.minion_id}:1",
            "zone": self.zone,
            "config-version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "call-seq": self.seq,
            "clock-ms": int(now * 1000 * (1 - self.drift)),
            "capacity": {"cpus": cpus, "mem-mb": mem, "gpus": gpus},
            "labels": list(self.labels),
            "running": [
                [r.task, r.run, self._saved(r=r, now=now, stop=False), r.pct(now=now)] for r in self.running.values()
            ],
            "finished": [[n, *e[:4]] for n, e in list(self.ends.items())[:MOST_ENDS]],
        }
        if self.state == "draining":
            document["leave-at-ms"] = max(0, int((self.leave - now) * 1000))
        return document

    def miss(self, *, seq: int, now: float) -> None:
        """No answer in time, or none of use: the next node is asked."""
        if seq == self.open:
            self.open = 0
            self.target = ""
            self.due = now + MISS_S

    def answer(self, *, seq: int, document: dict[str, Any], sent: float, now: float) -> None:
        """A 2xx answer to beat `seq`; one that comes late is dropped."""
        if not self.up or seq != self.open:
            return
        if now - sent > BEAT_TTL_S:
            self.miss(seq=seq, now=now)
            return
        self.open = 0
        self.advance(now=now)
        self.target = str(document.get("beat-target") or self.target)
        beat = self.yard.bounds.beat
        self.due = now + min(float(document.get("retry-after-ms", beat * 1000)) / 1000, beat)
        if any(e[4] > sent for e in self.ends.values()):
            self.due = min(self.due, now + AFTER_END_S)
        fence = int(document.get("fence-no", 0))
        if fence < self.fence:
            return
        self.fence = fence
        if "hold-ms" in document:
            span = min(float(document["hold-ms"]) / 1000, self.yard.bounds.max_hold) / (1 - self.drift)
            self.hold = max(self.hold, sent + span)
        self._forget(upto=int(document.get("last-seen", 0)))
        for task, run in document.get("stopped", []):
            self._stop(task=task, run=run, now=now)
        if now < self.hold:
            for task, run, spec, saved in document.get("started", []):
                self._start(task=task, run=run, spec=spec, saved=saved, now=now)
        self.due = max(self.due, now)

    def _forget(self, *, upto: int) -> None:
        for num in [n for n in self.ends if n <= upto]:
            task, _, how, _, at = self.ends.pop(num)
            self.seen = max(self.seen, num)
            if self.lapsed < at:  # else its hold lapsed in between
                self.yard.watcher.note(task=task, how=how)

    def _stop(self, *, task: str, run: int, now: float) -> None:
        self.top[task] = max(self.top.get(task, 0), run)
        r = self.running.get(task)
        if r is not None and r.run == run and r.phase is not Phase.STOP:
            r.base = r.did(now=now)
            r.move(Phase.STOP)
            r.at = now + self.yard.rng.uniform(0.0, self.yard.bounds.stop)

    def room(self) -> tuple[int, int, int]:
        """What nothing here uses."""
        rows = [r.work for r in self.running.values()]
        return (
            self.cap[0] - sum(w.cpus for w in rows),
            self.cap[1] - sum(w.mem for w in rows),
            self.cap[2] - sum(w.gpus for w in rows),
        )

    def _start(self, *, task: str, run: int, spec: str, saved: str, now: float) -> None:
        if run <= self.top.get(task, 0):
            return
        self.top[task] = run
        yard, b = self.yard, self.yard.bounds
        work = read(spec=spec, step=int(task.split(".")[2]))
        if self.guards and any(n > c for n, c in zip((work.cpus, work.mem, work.gpus), self.room(), strict=True)):
            self.num += 1
            self.ends[self.num] = (task, run, How.REFUSED.value, saved, now)
            self.due = now + AFTER_END_S
            return
        away = bool(work.near) and work.near not in self.labels
        size = math.inf if work.ms < 0 else work.ms / 1000 * (b.spread if away else 1.0)
        r = Run(task=task, run=run, work=work, size=size, at=math.inf, fail=yard.rng.random() < yard.fail)
        r.base = int(saved[:8], 16) / 1000 if saved else 0.0
        yard.watcher.started(m=self, task=task, run=run, spec=spec, saved=saved)
        self.running[task] = r
        if not work.gang:
            self._work(r=r, now=now)
            return
        r.phase, r.at = Phase.WAIT, now + b.gang_wait
        gang = yard.gangs.setdefault((unit_of(task=task), run), Gang())
        gang.here[task] = self
        if len(gang.here) >= work.gang:
            wide = work.tight and len({m.rack() for m in gang.here.values()}) > 1
            for name, other in gang.here.items():
                mate = other.running[name]
                if mate.phase is Phase.WAIT:
                    mate.move(Phase.WORK)
                    mate.size = size * (b.spread if wide else 1.0)
                    other._work(r=mate, now=now)
                    yard.touched.add(other)

    def _work(self, *, r: Run, now: float) -> None:
        r.ready = now + (self.yard.bounds.restore if r.base else 0.0)
        r.at = r.ready + max(0.0, r.size - r.base)

    def rack(self) -> str:
        """The last label by custom names the rack."""
        return self.labels[-1] if self.labels else ""

    def crash(self, *, now: float) -> None:
        """Die with all that runs; nothing is said."""
        self.up = False
        for r in list(self.running.values()):
            if r.task in self.running:
                self._end(r=r, how=How.LOST, now=now)

    def drain(self, *, now: float, span: float) -> None:
        """A planned end is ahead."""
        self.state, self.leave = "draining", now + span
        if not self.open:
            self.due = now
