"""The state of a job group, changed by one reducer over all events; effects come back as data."""

from typing import Any

from msgspec import UNSET

from ..common.records import decode
from ..prediction import History
from .model import TRANSITIONS, Job, JobState, TaskState, Unit

Effect = tuple[Any, ...]


def task_name(*, job_id: str, unit: str, idx: int) -> str:
    """ID.K.STEP.INDEX.

    >>> task_name(job_id="ab", unit="0.1", idx=3)
    'ab.0.1.3'
    """
    return f"{job_id}.{unit}.{idx}"


def split_name(*, task: str) -> tuple[str, str, int] | None:
    """Undo `task_name`.

    >>> split_name(task="ab.0.1.3")
    ('ab', '0.1', 3)
    >>> split_name(task="nonsense") is None
    True
    """
    parts = task.split(".")
    if len(parts) != 4 or not all(p.isdigit() for p in parts[1:]):
        return None
    return parts[0], f"{parts[1]}.{parts[2]}", int(parts[3])


class Jobs:
    """Invariants: a task's run number only rises; a task is RUNNING exactly while its run may be alive on the
    minion named; a unit's `unfinished_tasks` counts its tasks that are not DONE; `on` indexes all RUNNING tasks by
    minion; a gang's members share run, saved progress (held at index 0) and the count of failed runs; `past` is
    what was learned of the same events, if it is kept.
    """

    def __init__(self, *, learn: bool = True) -> None:
        self.jobs: dict[str, Job] = {}
        self.learn = learn
        self.past = History()
        self.on: dict[str, set[tuple[str, str, int]]] = {}
        self.pending: dict[str, int] = {}

    def dump(self) -> Any:
        """All of it, as plain data that shares nothing with the state."""
        jobs = {job_id: job.document() for job_id, job in self.jobs.items()}
        return {"jobs": jobs, "past": self.past.dump() if self.learn else {}}

    def load(self, document: Any) -> None:
        """Replace all of it; indexes are derived. Checkpoints older than the history are the jobs alone."""
        past: Any = {}
        if "jobs" in document and "past" in document:
            document, past = document["jobs"], document["past"]
        self.past = History()
        if self.learn and past:
            self.past.load(past)
        self.jobs = decode(document, into=dict[str, Job])
        self.on, self.pending = {}, {}
        for job_id, job in self.jobs.items():
            if job.state is JobState.PENDING:
                self.pending[job.queue] = self.pending.get(job.queue, 0) + 1
            for key, unit in job.units.items():
                for i, st in enumerate(unit.task_states):
                    if st is TaskState.RUNNING:
                        self.on.setdefault(unit.minion_ids[i], set()).add((job_id, key, i))

    def apply(self, event: dict[str, Any]) -> list[Effect]:
        """Take one event."""
        return getattr(self, "_" + event["t"])(event)  # type: ignore[no-any-return]

    # -- helpers

    def _show(self, *, job: Job, st: JobState) -> None:
        assert st in TRANSITIONS[job.state], (job.state, st)
        if job.state is JobState.PENDING:
            self.pending[job.queue] -= 1
        job.state = st

    def _units(self, *, job_id: str, k: int) -> list[Effect]:
        job = self.jobs[job_id]
        out: list[Effect] = []
        for s, step in enumerate(job.steps):
            job.units[f"{k}.{s}"] = Unit.waiting(task_count=step.task_count)
            if not step.depends_on:
                out.append(("ready", job_id, f"{k}.{s}"))
        job.next_run = k + 1
        job.open_runs.append(k)
        return out

    def _off(self, *, job_id: str, key: str, unit: Unit, i: int) -> None:
        held = self.on.get(unit.minion_ids[i])
        if held is not None:
            held.discard((job_id, key, i))
            if not held:
                del self.on[unit.minion_ids[i]]

    def _slim(self, *, job: Job) -> None:
        if job.has_ended and not any(unit.has_running_task() for unit in job.units.values()):
            job.trim()

    def _halt(self, *, job_id: str, st: JobState, at: int) -> list[Effect]:
        """Show an end that is not complete; what still runs is to be stopped."""
        job = self.jobs[job_id]
        if job.state is JobState.PENDING and st is JobState.FAILED:
            self._show(job=job, st=JobState.ACTIVE)
        self._show(job=job, st=st)
        self._learned(job_id=job_id, job=job, at=at)
        out: list[Effect] = [("over", job_id)]
        for key, unit in job.units.items():
            out += [
                ("stop", unit.minion_ids[i], task_name(job_id=job_id, unit=key, idx=i), unit.run_ids[i])
                for i, s in enumerate(unit.task_states)
                if s is TaskState.RUNNING
            ]
        self._slim(job=job)
        return out

    def _finished(self, *, job_id: str, key: str) -> list[Effect]:
        """A unit has no task left: later steps, then the time, then the job."""
        job = self.jobs[job_id]
        k, s = key.split(".")
        out: list[Effect] = []
        for later, step in enumerate(job.steps):
            if int(s) in step.depends_on and all(job.units[f"{k}.{d}"].unfinished_tasks == 0 for d in step.depends_on):
                out.append(("ready", job_id, f"{k}.{later}"))
        if all(job.units[f"{k}.{d}"].unfinished_tasks == 0 for d in range(len(job.steps))):
            job.open_runs = [o for o in job.open_runs if o != int(k)]
            if not job.open_runs and job.next_run >= max(job.repeat_count, 1):
                self._show(job=job, st=JobState.COMPLETE)
                out.append(("over", job_id))
        return out

    def _learned(self, *, job_id: str, job: Job, at: int) -> None:
        """A job may have ended: the history takes note before its steps are dropped."""
        if self.learn and at and job.has_ended and not job.is_trimmed:
            self.past.note_over(at=at, job_id=job_id, q=job.queue, steps=job.steps, done=job.state is JobState.COMPLETE)

    # -- events

    def _job(self, event: dict[str, Any]) -> list[Effect]:
        job_id = event["id"]
        if job_id in self.jobs:
            return []
        job = decode(event["j"], into=Job)
        self.jobs[job_id] = job
        self.pending[job.queue] = self.pending.get(job.queue, 0) + 1
        if self.learn:
            self.past.note_job(
                at=job.accepted_at_ms,
                job_id=job_id,
                q=job.queue,
                service=job.service,
                steps=job.steps,
                first=job.first_run_ms,
                period=job.period_ms,
                times=job.repeat_count,
            )
        if job.repeat_count:
            return [("timed", job_id)]
        return self._units(job_id=job_id, k=0)

    def _due(self, event: dict[str, Any]) -> list[Effect]:
        job = self.jobs.get(event["id"])
        if job is None or job.has_ended or job.next_run != event["k"] or event["k"] >= job.repeat_count:
            return []
        return self._units(job_id=event["id"], k=event["k"])

    def _start(self, event: dict[str, Any]) -> list[Effect]:
        job_id, key = event["id"], event["u"]
        job = self.jobs[job_id]
        unit = job.units[key]
        if job.state is JobState.PENDING:
            self._show(job=job, st=JobState.ACTIVE)
        for i, run, minion_id in event["x"]:
            assert unit.task_states[i] is TaskState.WAITING
            assert run > unit.run_ids[i]
            unit.task_states[i], unit.run_ids[i], unit.minion_ids[i] = TaskState.RUNNING, run, minion_id
            if unit.started_at_ms is UNSET:
                unit.started_at_ms = {}
            unit.started_at_ms[i] = event.get("at", 0)
            self.on.setdefault(minion_id, set()).add((job_id, key, i))
        return []

    def _end(self, event: dict[str, Any]) -> list[Effect]:
        job_id, key, i = event["id"], event["u"], event["i"]
        job = self.jobs.get(job_id)
        unit = job.units.get(key) if job is not None else None
        if job is None or unit is None or not unit.is_running(index=i, run_id=event["run"]):
            return []
        step = job.steps[int(key.split(".")[1])]
        self._off(job_id=job_id, key=key, unit=unit, i=i)
        began = unit.started_at_ms.pop(i, 0) if unit.started_at_ms is not UNSET else 0
        if self.learn and began and "at" in event:
            self.past.note_end(
                q=job.queue,
                step=step,
                task=task_name(job_id=job_id, unit=key, idx=i),
                run=event["run"],
                how=event["how"],
                ms=float(max(event["at"] - began, 0)),
                minion_id=unit.minion_ids[i],
                whole=not unit.saved_progress[0 if step.is_gang else i],
            )
        out: list[Effect] = []
        if event["how"] == "done" and not step.is_long_running:
            for j in range(len(unit.task_states)) if step.is_gang else (i,):
                if unit.task_states[j] is TaskState.RUNNING:
                    self._off(job_id=job_id, key=key, unit=unit, i=j)
                if unit.task_states[j] is not TaskState.DONE:
                    unit.task_states[j] = TaskState.DONE
                    unit.unfinished_tasks -= 1
            if unit.unfinished_tasks == 0 and not job.has_ended:
                out += self._finished(job_id=job_id, key=key)
                self._learned(job_id=job_id, job=job, at=event.get("at", 0))
        else:
            unit.task_states[i] = TaskState.WAITING
            at = 0 if step.is_gang else i
            if event["v"]:
                unit.saved_progress[at] = event["v"]
            failed = event["how"] == "failed" and not step.is_long_running
            if failed and (not step.is_gang or unit.last_failed_run != event["run"]):
                unit.last_failed_run = event["run"]
                unit.failures[at] += 1
            if not job.has_ended:
                if failed and unit.failures[at] >= max(1, event["mt"]):
                    out += self._halt(job_id=job_id, st=JobState.FAILED, at=event.get("at", 0))
                elif not step.is_gang or TaskState.RUNNING not in unit.task_states:
                    out.append(("ready", job_id, key))
                elif step.is_gang:  # also those whose order is still on its way: they would wait alone
                    out += [
                        ("stop", unit.minion_ids[j], task_name(job_id=job_id, unit=key, idx=j), unit.run_ids[j])
                        for j, s in enumerate(unit.task_states)
                        if s is TaskState.RUNNING
                    ]
        self._slim(job=job)
        return out

    def _lost(self, event: dict[str, Any]) -> list[Effect]:
        """A minion is gone with all that it ran."""
        out: list[Effect] = []
        for job_id, key, i in sorted(self.on.get(event["m"], ())):
            job = self.jobs[job_id]
            task = task_name(job_id=job_id, unit=key, idx=i)
            run = job.units[key].run_ids[i]
            if event["x"] is not None and [task, run] not in event["x"]:
                continue
            out += self._end(
                {
                    "t": "end",
                    "id": job_id,
                    "u": key,
                    "i": i,
                    "run": run,
                    "how": "lost",
                    "v": event["v"].get(task, ""),
                    "mt": 1,
                }
            )
        return out

    def _cancel(self, event: dict[str, Any]) -> list[Effect]:
        job = self.jobs.get(event["id"])
        if job is None or job.has_ended:
            return []
        return self._halt(job_id=event["id"], st=JobState.CANCELLED, at=event.get("at", 0))

    def _forget(self, event: dict[str, Any]) -> list[Effect]:
        for job_id in event["ids"]:
            job = self.jobs.get(job_id)
            if job is not None and job.is_trimmed:
                del self.jobs[job_id]
        return []
