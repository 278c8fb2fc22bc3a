"""The checkers of jobs, evacuations and answers: a bad history for each rule, and good ones."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.handwritten_history import Book
from yarrowloom.simulator.judges.history import Evacuate, JobCall, JobVerb
from yarrowloom.simulator.judges.history_checks import check_answers, check_evacuations, check_jobs


def job(book: Book, verb: JobVerb, start: float, end: float, status: int, state: str = "", **more: Any) -> None:
    book.add(JobCall(job="j", verb=verb), start, end, status, state=state, **more)


def gone(book: Book) -> None:
    job(book, JobVerb.SUBMIT, 0, 1, 200)
    job(book, JobVerb.SHOW, 4.5, 5, 410)


def gone_after_it_was_seen(book: Book) -> None:
    job(book, JobVerb.SUBMIT, 0, 1, 200)
    job(book, JobVerb.SHOW, 200, 201, 200, "active")
    job(book, JobVerb.SHOW, 210, 211, 410)


def back(book: Book) -> None:
    job(book, JobVerb.SHOW, 1, 2, 200, "active")
    job(book, JobVerb.SHOW, 3, 4, 200, "pending")


def alive_again(book: Book) -> None:
    job(book, JobVerb.SHOW, 1, 2, 200, "complete")
    job(book, JobVerb.SHOW, 3, 4, 200, "active")


def two_ends(book: Book) -> None:
    job(book, JobVerb.SHOW, 1, 2, 200, "complete")
    job(book, JobVerb.SHOW, 3, 4, 200, "failed")


def cancelled_and_alive(book: Book) -> None:
    job(book, JobVerb.CANCEL, 1, 2, 200)
    job(book, JobVerb.SHOW, 6, 7, 200, "active")


@pytest.mark.parametrize(
    ("rule", "make"),
    [
        ("accepted-job-gone", gone),
        ("accepted-job-gone", gone_after_it_was_seen),
        ("state-went-back", back),
        ("state-went-back", alive_again),
        ("ended-twice", two_ends),
        ("cancelled-job-alive", cancelled_and_alive),
    ],
    ids=lambda x: x if isinstance(x, str) else x.__name__,
)
def test_each_bad_history_of_a_job_is_found(rule: str, make: Callable[[Book], None]) -> None:
    book = Book()
    make(book)
    breach = check_jobs(history=book.history)
    assert breach is not None
    assert breach.rule == rule


def test_good_histories_of_a_job_pass() -> None:
    book = Book()
    job(book, JobVerb.SHOW, 0, 0.5, 410)
    job(book, JobVerb.SUBMIT, 0, 1, 200)
    job(book, JobVerb.SHOW, 2, 2.5, 410)  # not yet visible there
    job(book, JobVerb.SHOW, 2, 9, 200, "pending")  # a slow answer
    job(book, JobVerb.SHOW, 3, 4, 200, "active")
    job(book, JobVerb.SHOW, 4, 5, 503)
    job(book, JobVerb.CANCEL, 5, 6, 200)
    job(book, JobVerb.SHOW, 6, 7, 200, "active")
    job(book, JobVerb.SHOW, 10, 11, 200, "cancelled")
    job(book, JobVerb.SHOW, 300, 301, 410)
    assert check_jobs(history=book.history) is None


def test_an_answer_to_another_caller_is_found() -> None:
    book = Book()
    job(book, JobVerb.SHOW, 0, 1, 200, "active", nonce="n1", echo="n1")
    job(book, JobVerb.SHOW, 1, 2, 200, "active", nonce="n2", echo=None)
    assert check_answers(history=book.history) is None
    job(book, JobVerb.SHOW, 2, 3, 200, "active", nonce="n3", echo="n2")
    breach = check_answers(history=book.history)
    assert breach is not None
    assert breach.rule == "answer-to-another"
    assert breach.operations[0].nonce == "n3"


@pytest.mark.parametrize(
    ("calls", "now", "good"),
    [
        ([], False, True),
        ([], True, False),
        ([(True, 0, 1, 200)], True, True),
        ([(True, 0, 1, 200)], False, False),
        ([(True, 0, 1, 0)], True, True),
        ([(True, 0, 1, 0)], False, True),
        ([(True, 0, 1, 200), (False, 2, 3, 200)], True, False),
        ([(True, 0, 1, 200), (False, 2, 3, 200)], False, True),
        ([(True, 0, 1, 200), (False, 0.5, 3, 200)], True, True),
        ([(True, 0, 1, 0), (False, 2, 3, 200)], True, False),
        ([(True, 0, 1, 200), (False, 2, 3, 503)], True, True),
        ([(True, 0, 1, 200), (False, 2, 3, 503)], False, True),
        ([(True, 0, 1, 404)], True, False),
    ],
)
def test_evacuations_in_the_end_are_those_ordered_last(
    calls: list[tuple[bool, float, float, int]], now: bool, good: bool
) -> None:
    book = Book()
    for on, start, end, status in calls:
        book.add(Evacuate(zone="z", on=on), start, end, status)
    breach = check_evacuations(history=book.history, final={"z": now}, at_s=99.0)
    assert (breach is None) is good
    assert breach is None or breach.rule == "evacuation-undone"
