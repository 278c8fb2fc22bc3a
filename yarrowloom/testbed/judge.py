"""Judges starts and ends as minions see them, by the rules on jobs that need no clock."""

from dataclasses import dataclass, field
from typing import Any

from .simulated_minion import Hollow, mark, unit_of

NEVER = ("lost", "")


@dataclass(kw_only=True)
class Told:
    """What callers know of a job. Invariant: `accepted` or `refused` only after an answer."""

    document: dict[str, Any]
    tries: int
    accepted: bool = False
    refused: bool = False


@dataclass(kw_only=True)
class Judge:
    """The rules' violations, and the state of jobs and runs that is needed to find them.

    Each entry of `broken` begins with the name of the violated rule. Invariant: `alive` lists the runs on minions
    that are up, `needs` the resources that each of their tasks takes.
    """

    jobs: dict[str, Told] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    alive: dict[str, list[tuple[str, int]]] = field(default_factory=dict)
    needs: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    noted: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)
    failed: dict[str, int] = field(default_factory=dict)
    starts: int = 0
    ends: dict[str, int] = field(default_factory=dict)

    def sent(self, *, job_id: str, document: dict[str, Any], tries: int) -> None:
        """A caller is about to hand a job in."""
        self.jobs.setdefault(job_id, Told(document=document, tries=tries))

    def started(self, *, m: Hollow, task: str, run: int, spec: str, saved: str) -> None:
        """A task began."""
        self.starts += 1
        job_id, _, s, _ = task.split(".")
        told = self.jobs.get(job_id)
        if told is None or spec != told.document["task-spec"]:
            self.broken.append(f"UNASKED {task}")
            return
        if told.refused and not told.accepted:
            self.broken.append(f"REFUSED {task}")
        stages = told.document["stages"]
        row = stages[int(s)]
        self._check_run(told=told, row=row, m=m, task=task, run=run, saved=saved)
        self._check_order(stages=stages, row=row, task=task)
        self._check_route(row=row, m=m, task=task)
        self._limit(m=m, task=task, row=row)
        self.alive.setdefault(task, []).append((m.minion_id, run))

    def _check_run(self, *, told: Told, row: dict[str, Any], m: Hollow, task: str, run: int, saved: str) -> None:
        """A run resumes from its own progress, alone, before the task's end is noted and within its tries."""
        if saved and saved[8:] != mark(name=unit_of(task=task) if row.get("gang") else task):
            self.broken.append(f"UNASKED {task} with the progress of another")
        if self.alive.get(task):
            self.broken.append(f"TWICE {task} run {run} on {m.minion_id}, also {self.alive[task]}")
        if task in self.noted and not row.get("long-running"):
            self.broken.append(f"TWICE {task} run {run} after its end was noted")
        if self.failed.get(task, 0) >= told.tries:
            self.broken.append(f"BUDGET {task}")

    def _check_order(self, *, stages: list[dict[str, Any]], row: dict[str, Any], task: str) -> None:
        """The stages that this one depends on are done; of a gang, one member's end is enough."""
        job_id, k, _, _ = task.split(".")
        for d in row.get("depends-on", []):
            ends = [f"{job_id}.{k}.{d}.{i}" in self.done for i in range(stages[d]["task-count"])]
            if not (any(ends) if stages[d].get("gang") else all(ends)):
                self.broken.append(f"ORDER {task}")

    def _check_route(self, *, row: dict[str, Any], m: Hollow, task: str) -> None:
        """The minion has the required label and fewer tasks of the unit than the anti-affinity limit."""
        if row.get("requires") and row["requires"] not in m.labels:
            self.broken.append(f"ROUTE {task}")
        apart = row.get("anti-affinity", 0)
        if apart and sum(unit_of(task=t) == unit_of(task=task) for t in m.running) >= apart:
            self.broken.append(f"ROUTE {task} apart")

    def _limit(self, *, m: Hollow, task: str, row: dict[str, Any]) -> None:
        """What runs there and the new one must fit; a task that nobody asked for takes nothing."""
        self.needs[task] = (row.get("cpus", 0), row.get("mem-mb", 0), row.get("gpus", 0))
        rows = [self.needs.get(other, (0, 0, 0)) for other in {*m.running, task}]
        used = [sum(col) for col in zip(*rows, strict=True)]
        if any(u > c for u, c in zip(used, m.cap, strict=True)):
            self.broken.append(f"LIMIT {m.minion_id} {used} over {m.cap}")

    def ended(self, *, m: Hollow, task: str, run: int, how: str) -> None:
        """A run is over."""
        rows = self.alive.get(task, [])
        if (m.minion_id, run) in rows:
            rows.remove((m.minion_id, run))
            if not rows:
                del self.alive[task]
                self.needs.pop(task, None)
        self.ends[how] = self.ends.get(how, 0) + 1
        if how == "done":
            self.done.add(task)

    def note(self, *, task: str, how: str) -> None:
        """An end was taken note of."""
        if how == "done":
            self.noted.add(task)
        elif how == "failed":
            self.failed[task] = self.failed.get(task, 0) + 1
