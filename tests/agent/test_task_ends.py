"""Ends are reported until their groups have them, and only then acknowledged to the minion."""

import pytest

from tests.support.agent_harness import FENCE, JOB, MINION, TASK, AgentHarness
from yarrowloom.agent.messages import TaskEndsAcknowledged
from yarrowloom.agent.task_ends import REPORT_AGAIN_S
from yarrowloom.transport.message_kinds import Kind


def acknowledge(harness: AgentHarness, *, number: int, run: int) -> None:
    harness.deliver(TaskEndsAcknowledged, {"g": 2, "m": MINION, "f": FENCE, "x": [[number, TASK, run]]})


def test_end_is_acknowledged_only_when_its_group_has_it(harness: AgentHarness) -> None:
    harness.order(lease_id=harness.request_lease())
    harness.heartbeat()
    harness.heartbeat(running=[[TASK, 1, "", 50]])
    assert harness.heartbeat(finished=[[1, TASK, 1, "done", ""]])["last-seen"] == 0
    assert harness.environment.last(Kind.TASK_ENDS)["x"] == [[1, TASK, 1, "done", ""]]
    acknowledge(harness, number=1, run=1)
    assert harness.heartbeat()["last-seen"] == 1


def test_ends_before_a_takeover_do_not_hold_the_acknowledged_number_back(harness: AgentHarness) -> None:
    """A new agent sees only ends from 40 on: the earlier numbers were forgotten under its predecessor."""
    ends = [[40, TASK, 1, "done", ""], [41, TASK, 2, "done", ""]]
    harness.heartbeat(finished=ends)
    acknowledge(harness, number=41, run=2)
    assert harness.heartbeat(finished=ends)["last-seen"] == 0
    acknowledge(harness, number=40, run=1)
    assert harness.heartbeat(finished=ends)["last-seen"] == 41


def test_unacknowledged_end_is_reported_again(harness: AgentHarness) -> None:
    harness.heartbeat(finished=[[1, TASK, 1, "done", ""]])
    harness.environment.sent.clear()
    harness.environment.now += REPORT_AGAIN_S
    harness.tick()
    assert harness.environment.last(Kind.TASK_ENDS)["x"] == [[1, TASK, 1, "done", ""]]


@pytest.mark.parametrize(
    "task",
    [
        "",
        "no-task",
        "....",
        "zzzzzzzzzzzzzzzz.0.0.0",
        f"{JOB}.0.0",
        f"{JOB}.-1.0.0",
        f"{JOB}.0.0.x",
        f"{JOB}.0.0.\u00b3",
        f"{JOB}.0.0.{'9' * 5000}",
    ],
)
def test_end_of_no_task_is_acknowledged_at_once(harness: AgentHarness, task: str) -> None:
    """A job id that is no number in base 16 once raised an error after half of the heartbeat was taken over."""
    harness.environment.sent.clear()
    assert harness.heartbeat(finished=[[1, task, 1, "done", ""]])["last-seen"] == 1
    assert not harness.environment.has_sent(Kind.TASK_ENDS)
