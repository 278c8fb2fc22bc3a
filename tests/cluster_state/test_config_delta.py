"""Changes of configurations against whole documents, look-ups against a plain scan, the journal of changes."""

import random
from typing import Any

import orjson
import pytest
from msgspec import UNSET

from yarrowloom.cluster_state.config_delta import (
    ConfigDelta,
    ConfigHistory,
    apply_delta,
    config_digest,
    diff,
    is_small,
)
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.cluster_state.routing_table import Route, RoutingTable
from yarrowloom.common.errors import SettingsError, StaleVersionError
from yarrowloom.common.records import decode
from yarrowloom.common.settings import check

Doc = dict[str, Any]


def route(i: int, rank: Any = 1, host: str = "h.example") -> Doc:
    return {
        "name": f"r{i}",
        "host-name": host,
        "path-prefix": f"/q{i}/",
        "deadline-ms": 3000,
        "target-ms": 2000,
        "rank": rank,
        "backend": "svc",
        "max-tries": 3,
        "stretch": 2.0,
    }


def whole(*, version: int, routes: int) -> Doc:
    return {
        "config-version": version,
        "route-table": [route(i) for i in range(routes)],
        "service-table": [{"name": "svc", "guards": True}],
        "limits": {"idle-timeout-ms": 15000},
    }


def changed(*, rng: random.Random, document: Doc) -> Doc:
    """Another configuration: rows changed, added at any place, dropped, now and then in another order."""
    rows = list(document["route-table"])
    for _ in range(rng.randint(0, 4)):
        at = rng.randrange(len(rows) + 1)
        what = rng.choice(["add", "drop", "alter", "alter"])
        if what == "add" or not rows:
            rows.insert(at, route(rng.randrange(10**6)))
        elif what == "drop":
            del rows[at % len(rows)]
        else:
            rows[at % len(rows)] = {**rows[at % len(rows)], "rank": rng.choice([0, 1, 1.0, 2])}
    if rng.random() < 0.1:
        rng.shuffle(rows)
    out = {**document, "config-version": document["config-version"] + rng.randint(1, 3), "route-table": rows}
    if rng.random() < 0.2:
        out["limits"] = {"idle-timeout-ms": rng.randint(1, 9)}
    if rng.random() < 0.1:
        out["extra"] = [1, {"a": rng.random()}]
    elif rng.random() < 0.1:
        out.pop("extra", None)
    if rng.random() < 0.1:
        out["service-table"] = [*out["service-table"], {"name": f"s{rng.randrange(10**6)}", "guards": False}]
    return out


def text(document: Doc) -> bytes:
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


@pytest.mark.parametrize("seed", range(30))
def test_changes_give_the_whole_document(seed: int) -> None:
    rng = random.Random(seed)
    document = whole(version=1, routes=rng.randint(0, 12))
    past, docs = ConfigHistory(), {1: document}
    past.add(document=document)
    for _ in range(80):
        document = orjson.loads(orjson.dumps(changed(rng=rng, document=document)))
        docs[document["config-version"]] = document
        past.add(document=document)
        config_version = rng.choice(list(docs))
        delta = past.delta_since(config_version=config_version)
        if delta is None:
            continue
        wire = decode(orjson.loads(delta.encoded()), into=ConfigDelta)
        assert wire.base_version == config_version
        assert wire.new_version == document["config-version"]
        assert text(apply_delta(document=docs[config_version], delta=wire)) == text(document)
        other = ConfigHistory()
        other.add(document=docs[config_version])
        got = other.apply_delta(delta=wire)
        assert got is not None
        assert text(got) == text(document)
    assert len(past.documents) == ConfigHistory.MAX_VERSIONS
    assert past.delta_since(config_version=1) is None


def test_a_change_that_does_not_fit_is_seen() -> None:
    old, new = whole(version=1, routes=5), whole(version=2, routes=6)
    delta = diff(old=old, new=new)
    past = ConfigHistory()
    past.add(document={**old, "route-table": [route(7), *old["route-table"][1:]]})
    assert past.apply_delta(delta=delta) is None
    past = ConfigHistory()
    past.add(document=whole(version=9, routes=5))
    assert past.apply_delta(delta=delta) is None
    assert config_digest(document=new) == delta.new_digest


def test_a_change_of_one_route_of_many_is_short_and_rows_are_shared() -> None:
    past = ConfigHistory()
    old = past.add(document=whole(version=1, routes=510))
    rows = [*old["route-table"][:200], route(9000), *old["route-table"][201:]]
    fresh = orjson.loads(orjson.dumps({**old, "config-version": 3, "route-table": rows}))
    new = past.add(document=fresh)
    delta = past.delta_since(config_version=1)
    assert delta is not None
    assert len(delta.encoded()) < 600
    assert past.newest_bytes > 70_000
    assert sum(a is b for a, b in zip(old["route-table"], new["route-table"], strict=True)) == 509
    assert past.delta_since(config_version=1) is delta


def test_history_is_bounded_by_rows_that_are_not_shared() -> None:
    past = ConfigHistory()
    for i in range(40):
        past.add(document={**whole(version=i + 1, routes=0), "route-table": [route(n, rank=i) for n in range(510)]})
    assert len(past.documents) <= ConfigHistory.MAX_UNSHARED_ROWS // 510 + 1
    assert past.delta_since(config_version=40) is not None


def scan(*, document: Doc, host: str, path: str) -> Doc | None:
    """The plain rule: of the routes whose host and prefix fit, the one of the longest prefix."""
    rows = [
        r
        for r in document["route-table"]
        if r["host-name"].lower() == host.split(":", 1)[0].lower() and path.startswith(r["path-prefix"])
    ]
    return max(rows, key=lambda r: len(r["path-prefix"]), default=None)


@pytest.mark.parametrize("seed", range(20))
def test_look_ups_are_those_of_a_plain_scan(seed: int) -> None:
    rng = random.Random(seed)

    def piece() -> str:
        return "/" + "".join(rng.choice(["a", "b", "/", "ab", "c/"]) for _ in range(rng.randint(0, 5)))

    rows, seen = [], set()
    for i in range(60):
        host, prefix = rng.choice(["h.example", "H.Other", "x"]), piece()
        if (host.lower(), prefix) not in seen:
            seen.add((host.lower(), prefix))
            rows.append({**route(i, host=host), "path-prefix": prefix})
    document = {**whole(version=1, routes=0), "route-table": rows}
    table = RoutingTable(document=document)
    for _ in range(400):
        host = rng.choice(["h.example", "h.other:80", "X", "none", ""])
        path = piece() + rng.choice(["", piece(), "b"])
        row = scan(document=document, host=host, path=path)
        assert table.select(host=host, path=path) == (None if row is None else Route.from_document(row=row))


def test_a_look_up_costs_one_step_for_each_length_of_prefix() -> None:
    table = RoutingTable(document=whole(version=1, routes=510))
    host = table.hosts["h.example"]
    assert len(host.by_prefix) == 510
    assert host.prefix_lengths == [6, 5, 4]


@pytest.mark.parametrize("seed", range(8))
def test_the_journal_of_changes_gives_the_same_state_as_whole_documents(seed: int) -> None:
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


def test_link_of_the_settings_file_is_checked() -> None:
    document: Doc = {
        "node-name": "n",
        "role": "edge",
        "ip": "10.0.0.1",
        "zone": "a",
        "bind-addrs": {},
        "internal-ports": [7000, 7009],
        "seed-nodes": [],
    }
    assert check(document=document).link_mbps == 1000.0
    assert check(document={**document, "limits": {"link-mbps": 2}}).link_mbps == 2.0
    for bad in (0, -1, "2", True, None):
        with pytest.raises(SettingsError) as err:
            check(document={**document, "limits": {"link-mbps": bad}})
        assert [f.place for f in err.value.findings] == ["limits.link-mbps"]
