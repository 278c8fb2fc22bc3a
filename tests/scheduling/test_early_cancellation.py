"""A job that was cancelled before it was known does not run by a submission that is older (review/10, UNASKED)."""

from typing import Any

import pytest

from yarrowloom.jobs import early_cancellations
from yarrowloom.jobs.events import JobCancelled
from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.simulator.workload import Day, task
from yarrowloom.transport.http_messages import Response

JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "5c0e7a21d94b36f9"
DOCUMENT = {"task-spec": "x", "stages": [task(n=2)]}
HEADERS = {"host": "h.example", "x-deadline-ms": "3000"}


def send(day: Day, *, edge: str, method: str, job_id: str = JOB_ID) -> list[Response]:
    """A request whose answer is not waited for."""
    answers: list[Response] = []
    document = DOCUMENT if method == "POST" else None
    path = f"/fast/{job_id}"
    day.judge.jobs[job_id] = DOCUMENT
    day.sim.http(ip=edge, src="c", method=method, path=path, document=document, headers=HEADERS, back=answers.append)
    return answers


def ask(day: Day, *, edge: str, method: str, job_id: str = JOB_ID) -> int:
    answers = send(day, edge=edge, method=method, job_id=job_id)
    assert day.sim.until(cond=lambda: bool(answers), limit=6.0)
    return answers[0].status


def is_known(day: Day) -> bool:
    return JOB_ID in day.sim.core(day.sim.serving(group_id=1)[0]).jobs[1].jobs


# Guards against a job that runs after its cancelling was answered with 410 (review/10, UNASKED).
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("standstill_s", [0.3, 4.0])
@pytest.mark.parametrize("is_open", [True, False])
def test_a_submission_that_waited_in_an_edge_is_refused_after_its_job_was_cancelled_elsewhere(
    seed: int, standstill_s: float, is_open: bool
) -> None:
    day = Day(seed=seed, edges=2)
    frozen, other = day.sim.edge_ips
    day.sim.freeze(ip=frozen, seconds=standstill_s)
    answers = send(day, edge=frozen, method="POST")
    day.sim.run(seconds=0.1)
    if not is_open:
        day.sim.calls.clear()  # the client has closed the connection
    assert ask(day, edge=other, method="DELETE") == 410
    assert day.sim.now < day.sim.procs[frozen].frozen_until
    day.sim.run(seconds=standstill_s + 3.0)
    assert not is_known(day)
    assert [answer.status for answer in answers] == ([503] if is_open else [])


def test_a_submission_on_its_way_to_the_primary_is_refused_after_its_job_was_cancelled() -> None:
    """The edge that took it has no way to the primary, and repeats it until it has; nothing stands still."""
    day = Day(seed=11, edges=2)
    cut_off, other = day.sim.edge_ips
    primary = day.sim.serving(group_id=1)[0]
    day.sim.cut(a=cut_off, b=primary)
    answers = send(day, edge=cut_off, method="POST")
    day.sim.run(seconds=0.5)
    assert ask(day, edge=other, method="DELETE") == 410
    day.sim.heal()
    day.sim.run(seconds=3.0)
    assert not is_known(day)
    assert [answer.status for answer in answers] in ([503], [504])


@pytest.mark.parametrize("seed", range(3))
def test_the_next_primary_knows_of_the_cancelling(seed: int) -> None:
    day = Day(seed=seed, edges=2, cores=5, losses=2)
    frozen, other = day.sim.edge_ips
    day.sim.freeze(ip=frozen, seconds=8.0)
    send(day, edge=frozen, method="POST")
    assert ask(day, edge=other, method="DELETE") == 410
    day.sim.kill(ip=day.sim.serving(group_id=1)[0], power=True)
    day.sim.run(seconds=12.0)
    assert day.sim.serving(group_id=1)
    assert not is_known(day)


@pytest.mark.parametrize("standstill_s", [0.3, 2.0])
def test_a_submission_that_waited_in_an_edge_is_accepted_if_its_job_was_not_cancelled(standstill_s: float) -> None:
    day = Day(seed=21, edges=2)
    frozen, other = day.sim.edge_ips
    day.sim.freeze(ip=frozen, seconds=standstill_s)
    answers = send(day, edge=frozen, method="POST")
    assert ask(day, edge=other, method="DELETE", job_id=OTHER_JOB_ID) == 410
    day.sim.run(seconds=standstill_s + 0.5)
    assert [answer.status for answer in answers] == [200]
    assert is_known(day)


def test_a_job_that_is_submitted_after_it_was_cancelled_is_accepted() -> None:
    """By the edge that answered the cancelling at once, by another one once that has heard of it."""
    for of_cancelling, of_submission, expected in ((0, 0, [200]), (1, 0, [503, 200])):
        day = Day(seed=31, edges=2)
        edges = day.sim.edge_ips
        assert ask(day, edge=edges[of_cancelling], method="DELETE") == 410
        assert [ask(day, edge=edges[of_submission], method="POST") for _ in expected] == expected
        assert is_known(day)


# Guards against an old cancelling that ends a job submitted anew (LOST: cancelled without cause).
def test_a_cancelling_that_waited_in_an_edge_does_not_end_a_job_that_was_submitted_after_the_next_one() -> None:
    day = Day(seed=41, edges=2, work=20.0)
    frozen, other = day.sim.edge_ips
    day.sim.freeze(ip=frozen, seconds=2.0)
    late = send(day, edge=frozen, method="DELETE")
    assert ask(day, edge=other, method="DELETE") == 410
    assert ask(day, edge=other, method="POST") == 200
    day.sim.run(seconds=3.0)
    assert [answer.status for answer in late] == [503]
    assert ask(day, edge=other, method="GET") == 200
    primary = day.sim.core(day.sim.serving(group_id=1)[0])
    assert primary.jobs[1].jobs[JOB_ID].state.value != "cancelled"
    assert ask(day, edge=frozen, method="DELETE") == 200


def cancelled_early(*job_ids: str) -> Jobs:
    jobs = Jobs()
    for job_id in job_ids:
        jobs.apply(JobCancelled(job_id=job_id, is_early=True))
    return jobs


def test_a_snapshot_holds_the_cancellations_of_unknown_jobs() -> None:
    jobs, copy = cancelled_early("a", "b", "a"), Jobs()
    copy.load(jobs.dump())
    assert copy.dump() == jobs.dump()
    rows: list[Any] = [
        (job_id, known, copy.early_cancellations.may_precede(job_id=job_id, known=known))
        for job_id, known in (("a", 2), ("a", 3), ("b", 1), ("b", 2), ("c", -1))
    ]
    assert rows == [("a", 2, True), ("a", 3, False), ("b", 1, True), ("b", 2, False), ("c", -1, False)]


def test_a_cancellation_that_was_dropped_is_not_taken_for_none(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(early_cancellations, "MAX_JOBS", 2)
    cancellations = cancelled_early("a", "b", "c").early_cancellations
    assert [cancellations.may_precede(job_id="a", known=known) for known in (-1, 0, 1)] == [True, True, False]


def test_a_cancelling_in_the_log_of_an_earlier_release_leaves_no_trace() -> None:
    jobs = Jobs()
    jobs.apply({"t": "cancel", "id": "a", "at": 0})
    assert jobs.dump() == Jobs().dump()
