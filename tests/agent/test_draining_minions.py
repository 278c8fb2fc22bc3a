"""Minions that are to end: with a notice by a beat, or with nothing before their DELETE."""

from typing import Any

from tests.agent.test_agent import TASK, Rig
from yarrowloom.agent.failure_detector import SLACK_S, SLOW_CLOCK_FACTOR
from yarrowloom.agent.minion import Phase
from yarrowloom.transport.envelope import Kind

HOLD_S = 4.0 * SLOW_CLOCK_FACTOR + SLACK_S


def running(rig: Rig) -> list[Any]:
    """A task is started on the minion; what its beats list from now on."""
    (lease_id, _, _), *_ = rig.ask(group_id=2)
    rig.order(lease_id=lease_id)
    assert rig.beat()["started"][0][0] == TASK
    rows = [[TASK, 1, "", 10]]
    rig.beat(running=rows)
    return rows


def test_a_minion_that_sends_delete_first_is_not_taken_for_gone_while_it_serves_on() -> None:
    """It was called lost 1.5 s after its DELETE, and what it ran was started elsewhere while it still ran there."""
    rig = Rig()
    rows = running(rig)
    for n in range(2):  # sent again after a lost answer
        rig.agent.on_leaving(minion_id="i", call=f"delete-{n}")
    minion = rig.agent.minions["i"]
    for percent in range(20, 90, 10):
        rig.environment.now += 0.5
        rows[0][3] = percent
        rig.beat(running=rows)
        assert minion.phase is Phase.KNOWN
        assert rig.ask(group_id=2) == []
    rig.beat(ends=[[1, TASK, 1, "done", ""]])
    assert rig.environment.last(Kind.TASK_ENDS)["x"] == [[1, TASK, 1, "done", ""]]
    assert not any(kind is Kind.MINION_LOST for _, kind, _ in rig.environment.sent)
    silent = rig.environment.now
    while minion.phase is not Phase.LOST:
        rig.environment.now += 0.05
        rig.agent.tick()
    assert HOLD_S - 0.3 <= rig.environment.now - silent <= HOLD_S + 0.7


def test_a_minion_that_drained_and_then_sends_delete_is_gone_soon() -> None:
    rig = Rig()
    rows = running(rig)
    rig.beat(running=rows, state="draining")
    rig.agent.on_leaving(minion_id="i", call="delete")
    left = rig.environment.now
    while rig.agent.minions["i"].phase is not Phase.LOST:
        rig.environment.now += 0.05
        rig.agent.tick()
    assert rig.environment.now - left < 2.0


def test_a_late_beat_after_the_delete_makes_the_minion_no_candidate_again() -> None:
    rig = Rig()
    rig.agent.on_leaving(minion_id="i", call="delete")
    rig.beat()
    assert rig.agent.minions["i"].is_draining
    assert rig.ask(group_id=2) == []
    rig.seq -= 1  # an earlier call that comes late
    rig.beat()
    assert rig.agent.minions["i"].is_draining
    assert rig.ask(group_id=2) == []
