"""When a heartbeat is answered, and with what."""

import pytest

from tests.support.agent_harness import FENCE, MINION, TASK, AgentHarness
from yarrowloom.agent.heartbeat import parse_heartbeat
from yarrowloom.agent.heartbeat_response import (
    CHANGING_RETRY_MS,
    ENDS_WAIT_S,
    FREE_RETRY_MS,
    FULL_RETRY_MS,
    IDLE_RETRY_MS,
    IDLE_WAIT_S,
)
from yarrowloom.agent.messages import TaskEndsAcknowledged


def test_idle_minion_waits_for_an_order_and_gets_it_at_once(harness: AgentHarness) -> None:
    lease_id = harness.request_lease()
    received_at = harness.environment.now
    assert harness.heartbeat()["retry-after-ms"] == IDLE_RETRY_MS
    assert harness.environment.now - received_at >= IDLE_WAIT_S
    harness.order(lease_id=lease_id)
    received_at = harness.environment.now
    assert harness.heartbeat()["started"] == [[TASK, 1, "spec", ""]]
    assert harness.environment.now == received_at


def test_heartbeat_with_ends_is_answered_once_they_are_acknowledged(harness: AgentHarness) -> None:
    received_at = harness.environment.now
    response = harness.heartbeat(finished=[[1, TASK, 1, "done", ""]])
    assert response["last-seen"] == 0
    assert harness.environment.now - received_at >= ENDS_WAIT_S
    harness.deliver(TaskEndsAcknowledged, {"g": 2, "m": MINION, "f": FENCE, "x": [[1, TASK, 1]]})
    assert harness.heartbeat(running=[[TASK, 2, "", 1]])["last-seen"] == 1


@pytest.mark.parametrize(
    ("millicores", "state", "retry_after_ms"),
    [(1000, "ready", FREE_RETRY_MS), (4000, "ready", FULL_RETRY_MS), (1000, "draining", CHANGING_RETRY_MS)],
)
def test_next_heartbeat_is_sooner_the_more_may_change(
    harness: AgentHarness, millicores: int, state: str, retry_after_ms: int
) -> None:
    harness.attach(group_id=2, attachment=2)
    harness.heartbeat(running=[[TASK, 1, "", 10]])
    harness.attach(group_id=2, attachment=3, runs=[[TASK, 1, millicores, 10, 0, -1]])
    response = harness.heartbeat(running=[[TASK, 1, "", 10]], state=state, **{"leave-at-ms": 9e12})
    assert response["retry-after-ms"] == retry_after_ms


def test_repeated_heartbeat_is_answered_with_the_fence_alone(harness: AgentHarness) -> None:
    harness.heartbeat()
    harness.call_number -= 1
    harness.environment.responses.clear()
    assert harness.heartbeat() == {"fence-no": FENCE}


def test_heartbeat_that_waits_is_sent_elsewhere_when_its_minion_is_removed(harness: AgentHarness) -> None:
    call_number = harness.call_number + 1
    heartbeat = parse_heartbeat(document={"call-seq": call_number, "backend": "s", "zone": "z"})
    harness.agent.on_heartbeat(minion_id=MINION, heartbeat=heartbeat, call=call_number)
    assert call_number not in harness.environment.responses
    harness.agent.remove_minion(minion_id=MINION)
    assert harness.environment.responses[call_number].status == 503
