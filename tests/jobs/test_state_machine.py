"""The reducer of jobs: single cases that once went wrong, and seeded streams against a plain oracle."""

import random
from collections import Counter
from typing import Any

import orjson
import pytest

from yarrowloom.common.records import MalformedRecordError
from yarrowloom.jobs.effects import JobEnded, JobTimed, StopTask, UnitReady
from yarrowloom.jobs.events import (
    JobCancelled,
    JobsBegun,
    JobsForgotten,
    JobSubmitted,
    MinionLost,
    RunDue,
    RunOutcome,
    TaskEnded,
    TasksStarted,
    TaskStart,
)
from yarrowloom.jobs.model import JobState, TaskState
from yarrowloom.jobs.placements import PlacementClient
from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.jobs.submission import AcceptedJob, parse_submission
from yarrowloom.prediction import History

JOB_ID = "a"
UNIT_KEY = "0.0"
READY = UnitReady(job_id=JOB_ID, unit_key=UNIT_KEY)
ENDED = JobEnded(job_id=JOB_ID)


@pytest.fixture
def jobs() -> Jobs:
    return Jobs(history=History())


def submitted(*, job_id: str = JOB_ID, stages: list[dict[str, Any]], **more: Any) -> JobSubmitted:
    submission = parse_submission(body=orjson.dumps({"task-spec": "x", "stages": stages, **more}))
    job = AcceptedJob(
        spec=submission.spec,
        steps=submission.steps,
        first_run_ms=submission.first_run_ms,
        period_ms=submission.period_ms,
        repeat_count=submission.repeat_count,
        service="s",
        max_attempts=3,
        queue="q",
        accepted_at_ms=0,
    )
    return JobSubmitted(job_id=job_id, job=job)


def started(*, run_id: int, minion_ids: list[str], job_id: str = JOB_ID, unit_key: str = UNIT_KEY) -> TasksStarted:
    """The first tasks of a unit start, one on each of the minions."""
    starts = [TaskStart(index=i, run_id=run_id, minion_id=minion_id) for i, minion_id in enumerate(minion_ids)]
    return TasksStarted(job_id=job_id, unit_key=unit_key, starts=starts)


def ended(
    *,
    run_id: int,
    outcome: str,
    index: int = 0,
    max_attempts: int = 3,
    job_id: str = JOB_ID,
    unit_key: str = UNIT_KEY,
) -> TaskEnded:
    return TaskEnded(
        job_id=job_id,
        unit_key=unit_key,
        index=index,
        run_id=run_id,
        outcome=outcome,
        saved_progress="",
        max_attempts=max_attempts,
    )


def ordered(jobs: Jobs, *, run_id: int) -> None:
    """A task is ordered as today's release does it: who begins is told later."""
    client = PlacementClient(name=f"test-{run_id}", state=jobs)
    starts = [TaskStart(index=0, run_id=run_id, minion_id="m")]
    jobs.apply_event(client.bind(job_id=JOB_ID, unit_key=UNIT_KEY, starts=starts, wall_ms=1.0))


@pytest.mark.parametrize("outcome", ["void", "lost", "refused"])
def test_an_order_that_was_not_carried_out_leaves_its_job_pending(jobs: Jobs, outcome: str) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    ordered(jobs, run_id=1)
    assert jobs.jobs[JOB_ID].state is JobState.PENDING
    assert jobs.apply_event(ended(run_id=1, outcome=outcome)) == [READY]
    assert jobs.jobs[JOB_ID].state is JobState.PENDING
    assert list(jobs.pending_by_queue.values()) == [1]


@pytest.mark.parametrize("outcome", ["failed", "stopped", "lapsed", "alone", "broken"])
def test_an_end_of_what_had_begun_makes_its_job_active(jobs: Jobs, outcome: str) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    ordered(jobs, run_id=1)
    jobs.apply_event(ended(run_id=1, outcome=outcome))
    assert jobs.jobs[JOB_ID].state is JobState.ACTIVE
    assert jobs.pending_by_queue == {}


def test_a_job_is_active_once_it_is_known_to_have_begun_and_completes_without_that(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    ordered(jobs, run_id=1)
    assert jobs.apply_event(JobsBegun(job_ids=[JOB_ID, "unknown"])) == []
    assert jobs.jobs[JOB_ID].state is JobState.ACTIVE
    jobs.apply_event(ended(run_id=1, outcome="void"))
    assert jobs.jobs[JOB_ID].state is JobState.ACTIVE
    ordered(jobs, run_id=2)
    assert jobs.apply_event(ended(run_id=2, outcome="done")) == [ENDED]
    assert jobs.apply_event(JobsBegun(job_ids=[JOB_ID])) == []
    assert jobs.jobs[JOB_ID].state is JobState.COMPLETE


@pytest.mark.parametrize("outcome", ["lost", "void", "stopped", "lapsed", "a newer release's word"])
def test_only_failures_count_against_the_budget(jobs: Jobs, outcome: str) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m"]))
    jobs.apply_event(ended(run_id=1, outcome="failed"))
    jobs.apply_event(started(run_id=2, minion_ids=["m"]))
    assert jobs.apply_event(ended(run_id=2, outcome=outcome, max_attempts=1)) == [READY]
    assert jobs.jobs[JOB_ID].state is JobState.ACTIVE


def test_the_last_attempt_that_fails_ends_the_job(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 2}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m", "n"]))
    effects = jobs.apply_event(ended(run_id=1, outcome="failed", max_attempts=1))
    assert effects == [ENDED, StopTask(minion_id="n", job_id=JOB_ID, task="a.0.0.1", run_id=1)]
    assert jobs.jobs[JOB_ID].state is JobState.FAILED
    assert not jobs.jobs[JOB_ID].is_trimmed
    assert jobs.apply_event(ended(run_id=1, outcome="stopped", index=1)) == []
    assert jobs.jobs[JOB_ID].is_trimmed


def test_gang_failure_counts_once_and_waits_for_all(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 2, "gang": True}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m", "n"]))
    # The others are stopped at once: one whose order is still on its way would start and wait alone.
    stop = StopTask(minion_id="n", job_id=JOB_ID, task="a.0.0.1", run_id=1)
    assert jobs.apply_event(ended(run_id=1, outcome="failed", index=0)) == [stop]
    assert jobs.apply_event(ended(run_id=1, outcome="failed", index=1)) == [READY]
    assert jobs.jobs[JOB_ID].units[UNIT_KEY].failures[0] == 1


def test_gang_done_stands_for_all(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 2, "gang": True}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m", "n"]))
    assert ENDED in jobs.apply_event(ended(run_id=1, outcome="done", index=1))
    assert jobs.jobs[JOB_ID].state is JobState.COMPLETE
    assert jobs.running_by_minion == {}


def test_a_step_is_ready_once_all_that_it_depends_on_are_finished(jobs: Jobs) -> None:
    stages: list[dict[str, Any]] = [{"task-count": 1}, {"task-count": 1}, {"task-count": 1, "depends-on": [0, 1]}]
    effects = jobs.apply_event(submitted(stages=stages))
    assert effects == [READY, UnitReady(job_id=JOB_ID, unit_key="0.1")]
    for unit_key in ("0.0", "0.1"):
        jobs.apply_event(started(run_id=1, minion_ids=["m"], unit_key=unit_key))
    assert jobs.apply_event(ended(run_id=1, outcome="done", unit_key="0.0")) == []
    effects = jobs.apply_event(ended(run_id=1, outcome="done", unit_key="0.1"))
    assert effects == [UnitReady(job_id=JOB_ID, unit_key="0.2")]


def test_an_end_of_an_older_run_is_passed_over(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m"]))
    jobs.apply_event(ended(run_id=1, outcome="stopped"))
    jobs.apply_event(started(run_id=2, minion_ids=["m"]))
    assert jobs.apply_event(ended(run_id=1, outcome="done")) == []
    assert jobs.jobs[JOB_ID].units[UNIT_KEY].task_states == [TaskState.RUNNING]


def test_only_the_named_runs_of_a_lost_minion_end(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 2}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m", "m"]))
    lost = MinionLost(minion_id="m", runs=[("a.0.0.1", 1)], saved_progress={"a.0.0.1": "half"})
    assert jobs.apply_event(lost) == [READY]
    unit = jobs.jobs[JOB_ID].units[UNIT_KEY]
    assert unit.task_states == [TaskState.RUNNING, TaskState.WAITING]
    assert unit.saved_progress == ["", "half"]


def test_a_repeated_job_is_complete_after_its_last_run(jobs: Jobs) -> None:
    stages = [{"task-count": 1}]
    times: dict[str, Any] = {"first-run-ms": 5, "period-ms": 10, "repeat-count": 2}
    timed = submitted(stages=stages, **times)
    assert jobs.apply_event(timed) == [JobTimed(job_id=JOB_ID)]
    assert jobs.apply_event(timed) == []
    for run in (0, 1):
        unit_key = f"{run}.0"
        due = RunDue(job_id=JOB_ID, run=run)
        assert jobs.apply_event(due) == [UnitReady(job_id=JOB_ID, unit_key=unit_key)]
        assert jobs.apply_event(due) == []
        jobs.apply_event(started(run_id=1, minion_ids=["m"], unit_key=unit_key))
        effects = jobs.apply_event(ended(run_id=1, outcome="done", unit_key=unit_key))
        assert effects == ([ENDED] if run == 1 else [])


def test_an_ended_job_is_forgotten_only_once_nothing_of_it_runs(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    jobs.apply_event(started(run_id=1, minion_ids=["m"]))
    stop = StopTask(minion_id="m", job_id=JOB_ID, task="a.0.0.0", run_id=1)
    assert jobs.apply_event(JobCancelled(job_id=JOB_ID)) == [ENDED, stop]
    jobs.apply_event(JobsForgotten(job_ids=[JOB_ID]))
    assert JOB_ID in jobs.jobs
    jobs.apply_event(ended(run_id=1, outcome="stopped"))
    jobs.apply_event(JobsForgotten(job_ids=[JOB_ID]))
    assert jobs.jobs == {}


def test_a_trimmed_job_is_stored_without_its_work(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    assert set(jobs.dump()["jobs"][JOB_ID]) >= {"spec", "steps", "open", "u"}
    jobs.apply_event(JobCancelled(job_id=JOB_ID))
    # Queue, tenant and time of acceptance stand in the job's submission entry.
    assert set(jobs.dump()["jobs"][JOB_ID]) == {"first", "period", "times", "svc", "mt", "st", "k", "over"}
    assert jobs.dump()["kv"]["records"][f"job:{JOB_ID}"][0] == ["job", "q", "", 0]


def test_a_malformed_snapshot_is_refused_and_changes_nothing(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    before = jobs.dump()
    broken = jobs.dump()
    broken["jobs"][JOB_ID]["u"][UNIT_KEY]["left"] = "one"
    with pytest.raises(MalformedRecordError, match=r"Expected `int`, got `str` - at `\$\[\.\.\.\]\.u\[\.\.\.\]\.left`"):
        jobs.load(broken)
    assert jobs.dump() == before


def test_a_snapshot_from_before_the_history_is_the_jobs_alone(jobs: Jobs) -> None:
    jobs.apply_event(submitted(stages=[{"task-count": 1}]))
    twin = Jobs(history=History())
    rows = jobs.dump()["jobs"]
    twin.load({job_id: {**row, "q": "q", "at": 0} for job_id, row in rows.items()})  # a release without a store
    assert twin.jobs == jobs.jobs
    assert twin.submission(job_id=JOB_ID) == jobs.submission(job_id=JOB_ID)
    assert twin.dump()["past"] == History().dump()


OUTCOMES = [RunOutcome.DONE, RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.STOPPED, RunOutcome.LAPSED, "broken"]


class Stream:
    """Seeded random events for one reducer, and what they were."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.jobs = Jobs(history=History())
        self.runs: dict[tuple[str, str, int], int] = {}
        self.done: set[tuple[str, str, int]] = set()

    def step(self, *, number: int) -> None:
        pick = self.rng.random()
        if pick < 0.1:
            self.submit(job_id=f"{number:x}")
        elif pick < 0.15 and self.jobs.jobs:
            self.jobs.apply_event(JobCancelled(job_id=self.rng.choice(sorted(self.jobs.jobs))))
        elif pick < 0.2 and self.jobs.running_by_minion:
            self.lose_minion()
        elif pick < 0.6:
            self.start()
        elif self.runs:
            self.end()

    def submit(self, *, job_id: str) -> None:
        stages = [
            {
                "task-count": self.rng.randint(1, 3),
                "depends-on": [0] if index and self.rng.random() < 0.5 else [],
                "gang": self.rng.random() < 0.3,
            }
            for index in range(self.rng.randint(1, 3))
        ]
        self.jobs.apply_event(submitted(job_id=job_id, stages=stages))

    def lose_minion(self) -> None:
        minion_id = self.rng.choice(sorted(self.jobs.running_by_minion))
        self.jobs.apply_event(MinionLost(minion_id=minion_id, runs=None, saved_progress={}))
        assert minion_id not in self.jobs.running_by_minion

    def start(self) -> None:
        for job_id, job in list(self.jobs.jobs.items()):
            if job.has_ended or self.rng.random() < 0.5:
                continue
            for unit_key, unit in job.units.items():
                depends_on = job.step_of(unit_key=unit_key).depends_on
                waits = set(unit.task_states) == {TaskState.WAITING}
                if any(job.units[f"0.{index}"].unfinished_tasks for index in depends_on) or not waits:
                    continue
                run_id = max(unit.run_ids) + 1
                minion_ids = [f"m{self.rng.randint(0, 4)}" for _ in unit.task_states]
                self.jobs.apply_event(started(run_id=run_id, minion_ids=minion_ids, job_id=job_id, unit_key=unit_key))
                self.runs.update({(job_id, unit_key, index): run_id for index in range(len(minion_ids))})

    def end(self) -> None:
        task = self.rng.choice(sorted(self.runs))
        job_id, unit_key, index = task
        run_id = self.runs[task] - (self.rng.random() < 0.2)
        outcome = self.rng.choice(OUTCOMES)
        self.jobs.apply_event(ended(run_id=run_id, outcome=outcome, index=index, job_id=job_id, unit_key=unit_key))
        if outcome is RunOutcome.DONE:
            self.done.add(task)


@pytest.mark.parametrize("seed", range(30))
def test_a_stream_moves_states_by_the_table_and_survives_reloads(seed: int) -> None:
    """Random events: states move only by the table, a reload changes nothing, ends count once."""
    stream = Stream(seed=seed)
    jobs = stream.jobs
    for number in range(300):
        stream.step(number=number)
        twin = Jobs(history=History())
        twin.load(orjson.loads(orjson.dumps(jobs.dump())))
        assert twin.dump() == jobs.dump(), seed
        assert twin.running_by_minion == jobs.running_by_minion, seed
        assert Counter(twin.pending_by_queue) == Counter(jobs.pending_by_queue), seed
    for job_id, job in jobs.jobs.items():
        if job.state is JobState.COMPLETE:
            assert any(task[0] == job_id for task in stream.done), seed
