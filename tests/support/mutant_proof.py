"""How a guard is proved: a story breaks no rule as the code is, and the guard's rule without it."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.simulated_work import Day, task

Patch = Callable[[pytest.MonkeyPatch], None]


def proof(*, rule: str, story: Callable[[], Day], out: Patch) -> None:
    """The story breaks nothing as it is, and the rule without its guard."""
    assert story().judge.broken == []
    with pytest.MonkeyPatch.context() as patch:
        out(patch)
        rules = story().judge.rules()
    assert rule in rules, rules


def stream(*, day: Day, seconds: float = 6.0, **more: Any) -> Day:
    """Small jobs for a while, then a look at what became of them."""
    end = day.sim.now + seconds
    while day.sim.now < end:
        day.job(task(n=4, **more))
        day.sim.run(seconds=0.25)
    settle(day=day)
    return day


def settle(*, day: Day, seconds: float = 12.0) -> None:
    day.sim.run(seconds=seconds)
    day.judge.close()
