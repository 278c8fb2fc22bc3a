"""The rules on jobs, checked against what minions and callers observe; covers more rules than `oracle.Oracle`."""

from typing import Any

from ..cluster import Sim
from ..minions import SimMinion
from ..tenants import SimTenant, used_by
from .oracle import Oracle

CANCEL_S = 4.0
VISIBLE_S = 3.0
DRAIN_S = 2.5
EVACUATE_S = 5.0
EARLY_S = 0.1
JUMPS_S = 5.0  # what `EARLY_S` grows by on days on which clocks jump
STOP_S = 0.4
STARVE_S = 3.0
NEAR_S = 8.0  # trouble is near for this long: the contact time and a gang's wait
LOOK_S = 0.2
ENDS = ("complete", "failed", "cancelled")


def owner(*, task: str, step: dict[str, Any]) -> str:
    """What shares progress and tries: a task, or a gang's unit.

    >>> owner(task="ab.0.1.7", step={"gang": True}), owner(task="ab.0.1.7", step={})
    ('ab.0.1', 'ab.0.1.7')
    """
    return task.rsplit(".", 1)[0] if step.get("gang") else task


class Judge(Oracle):
    """Checks the rules on jobs against what minions and callers observe.

    Invariants: `alive` holds the runs on minions that are up; `done` the tasks that ended successfully on a minion,
    acknowledged or not; `noted` and `fails` only ends that a `last-seen` acknowledged while the minion's lease was
    valid; `texts` maps every checkpoint that a minion ever made to its owner.
    """

    def __init__(self, *, sim: Sim, tries: int = 3) -> None:
        super().__init__(sim=sim)
        self.tries = tries
        self.fleet: list[SimMinion] = []
        self.queue: dict[str, str] = {}
        self.services: dict[str, set[str]] = {}  # by queue, of all configurations that were sent
        self.evacuated_zones: dict[str, float] = {}
        self.texts: dict[str, str] = {}
        self.owed: dict[str, list[tuple[str, int]]] = {}  # `done` ends listed but not noted: (minion, number)
        self.again: dict[tuple[str, int], str] = {}  # such ends after which the task was started once more
        self.fails: dict[str, set[int]] = {}
        self.fell: dict[str, set[int]] = {}  # runs that ended `failed`, noted or not
        self.brought: dict[tuple[str, int], str] = {}
        self.asked: set[str] = set()  # jobs whose cancelling was sent
        self.shows: dict[str, str] = {}
        self.over: dict[str, float] = {}  # when a job was first shown as ended
        self.starved: dict[str, float] = {}  # since when a job has nothing running though it could
        self.begun: dict[str, str] = {}  # the first start of each job
        self.overran: set[str] = set()  # cancelled jobs that ran on
        self.ends: dict[str, int] = {}  # how many runs ended in each way
        self.near = -1.0
        self.early = EARLY_S
        self._watch()

    def trouble(self, *, seconds: float = 0.0) -> None:
        """Trouble goes on for so long; what it excuses is excused until it is no longer near."""
        self.near = max(self.near, self.sim.now + seconds + NEAR_S)

    def breach(self, *, rule: str, what: str) -> None:
        """Note a broken rule."""
        self.broken.append(f"{rule} {what}")

    def rules(self) -> set[str]:
        """Names of the rules broken."""
        return {b.split(" ", 1)[0] for b in self.broken}

    # -- what minions see

    def started(self, *, m: SimMinion, task: str, run: int, spec: str, saved: str) -> None:
        """A minion begins a task."""
        job_id, k, _, _ = task.split(".")
        job, now = self.jobs.get(job_id), self.sim.now
        where = f"{task} run {run} on {m.minion_id} at {now:.2f}"
        if job is None or spec != job["task-spec"]:
            self.breach(rule="UNASKED", what=where)
            return
        step = self.step_of(task)
        who = owner(task=task, step=step)
        if saved and self.texts.get(saved) != who:
            self.breach(rule="UNASKED", what=f"{where} with the checkpoint {saved} of {self.texts.get(saved)}")
        self.begun.setdefault(job_id, where)
        if job_id in self.cancelled and now > self.cancelled[job_id] + CANCEL_S:
            self.breach(rule="UNASKED", what=f"{where} after its cancelling")
        self._once(task=task, who=who, step=step, where=where)
        self._order(job=job, job_id=job_id, k=int(k), step=step, where=where)
        self._place(m=m, task=task, step=step, where=where)
        if step.get("gang") and self.brought.setdefault((who, run), saved) != saved:
            self.breach(rule="GANG", what=f"{where} brings {saved}, others {self.brought[who, run]}")
        self.alive.setdefault(task, []).append((m.minion_id, run))
        self._check_bound(task=task, job_id=job_id)

    def _once(self, *, task: str, who: str, step: dict[str, Any], where: str) -> None:
        if step.get("duplicate"):
            return
        if self.alive.get(task):
            self.breach(rule="TWICE", what=f"{where}, also {self.alive[task]}")
        if step.get("long-running"):
            return
        if who in self.noted:
            self.breach(rule="TWICE", what=f"{where} after its end was noted")
        for key in self.owed.get(who, []):
            self.again[key] = where
        if len(self.fails.get(who, ())) >= self.tries:
            self.breach(rule="BUDGET", what=where)

    def _order(self, *, job: dict[str, Any], job_id: str, k: int, step: dict[str, Any], where: str) -> None:
        for d in step.get("depends-on", []):
            if not self.unit_done(job=job, unit=f"{job_id}.{k}.{d}"):
                self.breach(rule="ORDER", what=f"{where} before step {d}")
        if job.get("repeat-count"):
            due = (job["first-run-ms"] + k * job["period-ms"]) / 1000
            if self.sim.wall0 + self.sim.now < due - self.early:
                self.breach(rule="ORDER", what=f"{where} due in {due - self.sim.wall0 - self.sim.now:.2f} s")

    def _place(self, *, m: SimMinion, task: str, step: dict[str, Any], where: str) -> None:
        now, unit = self.sim.now, task.rsplit(".", 1)[0]
        service = getattr(m, "service", "svc")
        if service not in self.services.get(self.queue.get(task.split(".")[0], ""), {service}):
            self.breach(rule="ROUTE", what=f"{where} of {service}")
        if step.get("requires") and step["requires"] not in m.labels:
            self.breach(rule="ROUTE", what=f"{where} without {step['requires']}")
        apart = step.get("anti-affinity", 0)
        if apart and sum(t.rsplit(".", 1)[0] == unit for t in m.running) >= apart:
            self.breach(rule="ROUTE", what=f"{where} beyond {apart}")
        used = self.used(m=m, more=[task])
        if not getattr(m, "guards", False) and any(u > c for u, c in zip(used, m.cap, strict=True)):
            self.breach(rule="LIMIT", what=f"{where}: {used} over {m.cap}")
        acked = getattr(m, "acked", 0.0)
        if acked and now > acked + DRAIN_S:
            self.breach(rule="DRAIN", what=where)
        if m.zone in self.evacuated_zones and now > self.evacuated_zones[m.zone] + EVACUATE_S:
            self.breach(rule="EVAC", what=f"{where} in {m.zone}")

    def ended(self, *, m: SimMinion, task: str, run: int, how: str) -> None:
        """A minion's run of a task ended."""
        self.alive.get(task, []).remove((m.minion_id, run))
        self.ends[how] = self.ends.get(how, 0) + 1
        who = owner(task=task, step=self.step_of(task))
        if how == "done":
            self.done.add(task)
        elif how == "failed":
            self.fell.setdefault(who, set()).add(run)
        elif how == "alone" and task.split(".")[0] not in self.asked and self.sim.now > self.near:
            self.breach(rule="GANG", what=f"{task} run {run} on {m.minion_id} ended alone at {self.sim.now:.2f}")

    def listed(self, *, m: SimMinion, num: int, task: str, how: str) -> None:
        """An end is on a minion's list."""
        if how == "done":
            self.owed.setdefault(owner(task=task, step=self.step_of(task)), []).append((m.minion_id, num))

    def seen(self, *, m: SimMinion, num: int, task: str, run: int, how: str, lapsed: bool) -> None:
        """An end's number was reached by `last-seen`."""
        who = owner(task=task, step=self.step_of(task))
        if how == "done":
            self.owed[who].remove((m.minion_id, num))
        if lapsed:
            return
        if how == "done":
            self.noted.add(who)
            if (m.minion_id, num) in self.again:
                self.breach(rule="TWICE", what=f"{self.again[m.minion_id, num]} after an end noted since")
        elif how == "failed":
            self.fails.setdefault(who, set()).add(run)

    # -- what callers see

    def shown(self, *, job_id: str, status: int, state: str, sent: float) -> None:
        """An answer on a job's state, asked for at `sent`. Answers to calls that overlap may come in any order."""
        now = self.sim.now
        if status == 410 and job_id in self.accepted and now > self.accepted[job_id] + VISIBLE_S:
            self.breach(rule="LOST", what=f"{job_id} is not known at {now:.2f}")
        if status != 200:
            return
        was, at = self.shows.get(job_id, state), self.over.get(job_id, now)
        if was in ENDS and state != was and sent >= at:
            self.breach(rule="LOST", what=f"{job_id} was {was} at {at:.2f}, now {state} at {now:.2f}")
        if self.shows.get(job_id) not in ENDS:
            self.shows[job_id] = state
        if state in ENDS:
            self.over.setdefault(job_id, now)
        if state == "complete":
            left = self.left(job_id=job_id)
            if left:
                self.breach(rule="MIXED", what=f"{job_id} complete at {now:.2f} without {left[:3]}")
        if state == "cancelled" and job_id not in self.asked:
            self.breach(rule="LOST", what=f"{job_id} cancelled by nobody")
        if state == "failed" and not self.hopeless(job_id=job_id):
            self.breach(rule="LOST", what=f"{job_id} failed at {now:.2f} without cause")

    # -- what is so

    def units(self, *, job_id: str) -> list[tuple[str, dict[str, Any]]]:
        """Names and steps of all units of all times."""
        job = self.jobs[job_id]
        return [
            (f"{job_id}.{k}.{s}", step)
            for k in range(max(1, job.get("repeat-count", 0)))
            for s, step in enumerate(job["stages"])
        ]

    def unit_done(self, *, job: dict[str, Any], unit: str) -> bool:
        """All tasks of a step have ended `done`; one of a gang stands for all."""
        step = job["stages"][int(unit.rsplit(".", 1)[1])]
        ends = [f"{unit}.{i}" in self.done for i in range(step["task-count"])]
        return any(ends) if step.get("gang") else all(ends)

    def left(self, *, job_id: str) -> list[str]:
        """Units that are not done."""
        return [u for u, _ in self.units(job_id=job_id) if not self.unit_done(job=self.jobs[job_id], unit=u)]

    def hopeless(self, *, job_id: str) -> bool:
        """A task or gang has failed as often as it may."""
        return any(who.split(".")[0] == job_id and len(runs) >= self.tries for who, runs in self.fell.items())

    def used(self, *, m: SimMinion, more: list[str]) -> list[int]:
        """Room in use, with more tasks."""
        out = [0, 0, 0]
        for task in [*m.running, *more]:
            step = self.step_of(task)
            out = [out[0] + step.get("cpus", 0), out[1] + step.get("mem-mb", 0), out[2] + step.get("gpus", 0)]
        return out

    # -- time

    def _watch(self) -> None:
        self.sim.at(delay=LOOK_S, fn=self._watch)
        now = self.sim.now
        for job_id, at in self.cancelled.items():
            if now > max(at + CANCEL_S + STOP_S, self.near) and job_id not in self.overran:
                for task, runs in self.alive.items():
                    if runs and task.startswith(job_id):
                        self.overran.add(job_id)
                        self.breach(rule="UNASKED", what=f"{task} runs on at {now:.2f}, cancelled at {at:.2f}")
        for job_id in self.refused:
            if job_id in self.begun and job_id not in self.accepted:
                self.breach(rule="REFUSED", what=self.begun.pop(job_id))
        for job_id in self.accepted:
            if job_id in self.asked or self.hopeless(job_id=job_id) or not self._starves(job_id=job_id):
                self.starved.pop(job_id, None)
            else:
                self.starved.setdefault(job_id, now)

    def _starves(self, *, job_id: str) -> bool:
        """Nothing runs, a turn has come, there is room twice over and half of the service's room is free."""
        if any(runs and task.startswith(job_id) for task, runs in self.alive.items()):
            return False
        tenant = self.tenant_of.get(job_id)
        if tenant is not None and not self._is_under_half_of_bound(tenant):
            return False
        job = self.jobs[job_id]
        for unit, step in self.units(job_id=job_id):
            k = unit.split(".")[1]
            due = (
                not job.get("repeat-count")
                or self.sim.wall0 + self.sim.now > (job["first-run-ms"] + int(k) * job["period-ms"]) / 1000
            )
            turn = (
                due
                and not self.unit_done(job=job, unit=unit)
                and all(self.unit_done(job=job, unit=f"{job_id}.{k}.{d}") for d in step.get("depends-on", []))
            )
            if turn and self._room(job_id=job_id, step=step):
                return True
        return False

    def _is_under_half_of_bound(self, tenant: SimTenant) -> bool:
        used = used_by(tenant=tenant, running=self.tasks_of(tenant), step_of=self.step_of)
        return all(not limit or 2 * total < limit for total, limit in zip(used, tenant.upper_bound, strict=True))

    def _room(self, *, job_id: str, step: dict[str, Any]) -> bool:
        need = (step.get("cpus", 0), step.get("mem-mb", 0), step.get("gpus", 0))
        fits, used, have = 0, [0, 0, 0], [0, 0, 0]
        for m in self.fleet:
            if not m.up or getattr(m, "service", "svc") not in self.services.get(self.queue.get(job_id, ""), {"svc"}):
                continue
            busy = self.used(m=m, more=[])
            used = [a + b for a, b in zip(used, busy, strict=True)]
            have = [a + b for a, b in zip(have, m.cap, strict=True)]
            shut = m.state != "ready" or m.zone in self.evacuated_zones
            if not shut and (not step.get("requires") or step["requires"] in m.labels):
                got = min([(c - b) // n for c, b, n in zip(m.cap, busy, need, strict=True) if n] or [64])
                fits += min(got, step.get("anti-affinity") or got)
        return fits >= 2 * (step["task-count"] if step.get("gang") else 1) and all(
            2 * u < h for u, h in zip(used, have, strict=True) if h
        )

    def close(self) -> None:
        """The traffic has ended `finish_s` ago: what starves now is lost."""
        now = self.sim.now
        for job_id, at in self.starved.items():
            if now - at >= STARVE_S:
                self.breach(rule="LOST", what=f"{job_id} has nothing running since {at:.2f}, at {now:.2f}")
