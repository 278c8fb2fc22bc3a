"""The reducer of jobs: single cases that once went wrong, and seeded streams against a plain oracle."""

import random
from collections import Counter
from typing import Any

import orjson
import pytest

from yarrowloom.jobs.effects import JobEnded, StopTask, UnitReady
from yarrowloom.jobs.model import TaskState
from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.jobs.submission import parse
from yarrowloom.prediction import History


def job(*, stages: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    document = parse(body=orjson.dumps({"task-spec": "x", "stages": stages, **more}))
    return {**document.document(), "q": "q", "svc": "s", "mt": 3, "at": 0}


def end(*, run: int, how: str, i: int = 0, mt: int = 3) -> dict[str, Any]:
    return {"t": "end", "id": "a", "u": "0.0", "i": i, "run": run, "how": how, "v": "", "mt": mt}


def start(*, run: int, i: int = 0, m: str = "m") -> dict[str, Any]:
    return {"t": "start", "id": "a", "u": "0.0", "x": [[i, run, m]]}


@pytest.mark.parametrize("how", ["lost", "void", "stopped", "lapsed"])
def test_only_failures_count_against_the_budget(how: str) -> None:
    jobs = Jobs(history=History())
    jobs.apply({"t": "job", "id": "a", "j": job(stages=[{"task-count": 1}])})
    jobs.apply(start(run=1))
    jobs.apply(end(run=1, how="failed"))
    jobs.apply(start(run=2))
    jobs.apply(end(run=2, how=how, mt=1))
    assert jobs.jobs["a"].state == "active"


def test_gang_failure_counts_once_and_waits_for_all() -> None:
    jobs = Jobs(history=History())
    jobs.apply({"t": "job", "id": "a", "j": job(stages=[{"task-count": 2, "gang": True}])})
    jobs.apply({"t": "start", "id": "a", "u": "0.0", "x": [[0, 1, "m"], [1, 1, "n"]]})
    # The others are stopped at once: one whose order is still on its way would start and wait alone.
    assert jobs.apply(end(run=1, how="failed", i=0)) == [StopTask(minion_id="n", job_id="a", task="a.0.0.1", run_id=1)]
    assert jobs.apply(end(run=1, how="failed", i=1)) == [UnitReady(job_id="a", unit_key="0.0")]
    assert jobs.jobs["a"].units["0.0"].failures[0] == 1


def test_gang_done_stands_for_all() -> None:
    jobs = Jobs(history=History())
    jobs.apply({"t": "job", "id": "a", "j": job(stages=[{"task-count": 2, "gang": True}])})
    jobs.apply({"t": "start", "id": "a", "u": "0.0", "x": [[0, 1, "m"], [1, 1, "n"]]})
    assert JobEnded(job_id="a") in jobs.apply(end(run=1, how="done", i=1))
    assert jobs.jobs["a"].state == "complete"
    assert jobs.running_by_minion == {}


@pytest.mark.parametrize("seed", range(30))
def test_stream_against_oracle(seed: int) -> None:
    """Random events: states move only by the table, a reload changes nothing, ends count once."""
    rng = random.Random(seed)
    jobs = Jobs(history=History())
    runs: dict[tuple[str, str, int], int] = {}
    done: set[tuple[str, str, int]] = set()
    for step in range(300):
        pick = rng.random()
        if pick < 0.1:
            stages = [
                {
                    "task-count": rng.randint(1, 3),
                    "depends-on": [0] if s and rng.random() < 0.5 else [],
                    "gang": rng.random() < 0.3,
                }
                for s in range(rng.randint(1, 3))
            ]
            jobs.apply({"t": "job", "id": f"{step:x}", "j": job(stages=stages)})
        elif pick < 0.15 and jobs.jobs:
            jobs.apply({"t": "cancel", "id": rng.choice(sorted(jobs.jobs))})
        elif pick < 0.2 and jobs.running_by_minion:
            minion_id = rng.choice(sorted(jobs.running_by_minion))
            jobs.apply({"t": "lost", "m": minion_id, "x": None, "v": {}})
            assert minion_id not in jobs.running_by_minion
        elif pick < 0.6:
            for job_id, row in list(jobs.jobs.items()):
                if row.has_ended or rng.random() < 0.5:
                    continue
                for key, unit in row.units.items():
                    deps = row.step_of(unit_key=key).depends_on
                    waits = set(unit.task_states) == {TaskState.WAITING}
                    if any(row.units[f"0.{d}"].unfinished_tasks for d in deps) or not waits:
                        continue
                    run = max(unit.run_ids) + 1
                    x = [[i, run, f"m{rng.randint(0, 4)}"] for i in range(len(unit.task_states))]
                    jobs.apply({"t": "start", "id": job_id, "u": key, "x": x})
                    runs.update({(job_id, key, i): run for i in range(len(x))})
        elif runs:
            job_id, key, i = rng.choice(sorted(runs))
            run = runs[job_id, key, i] - (rng.random() < 0.2)
            how = rng.choice(["done", "done", "failed", "stopped", "lapsed", "broken"])
            jobs.apply({"t": "end", "id": job_id, "u": key, "i": i, "run": run, "how": how, "v": "", "mt": 3})
            if how == "done":
                done.add((job_id, key, i))
        twin = Jobs(history=History())
        twin.load(orjson.loads(orjson.dumps(jobs.dump())))
        assert twin.dump() == jobs.dump()
        assert twin.running_by_minion == jobs.running_by_minion
        assert Counter(twin.pending_by_queue) == Counter(jobs.pending_by_queue)
    for job_id, row in jobs.jobs.items():
        if row.state == "complete":
            assert any(k[0] == job_id for k in done)
