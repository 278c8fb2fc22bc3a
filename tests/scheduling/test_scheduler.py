"""Messages and calls that the scheduler cannot read are refused with the field's name, and change nothing."""

from typing import Any

import pytest

from yarrowloom.common.records import MalformedRecordError
from yarrowloom.scheduling.scheduler import Scheduler
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.message_kinds import Kind

MALFORMED: dict[Kind, tuple[dict[str, Any], str]] = {
    Kind.CLAIM_MINIONS: ({"g": 1, "x": [["i-1", "high", "svc", "z", [], [1, 1, 0]]]}, "$.x[0][1]"),
    Kind.ATTACHMENT_VERDICT: ({"g": 1, "n": 1, "seq": 1, "m": "i-1", "f": 1, "x": [["a.0.0.0", None]]}, "$.x[0][1]"),
    Kind.LEASE_GRANT: ({"g": 1, "rid": "1", "x": [], "to": "", "r": [], "size": [1, 1, 0]}, "$.rid"),
    Kind.TASK_ENDS: ({"g": 1, "m": 5, "f": 1, "x": []}, "$.m"),
    Kind.TASKS_BEGUN: ({"g": 1, "m": "i-1", "x": [["a.0.0.0", "one"]]}, "$.x[0][1]"),
    Kind.MINION_LOST: ({"g": 1, "m": "i-1", "f": 1, "v": []}, "$.v"),
    Kind.ORDERS_REJECTED: ({"g": 1, "n": 1}, "`x`"),
    Kind.CAPACITY_REPORT: ({"g": 1, "u": "a", "x": [["i-1", 1000, "much", 0]], "shut": []}, "$.x[0][2]"),
}


@pytest.fixture(scope="module")
def sim() -> Sim:
    simulated, _, _, _ = cluster(seed=8701, minions=3)
    simulated.run(seconds=1.0)
    return simulated


@pytest.fixture
def scheduler(sim: Sim) -> Scheduler:
    return sim.core(sim.serving(group_id=1)[0]).schedulers[1]


@pytest.mark.parametrize("kind", MALFORMED, ids=lambda kind: kind.name)
def test_malformed_message_is_refused_with_its_field_and_changes_nothing(kind: Kind, scheduler: Scheduler) -> None:
    body, field = MALFORMED[kind]
    before = {minion_id: minion.free for minion_id, minion in scheduler.context.capacity.minions.items()}
    with pytest.raises(MalformedRecordError) as caught:
        scheduler.on_message(node_id="a", kind=kind, body=body)
    assert field in caught.value.text
    assert {minion_id: minion.free for minion_id, minion in scheduler.context.capacity.minions.items()} == before


def test_message_of_a_kind_that_is_not_the_schedulers_is_passed_over(scheduler: Scheduler) -> None:
    scheduler.on_message(node_id="a", kind=Kind.LEASE_REQUEST, body={})


@pytest.mark.parametrize(
    ("operation", "arguments", "field"),
    [
        ("get", {"id": 5, "q": "fast"}, "$.id"),
        ("count", {}, "`q`"),
        ("put", {"id": "00000000000000aa", "q": "fast", "j": {"spec": "x"}}, "AcceptedJob"),
    ],
)
def test_malformed_call_is_rejected_with_its_field(
    operation: str, arguments: dict[str, Any], field: str, scheduler: Scheduler, monkeypatch: pytest.MonkeyPatch
) -> None:
    replies: list[dict[str, Any]] = []
    monkeypatch.setattr(scheduler.context.environment, "reply", lambda **fields: replies.append(fields))
    scheduler.call(node_id="edge", request_id=7, operation=operation, arguments=arguments)
    (reply,) = replies
    assert (reply["node_id"], reply["request_id"], reply["status"]) == ("edge", 7, 400)
    assert field in reply["document"]["error"]
    assert "00000000000000aa" not in scheduler.context.jobs.jobs
