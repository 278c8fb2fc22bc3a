"""Operators' orders: repeats, races, bad ones and delayed copies, judged by the registry alone."""

import random
from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.operator_requests import CHANGES_MOST, ZONES_MOST
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.common.errors import InvalidError, StampError, UnclearError, YarrowError
from yarrowloom.simulator.minions import config

DEEP = "[" * 300 + "]" * 300


def raw(doc: Any) -> bytes:
    return orjson.dumps(doc)


def order(reg: Registry, *, base: object, body: bytes, method: str = "PUT") -> str:
    """How an order ends: `taken`, `again`, or the error's code."""
    try:
        event = reg.judge(method=method, base=None if base is None else str(base), body=body)
    except YarrowError as err:
        assert err.status != 400 or err.findings
        return err.code
    if event is None:
        return "again"
    reg.apply(orjson.loads(orjson.dumps(event)))
    return "taken"


def patch(*, version: int, name: str = "fast") -> bytes:
    row = {**config(version=1)["route-table"][0], "name": name, "path-prefix": f"/{name}/", "max-tries": version % 7}
    return raw({"config-version": version, "upserts": {"route-table": [row]}})


def registry(*, changes: int) -> Registry:
    """A registry after so many changes, version by version."""
    reg = Registry()
    assert order(reg, base=0, body=raw(config(version=1))) == "taken"
    for version in range(2, changes + 1):
        assert order(reg, base=version - 1, body=patch(version=version), method="PATCH") == "taken"
    return reg


@pytest.mark.parametrize("changes", [2, 200, 300, 700, CHANGES_MOST + 1])
def test_a_repeat_is_known_after_hundreds_of_other_changes(changes: int) -> None:
    reg = registry(changes=changes)
    assert order(reg, base=1, body=patch(version=2), method="PATCH") == "again"
    assert reg.stamp == changes


def test_a_repeat_that_is_not_known_any_more_is_never_refused() -> None:
    reg = registry(changes=CHANGES_MOST + 40)
    for version in range(2, reg.stamp + 1):
        how = order(reg, base=version - 1, body=patch(version=version), method="PATCH")
        assert how == ("again" if version > 40 else "unclear")
    assert order(reg, base=0, body=raw(config(version=1))) == "unclear"
    assert order(reg, base=3, body=patch(version=reg.stamp + 1), method="PATCH") == "stale-base"
    assert order(reg, base=50, body=raw(config(version=51))) == "stale-base"
    assert order(reg, base=reg.stamp, body=raw(config(version=5))) == "invalid"
    assert order(reg, base=reg.stamp, body=raw(config(version=reg.stamp))) == "invalid"
    assert order(reg, base=reg.stamp + 9, body=raw(config(version=5))) == "stale-base"


def test_what_is_known_of_orders_survives_a_snapshot() -> None:
    reg, twin = registry(changes=CHANGES_MOST + 2), Registry()
    twin.load(orjson.loads(orjson.dumps(reg.dump())))
    assert twin.dump() == reg.dump()
    assert order(twin, base=1, body=patch(version=2), method="PATCH") == "unclear"
    assert order(twin, base=2, body=patch(version=3), method="PATCH") == "again"
    assert len(orjson.dumps(reg.changes.dump())) < 46_000


def test_a_state_without_these_memories_is_read_and_makes_no_claims() -> None:
    reg, twin = registry(changes=5), Registry()
    old = {key: val for key, val in reg.dump().items() if key not in ("changes", "zones")}
    twin.load({**old, "calls": ["x"]})
    assert order(twin, base=3, body=patch(version=4), method="PATCH") == "unclear"
    assert order(twin, base=5, body=patch(version=6), method="PATCH") == "taken"
    assert order(twin, base=5, body=patch(version=6), method="PATCH") == "again"


def test_identical_bodies_are_one_order_and_one_number_is_never_given_twice() -> None:
    reg = registry(changes=4)
    body = raw(config(version=9))
    assert [order(reg, base=4, body=body), order(reg, base='"4"', body=body)] == ["taken", "again"]
    other = raw(config(version=9, tries=2))
    assert order(reg, base=4, body=other) == "stale-base"
    assert order(reg, base=9, body=other) == "invalid"
    assert order(reg, base=4, body=body, method="PATCH") == "stale-base"
    assert order(reg, base=3, body=body) == "stale-base"


def test_put_and_patch_with_the_same_result_are_two_orders() -> None:
    reg = registry(changes=4)
    assert order(reg, base=4, body=patch(version=6), method="PATCH") == "taken"
    assert order(reg, base=4, body=raw(reg.conf)) == "stale-base"
    assert order(reg, base=4, body=patch(version=6), method="PATCH") == "again"


def bad_orders(*, current: dict[str, Any]) -> dict[str, bytes]:
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


@pytest.mark.parametrize("changes", [3, CHANGES_MOST + 9])
def test_bad_orders_are_refused_at_once(changes: int) -> None:
    reg = registry(changes=changes)
    assert reg.conf is not None
    before = orjson.dumps(reg.dump())
    for kind, body in bad_orders(current=reg.conf).items():
        for _ in range(2):
            assert order(reg, base=reg.stamp, body=body) == "invalid", kind
    assert order(reg, base=reg.stamp - 1, body=raw(config(version=reg.stamp + 1))) == "stale-base"
    assert orjson.dumps(reg.dump()) == before


@pytest.mark.parametrize(
    "header,how",
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
def test_forms_of_if_match(header: str | None, how: str) -> None:
    reg = registry(changes=3)
    assert order(reg, base=header, body=raw(config(version=5))) == how


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
    reg = registry(changes=3)
    rest = "" if method == "PATCH" else ', "route-table": [], "service-table": []'
    body = f'{{"config-version": {version}{rest}}}'.encode()
    with pytest.raises(InvalidError) as err:
        reg.judge(method=method, base="3", body=body)
    assert [f.place for f in err.value.findings][0] in ("config-version", "(body)")


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
        reg = registry(changes=changes) if changes else Registry()
        assert order(reg, base=changes, body=body.encode()) == "invalid"


def test_a_patch_of_deep_items_is_refused() -> None:
    body = f'{{"config-version": 7, "upserts": {{"service-table": [{{"name": "a", "x": {DEEP}}}]}}}}'
    assert order(registry(changes=3), base=3, body=body.encode(), method="PATCH") == "invalid"


@pytest.mark.parametrize("item", ['"fast"', "7", "null", "[]", "{}", '{"name": 7}'])
def test_an_item_that_is_no_object_is_refused(item: str) -> None:
    body = f'{{"config-version": 7, "upserts": {{"route-table": [{item}]}}, "removals": {{"route-table": ["slow"]}}}}'
    assert order(registry(changes=3), base=3, body=body.encode(), method="PATCH") == "invalid"


@pytest.mark.parametrize("seed", range(30))
def test_noise_in_orders_is_judged_and_ends_nothing(seed: int) -> None:
    rng, reg = random.Random(seed), registry(changes=3)
    values: list[Any] = [None, True, 0, -1, 2**63, 1.5, "", "a", [], {}, [[]], [{}], {"name": 1}, {"route-table": {}}]
    for _ in range(200):
        doc: Any = {**config(version=reg.stamp + 1), "upserts": {"route-table": [rng.choice(values)]}}
        for key in rng.sample(sorted(doc), 2):
            doc[key] = rng.choice(values)
        order(reg, base=reg.stamp, body=raw(doc), method=rng.choice(["PUT", "PATCH"]))
        orjson.dumps(reg.dump())


def evacuate(reg: Registry, *, zone: str, on: bool, known: int) -> str:
    try:
        event = reg.judge_evacuation(zone=zone, on=on, known=known)
    except UnclearError as err:
        assert err.status == 503
        return "unclear"
    reg.apply(event)
    return "taken"


def test_a_delayed_copy_does_not_undo_a_later_evacuation_order() -> None:
    reg = Registry()
    first = reg.mods
    assert evacuate(reg, zone="a", on=True, known=first) == "taken"
    second = reg.mods
    assert evacuate(reg, zone="a", on=False, known=second) == "taken"
    assert evacuate(reg, zone="a", on=True, known=first) == "unclear" and reg.evac == []
    assert evacuate(reg, zone="a", on=True, known=second) == "unclear" and reg.evac == []
    assert evacuate(reg, zone="b", on=True, known=first) == "taken"
    assert evacuate(reg, zone="a", on=True, known=reg.mods) == "taken" and reg.evac == ["a", "b"]


def test_an_order_for_the_present_state_fences_what_was_sent_before() -> None:
    """An unclear DELETE is on its way, the operator thinks better of it and has POST confirmed once more."""
    reg = Registry()
    evacuate(reg, zone="a", on=True, known=0)
    known = reg.mods
    assert evacuate(reg, zone="a", on=True, known=known) == "taken"
    assert evacuate(reg, zone="a", on=False, known=known) == "unclear" and reg.evac == ["a"]


def test_what_is_known_of_zones_is_bounded_and_survives_a_snapshot() -> None:
    reg = Registry()
    for i in range(ZONES_MOST + 10):
        assert evacuate(reg, zone=f"z{i}", on=False, known=reg.mods) == "taken"
    assert evacuate(reg, zone="z0", on=True, known=0) == "unclear"
    assert evacuate(reg, zone="new", on=True, known=0) == "unclear"
    twin = Registry()
    twin.load(orjson.loads(orjson.dumps(reg.dump())))
    assert twin.dump() == reg.dump() and len(orjson.dumps(reg.zones.dump())) < 10_000
    assert evacuate(twin, zone="z1", on=True, known=3) == "unclear"
    assert evacuate(twin, zone="z1", on=True, known=twin.mods) == "taken"


def test_errors_have_the_codes_that_callers_go_by() -> None:
    assert (InvalidError.status, StampError.status, UnclearError.status) == (400, 412, 503)
