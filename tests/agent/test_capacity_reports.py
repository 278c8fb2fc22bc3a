"""What agents tell of their free capacity, and the redirects that they name by it."""

from tests.support.agent_harness import MINION, AgentHarness
from yarrowloom.agent.capacity_reports import IDLE_REPORT_S, SUMMARY_VALID_S
from yarrowloom.agent.messages import CapacityRequest, CapacitySummary
from yarrowloom.common.records import decode
from yarrowloom.transport.message_kinds import Kind

ROW = [8000, 8000, 0, ["a", "r"], [8000, 8000, 0], "k"]


def hear_summary(harness: AgentHarness, *, row: list[object]) -> None:
    message = decode({"u": "other", "v": {"s": [row]}}, into=CapacitySummary)
    harness.agent.on_capacity_summary(message)


def test_lease_is_reported_to_schedulers(harness: AgentHarness) -> None:
    harness.tick()
    harness.environment.sent.clear()
    harness.request_lease()
    harness.tick()
    reports = [body for _, kind, body in harness.environment.sent if kind is Kind.CAPACITY_REPORT and "g" in body]
    assert [(body["g"], body["x"]) for body in reports] == [
        (group_id, [[MINION, 3000, 7990, 2]]) for group_id in (1, 2)
    ]


def test_something_is_reported_even_if_nothing_changed(harness: AgentHarness) -> None:
    harness.tick()
    harness.environment.sent.clear()
    harness.environment.now += IDLE_REPORT_S
    harness.tick()
    assert harness.environment.has_sent(Kind.CAPACITY_REPORT)


def test_scheduler_that_asks_is_told_of_all_open_minions(harness: AgentHarness) -> None:
    harness.tick()
    harness.environment.sent.clear()
    harness.deliver(CapacityRequest, {"g": 2})
    assert harness.environment.sent == [
        ("p2", Kind.CAPACITY_REPORT, {"u": "me", "g": 2, "x": [[MINION, 4000, 8000, 2]], "shut": []})
    ]


def test_request_beyond_what_is_free_is_redirected_to_an_agent_with_room(harness: AgentHarness) -> None:
    hear_summary(harness, row=ROW)
    assert harness.request_leases(group_id=2, millicores=5000) == []
    assert harness.environment.last(Kind.LEASE_GRANT)["to"] == "other"


def test_no_redirect_to_an_agent_without_room_or_with_an_old_summary(harness: AgentHarness) -> None:
    hear_summary(harness, row=[100, *ROW[1:]])
    harness.request_leases(group_id=2, millicores=5000)
    assert harness.environment.last(Kind.LEASE_GRANT)["to"] == ""
    hear_summary(harness, row=ROW)
    harness.environment.now += SUMMARY_VALID_S
    harness.request_leases(group_id=2, millicores=5000)
    assert harness.environment.last(Kind.LEASE_GRANT)["to"] == ""
