"""Orders go only through the agent; what becomes of those that went astray."""

import pytest

from tests.support.agent_harness import FENCE, JOB, MINION, TASK, AgentHarness
from yarrowloom.agent.messages import AttachMinion, StopTasks, TaskOrders
from yarrowloom.transport.message_kinds import Kind

RECORDED = [TASK, 1, 1000, 10, 0, 500]


def test_order_goes_only_on_a_lease_of_the_newest_attachment(harness: AgentHarness) -> None:
    lease_id = harness.request_lease()
    harness.order(lease_id=lease_id + 7)
    assert harness.environment.last(Kind.ORDERS_REJECTED)["x"] == [[MINION, 1, TASK, 1]]
    harness.order(lease_id=lease_id, epoch_number=0)
    assert TASK not in harness.minion.runs
    harness.order(lease_id=lease_id)
    assert harness.heartbeat()["started"] == [[TASK, 1, "spec", ""]]


def test_sent_order_survives_a_new_attachment(harness: AgentHarness) -> None:
    harness.order(lease_id=harness.request_lease())
    assert "started" in harness.heartbeat()
    harness.attach(group_id=2, attachment=2, runs=[RECORDED])
    assert harness.environment.last(Kind.ATTACHMENT_VERDICT)["x"] == []


def test_unlisted_order_of_a_former_agent_never_started(harness: AgentHarness) -> None:
    harness.attach(group_id=2, attachment=2, runs=[RECORDED])
    assert harness.environment.last(Kind.ATTACHMENT_VERDICT)["x"] == [[TASK, 1]]


def test_listed_run_of_a_former_agent_is_taken_over_with_a_lease(harness: AgentHarness) -> None:
    harness.heartbeat(running=[[TASK, 1, "", 30]])
    harness.attach(group_id=2, attachment=2, runs=[RECORDED])
    assert harness.environment.last(Kind.ATTACHMENT_VERDICT)["x"] == []
    assert list(harness.minion.free()) == [3000, 7990, 2]
    assert "stopped" not in harness.heartbeat(running=[[TASK, 1, "", 31]])


def test_listed_run_that_no_record_has_is_stopped(harness: AgentHarness) -> None:
    assert harness.heartbeat(running=[[TASK, 1, "", 30]])["stopped"] == [[TASK, 1]]
    assert harness.request_leases(group_id=1) == []


def test_attachment_of_an_older_epoch_changes_nothing(harness: AgentHarness) -> None:
    harness.order(lease_id=harness.request_lease())
    harness.attach(group_id=2, attachment=9, epoch_number=0)
    assert list(harness.minion.runs) == [TASK]


def test_stopped_order_that_was_not_carried_out_is_sent_back(harness: AgentHarness) -> None:
    """Once it hung for ever: neither sent again nor stopped, and its gang waited."""
    harness.order(lease_id=harness.request_lease())
    assert "started" in harness.heartbeat()
    harness.deliver(StopTasks, {"g": 2, "x": [[MINION, TASK, 1]]})
    harness.heartbeat()
    assert harness.environment.last(Kind.ORDERS_REJECTED)["x"] == [[MINION, 1, TASK, 1]]
    assert harness.minion.runs == {}


@pytest.mark.parametrize("reason", ["draining", "evacuated", "not trusted"])
def test_nothing_starts_on_a_draining_or_evacuated_minion_or_without_trust(reason: str) -> None:
    harness = AgentHarness()
    harness.order(lease_id=harness.request_lease())
    if reason == "evacuated":
        harness.environment.evacuated_zones.add("z")
    if reason == "not trusted":
        harness.environment.is_trusted = False
    response = harness.heartbeat(state="draining" if reason == "draining" else "ready")
    assert "started" not in response
    if reason != "not trusted":
        assert harness.environment.last(Kind.ORDERS_REJECTED)["x"][0][2] == TASK
        assert harness.request_leases(group_id=1) == []


def order_of_pending_job(harness: AgentHarness) -> None:
    row = [MINION, 1, harness.request_lease(), TASK, 1, "", 500]
    harness.deliver(TaskOrders, {"g": 2, "n": 1, "sp": {JOB: "spec"}, "x": [row], "pj": [JOB]})


def test_the_begin_of_a_pending_job_is_told_once_a_heartbeat_lists_it(harness: AgentHarness) -> None:
    order_of_pending_job(harness)
    assert "started" in harness.heartbeat()
    assert not harness.environment.has_sent(Kind.TASKS_BEGUN)  # the order is on its way, and may be lost
    harness.heartbeat(running=[[TASK, 1, "", 0]])
    assert harness.environment.last(Kind.TASKS_BEGUN) == {"g": 2, "m": MINION, "x": [[TASK, 1]]}
    harness.environment.sent.clear()
    harness.heartbeat(running=[[TASK, 1, "", 1]])
    assert not harness.environment.has_sent(Kind.TASKS_BEGUN)


@pytest.mark.parametrize("is_pending", [True, False])
def test_a_new_attachment_asks_again_for_begins_that_may_have_been_lost(
    harness: AgentHarness, is_pending: bool
) -> None:
    order_of_pending_job(harness)
    harness.heartbeat()
    harness.heartbeat(running=[[TASK, 1, "", 0]])
    harness.environment.sent.clear()
    attached = {"g": 2, "n": 1, "seq": 2, "m": MINION, "f": FENCE, "x": [RECORDED]}
    harness.deliver(AttachMinion, {**attached, "pj": [JOB]} if is_pending else attached)
    assert harness.environment.has_sent(Kind.TASKS_BEGUN) is is_pending


def test_begins_of_active_jobs_are_not_told(harness: AgentHarness) -> None:
    harness.order(lease_id=harness.request_lease())
    harness.heartbeat()
    harness.heartbeat(running=[[TASK, 1, "", 0]])
    assert not harness.environment.has_sent(Kind.TASKS_BEGUN)
