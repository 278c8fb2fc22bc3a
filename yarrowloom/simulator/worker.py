"""Minions that do work: gangs, checkpoints, guards, sickness, draining."""

from dataclasses import dataclass, field
from typing import Any

from .cluster import Sim
from .judges.job_rules import Judge, owner
from .minions import STOP_S, SimMinion

GANG_WAIT_S = 4.0
CHECKPOINT_S = 2.0
RESTORE_S = 0.25
LEAVE_S = 3.0
FAR = 2.0
TICK_S = 0.05
GREY_S = 0.04


@dataclass(kw_only=True)
class World:
    """Properties of tasks that all workers share.

    Attributes:
        work: Mean duration of a task in seconds.
        fail: Probability that a task fails.
        doomed: Jobs whose tasks always fail.
        made: By checkpoint: the part of the work that was done when it was made, from 0 to 1.
        present: By gang and run: the workers on which its members run, by task.
    """

    work: float = 0.5
    fail: float = 0.0
    doomed: set[str] = field(default_factory=set)
    made: dict[str, float] = field(default_factory=dict)
    present: dict[tuple[str, int], dict[str, "Worker"]] = field(default_factory=dict)


class Worker(SimMinion):
    """A minion whose tasks make progress, with gangs, checkpoints, failures and draining.

    Invariants: the members of a gang make progress only while all of one run are present; nothing runs after the lease
    has expired; a task occupies capacity until its end is listed in a heartbeat.
    """

    def __init__(
        self,
        *,
        sim: Sim,
        judge: Judge,
        world: World,
        minion_id: str,
        zone: str,
        cap: tuple[int, int, int],
        labels: tuple[str, ...],
        service: str = "svc",
        guards: bool = False,
        address: str = "",
    ) -> None:
        self.judge, self.world, self.service, self.guards = judge, world, service, guards
        self.address = address or f"{minion_id}:1"
        self.sick = ""  # "grey" fails all it starts, "hung" makes no progress
        self.speed = 1.0
        self.mute = -1.0  # no beats until then
        self.drained = 0.0
        self.acked = 0.0  # when its draining was acknowledged
        self.restored = 0
        super().__init__(sim=sim, oracle=judge, minion_id=minion_id, zone=zone, cap=cap, work=world.work, labels=labels)
        judge.fleet.append(self)

    # -- beats

    def account(self, *, seq: int, sent: float) -> dict[str, Any]:
        """What a heartbeat tells."""
        document = super().account(seq=seq, sent=sent)
        document |= {"backend": self.service, "address": self.address}
        if self.drained:
            document["leave-at-ms"] = int(1000 * max(0.0, (self.acked or sent) + LEAVE_S - sent))
        return document

    def beat(self) -> None:
        """Send a heartbeat, unless it is mute."""
        if self.up and self.sim.now < self.mute and not self.inflight:
            self.plan(delay=self.mute - self.sim.now + 0.01)
            return
        super().beat()

    def answer(self, *, document: dict[str, Any], sent: float) -> None:
        """Process the response to a heartbeat; one sent after draining began acknowledges the draining."""
        if self.drained and sent >= self.drained and not self.acked:
            self.acked = self.sim.now
            self.sim.at(delay=LEAVE_S, fn=self.leave)
        super().answer(document=document, sent=sent)

    def _end_acknowledged(self, n: int) -> None:
        """Forget a listed end that was acknowledged, and show it to the judge."""
        task, run, how, _, at = self.ends.pop(n)
        self.judge.seen(m=self, num=n, task=task, run=run, how=how, lapsed=self.lapsed >= at)

    def stop(self, *, task: str, run: int) -> None:
        """Stop a run that was ordered to stop; it makes a checkpoint and ends a little later."""
        row = self.running[task]
        if not row["stop"]:
            row["stop"] = self.sim.now + STOP_S

    # -- work

    def begin(self, *, task: str, run: int, spec: str, saved: str) -> None:
        """Carry an order out, or turn it away for want of room."""
        judge = self.judge
        over = any(u > c for u, c in zip(judge.used(m=self, more=[task]), self.cap, strict=True))
        if self.guards and over:
            self.list_end(task=task, run=run, how="refused", saved="")
            return
        judge.started(m=self, task=task, run=run, spec=spec, saved=saved)
        step = judge.step_of(task)
        who = owner(task=task, step=step)
        far = FAR if step.get("affinity") and step["affinity"] not in self.labels else 1.0
        bad = task.split(".")[0] in self.world.doomed or self.sim.rng.random() < self.world.fail
        self.restored += bool(saved)
        dur = self.world.work * step.get("weight", 1) * (0.5 + self.sim.rng.random()) * far
        row: dict[str, Any] = {}
        row |= {
            "pct": lambda _: min(99, int(100 * row["part"])),
            "run": run,
            "who": who,
            "step": step,
            "saved": saved,
            "stop": 0.0,
            "at": self.sim.now,
            "part": self.world.made.get(saved, 0.0),
            "since": 0.0,
            "bad": bad,
            "dur": dur,
            "work": self.sim.now + (RESTORE_S if saved else 0.0),
        }
        self.running[task] = row
        if step.get("gang"):
            self.world.present.setdefault((who, run), {})[task] = self

    def list_end(self, *, task: str, run: int, how: str, saved: str) -> None:
        """Put an end on the list."""
        self.num += 1
        self.ends[self.num] = (task, run, how, saved, self.sim.now)
        self.judge.listed(m=self, num=self.num, task=task, how=how)
        if not self.inflight:
            self.plan(delay=0.05)

    def end(self, *, task: str, how: str) -> None:
        """End a run and list its end."""
        row = self.running.pop(task)
        self.judge.ended(m=self, task=task, run=row["run"], how=how)
        self.list_end(task=task, run=row["run"], how=how, saved=row["saved"])
        self._apart(task=task, row=row, how=how)

    def _apart(self, *, task: str, row: dict[str, Any], how: str) -> None:
        """An end of one member: the others end `done` with it, or `broken`."""
        members = self.world.present.get((row["who"], row["run"]), {})
        members.pop(task, None)
        for other, m in list(members.items()):
            if m.up and other in m.running:
                m.end(task=other, how="done" if how == "done" else "broken")

    def crash(self) -> None:
        """Die with all that runs."""
        self.up = False
        rows, self.running = self.running, {}
        for task, row in rows.items():
            self.judge.ended(m=self, task=task, run=row["run"], how="lost")
            self._apart(task=task, row=row, how="lost")

    def save(self, *, row: dict[str, Any]) -> None:
        """Make a checkpoint."""
        if row["step"].get("checkpoints"):
            row["saved"] = f"ck-{len(self.world.made)}"
            self.world.made[row["saved"]] = row["part"]
            self.judge.texts[row["saved"]] = row["who"]

    def _watch(self) -> None:
        if not self.up:
            return
        now = self.sim.now
        if now > self.hold:
            self.lapsed = now
            for task in list(self.running):
                if task in self.running:
                    self.end(task=task, how="lapsed")
        for task, row in list(self.running.items()):
            if task in self.running and self.running[task] is row:
                self._work(task=task, row=row, now=now)
        self.sim.at(delay=TICK_S, fn=self._watch)

    def _work(self, *, task: str, row: dict[str, Any], now: float) -> None:
        if row["stop"] and now >= row["stop"]:
            self.save(row=row)
            self.end(task=task, how="stopped")
        elif self.sick == "grey" and now - row["at"] >= GREY_S:
            self.end(task=task, how="failed")
        elif row["step"].get("gang") and len(self.world.present[row["who"], row["run"]]) < row["step"]["task-count"]:
            if now - row["at"] > GANG_WAIT_S:
                self.end(task=task, how="alone")
        elif self.sick != "hung" and now >= row["work"]:
            if row["step"].get("long-running"):
                row["part"] = 0.5
                return
            row["part"] += TICK_S * self.speed / row["dur"]
            row["since"] += TICK_S
            if row["since"] >= CHECKPOINT_S:
                row["since"] = 0.0
                self.save(row=row)
            if row["part"] >= 1.0:
                self.end(task=task, how="failed" if row["bad"] else "done")

    # -- leaving

    def drain(self) -> None:
        """Say that it leaves; it goes some time after that is acknowledged."""
        self.state, self.drained = "draining", self.sim.now
        if not self.inflight:
            self.beat()

    def leave(self) -> None:
        """Say goodbye and end."""
        if self.up:
            ip = self.target or self.sim.core_ips[0]
            self.sim.http(
                ip=ip, src=self.minion_id, method="DELETE", path=f"/minions/{self.minion_id}", back=lambda _: None
            )
            self.crash()
