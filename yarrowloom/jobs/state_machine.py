"""The state of a job group, changed by one reducer over all events; effects come back as data."""

import enum
from typing import Any

from ..prediction import History

Effect = tuple[Any, ...]


class State(str, enum.Enum):
    """What a caller is shown."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = frozenset({State.COMPLETE, State.FAILED, State.CANCELLED})
MOVES: dict[State, frozenset[State]] = {
    State.PENDING: frozenset({State.ACTIVE, State.CANCELLED}),
    State.ACTIVE: frozenset({State.COMPLETE, State.FAILED, State.CANCELLED}),
    State.COMPLETE: frozenset(),
    State.FAILED: frozenset(),
    State.CANCELLED: frozenset(),
}
WAIT, RUN, DONE = 0, 1, 2


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
    """Invariants: a task's run number only rises; a task is RUN exactly while its run may be alive on the minion
    named; a unit's `left` counts its tasks that are not DONE; `on` indexes all RUN tasks by minion; a gang's
    members share run, saved progress (held at index 0) and the count of failed runs; `past` is what was learned of
    the same events, if it is kept.
    """

    def __init__(self, *, learn: bool = True) -> None:
        self.jobs: dict[str, dict[str, Any]] = {}
        self.learn = learn
        self.past = History()
        self.on: dict[str, set[tuple[str, str, int]]] = {}
        self.pending: dict[str, int] = {}

    def dump(self) -> Any:
        """All of it."""
        return {"jobs": self.jobs, "past": self.past.dump() if self.learn else {}}

    def load(self, document: Any) -> None:
        """Replace all of it; indexes are derived. `doc` is its own from now on. Checkpoints older than the history are
        the jobs alone.
        """
        past: Any = {}
        if "jobs" in document and "past" in document:
            document, past = document["jobs"], document["past"]
        self.past = History()
        if self.learn and past:
            self.past.load(past)
        self.jobs = document
        self.on, self.pending = {}, {}
        for job_id, job in self.jobs.items():
            if job["st"] == State.PENDING:
                self.pending[job["q"]] = self.pending.get(job["q"], 0) + 1
            for key, unit in job.get("u", {}).items():
                for i, st in enumerate(unit["s"]):
                    if st == RUN:
                        self.on.setdefault(unit["m"][i], set()).add((job_id, key, i))

    def apply(self, event: dict[str, Any]) -> list[Effect]:
        """Take one event."""
        return getattr(self, "_" + event["t"])(event)  # type: ignore[no-any-return]

    # -- helpers

    def _show(self, *, job: dict[str, Any], st: State) -> None:
        was = State(job["st"])
        assert st in MOVES[was], (was, st)
        if was is State.PENDING:
            self.pending[job["q"]] -= 1
        job["st"] = st.value

    def _units(self, *, job_id: str, k: int) -> list[Effect]:
        job = self.jobs[job_id]
        out: list[Effect] = []
        for s, step in enumerate(job["steps"]):
            n = step["n"]
            job["u"][f"{k}.{s}"] = {
                "s": [WAIT] * n,
                "r": [0] * n,
                "m": [""] * n,
                "f": [0] * n,
                "v": [""] * n,
                "left": n,
                "fr": 0,
            }
            if not step["deps"]:
                out.append(("ready", job_id, f"{k}.{s}"))
        job["k"] = k + 1
        job["open"] = job["open"] + [k]
        return out

    def _off(self, *, job_id: str, key: str, unit: dict[str, Any], i: int) -> None:
        held = self.on.get(unit["m"][i])
        if held is not None:
            held.discard((job_id, key, i))
            if not held:
                del self.on[unit["m"][i]]

    def _slim(self, *, job: dict[str, Any]) -> None:
        if job["st"] in ENDED and "u" in job and not any(RUN in u["s"] for u in job["u"].values()):
            for name in ("u", "spec", "steps", "open"):
                job.pop(name, None)

    def _halt(self, *, job_id: str, st: State, at: int) -> list[Effect]:
        """Show an end that is not complete; what still runs is to be stopped."""
        job = self.jobs[job_id]
        if job["st"] == State.PENDING and st is State.FAILED:
            self._show(job=job, st=State.ACTIVE)
        self._show(job=job, st=st)
        self._learned(job_id=job_id, job=job, at=at)
        out: list[Effect] = [("over", job_id)]
        for key, unit in job["u"].items():
            out += [
                ("stop", unit["m"][i], task_name(job_id=job_id, unit=key, idx=i), unit["r"][i])
                for i, s in enumerate(unit["s"])
                if s == RUN
            ]
        self._slim(job=job)
        return out

    def _finished(self, *, job_id: str, key: str) -> list[Effect]:
        """A unit has no task left: later steps, then the time, then the job."""
        job = self.jobs[job_id]
        k, s = key.split(".")
        out: list[Effect] = []
        for later, step in enumerate(job["steps"]):
            if int(s) in step["deps"] and all(job["u"][f"{k}.{d}"]["left"] == 0 for d in step["deps"]):
                out.append(("ready", job_id, f"{k}.{later}"))
        if all(job["u"][f"{k}.{d}"]["left"] == 0 for d in range(len(job["steps"]))):
            job["open"] = [o for o in job["open"] if o != int(k)]
            if not job["open"] and job["k"] >= max(job["times"], 1):
                self._show(job=job, st=State.COMPLETE)
                out.append(("over", job_id))
        return out

    def _learned(self, *, job_id: str, job: dict[str, Any], at: int) -> None:
        """A job may have ended: the history takes note before its steps are dropped."""
        if self.learn and at and job["st"] in ENDED and "steps" in job:
            self.past.note_over(at=at, job_id=job_id, q=job["q"], steps=job["steps"], done=job["st"] == State.COMPLETE)

    # -- events

    def _job(self, event: dict[str, Any]) -> list[Effect]:
        job_id = event["id"]
        if job_id in self.jobs:
            return []
        job = {**event["j"], "st": State.PENDING.value, "k": 0, "open": [], "u": {}}
        self.jobs[job_id] = job
        self.pending[job["q"]] = self.pending.get(job["q"], 0) + 1
        if self.learn:
            self.past.note_job(
                at=job["at"],
                job_id=job_id,
                q=job["q"],
                service=job["svc"],
                steps=job["steps"],
                first=job["first"],
                period=job["period"],
                times=job["times"],
            )
        if job["times"]:
            return [("timed", job_id)]
        return self._units(job_id=job_id, k=0)

    def _due(self, event: dict[str, Any]) -> list[Effect]:
        job = self.jobs.get(event["id"])
        if job is None or job["st"] in ENDED or job["k"] != event["k"] or event["k"] >= job["times"]:
            return []
        return self._units(job_id=event["id"], k=event["k"])

    def _start(self, event: dict[str, Any]) -> list[Effect]:
        job_id, key = event["id"], event["u"]
        job = self.jobs[job_id]
        unit = job["u"][key]
        if job["st"] == State.PENDING:
            self._show(job=job, st=State.ACTIVE)
        for i, run, minion_id in event["x"]:
            assert unit["s"][i] == WAIT
            assert run > unit["r"][i]
            unit["s"][i], unit["r"][i], unit["m"][i] = RUN, run, minion_id
            unit.setdefault("t", {})[str(i)] = event.get("at", 0)
            self.on.setdefault(minion_id, set()).add((job_id, key, i))
        return []

    def _end(self, event: dict[str, Any]) -> list[Effect]:
        job_id, key, i = event["id"], event["u"], event["i"]
        job = self.jobs.get(job_id)
        unit = job["u"].get(key) if job is not None and "u" in job else None
        if job is None or unit is None or i >= len(unit["s"]) or unit["r"][i] != event["run"] or unit["s"][i] != RUN:
            return []
        step = job["steps"][int(key.split(".")[1])]
        self._off(job_id=job_id, key=key, unit=unit, i=i)
        began = unit.get("t", {}).pop(str(i), 0)
        if self.learn and began and "at" in event:
            self.past.note_end(
                q=job["q"],
                step=step,
                task=task_name(job_id=job_id, unit=key, idx=i),
                run=event["run"],
                how=event["how"],
                ms=float(max(event["at"] - began, 0)),
                minion_id=unit["m"][i],
                whole=not unit["v"][0 if step["gang"] else i],
            )
        out: list[Effect] = []
        if event["how"] == "done" and not step["last"]:
            for j in range(len(unit["s"])) if step["gang"] else (i,):
                if unit["s"][j] == RUN:
                    self._off(job_id=job_id, key=key, unit=unit, i=j)
                if unit["s"][j] != DONE:
                    unit["s"][j] = DONE
                    unit["left"] -= 1
            if unit["left"] == 0 and job["st"] not in ENDED:
                out += self._finished(job_id=job_id, key=key)
                self._learned(job_id=job_id, job=job, at=event.get("at", 0))
        else:
            unit["s"][i] = WAIT
            at = 0 if step["gang"] else i
            if event["v"]:
                unit["v"][at] = event["v"]
            if event["how"] == "failed" and not step["last"] and (not step["gang"] or unit["fr"] != event["run"]):
                unit["fr"] = event["run"]
                unit["f"][at] += 1
            if job["st"] not in ENDED:
                if event["how"] == "failed" and not step["last"] and unit["f"][at] >= max(1, event["mt"]):
                    out += self._halt(job_id=job_id, st=State.FAILED, at=event.get("at", 0))
                elif not step["gang"] or RUN not in unit["s"]:
                    out.append(("ready", job_id, key))
                elif step["gang"]:  # also those whose order is still on its way: they would wait alone
                    out += [
                        ("stop", unit["m"][j], task_name(job_id=job_id, unit=key, idx=j), unit["r"][j])
                        for j, s in enumerate(unit["s"])
                        if s == RUN
                    ]
        self._slim(job=job)
        return out

    def _lost(self, event: dict[str, Any]) -> list[Effect]:
        """A minion is gone with all that it ran."""
        out: list[Effect] = []
        for job_id, key, i in sorted(self.on.get(event["m"], ())):
            job = self.jobs[job_id]
            task = task_name(job_id=job_id, unit=key, idx=i)
            run = job["u"][key]["r"][i]
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
        if job is None or job["st"] in ENDED:
            return []
        return self._halt(job_id=event["id"], st=State.CANCELLED, at=event.get("at", 0))

    def _forget(self, event: dict[str, Any]) -> list[Effect]:
        for job_id in event["ids"]:
            job = self.jobs.get(job_id)
            if job is not None and job["st"] in ENDED and "u" not in job:
                del self.jobs[job_id]
        return []
