"""Submissions: what is accepted, and the findings about what is not, with their places and texts."""

from typing import Any

import orjson
import pytest

from yarrowloom.common.errors import InvalidInputError
from yarrowloom.jobs.submission import MAX_STEPS, Step, parse_submission

ONE = {"task-count": 1}


def parse(document: object) -> list[str]:
    """The findings about a body, empty if it is accepted."""
    try:
        parse_submission(body=orjson.dumps(document))
    except InvalidInputError as error:
        return [str(finding) for finding in error.findings]
    return []


def test_every_published_field_reaches_the_step() -> None:
    stage = {
        "task-count": 3,
        "cpus": 500,
        "mem-mb": 64,
        "gpus": 1,
        "estimate-ms": 900,
        "anti-affinity": 2,
        "checkpoints": True,
        "gang": True,
        "same-rack": True,
        "duplicate": True,
        "long-running": True,
        "requires": "a",
        "affinity": "b",
        "depends-on": [0, 0],
    }
    document = {"task-spec": "x", "stages": [ONE, stage], "first-run-ms": 5, "period-ms": 6, "repeat-count": 7.0}
    submission = parse_submission(body=orjson.dumps(document))
    assert submission.spec == "x"
    assert (submission.first_run_ms, submission.period_ms, submission.repeat_count) == (5, 6, 7)
    assert submission.steps[1] == Step(
        task_count=3,
        cpu_millicores=500,
        memory_mb=64,
        gpus=1,
        estimate_ms=900,
        max_per_minion=2,
        takes_checkpoints=True,
        is_gang=True,
        prefers_same_rack=True,
        may_be_duplicated=True,
        is_long_running=True,
        required_label="a",
        preferred_label="b",
        depends_on=[0],
    )


@pytest.mark.parametrize(
    ("stage", "finding"),
    [
        (7, "stages[0]: not an object"),
        ({"task-count": 0}, "stages[0].task-count: not from 1 to 20000"),
        ({}, "stages[0].task-count: not from 1 to 20000"),
        ({**ONE, "cpus": 1.5}, "stages[0].cpus: not a whole number"),
        ({**ONE, "mem-mb": True}, "stages[0].mem-mb: not a whole number"),
        ({**ONE, "gpus": -1}, "stages[0].gpus: not from 0 to 1048576"),
        ({**ONE, "gang": 1}, "stages[0].gang: not true or false"),
        ({**ONE, "requires": 1}, "stages[0].requires: not a text"),
        ({**ONE, "depends-on": "x"}, "stages[0].depends-on: not a list of whole numbers"),
        ({**ONE, "depends-on": [True]}, "stages[0].depends-on: not a list of whole numbers"),
        ({**ONE, "depends-on": [0]}, "stages[0].depends-on: names a step that is not earlier"),
    ],
)
def test_a_wrong_field_of_a_stage_is_named(stage: object, finding: str) -> None:
    assert parse({"task-spec": "x", "stages": [stage]}) == [finding]


@pytest.mark.parametrize(
    ("change", "finding"),
    [
        ({"task-spec": 1}, "task-spec: missing or not a text"),
        ({"task-spec": "x" * 4001}, "task-spec: longer than 4000 bytes"),
        ({"stages": []}, "stages: not a list of 1 to 256"),
        ({"stages": [ONE] * (MAX_STEPS + 1)}, "stages: not a list of 1 to 256"),
        ({"stages": [{"task-count": 20000}, ONE]}, "stages: more than 20000 tasks"),
        ({"first-run-ms": -1}, "first-run-ms: not a whole number of 0 or more"),
        ({"period-ms": "1"}, "period-ms: not a whole number of 0 or more"),
        ({"repeat-count": 0.5}, "repeat-count: not a whole number of 0 or more"),
    ],
)
def test_a_wrong_field_of_a_job_is_named(change: dict[str, Any], finding: str) -> None:
    assert parse({"task-spec": "x", "stages": [ONE], **change}) == [finding]


def test_all_findings_are_told_in_the_order_of_the_fields() -> None:
    document = {"stages": [{"task-count": 0, "gang": 0, "cpus": "1"}, {**ONE, "affinity": 4}], "period-ms": -1}
    assert parse(document) == [
        "task-spec: missing or not a text",
        "stages[0].task-count: not from 1 to 20000",
        "stages[0].cpus: not a whole number",
        "stages[0].gang: not true or false",
        "stages[1].affinity: not a text",
        "period-ms: not a whole number of 0 or more",
    ]


@pytest.mark.parametrize(("body", "text"), [(b"{", "unreadable"), (b"[1]", "not an object")])
def test_a_body_that_is_no_object_is_refused(body: bytes, text: str) -> None:
    with pytest.raises(InvalidInputError) as caught:
        parse_submission(body=body)
    assert caught.value.text == text
    assert [finding.place for finding in caught.value.findings] == ["(body)"]
