"""Events of a job group keep the form that logs hold, and what does not fit is refused with the field's name."""

from typing import Any

import orjson
import pytest

from yarrowloom.common.records import MalformedRecordError
from yarrowloom.common.resources import Resources
from yarrowloom.jobs.events import (
    JobCancelled,
    JobEvent,
    JobsBegun,
    JobsForgotten,
    JobSubmitted,
    MinionLost,
    PlacementsChanged,
    RunDue,
    RunEnd,
    TaskEnded,
    TasksStarted,
    TaskStart,
    decode_job_event,
    job_event_tags,
)
from yarrowloom.jobs.submission import AcceptedJob
from yarrowloom.kv import PlaceEntry, TenantDebit
from yarrowloom.transactions import CommitBatch, Write

JOB_DOCUMENT = {"spec": "x", "steps": [], "first": 1, "period": 2, "times": 3, "svc": "s", "mt": 4, "q": "q", "at": 5}
JOB = AcceptedJob(
    spec="x",
    steps=[],
    first_run_ms=1,
    period_ms=2,
    repeat_count=3,
    service="s",
    max_attempts=4,
    queue="q",
    accepted_at_ms=5,
)
END = TaskEnded(
    job_id="a",
    unit_key="0.1",
    index=2,
    run_id=3,
    outcome="done",
    saved_progress="p",
    max_attempts=4,
    ended_at_ms=9,
)
END_DOCUMENT = {"t": "end", "id": "a", "u": "0.1", "i": 2, "run": 3, "how": "done", "v": "p", "mt": 4, "at": 9}
START = TasksStarted(job_id="a", unit_key="0.1", starts=[TaskStart(index=2, run_id=3, minion_id="m")], started_at_ms=9)
CASES: list[tuple[JobEvent, dict[str, Any]]] = [
    (JobSubmitted(job_id="a", job=JOB), {"t": "job", "id": "a", "j": JOB_DOCUMENT}),
    (RunDue(job_id="a", run=2), {"t": "due", "id": "a", "k": 2}),
    (START, {"t": "start", "id": "a", "u": "0.1", "x": [[2, 3, "m"]], "at": 9}),
    (END, END_DOCUMENT),
    (
        PlacementsChanged(
            batch=CommitBatch(
                transaction_id="1.7.3",
                committed_at=11,
                writes=[
                    Write(key="place:a:0.1.2", etag=4, value=None),
                    Write(key="place:a:0.1.3", etag=0, value=PlaceEntry(minion_id="m", run_id=1)),
                    Write(key="tenant:t", etag=5, value=TenantDebit(used=Resources(1, 2, 3), tasks=4)),
                ],
            ),
            ends=[RunEnd(outcome="done", saved_progress="p", max_attempts=4, has_end_time=True)],
        ),
        {
            "t": "tx",
            "b": {
                "id": "1.7.3",
                "tc": 11,
                "w": [
                    ["place:a:0.1.2", 4, None],
                    ["place:a:0.1.3", 0, ["place", "m", 1]],
                    ["tenant:t", 5, ["debit", [1, 2, 3], 4]],
                ],
            },
            "e": [["done", "p", 4, True]],
        },
    ),
    (
        MinionLost(minion_id="m", runs=[("a.0.1.2", 3)], saved_progress={"a.0.1.2": "p"}),
        {"t": "lost", "m": "m", "x": [["a.0.1.2", 3]], "v": {"a.0.1.2": "p"}},
    ),
    (MinionLost(minion_id="m", runs=None, saved_progress={}), {"t": "lost", "m": "m", "x": None, "v": {}}),
    (JobCancelled(job_id="a", cancelled_at_ms=9), {"t": "cancel", "id": "a", "at": 9}),
    (
        PlacementsChanged(
            batch=CommitBatch(transaction_id="1.7.4", committed_at=12, writes=[]), ends=[], is_begin_reported=True
        ),
        {"t": "tx", "b": {"id": "1.7.4", "tc": 12, "w": []}, "e": [], "br": True},
    ),
    (JobsBegun(job_ids=["a", "b"]), {"t": "begun", "ids": ["a", "b"]}),
    (JobsForgotten(job_ids=["a", "b"]), {"t": "forget", "ids": ["a", "b"]}),
]


@pytest.mark.parametrize(("event", "document"), CASES, ids=lambda value: type(value).__name__)
def test_an_event_has_the_form_that_logs_hold(event: JobEvent, document: dict[str, Any]) -> None:
    assert decode_job_event(document) == event
    plain = event.document()
    assert orjson.loads(orjson.dumps(plain)) == document


def test_the_cases_cover_every_kind_of_event() -> None:
    assert {document["t"] for _, document in CASES} == job_event_tags()


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"t": "stop"}, r"unknown tag 'stop' at `\$\.t`"),
        ({"t": None}, r"unknown tag None at `\$\.t`"),
        ({"run": "3"}, r"TaskEnded: Expected `int`, got `str` - at `\$\.run`"),
        ({"v": None}, r"TaskEnded: Expected `str`, got `null` - at `\$\.v`"),
    ],
)
def test_an_event_of_another_form_is_refused_with_the_fields_name(change: dict[str, Any], text: str) -> None:
    with pytest.raises(MalformedRecordError, match=text):
        decode_job_event({**END_DOCUMENT, **change})


def test_a_missing_field_is_named() -> None:
    with pytest.raises(MalformedRecordError, match="JobCancelled: Object missing required field `id`"):
        decode_job_event({"t": "cancel"})


@pytest.mark.parametrize("document", [None, [], "end", {}])
def test_what_is_no_event_is_refused(document: object) -> None:
    with pytest.raises(MalformedRecordError, match="unknown tag None"):
        decode_job_event(document)


def test_events_of_releases_without_times_are_read() -> None:
    event = decode_job_event({"t": "cancel", "id": "a"})
    assert event == JobCancelled(job_id="a", cancelled_at_ms=0)
