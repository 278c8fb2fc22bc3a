"""Ends are reported until their groups have them, and only then acknowledged to the minion."""

from tests.support.agent_harness import FENCE, MINION, TASK, AgentHarness
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


def test_end_of_no_job_is_acknowledged_at_once(harness: AgentHarness) -> None:
    harness.environment.sent.clear()
    assert harness.heartbeat(finished=[[1, "no-task", 1, "done", ""]])["last-seen"] == 1
    assert not harness.environment.has_sent(Kind.TASK_ENDS)
