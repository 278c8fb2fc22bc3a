"""Changes of configurations against whole documents."""

import random

import orjson
import pytest

from tests.cluster_state.documents import changed, route, text, whole
from yarrowloom.cluster_state.config_delta import (
    ConfigDelta,
    ConfigHistory,
    apply_delta,
    config_digest,
    diff,
)
from yarrowloom.common.records import decode


@pytest.mark.parametrize("seed", range(30))
def test_a_delta_applied_gives_the_new_configuration(seed: int) -> None:
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


def test_a_delta_on_another_base_is_refused_by_its_digest() -> None:
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
