"""Simulated minions."""

from typing import Any, Protocol

import orjson

from ..transport.http_messages import Response
from .cluster import Sim

SLOW = 1.02  # a minion's clock runs so much slower than true time
STOP_S = 0.2  # a run ends so long after the order to stop


class MinionObserver(Protocol):
    """Is told what minions see."""

    def step_of(self, task: str) -> dict[str, Any]:
        """The step that a task belongs to."""

    def started(self, *, m: "SimMinion", task: str, run: int, spec: str, saved: str) -> None:
        """A minion begins a task."""

    def ended(self, *, m: "SimMinion", task: str, run: int, how: str) -> None:
        """A minion's run of a task ended."""

    def note(self, *, task: str, how: str) -> None:
        """An end was acknowledged."""


class SimMinion:
    """A minion that follows the published protocol.

    Invariants: responses with an old fencing token are ignored; the lease is measured on the minion's own, slower
    clock; ends are listed until they are acknowledged; at most one heartbeat is in flight.
    """

    def __init__(
        self,
        *,
        sim: Sim,
        oracle: MinionObserver,
        minion_id: str,
        zone: str,
        cap: tuple[int, int, int],
        work: float,
        labels: tuple[str, ...] = ("a", "r1"),
        fail: float = 0.0,
    ) -> None:
        self.sim, self.oracle, self.minion_id, self.zone, self.cap = sim, oracle, minion_id, zone, cap
        self.labels, self.work, self.fail = labels, work, fail
        self.running: dict[str, dict[str, Any]] = {}
        self.ends: dict[int, tuple[str, int, str, str, float]] = {}
        self.top: dict[str, int] = {}
        self.seen = 0
        self.num = 0
        self.fence = 0
        self.hold = 0.0
        self.lapsed = -1.0
        self.seq = 0
        self.up = True
        self.state = "ready"
        self.target = ""
        self.inflight = 0
        self.planned = 0
        self.at = sim.rng.randrange(len(sim.core_ips))
        sim.at(delay=sim.rng.random(), fn=self.beat)
        self._watch()

    def _watch(self) -> None:
        if not self.up:
            return
        if self.running and self.sim.now > self.hold:
            self.lapsed = self.sim.now
            for task in list(self.running):
                self.end(task=task, how="lapsed")
        self.sim.at(delay=0.02, fn=self._watch)

    def crash(self) -> None:
        """Die with all that runs."""
        self.up = False
        for task, row in self.running.items():
            self.oracle.ended(m=self, task=task, run=row["run"], how="lost")
        self.running = {}

    def end(self, *, task: str, how: str) -> None:
        """End a run and list its end."""
        row = self.running.pop(task)
        self.oracle.ended(m=self, task=task, run=row["run"], how=how)
        self.num += 1
        self.ends[self.num] = (task, row["run"], how, "", self.sim.now)
        if not self.inflight:
            self.plan(delay=0.05)

    def plan(self, *, delay: float) -> None:
        """Plan the next heartbeat."""
        self.planned += 1
        mark = self.planned

        def go() -> None:
            if mark == self.planned and not self.inflight:
                self.beat()

        self.sim.at(delay=delay, fn=go)

    def account(self, *, seq: int, sent: float) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return {
            "backend": "svc",
            "address": f"{self.minion_id}:1",
            "zone": self.zone,
            "config-version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "call-seq": seq,
            "clock-ms": int(sent * 1000),
            "capacity": {"cpus": self.cap[0], "mem-mb": self.cap[1], "gpus": self.cap[2]},
            "labels": list(self.labels),
            "running": [[t, r["run"], r.get("saved", ""), r["pct"](sent)] for t, r in self.running.items()],
            "finished": [[n, *e[:4]] for n, e in sorted(self.ends.items())][:500],
        }

    def beat(self) -> None:
        """Send a heartbeat."""
        if not self.up or self.inflight:
            return
        self.seq += 1
        self.planned += 1
        self.inflight = seq = self.seq
        sent = self.sim.now
        dst = self.target or self.sim.core_ips[self.at % len(self.sim.core_ips)]
        document = self.account(seq=seq, sent=sent)

        def back(response: Response) -> None:
            if self.inflight == seq and self.up and self.sim.now - sent <= 1.0:
                self.inflight = 0
                if response.status == 200:
                    self.answer(document=orjson.loads(response.body), sent=sent)
                else:
                    self.miss()

        def late() -> None:
            if self.inflight == seq and self.up:
                self.inflight = 0
                self.miss()

        self.sim.at(delay=1.0, fn=late)
        self.sim.http(
            ip=dst, src=self.minion_id, method="PUT", path=f"/minions/{self.minion_id}", document=document, back=back
        )

    def miss(self) -> None:
        """A heartbeat failed: try another node."""
        self.target = ""
        self.at += 1
        self.plan(delay=0.1)

    def answer(self, *, document: dict[str, Any], sent: float) -> None:
        """Process the response to a heartbeat that was sent at `sent`.

        A response with a smaller fencing token than one before is ignored, except for when and where the next
        heartbeat goes.
        """
        if document.get("beat-target"):
            self.target = document["beat-target"].split(":")[0]
        self.plan(delay=min(document.get("retry-after-ms", 1400), 1400) / 1000)
        fence = document.get("fence-no", 0)
        if fence < self.fence:
            return
        self.fence = fence
        if "hold-ms" in document:
            self.hold = max(self.hold, sent + min(document["hold-ms"], 6000) / 1000 * SLOW)
        for n in sorted(self.ends):
            if n <= document.get("last-seen", 0):
                self._end_acknowledged(n)
        for task, run in document.get("stopped", []):
            self.top[task] = max(self.top.get(task, 0), run)
            if task in self.running and self.running[task]["run"] == run:
                self.stop(task=task, run=run)
        for task, run, spec, saved in document.get("started", []):
            if run > self.top.get(task, 0):
                self.top[task] = run
                self.begin(task=task, run=run, spec=spec, saved=saved)

    def _end_acknowledged(self, n: int) -> None:
        """Forget a listed end that was acknowledged."""
        task, _, how, _, at = self.ends.pop(n)
        if self.lapsed < at:
            self.oracle.note(task=task, how=how)

    def stop(self, *, task: str, run: int) -> None:
        """Stop a run that was ordered to stop; it ends a little later."""
        self.sim.at(delay=STOP_S, fn=lambda: self.finish(task=task, run=run, how="stopped"))

    def begin(self, *, task: str, run: int, spec: str, saved: str) -> None:
        """Start a run of a task; a long-running one ends only by an order."""
        self.oracle.started(m=self, task=task, run=run, spec=spec, saved=saved)
        last = self.oracle.step_of(task).get("long-running")
        how = "failed" if self.sim.rng.random() < self.fail else "done"
        dur = 1e9 if last else self.work * (0.5 + self.sim.rng.random())
        begun = self.sim.now
        self.running[task] = {
            "run": run,
            "pct": (lambda at: 50) if last else (lambda at: min(99, int(100 * (at - begun) / dur))),
        }
        self.sim.at(delay=dur, fn=lambda: self.finish(task=task, run=run, how=how))

    def finish(self, *, task: str, run: int, how: str) -> None:
        """End a run if it still goes on."""
        if self.up and task in self.running and self.running[task]["run"] == run:
            self.end(task=task, how=how)
