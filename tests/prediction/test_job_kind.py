"""Kinds of jobs: what shares a history."""

from typing import Any

import pytest

from tests.support.job_stream import steps
from yarrowloom.prediction import kind_key
from yarrowloom.prediction.job_kind import main_first_step, run_time_key

PLAIN = {"task-count": 2, "cpus": 500, "mem-mb": 64, "estimate-ms": 900}


@pytest.mark.parametrize("change", [{"cpus": 400}, {"task-count": 3}, {"affinity": "r1"}, {"estimate-ms": 1}])
def test_alike_jobs_are_of_one_kind(change: dict[str, Any]) -> None:
    assert kind_key(queue="q", steps=steps({**PLAIN, **change})) == kind_key(queue="q", steps=steps(PLAIN))


@pytest.mark.parametrize(
    "change", [{"cpus": 5000}, {"task-count": 9}, {"requires": "a"}, {"gang": True}, {"long-running": True}]
)
def test_jobs_of_another_form_are_of_another_kind(change: dict[str, Any]) -> None:
    assert kind_key(queue="q", steps=steps({**PLAIN, **change})) != kind_key(queue="q", steps=steps(PLAIN))


def test_steps_and_period_tell_kinds_apart() -> None:
    one = kind_key(queue="q", steps=steps(PLAIN))
    assert kind_key(queue="q", steps=steps(PLAIN, PLAIN)) != one
    assert kind_key(queue="q", steps=steps(PLAIN), period_ms=1000) != one


def test_the_heaviest_step_without_dependencies_stands_for_a_job() -> None:
    later = {**PLAIN, "cpus": 90_000, "depends-on": [0]}
    found = main_first_step(steps=steps(PLAIN, {**PLAIN, "gpus": 1}, later))
    assert found.gpus == 1


def test_run_times_with_and_without_an_estimate_are_kept_apart() -> None:
    (given,), (missing,) = steps(PLAIN), steps({**PLAIN, "estimate-ms": 0})
    assert run_time_key(queue="q", step=given) != run_time_key(queue="q", step=missing)
    assert run_time_key(queue="q", step=given) == run_time_key(queue="q", step=steps({**PLAIN, "cpus": 400})[0])
