"""The judge itself: starts, ends and answers that break a rule, made by hand, and the rule that it names."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.simulated_work import Day, task

JID = "00000000000000aa"
Deed = Callable[[Day], None]


def lone(*stages: dict[str, Any], more: dict[str, int] | None = None) -> Day:
    """A job that only the judge knows, on a cluster whose cores are down."""
    day = Day(seed=6001, minions=4, aux=1)
    for ip in day.sim.core_ips:
        day.sim.kill(ip=ip)
    for m in day.fleet:
        m.hold = day.sim.now + 100
    day.judge.jobs[JID] = {"task-spec": "s", "stages": list(stages), **(more or {})}
    day.judge.queue[JID] = "fast"
    return day


def begin(
    day: Day, at: int = 0, *, i: int = 0, k: int = 0, s: int = 0, run: int = 1, spec: str = "s", saved: str = ""
) -> None:
    day.fleet[at].begin(task=f"{JID}.{k}.{s}.{i}", run=run, spec=spec, saved=saved)


def over(day: Day, at: int = 0, *, i: int = 0, how: str = "done", noted: bool = True) -> None:
    """End a run; its end is noted, or waits."""
    m = day.fleet[at]
    m.end(task=f"{JID}.0.0.{i}", how=how)
    if noted:
        m.answer(document={"fence-no": 9, "last-seen": m.num}, sent=day.sim.now)


def limit(day: Day) -> None:
    for i in range(5):
        begin(day, i=i)


def two_together(day: Day) -> None:
    begin(day, i=0)
    begin(day, i=1)


def twice_alive(day: Day) -> None:
    begin(day, 0)
    begin(day, 1, run=2)


def twice_noted(day: Day) -> None:
    begin(day, 0)
    over(day, 0)
    begin(day, 1, run=2)


def twice_noted_later(day: Day) -> None:
    begin(day, 0)
    over(day, 0, noted=False)
    begin(day, 1, run=2)
    day.fleet[0].answer(document={"fence-no": 9, "last-seen": 1}, sent=day.sim.now)


def budget(day: Day) -> None:
    for run in range(1, 5):
        begin(day, run=run)
        if run < 4:
            over(day, how="failed")


def wrong_text(day: Day) -> None:
    day.judge.texts["ck"] = f"{JID}.0.0.1"
    begin(day, saved="ck")


def after_cancel(day: Day) -> None:
    day.judge.cancelled[JID] = day.sim.now - 4.1
    begin(day)


def runs_on(day: Day) -> None:
    begin(day)
    day.judge.asked.add(JID)
    day.judge.cancelled[JID] = day.sim.now
    day.world.work = 50.0
    day.fleet[0].running[f"{JID}.0.0.0"]["dur"] = 50.0
    day.sim.run(seconds=5.0)


def refused(day: Day) -> None:
    begin(day)
    day.judge.refused.add(JID)
    day.sim.run(seconds=0.5)


def drained(day: Day) -> None:
    day.fleet[0].acked = day.sim.now - 2.6
    begin(day)


def evacuated(day: Day) -> None:
    day.judge.evacuated_zones["z0"] = day.sim.now - 5.1
    begin(day)


def alone(day: Day) -> None:
    begin(day)
    day.sim.run(seconds=4.5)


def apart_texts(day: Day) -> None:
    day.judge.texts |= {"c1": f"{JID}.0.0", "c2": f"{JID}.0.0"}
    begin(day, 0, i=0, saved="c1")
    begin(day, 1, i=1, saved="c2")


def complete(day: Day) -> None:
    begin(day)
    over(day)
    day.judge.shown(job_id=JID, status=200, state="complete", sent=day.sim.now)


def shown(status: int, state: str) -> Deed:
    def deed(day: Day) -> None:
        day.judge.accepted[JID] = day.sim.now - 3.1
        day.judge.shown(job_id=JID, status=status, state=state, sent=day.sim.now)

    return deed


def goes_back(day: Day) -> None:
    begin(day)
    over(day)
    for state in ("complete", "active"):
        day.judge.shown(job_id=JID, status=200, state=state, sent=day.sim.now)


def starves(day: Day) -> None:
    day.judge.accepted[JID] = day.sim.now
    day.sim.run(seconds=3.5)
    day.judge.close()


CASES: list[tuple[str, Deed, dict[str, Any]]] = [
    ("LIMIT", limit, task(n=5)),
    ("TWICE", twice_alive, task()),
    ("TWICE", twice_noted, task()),
    ("TWICE", twice_noted_later, task()),
    ("TWICE", twice_noted, task(gang=True, n=1)),
    ("BUDGET", budget, task()),
    ("BUDGET", budget, task(gang=True)),
    ("ROUTE", begin, task(requires="none")),
    ("ROUTE", lambda day: begin(day, 3), task()),
    ("ROUTE", two_together, task(anti_affinity=1)),
    ("UNASKED", lambda day: begin(day, spec="other"), task()),
    ("UNASKED", wrong_text, task(checkpoints=True)),
    ("UNASKED", after_cancel, task()),
    ("UNASKED", runs_on, task()),
    ("REFUSED", refused, task()),
    ("DRAIN", drained, task()),
    ("EVAC", evacuated, task()),
    ("GANG", alone, task(gang=True)),
    ("GANG", apart_texts, task(gang=True, checkpoints=True)),
    ("MIXED", complete, task(n=2)),
    ("LOST", shown(410, ""), task()),
    ("LOST", shown(200, "failed"), task()),
    ("LOST", shown(200, "cancelled"), task()),
    ("LOST", goes_back, task(n=1)),
    ("LOST", starves, task(n=1)),
]


@pytest.mark.parametrize("case", range(len(CASES)))
def test_the_judge_names_the_rule(case: int) -> None:
    rule, deed, step = CASES[case]
    day = lone(step)
    deed(day)
    assert day.judge.rules() == {rule}


def test_a_step_before_those_it_depends_on_and_a_time_before_it_is_due() -> None:
    day = lone(task(n=2), task(n=1, depends_on=[0]))
    begin(day)
    over(day)
    begin(day, s=1)
    assert day.judge.rules() == {"ORDER"}
    wall_now = int((day.sim.wall0 + day.sim.now) * 1000)
    day = lone(task(), more={"first-run-ms": wall_now, "period-ms": 1000, "repeat-count": 3})
    begin(day, k=0)
    assert day.judge.broken == []
    begin(day, k=1)
    assert day.judge.rules() == {"ORDER"}


def test_what_the_page_of_rules_allows_is_no_breach() -> None:
    """Copies of a `duplicate` step, lasting tasks begun again, ends that a lapsed hold made void, guarded room."""
    day = lone(task(duplicate=True))
    twice_alive(day)
    assert day.judge.broken == []
    day = lone(task(long_running=True))
    budget(day)
    assert day.judge.broken == []
    day = lone(task())
    begin(day, 0)
    over(day, 0, noted=False)
    day.fleet[0].lapsed = day.sim.now + 0.1
    begin(day, 1, run=2)
    day.fleet[0].answer(document={"fence-no": 9, "last-seen": 1}, sent=day.sim.now)
    assert day.judge.broken == []
    day = lone(task(n=5))
    day.fleet[0].guards = True
    limit(day)
    assert day.judge.broken == []
    assert [e[2] for e in day.fleet[0].ends.values()] == ["refused"]
