"""How a guard is shown to be needed: a scenario breaks no rule as the code is, and the guard's rule without it."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.simulated_work import Day, task

Patch = Callable[[pytest.MonkeyPatch], None]


def assert_guard_is_needed(*, rule: str, scenario: Callable[[], Day], remove_guard: Patch) -> None:
    """The scenario breaks nothing as the code is, and the rule once the guard is removed."""
    assert scenario().judge.broken == []
    with pytest.MonkeyPatch.context() as patch:
        remove_guard(patch)
        rules = scenario().judge.rules()
    assert rule in rules, rules


def stream(*, day: Day, seconds: float = 6.0, **more: Any) -> Day:
    """Small jobs for a while, then time for them to end."""
    end = day.sim.now + seconds
    while day.sim.now < end:
        day.job(task(n=4, **more))
        day.sim.run(seconds=0.25)
    settle(day=day)
    return day


def settle(*, day: Day, seconds: float = 12.0) -> None:
    """Let time pass, then close the account of what became of all jobs."""
    day.sim.run(seconds=seconds)
    day.judge.close()
