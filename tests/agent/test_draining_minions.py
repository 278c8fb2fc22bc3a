"""Minions that are to end: announced by a heartbeat, or with nothing before their DELETE."""

from typing import Any

from tests.support.agent_harness import MINION, TASK, AgentHarness
from yarrowloom.agent.failure_detector import SLACK_S, SLOW_CLOCK_FACTOR
from yarrowloom.agent.minion import Phase
from yarrowloom.transport.message_kinds import Kind

HOLD_S = 4.0 * SLOW_CLOCK_FACTOR + SLACK_S


def start_task(harness: AgentHarness) -> list[Any]:
    """A task is started on the minion; what its heartbeats list from now on."""
    harness.order(lease_id=harness.request_lease())
    assert harness.heartbeat()["started"][0][0] == TASK
    running = [[TASK, 1, "", 10]]
    harness.heartbeat(running=running)
    return running


def test_minion_that_sends_delete_first_is_not_lost_while_it_serves_on(harness: AgentHarness) -> None:
    """It was called lost 1.5 s after its DELETE, and what it ran was started elsewhere while it still ran there."""
    running = start_task(harness)
    for number in range(2):  # sent again after a lost response
        harness.agent.on_leaving(minion_id=MINION, call=f"delete-{number}")
    for percent in range(20, 90, 10):
        harness.environment.now += 0.5
        running[0][3] = percent
        harness.heartbeat(running=running)
        assert harness.minion.phase is Phase.KNOWN
        assert harness.request_leases(group_id=2) == []
    harness.heartbeat(finished=[[1, TASK, 1, "done", ""]])
    assert harness.environment.last(Kind.TASK_ENDS)["x"] == [[1, TASK, 1, "done", ""]]
    assert not harness.environment.has_sent(Kind.MINION_LOST)
    silent_since = harness.environment.now
    while harness.minion.phase is not Phase.LOST:
        harness.tick()
    assert HOLD_S - 0.3 <= harness.environment.now - silent_since <= HOLD_S + 0.7


def test_minion_that_drained_and_then_sends_delete_is_lost_soon(harness: AgentHarness) -> None:
    running = start_task(harness)
    harness.heartbeat(running=running, state="draining")
    harness.agent.on_leaving(minion_id=MINION, call="delete")
    left_at = harness.environment.now
    while harness.minion.phase is not Phase.LOST:
        harness.tick()
    assert harness.environment.now - left_at < 2.0


def test_late_heartbeat_after_the_delete_does_not_open_the_minion_again(harness: AgentHarness) -> None:
    harness.agent.on_leaving(minion_id=MINION, call="delete")
    harness.heartbeat()
    assert harness.minion.is_draining
    assert harness.request_leases(group_id=2) == []
    harness.call_number -= 1  # an earlier call that comes late
    harness.heartbeat()
    assert harness.minion.is_draining
    assert harness.request_leases(group_id=2) == []


def test_run_that_cannot_end_before_its_minion_leaves_is_stopped(harness: AgentHarness) -> None:
    running = start_task(harness)
    harness.environment.now += 1.0
    running[0][3] = 12
    response = harness.heartbeat(running=running, state="draining", **{"leave-at-ms": 2000})
    assert response["stopped"] == [[TASK, 1]]
