"""Configurations under random damage and rule by rule: valid, or refused with all findings."""

import random
from typing import Any

import pytest

from tests.support.json_noise import noise
from yarrowloom.cluster_state import config
from yarrowloom.cluster_state.routing_table import RoutingTable
from yarrowloom.common.errors import InvalidInputError

CONF = {
    "config-version": 4,
    "route-table": [
        {"name": "a", "host-name": "h", "path-prefix": "/a/", "deadline-ms": 5, "backend": "s", "rank": 1},
        {"name": "b", "host-name": "h", "path-prefix": "/b/", "deadline-ms": 5, "backend": "s"},
    ],
    "service-table": [{"name": "s"}],
    "limits": {"max-body-bytes": 9},
}


@pytest.mark.parametrize("seed", range(300))
def test_configurations_are_valid_or_refused_with_places(seed: int) -> None:
    rng = random.Random(seed)
    document = noise(rng=rng, document=CONF)
    try:
        good = config.check(document=document)
    except InvalidInputError as err:
        if not err.findings:
            pytest.fail("refused without a finding")
        return
    table = RoutingTable(document=good)
    names = {s["name"] for s in good["service-table"]}
    assert all(route.backend in names and route.deadline_ms > 0 for route in table.routes.values())
    assert len({(route.host_name, route.path_prefix) for route in table.routes.values()}) == len(table.routes)


@pytest.mark.parametrize(
    "change",
    [
        {"route-table": [{**CONF["route-table"][0], "backend": "none"}]},  # type: ignore[index]
        {"route-table": [CONF["route-table"][0], {**CONF["route-table"][0], "name": "c"}]},  # type: ignore[index]
        {"route-table": [{**CONF["route-table"][0], "deadline-ms": 0}]},  # type: ignore[index]
        {"route-table": [{**CONF["route-table"][0], "deadline-ms": 1e-300}]},  # type: ignore[index]
        {"route-table": [{**CONF["route-table"][0], "deadline-ms": float("nan")}]},  # type: ignore[index]
        {"route-table": [{**CONF["route-table"][0], "deadline-ms": float("inf")}]},  # type: ignore[index]
        {"route-table": [{**CONF["route-table"][0], "target-ms": 1e-300}]},  # type: ignore[index]
        {"config-version": 0},
        {"service-table": None},
        {"limits": {"max-body-bytes": 0}},
    ],
)
def test_a_configuration_that_breaks_one_rule_is_refused(change: dict[str, Any]) -> None:
    config.check(document=CONF)
    with pytest.raises(InvalidInputError):
        config.check(document={**CONF, **change})


# Guards against two routes for one request, of which the one with a port in its host could never be reached.
@pytest.mark.parametrize("host", ["counter.example:80", "Counter.Example", "COUNTER.example:8080"])
def test_routes_that_can_claim_the_same_request_are_refused(host: str) -> None:
    first = {**CONF["route-table"][0], "host-name": "counter.example"}  # type: ignore[index]
    rows = [first, {**first, "name": "other", "host-name": host}]
    with pytest.raises(InvalidInputError) as caught:
        config.check(document={**CONF, "route-table": rows})
    assert [str(finding) for finding in caught.value.findings] == ["route-table[1]: shares host and prefix with [0]"]


def test_all_findings_are_reported_together_in_the_order_of_the_document() -> None:
    rows = [{"name": "a", "path-prefix": "x", "deadline-ms": 0, "backend": "none", "rank": -1}, 7]
    with pytest.raises(InvalidInputError) as caught:
        config.check(document={"config-version": True, "route-table": rows, "service-table": {}, "limits": []})
    assert [str(finding) for finding in caught.value.findings] == [
        f"config-version: missing or not a whole number from 1 to {config.MAX_NUMBER}",
        "service-table: missing or not a list",
        "route-table[1]: not an object",
        "route-table[0].host-name: missing or not a text",
        "route-table[0].path-prefix: does not begin with /",
        "route-table[0].backend: unknown service 'none'",
        "route-table[0].deadline-ms: must be above 0, and at most 2^53",
        "route-table[0].rank: not a number from 0 to 2^53",
        "limits: not an object",
    ]


def test_a_change_reports_all_its_findings() -> None:
    change = {"upserts": {"route-table": [{}, 1], "other": []}, "removals": [], "more": 1}
    with pytest.raises(InvalidInputError) as caught:
        config.patch(base=CONF, change=change)
    assert [finding.place for finding in caught.value.findings] == [
        "upserts.route-table[0]",
        "upserts.route-table[1]",
        "upserts.other",
        "removals",
        "more",
    ]
