"""Messages between agents and schedulers: their encoded form, and what is refused."""

from typing import Any

import orjson
import pytest

from yarrowloom.agent import messages
from yarrowloom.common.records import MalformedRecordError, decode
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import Kind

LEASE: dict[str, Any] = {
    "g": 1,
    "rid": 4294967297,
    "svc": "s",
    "cpu": 1000,
    "mem": 10,
    "gpu": 0,
    "req": "",
    "near": "r1",
    "n": 2,
    "been": ["a1"],
    "apart": 0,
    "avoid": {"i": 1},
    "on": [["i", 2]],
}

ENCODED: list[tuple[type[Message], Kind, dict[str, Any]]] = [
    (messages.ClaimMinions, Kind.CLAIM_MINIONS, {"g": 1, "x": [["i", 5, "s", "z", ["a", "r"], [4000, 8000, 2]]]}),
    (
        messages.AttachMinion,
        Kind.ATTACH_MINION,
        {"g": 1, "n": 2, "seq": 3, "m": "i", "f": 5, "x": [["j.0.0.0", 1, 1000, 10, 0, -1]]},
    ),
    (
        messages.AttachmentVerdict,
        Kind.ATTACHMENT_VERDICT,
        {"g": 1, "n": 2, "seq": 3, "m": "i", "f": 5, "x": [["j.0.0.0", 1]]},
    ),
    (messages.LeaseRequest, Kind.LEASE_REQUEST, LEASE),
    (messages.LeaseRequest, Kind.LEASE_REQUEST, {**LEASE, "all": True, "mark": 2.0}),
    (
        messages.LeaseGrant,
        Kind.LEASE_GRANT,
        {"g": 1, "rid": 7, "x": [[9, "i", 3]], "to": "", "r": [["i", -1, 2, 3]], "size": [1000, 10, 0]},
    ),
    (messages.LeaseReturn, Kind.LEASE_RETURN, {"g": 1, "x": [["i", 9]]}),
    (
        messages.TaskOrders,
        Kind.TASK_ORDERS,
        {"g": 1, "n": 2, "sp": {"j": "spec"}, "x": [["i", 3, 9, "j.0.0.0", 1, "", 500]]},
    ),
    (
        messages.AttachMinion,
        Kind.ATTACH_MINION,
        {"g": 1, "n": 2, "seq": 3, "m": "i", "f": 5, "x": [["j.0.0.0", 1, 1000, 10, 0, -1]], "pj": ["j"]},
    ),
    (
        messages.TaskOrders,
        Kind.TASK_ORDERS,
        {"g": 1, "n": 2, "sp": {"j": "spec"}, "x": [["i", 3, 9, "j.0.0.0", 1, "", 500]], "pj": ["j"]},
    ),
    (messages.TasksBegun, Kind.TASKS_BEGUN, {"g": 1, "m": "i", "x": [["j.0.0.0", 1]]}),
    (messages.OrdersRejected, Kind.ORDERS_REJECTED, {"g": 1, "n": 2, "x": [["i", 3, "j.0.0.0", 1]]}),
    (messages.StopTasks, Kind.STOP_TASKS, {"g": 1, "x": [["i", "j.0.0.0", 1]]}),
    (messages.TaskEndsReport, Kind.TASK_ENDS, {"g": 1, "m": "i", "f": 5, "x": [[1, "j.0.0.0", 1, "done", ""]]}),
    (messages.TaskEndsAcknowledged, Kind.TASK_ENDS_ACK, {"g": 1, "m": "i", "f": 5, "x": [[1, "j.0.0.0", 1]]}),
    (messages.MinionLostReport, Kind.MINION_LOST, {"g": 1, "m": "i", "f": 5, "v": {"j.0.0.0": "step-3"}}),
    (messages.MinionLostAcknowledged, Kind.MINION_LOST_ACK, {"g": 1, "m": "i", "f": 5}),
    (messages.CapacityReport, Kind.CAPACITY_REPORT, {"u": "a1", "g": 1, "x": [["i", 1, 2, 3]], "shut": ["k"]}),
    (
        messages.CapacitySummary,
        Kind.CAPACITY_REPORT,
        {"u": "a1", "v": {"s": [[1, 2, 3, ["a", "r"], [4000, 8000, 2], "i"]]}},
    ),
    (messages.CapacityRequest, Kind.CAPACITY_REPORT_REQUEST, {"g": 1}),
]


@pytest.mark.parametrize(("message_type", "kind", "document"), ENCODED)
def test_message_keeps_its_encoded_form(message_type: type[Message], kind: Kind, document: dict[str, Any]) -> None:
    message = decode(document, into=message_type)
    assert message.KIND is kind
    assert orjson.loads(message.encoded()) == document


@pytest.mark.parametrize(("message_type", "kind", "document"), ENCODED)
def test_message_without_its_group_or_sender_is_refused_by_name(
    message_type: type[Message], kind: Kind, document: dict[str, Any]
) -> None:
    first = next(iter(document))
    rest = {key: value for key, value in document.items() if key != first}
    with pytest.raises(MalformedRecordError, match=f"`{first}`"):
        decode(rest, into=message_type)


def test_malformed_row_is_refused_with_its_place() -> None:
    with pytest.raises(MalformedRecordError, match=r"\$\.x\[1\]\[1\]"):
        decode({"g": 1, "x": [["i", 9], ["i", "nine"]]}, into=messages.LeaseReturn)
