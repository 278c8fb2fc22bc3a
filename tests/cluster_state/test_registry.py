"""The registry: its events as the log holds them, configuration requests, fencing tokens."""

import random
from typing import Any

import orjson
import pytest
from msgspec import UNSET

from tests.cluster_state.documents import changed, route, text, whole
from tests.cluster_state.test_config import CONF
from yarrowloom.cluster_state.config_delta import diff, is_small
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.cluster_state.registry_events import REGISTRY_EVENTS, decode_registry_event
from yarrowloom.common.errors import InvalidInputError, StaleVersionError
from yarrowloom.common.records import MalformedRecordError


@pytest.mark.parametrize("seed", range(8))
def test_a_log_of_deltas_gives_the_same_state_as_whole_configurations(seed: int) -> None:
    """Backup and journal see events as JSON only; an old journal's whole documents still load."""
    rng = random.Random(seed)
    registry, twin = Registry(), Registry()
    document = whole(version=1, routes=20)
    kinds = set()
    for _ in range(40):
        base, method, body = registry.config_version, "PUT", orjson.dumps(document)
        if registry.config is not None and rng.random() < 0.5:
            method = "PATCH"
            body = orjson.dumps(
                {
                    "config-version": document["config-version"],
                    "upserts": {"route-table": [route(rng.randrange(30), rank=rng.randint(0, 9))]},
                    "removals": {"route-table": [f"r{rng.randrange(9)}"]},
                }
            )
        event = registry.evaluate_config_request(method=method, if_match=str(base), body=body)
        assert event is not None
        kinds.add(event.delta is not UNSET)
        registry.apply_event(event)
        assert registry.evaluate_config_request(method=method, if_match=str(base), body=body) is None
        with pytest.raises(StaleVersionError):
            registry.evaluate_config_request(method=method, if_match=str(base), body=body + b" ")
        assert registry.config is not None
        if rng.random() < 0.3:
            twin.apply(orjson.loads(orjson.dumps({"t": "conf", "doc": registry.config, "h": event.request_digest})))
        else:
            twin.apply(orjson.loads(event.encoded()))
        assert text(twin.dump()) == text(registry.dump())
        if method == "PUT":
            assert text(registry.config) == text(document)
        document = changed(rng=rng, document=registry.config)
    assert kinds == {True, False}


def test_one_changed_route_of_510_is_logged_as_such() -> None:
    registry = Registry()
    first = registry.evaluate_config_request(
        method="PUT", if_match="0", body=orjson.dumps(whole(version=1, routes=510))
    )
    assert first is not None
    assert first.config is not UNSET
    registry.apply_event(first)
    for method, body in (
        ("PATCH", {"config-version": 3, "upserts": {"route-table": [route(5, rank=0)]}}),
        ("PUT", {**whole(version=5, routes=511)}),
    ):
        event = registry.evaluate_config_request(
            method=method, if_match=str(registry.config_version), body=orjson.dumps(body)
        )
        assert event is not None
        assert len(event.encoded()) < 800
        registry.apply_event(event)
    assert registry.config_version == 5
    assert is_small(
        delta=diff(old=whole(version=1, routes=4), new=whole(version=2, routes=5)), document=whole(version=2, routes=5)
    )


def test_requests_on_a_stale_base_are_refused_and_repeats_recognised() -> None:
    registry = Registry()

    def put(*, base: str, document: Any, method: str = "PUT") -> str:
        try:
            event = registry.evaluate_config_request(method=method, if_match=base, body=orjson.dumps(document))
        except (InvalidInputError, StaleVersionError) as err:
            return err.code
        if event is None:
            return "again"
        registry.apply_event(event)
        return "ok"

    assert put(base="x", document=CONF) == "invalid"
    assert put(base="1", document=CONF) == "stale-base"
    assert put(base="0", document=CONF) == "ok"
    assert put(base="0", document=CONF) == "again"
    assert put(base="0", document={**CONF, "config-version": 9}) == "stale-base"
    assert put(base="4", document=CONF) == "invalid"
    assert put(base="4", document={"config-version": 6, "removals": {"route-table": ["b"]}}, method="PATCH") == "ok"
    assert registry.config is not None
    assert [r["name"] for r in registry.config["route-table"]] == ["a"]
    assert (
        put(base="4", document={"config-version": 7, "removals": {"route-table": ["a"]}}, method="PATCH")
        == "stale-base"
    )
    assert put(base="0", document=CONF) == "again"
    twin = Registry()
    twin.load(registry.dump())
    assert twin.dump() == registry.dump()


def test_fences_only_rise_and_a_late_loss_does_not_touch_a_new_owner() -> None:
    registry = Registry()
    seen = 0
    for owner in ("a", "b", "a"):
        registry.apply({"t": "own", "ms": [["m", owner, {"site": "z"}]]})
        assert registry.minions["m"].fence > seen
        seen = registry.minions["m"].fence
    registry.apply({"t": "gone", "m": "m", "f": seen - 1})
    assert "m" in registry.minions
    registry.apply({"t": "gone", "m": "m", "f": seen})
    registry.apply({"t": "own", "ms": [["m", "c", {}]]})
    assert registry.minions["m"].fence > seen


MEMBER = {"site": "z1", "name": "n", "ctl": "10.0.0.1:8000"}
DELTA = {"base": 1, "to": 2, "sum": "s", "top": {}, "gone": [], "tables": {"route-table": {"drop": ["a"], "rows": []}}}
EVENTS: list[dict[str, Any]] = [
    {"t": "conf", "h": "digest", "doc": {"config-version": 1, "route-table": [], "service-table": []}},
    {"t": "conf", "h": "digest", "d": DELTA},
    {"t": "evac", "site": "z1", "on": True},
    {"t": "enrol", "uid": "a#1", "info": MEMBER},
    {"t": "drop", "uid": "a#1"},
    {"t": "own", "ms": [["m", "a#1", {"site": "z1", "svc": "s", "labels": ["k"]}], ["n", "a#1", {}]]},
    {"t": "gone", "m": "m", "f": 7},
]


@pytest.mark.parametrize("document", EVENTS)
def test_an_event_is_encoded_as_it_was_read(document: dict[str, Any]) -> None:
    event = decode_registry_event(document)
    assert event.document() == document
    assert orjson.loads(event.encoded()) == document


def test_every_kind_of_event_is_among_the_cases() -> None:
    assert {document["t"] for document in EVENTS} == REGISTRY_EVENTS.tags


@pytest.mark.parametrize(
    ("document", "field"),
    [
        ({"t": "own", "ms": [["m", "a#1", {}], ["n", 7, {}]]}, "$.ms[1][1]"),
        ({"t": "own", "ms": [["m", "a#1", {"labels": [1]}]]}, "$.ms[0][2].labels[0]"),
        ({"t": "enrol", "uid": "a#1", "info": {"site": "z1", "name": "n"}}, "`ctl`"),
        ({"t": "gone", "m": "m", "f": "7"}, "$.f"),
        ({"t": "evac", "site": "z1"}, "`on`"),
        ({"t": "conf", "d": DELTA}, "`h`"),
        ({"t": "other"}, "'other'"),
        ({}, "$.t"),
    ],
)
def test_a_malformed_event_is_refused_with_its_field_and_changes_nothing(document: dict[str, Any], field: str) -> None:
    registry = Registry()
    registry.apply({"t": "own", "ms": [["m", "a#1", {"site": "z1"}]]})
    before = registry.dump()
    with pytest.raises(MalformedRecordError) as caught:
        registry.apply(document)
    assert field in caught.value.text
    assert registry.dump() == before


def test_a_malformed_snapshot_is_refused_with_its_field_and_changes_nothing() -> None:
    registry = Registry()
    registry.apply({"t": "enrol", "uid": "a#1", "info": MEMBER})
    before = registry.dump()
    with pytest.raises(MalformedRecordError, match=r"\$\.fence"):
        registry.load({**before, "fence": "7"})
    assert registry.dump() == before


def test_a_minion_keeps_what_a_new_ownership_does_not_tell_of_it() -> None:
    registry = Registry()
    registry.apply({"t": "own", "ms": [["m", "a#1", {"site": "z1", "svc": "s", "labels": ["k", "r1"]}]]})
    registry.apply({"t": "own", "ms": [["m", "b#1", {"site": "z2"}], ["n", "b#1", {}]]})
    assert registry.dump()["minions"] == {
        "m": {"site": "z2", "svc": "s", "labels": ["k", "r1"], "o": "b#1", "f": 2},
        "n": {"o": "b#1", "f": 3},
    }
    assert registry.minions["m"].placement_domain == ("z2", "r1")
    assert registry.minions["n"].placement_domain == ("", "")
