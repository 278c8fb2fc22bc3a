"""Jobs in hand are bounded in memory; small ones find room beside large ones."""

from yarrowloom.jobs.model import Job
from yarrowloom.jobs.submission import Step
from yarrowloom.scheduling.live_jobs import LARGE_JOB_BYTES, TEXT_COPIES, LiveJobs, job_bytes
from yarrowloom.simulator.workload import Day, task


def job(*, spec_bytes: int = 0, tasks: int = 1) -> Job:
    step = Step(
        task_count=tasks,
        cpu_millicores=1,
        memory_mb=1,
        gpus=0,
        estimate_ms=1,
        depends_on=[],
        takes_checkpoints=False,
        is_gang=False,
        prefers_same_rack=False,
        required_label="",
        preferred_label="",
        max_per_minion=0,
        may_be_duplicated=False,
        is_long_running=False,
    )
    return Job(
        spec="x" * spec_bytes,
        steps=[step],
        first_run_ms=0,
        period_ms=0,
        repeat_count=0,
        service="s",
        queue="q",
        accepted_at_ms=0,
    )


def test_a_job_counts_with_its_texts_and_its_tasks() -> None:
    plain = job_bytes(job())
    assert job_bytes(job(spec_bytes=100)) == plain + TEXT_COPIES * 100
    assert job_bytes(job(tasks=1001)) > plain + 1000


def test_jobs_are_bounded_and_large_ones_leave_a_share() -> None:
    jobs = LiveJobs(memory_mb=8)
    large, number = job(spec_bytes=LARGE_JOB_BYTES), 0
    while jobs.has_capacity(job=large):
        number += 1
        jobs.add(job_id=f"{number}", job=large)
    assert number > 1
    assert jobs.held_bytes <= jobs.limit_bytes
    assert jobs.has_capacity(job=job())
    jobs.remove(job_id="1")
    assert jobs.has_capacity(job=large)


def test_a_job_that_is_removed_twice_counts_once() -> None:
    jobs = LiveJobs(memory_mb=8)
    jobs.add(job_id="a", job=job())
    jobs.add(job_id="a", job=job())
    for _ in range(2):
        jobs.remove(job_id="a")
    assert (len(jobs), jobs.held_bytes) == (0, 0)


# Guards against jobs that count for good: the memory of those that have ended is free again.
def test_jobs_that_have_ended_count_no_more() -> None:
    day = Day(seed=7701, minions=3, work=0.3)
    ids = [day.job(task(n=1)) for _ in range(5)]
    assert day.settle() == []
    assert [day.client.state(job_id=job_id) for job_id in ids] == [(200, "complete")] * len(ids)
    scheduler = day.sim.core(day.sim.serving(group_id=1)[0]).schedulers[1]
    assert (len(scheduler.job_queue.live_jobs), scheduler.job_queue.live_jobs.held_bytes) == (0, 0)
