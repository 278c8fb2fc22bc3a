"""Heartbeats as published: what is taken, what is refused, and that a refused one changes nothing."""

from typing import Any

import orjson
import pytest

from yarrowloom.agent.heartbeat import (
    HeartbeatCapacity,
    HeartbeatResponse,
    ListedRun,
    TaskToStart,
    TaskToStop,
    parse_heartbeat,
)
from yarrowloom.agent.messages import TaskEnd
from yarrowloom.common.records import MalformedRecordError
from yarrowloom.simulator.configured_cluster import cluster

WHOLE: dict[str, Any] = {
    "backend": "svc",
    "address": "i-0:1",
    "zone": "z0",
    "config-version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "call-seq": 7,
    "clock-ms": 482113,
    "capacity": {"cpus": 4000, "mem-mb": 8000, "gpus": 0},
    "labels": ["a", "r1"],
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}


def test_whole_heartbeat_is_taken() -> None:
    heartbeat = parse_heartbeat(document=WHOLE)
    assert (heartbeat.call_number, heartbeat.service, heartbeat.zone) == (7, "svc", "z0")
    assert heartbeat.capacity.resources == (4000, 8000, 0)
    assert heartbeat.running == [ListedRun(task="5c0e7a21d94b36f8.0.1.17", run=2, checkpoint="00000bb8", percent=41.0)]
    assert heartbeat.finished == [
        TaskEnd(number=58, task="5c0e7a21d94b36f8.0.1.9", run=1, outcome="done", checkpoint="")
    ]


def test_missing_fields_have_defaults() -> None:
    heartbeat = parse_heartbeat(document={})
    assert heartbeat.capacity == HeartbeatCapacity(millicores=0, memory_mb=0, gpus=0)
    assert heartbeat.running == []
    assert heartbeat.finished == []
    assert heartbeat.state is None


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("call-seq", "7", 7),
        ("call-seq", 7.0, 7),
        ("leave-at-ms", None, None),
        ("leave-at-ms", "1500", 1500.0),
        ("running", [["t", 1]], [ListedRun(task="t", run=1)]),
        ("running", [["t", "1", "", "50", "more"]], [ListedRun(task="t", run=1, percent=50.0)]),
        ("finished", [[1, "t", 1, "done"]], [TaskEnd(number=1, task="t", run=1, outcome="done")]),
    ],
)
def test_short_rows_and_numbers_as_text_are_taken(key: str, value: object, expected: object) -> None:
    field = {
        "call-seq": "call_number",
        "leave-at-ms": "leaves_in_ms",
        "running": "running",
        "finished": "finished",
    }[key]
    assert getattr(parse_heartbeat(document={key: value}), field) == expected


MALFORMED = [
    ("call-seq", "seven", "$.call-seq"),
    ("backend", 5, "$.backend"),
    ("labels", "a", "$.labels"),
    ("labels", [1], r"$.labels[0]"),
    ("capacity", {"cpus": "many"}, "$.capacity.cpus"),
    ("capacity", {"mem-mb": "123456789012345678901"}, "$.capacity.mem-mb"),
    ("call-seq", 2**60, "$.call-seq"),
    ("running", [["t", 2**60]], "$.running[0][1]"),
    ("finished", [[2**60, "t", 1, "done", ""]], "$.finished[0][0]"),
    ("running", 3, "$.running"),
    ("running", [["t"]], "$.running[0]"),
    ("running", [["t", 1], ["u", "x"]], "$.running[1][1]"),
    ("finished", [[None, "t", 1, "done", ""]], "$.finished[0][0]"),
    ("leave-at-ms", "soon", "$.leave-at-ms"),
]


@pytest.mark.parametrize(("key", "value", "place"), MALFORMED)
def test_malformed_field_is_refused_by_its_name(key: str, value: object, place: str) -> None:
    with pytest.raises(MalformedRecordError) as caught:
        parse_heartbeat(document={**WHOLE, key: value})
    assert place in caught.value.text


def test_malformed_heartbeat_is_answered_400_and_changes_nothing() -> None:
    sim, oracle, _, _ = cluster(seed=560)
    ip, node = next((ip, sim.core(ip)) for ip in sim.core_ips if "i-0" in sim.core(ip).agent.minions)
    minion = node.agent.minions["i-0"]
    for key, value, place in MALFORMED:
        before = (minion.last_call_number, minion.capacity, dict(minion.listed_runs), dict(minion.ends), minion.phase)
        document = {**WHOLE, "call-seq": minion.last_call_number + 1, key: value}
        status, answer = sim.ask(ip=ip, method="PUT", path="/minions/i-0", document=document)
        assert status == 400
        assert place in answer["text"]
        assert answer["error"] == "not a beat"
        after = (minion.last_call_number, minion.capacity, dict(minion.listed_runs), dict(minion.ends), minion.phase)
        assert before[1:] == after[1:]
    sim.run(seconds=3.0)
    assert oracle.broken == []


@pytest.mark.parametrize(("key", "value", "place"), MALFORMED)
def test_malformed_heartbeat_of_an_unknown_minion_is_answered_400(key: str, value: object, place: str) -> None:
    """Labels that are no list once raised a TypeError out of the node, which nothing caught."""
    sim, _, _, _ = cluster(seed=561, minions=1)
    for ip in sim.core_ips:
        status, answer = sim.ask(ip=ip, method="PUT", path="/minions/i-new", document={**WHOLE, key: value})
        assert status == 400
        assert place in answer["text"]
    assert not any("i-new" in sim.core(ip).agent.minions for ip in sim.core_ips)


def test_response_has_the_published_keys() -> None:
    response = HeartbeatResponse(
        fence=3,
        hold_ms=4000,
        last_acknowledged_end=58,
        started=[TaskToStart(task="t", run=1, spec="spec", checkpoint="")],
        stopped=[TaskToStop(task="u", run=2)],
        retry_after_ms=200,
    ).http_response()
    assert response.status == 200
    assert response.headers == (("content-type", "application/json"),)
    assert orjson.loads(response.body) == {
        "fence-no": 3,
        "hold-ms": 4000,
        "last-seen": 58,
        "started": [["t", 1, "spec", ""]],
        "stopped": [["u", 2]],
        "retry-after-ms": 200,
    }


def test_response_leaves_out_what_is_unset() -> None:
    assert HeartbeatResponse(fence=3).document() == {"fence-no": 3}
