"""Checks of the rules on jobs at the starts and ends that minions see."""

from typing import Any

from ..cluster import Sim
from ..minions import SimMinion
from ..tenants import SimTenant, breach_of_bound


class Oracle:
    """Judges starts and ends as minions see them. Each entry of `broken` is a rule's name and what happened."""

    def __init__(self, *, sim: Sim) -> None:
        self.sim = sim
        self.broken: list[str] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.alive: dict[str, list[tuple[str, int]]] = {}
        self.noted: set[str] = set()
        self.done: set[str] = set()
        self.failed: dict[str, int] = {}
        self.refused: set[str] = set()
        self.accepted: dict[str, float] = {}
        self.cancelled: dict[str, float] = {}
        self.tries = 3
        self.tenant_of: dict[str, SimTenant] = {}  # by job id; jobs of no tenant are not in it

    def step_of(self, task: str) -> dict[str, Any]:
        """The step that a task belongs to."""
        job_id, _, s, _ = task.split(".")
        row: dict[str, Any] = self.jobs[job_id]["stages"][int(s)]
        return row

    def started(self, *, m: SimMinion, task: str, run: int, spec: str, saved: str) -> None:
        """Check the start of a task on a minion."""
        job_id = task.split(".")[0]
        job = self.jobs.get(job_id)
        if job is None or spec != job["task-spec"]:
            self.broken.append(f"UNASKED {task}")
            return
        self._check_request(task=task, job_id=job_id)
        self._check_attempts(m=m, task=task, run=run)
        self._check_order(task=task, job=job)
        self._check_constraints(m=m, task=task)
        self._check_capacity(m=m, task=task)
        self.alive.setdefault(task, []).append((m.minion_id, run))
        self._check_bound(task=task, job_id=job_id)

    def _check_bound(self, *, task: str, job_id: str) -> None:
        """What a tenant has running is within its bound."""
        tenant = self.tenant_of.get(job_id)
        if tenant is None:
            return
        breach = breach_of_bound(tenant=tenant, running=self.tasks_of(tenant), started=task, step_of=self.step_of)
        if breach:
            self.broken.append(breach)

    def tasks_of(self, tenant: SimTenant) -> list[str]:
        """The tasks of a tenant that run."""
        return [name for name, runs in self.alive.items() if runs and self.tenant_of.get(name.split(".")[0]) == tenant]

    def _check_request(self, *, task: str, job_id: str) -> None:
        """A task runs only for a job that was accepted and not cancelled."""
        if job_id in self.refused and job_id not in self.accepted:
            self.broken.append(f"REFUSED {task}")
        if job_id in self.cancelled and self.sim.now > self.cancelled[job_id] + 3.0:
            self.broken.append(f"UNASKED {task} after cancel")

    def _check_attempts(self, *, m: SimMinion, task: str, run: int) -> None:
        """A task runs on one minion at a time, not after its end, and not more often than the retry limit allows."""
        if self.alive.get(task):
            self.broken.append(f"TWICE {task} run {run} on {m.minion_id}, also {self.alive[task]}")
        if task in self.noted and not self.step_of(task).get("long-running"):
            self.broken.append(f"TWICE {task} run {run} after its end was noted")
        if self.failed.get(task, 0) >= self.tries:
            self.broken.append(f"BUDGET {task}")

    def _check_order(self, *, task: str, job: dict[str, Any]) -> None:
        """A task runs after the stages that its stage depends on; of a gang, one member's end is enough."""
        job_id, k, _, _ = task.split(".")
        for d in self.step_of(task).get("depends-on", []):
            n = job["stages"][d]["task-count"]
            gang = job["stages"][d].get("gang")
            ends = [f"{job_id}.{k}.{d}.{i}" in self.done for i in range(n)]
            if not (any(ends) if gang else all(ends)):
                self.broken.append(f"ORDER {task}")

    def _check_constraints(self, *, m: SimMinion, task: str) -> None:
        """A task runs on a minion with the required label, and its anti-affinity limit holds there."""
        row = self.step_of(task)
        if row.get("requires") and row["requires"] not in m.labels:
            self.broken.append(f"ROUTE {task}")
        apart = row.get("anti-affinity", 0)
        if apart and sum(t.rsplit(".", 1)[0] == task.rsplit(".", 1)[0] for t in m.running) >= apart:
            self.broken.append(f"ROUTE {task} apart")

    def _check_capacity(self, *, m: SimMinion, task: str) -> None:
        """The tasks on a minion fit into its capacity."""
        used = [0, 0, 0]
        for other in [*m.running, task]:
            need = self.step_of(other)
            used = [used[0] + need.get("cpus", 0), used[1] + need.get("mem-mb", 0), used[2] + need.get("gpus", 0)]
        if any(u > c for u, c in zip(used, m.cap, strict=True)):
            self.broken.append(f"LIMIT {m.minion_id} {used} over {m.cap}")

    def ended(self, *, m: SimMinion, task: str, run: int, how: str) -> None:
        """A minion's run of a task ended."""
        self.alive.get(task, []).remove((m.minion_id, run))
        if how == "done":
            self.done.add(task)

    def note(self, *, task: str, how: str) -> None:
        """An end was acknowledged."""
        if how == "done":
            self.noted.add(task)
        if how == "failed":
            self.failed[task] = self.failed.get(task, 0) + 1
