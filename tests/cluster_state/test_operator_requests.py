"""Operator requests: repeats, races, malformed ones and delayed copies, evaluated by the registry alone."""

import random
from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.operator_requests import MAX_ACCEPTED_CHANGES, MAX_ZONES
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.common.errors import InvalidInputError, StaleVersionError, UnknownOutcomeError, YarrowError
from yarrowloom.simulator.sample_config import config

DEEP = "[" * 300 + "]" * 300


def raw(document: Any) -> bytes:
    return orjson.dumps(document)


def submit(registry: Registry, *, base: object, body: bytes, method: str = "PUT") -> str:
    """How a request ends: `taken`, `again`, or the error's code."""
    try:
        event = registry.evaluate_config_request(method=method, if_match=None if base is None else str(base), body=body)
    except YarrowError as err:
        if err.status == 400 and not err.findings:
            pytest.fail("refused without a finding")
        return err.code
    if event is None:
        return "again"
    registry.apply(orjson.loads(event.encoded()))
    return "taken"


def patch(*, version: int, name: str = "fast") -> bytes:
    row = {**config(version=1)["route-table"][0], "name": name, "path-prefix": f"/{name}/", "max-tries": version % 7}
    return raw({"config-version": version, "upserts": {"route-table": [row]}})


def new_registry(*, changes: int) -> Registry:
    """A registry after so many changes, version by version."""
    registry = Registry()
    assert submit(registry, base=0, body=raw(config(version=1))) == "taken"
    for version in range(2, changes + 1):
        assert submit(registry, base=version - 1, body=patch(version=version), method="PATCH") == "taken"
    return registry


@pytest.mark.parametrize("changes", [2, 200, 300, 700, MAX_ACCEPTED_CHANGES + 1])
def test_a_repeat_is_known_after_hundreds_of_other_changes(changes: int) -> None:
    registry = new_registry(changes=changes)
    assert submit(registry, base=1, body=patch(version=2), method="PATCH") == "again"
    assert registry.config_version == changes


def test_a_repeat_that_is_not_known_any_more_is_never_refused() -> None:
    registry = new_registry(changes=MAX_ACCEPTED_CHANGES + 40)
    for version in range(2, registry.config_version + 1):
        how = submit(registry, base=version - 1, body=patch(version=version), method="PATCH")
        assert how == ("again" if version > 40 else "unclear")
    assert submit(registry, base=0, body=raw(config(version=1))) == "unclear"
    assert submit(registry, base=3, body=patch(version=registry.config_version + 1), method="PATCH") == "stale-base"
    assert submit(registry, base=50, body=raw(config(version=51))) == "stale-base"
    assert submit(registry, base=registry.config_version, body=raw(config(version=5))) == "invalid"
    assert (
        submit(registry, base=registry.config_version, body=raw(config(version=registry.config_version))) == "invalid"
    )
    assert submit(registry, base=registry.config_version + 9, body=raw(config(version=5))) == "stale-base"


def test_what_is_known_of_requests_survives_a_snapshot() -> None:
    registry, twin = new_registry(changes=MAX_ACCEPTED_CHANGES + 2), Registry()
    twin.load(orjson.loads(orjson.dumps(registry.dump())))
    assert twin.dump() == registry.dump()
    assert submit(twin, base=1, body=patch(version=2), method="PATCH") == "unclear"
    assert submit(twin, base=2, body=patch(version=3), method="PATCH") == "again"
    assert len(orjson.dumps(registry.accepted_changes.snapshot().document())) < 46_000


def test_a_state_without_these_memories_is_read_and_makes_no_claims() -> None:
    registry, twin = new_registry(changes=5), Registry()
    old = {key: val for key, val in registry.dump().items() if key not in ("changes", "zones")}
    twin.load({**old, "calls": ["x"]})
    assert submit(twin, base=3, body=patch(version=4), method="PATCH") == "unclear"
    assert submit(twin, base=5, body=patch(version=6), method="PATCH") == "taken"
    assert submit(twin, base=5, body=patch(version=6), method="PATCH") == "again"


def test_identical_bodies_are_one_request_and_one_number_is_never_given_twice() -> None:
    registry = new_registry(changes=4)
    body = raw(config(version=9))
    assert [submit(registry, base=4, body=body), submit(registry, base='"4"', body=body)] == ["taken", "again"]
    other = raw(config(version=9, tries=2))
    assert submit(registry, base=4, body=other) == "stale-base"
    assert submit(registry, base=9, body=other) == "invalid"
    assert submit(registry, base=4, body=body, method="PATCH") == "stale-base"
    assert submit(registry, base=3, body=body) == "stale-base"


def test_put_and_patch_with_the_same_result_are_two_requests() -> None:
    registry = new_registry(changes=4)
    assert submit(registry, base=4, body=patch(version=6), method="PATCH") == "taken"
    assert submit(registry, base=4, body=raw(registry.config)) == "stale-base"
    assert submit(registry, base=4, body=patch(version=6), method="PATCH") == "again"


def bad_requests(*, current: dict[str, Any]) -> dict[str, bytes]:
    """One body of each kind that is wrong, on top of the current version."""
    version = current["config-version"] + 2
    route, service = current["route-table"][0], current["service-table"]
    good = {**current, "config-version": version}
    rows = {
        "unknown_service": [{**route, "backend": "none"}],
        "no_timeout": [{**route, "deadline-ms": 0}],
        "same_place": [route, {**route, "name": "other"}],
        "shared_key": [route, {**route, "path-prefix": "/o/"}],
        "no_weight": [{**route, "max-tries": -1}],
    }
    bodies = {kind: raw({**good, "route-table": table, "service-table": service}) for kind, table in rows.items()}
    return {
        **bodies,
        "cut_short": raw(good)[:-9],
        "old_version": raw({**good, "config-version": 1}),
        "same_version": raw({**good, "config-version": version - 2}),
    }


@pytest.mark.parametrize("changes", [3, MAX_ACCEPTED_CHANGES + 9])
def test_bad_requests_are_refused_at_once(changes: int) -> None:
    registry = new_registry(changes=changes)
    assert registry.config is not None
    before = orjson.dumps(registry.dump())
    for kind, body in bad_requests(current=registry.config).items():
        for _ in range(2):
            assert submit(registry, base=registry.config_version, body=body) == "invalid", kind
    assert (
        submit(registry, base=registry.config_version - 1, body=raw(config(version=registry.config_version + 1)))
        == "stale-base"
    )
    assert orjson.dumps(registry.dump()) == before


@pytest.mark.parametrize(
    ("header", "how"),
    [
        ("3", "taken"),
        ('"3"', "taken"),
        (" 3 ", "taken"),
        ('  "3"', "taken"),
        ("03", "taken"),
        (None, "invalid"),
        ("", "invalid"),
        ("x", "invalid"),
        ("3.0", "invalid"),
        ("-1", "invalid"),
        ("+3", "invalid"),
        ("1_0", "invalid"),
        ('"3', "invalid"),
        ('3"', "invalid"),
        ('""3""', "invalid"),
        ('W/"3"', "invalid"),
        ("*", "invalid"),
        ("\u0663", "invalid"),
        ("9" * 30, "stale-base"),
        ("9" * 5000, "invalid"),
        ("3, 4", "invalid"),
        ("4", "stale-base"),
    ],
)
def test_if_match_takes_a_version_with_or_without_quotes(header: str | None, how: str) -> None:
    registry = new_registry(changes=3)
    assert submit(registry, base=header, body=raw(config(version=5))) == how


@pytest.mark.parametrize(
    "version",
    [
        "7.0",
        "7.5",
        "true",
        "false",
        "null",
        '"7"',
        "-7",
        "0",
        "[]",
        "{}",
        "9007199254740992",
        "18446744073709551615",
        "18446744073709551616",
        "1e20",
        "1e999",
        "NaN",
        "",
    ],
)
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
def test_a_version_that_is_none_is_refused_with_its_place(version: str, method: str) -> None:
    registry = new_registry(changes=3)
    rest = "" if method == "PATCH" else ', "route-table": [], "service-table": []'
    body = f'{{"config-version": {version}{rest}}}'.encode()
    with pytest.raises(InvalidInputError) as err:
        registry.evaluate_config_request(method=method, if_match="3", body=body)
    assert err.value.findings[0].place in ("config-version", "(body)")


@pytest.mark.parametrize(
    "body",
    [
        f'{{"config-version": 7, "route-table": [], "service-table": [], "more": {DEEP}}}',
        f'{{"config-version": 7, "route-table": [], "service-table": [{{"name": "a", "x": {DEEP}}}]}}',
    ],
)
def test_what_could_not_be_written_again_is_refused(body: str) -> None:
    """Nested so deeply, it could be read, but neither logged nor sent: the registry would have been stuck with it."""
    for changes in (0, 3):
        registry = new_registry(changes=changes) if changes else Registry()
        assert submit(registry, base=changes, body=body.encode()) == "invalid"


def test_a_patch_of_deep_items_is_refused() -> None:
    body = f'{{"config-version": 7, "upserts": {{"service-table": [{{"name": "a", "x": {DEEP}}}]}}}}'
    assert submit(new_registry(changes=3), base=3, body=body.encode(), method="PATCH") == "invalid"


@pytest.mark.parametrize("item", ['"fast"', "7", "null", "[]", "{}", '{"name": 7}'])
def test_an_item_that_is_no_object_is_refused(item: str) -> None:
    body = f'{{"config-version": 7, "upserts": {{"route-table": [{item}]}}, "removals": {{"route-table": ["slow"]}}}}'
    assert submit(new_registry(changes=3), base=3, body=body.encode(), method="PATCH") == "invalid"


@pytest.mark.parametrize("seed", range(30))
def test_noise_in_requests_is_evaluated_and_ends_nothing(seed: int) -> None:
    rng, registry = random.Random(seed), new_registry(changes=3)
    values: list[Any] = [None, True, 0, -1, 2**63, 1.5, "", "a", [], {}, [[]], [{}], {"name": 1}, {"route-table": {}}]
    for _ in range(200):
        document: Any = {
            **config(version=registry.config_version + 1),
            "upserts": {"route-table": [rng.choice(values)]},
        }
        for key in rng.sample(sorted(document), 2):
            document[key] = rng.choice(values)
        submit(registry, base=registry.config_version, body=raw(document), method=rng.choice(["PUT", "PATCH"]))
        orjson.dumps(registry.dump())


def evacuate(registry: Registry, *, zone: str, on: bool, known: int) -> str:
    try:
        event = registry.evaluate_evacuation(zone=zone, is_evacuated=on, known_version=known)
    except UnknownOutcomeError as err:
        return "unclear" if err.status == 503 else str(err.status)
    registry.apply_event(event)
    return "taken"


def test_a_delayed_copy_does_not_undo_a_later_evacuation_request() -> None:
    registry = Registry()
    first = registry.registry_version
    assert evacuate(registry, zone="a", on=True, known=first) == "taken"
    second = registry.registry_version
    assert evacuate(registry, zone="a", on=False, known=second) == "taken"
    assert evacuate(registry, zone="a", on=True, known=first) == "unclear"
    assert registry.evacuated_zones == []
    assert evacuate(registry, zone="a", on=True, known=second) == "unclear"
    assert registry.evacuated_zones == []
    assert evacuate(registry, zone="b", on=True, known=first) == "taken"
    assert evacuate(registry, zone="a", on=True, known=registry.registry_version) == "taken"
    assert registry.evacuated_zones == ["a", "b"]


def test_a_request_for_the_present_state_fences_what_was_sent_before() -> None:
    """An unclear DELETE is on its way, the operator thinks better of it and has POST confirmed once more."""
    registry = Registry()
    evacuate(registry, zone="a", on=True, known=0)
    known = registry.registry_version
    assert evacuate(registry, zone="a", on=True, known=known) == "taken"
    assert evacuate(registry, zone="a", on=False, known=known) == "unclear"
    assert registry.evacuated_zones == ["a"]


def test_what_is_known_of_zones_is_bounded_and_survives_a_snapshot() -> None:
    registry = Registry()
    for i in range(MAX_ZONES + 10):
        assert evacuate(registry, zone=f"z{i}", on=False, known=registry.registry_version) == "taken"
    assert evacuate(registry, zone="z0", on=True, known=0) == "unclear"
    assert evacuate(registry, zone="new", on=True, known=0) == "unclear"
    twin = Registry()
    twin.load(orjson.loads(orjson.dumps(registry.dump())))
    assert twin.dump() == registry.dump()
    assert len(orjson.dumps(registry.zone_versions.snapshot().document())) < 10_000
    assert evacuate(twin, zone="z1", on=True, known=3) == "unclear"
    assert evacuate(twin, zone="z1", on=True, known=twin.registry_version) == "taken"


def test_errors_have_the_codes_that_callers_go_by() -> None:
    assert (InvalidInputError.status, StaleVersionError.status, UnknownOutcomeError.status) == (400, 412, 503)
