"""Odd values in configurations: each is refused with its place, or the cluster works on with it."""

import copy
from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.config import check
from yarrowloom.common.errors import InvalidInputError
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import config

HUGE, OVER = 1e308, 2**53
TASK: dict[str, Any] = {"task-count": 3, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}
ODD: list[Any] = ["x", None, [], {}, -1, HUGE]


def changed(*, table: str, key: str, value: Any) -> dict[str, Any]:
    document = copy.deepcopy(config(version=9))
    for row in document[table] if isinstance(document[table], list) else [document[table]]:
        row[key] = value
    return document


@pytest.mark.parametrize(
    ("table", "key"),
    [
        *(("route-table", key) for key in ("deadline-ms", "target-ms", "rank", "max-tries", "stretch")),
        *(("limits", key) for key in ("max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms")),
    ],
)
@pytest.mark.parametrize("value", [HUGE, OVER, 2**64 - 1, -1, "1", True, None])
def test_numbers_that_could_not_be_written_again_are_refused(table: str, key: str, value: Any) -> None:
    with pytest.raises(InvalidInputError) as err:
        check(document=orjson.loads(orjson.dumps(changed(table=table, key=key, value=value))))
    assert all(finding.place.startswith(table) and finding.place.endswith(key) for finding in err.value.findings)


@pytest.mark.parametrize(
    ("table", "key", "values"),
    [
        *(("route-table", key, [0.5, 0, OVER - 1, HUGE]) for key in ("target-ms", "rank", "max-tries", "stretch")),
        ("route-table", "deadline-ms", [0.5, OVER - 1, HUGE]),
        *(("service-table", key, ODD) for key in ("guards", "cold-start-s", "conn-limit", "protocol")),
        ("limits", "max-body-bytes", [0.5, 1.5, HUGE]),
    ],
)
def test_the_cluster_works_on_with_what_it_accepts(table: str, key: str, values: list[Any]) -> None:
    sim, oracle, caller, _ = cluster(seed=3)
    version = int(sim.ask(ip=sim.core_ips[0], method="GET", path="/config")[1]["config-version"])
    for value in values:
        document = {**changed(table=table, key=key, value=value), "config-version": version + 1}
        status, _ = sim.ask(
            ip=sim.core_ips[1], method="PUT", path="/config", document=document, headers={"if-match": str(version)}
        )
        assert status in (200, 400)
        version += status == 200
        caller.submit(stages=[TASK])
        sim.run(seconds=2.0)
    assert oracle.broken == []
    assert sim.ask(ip=sim.core_ips[2], method="GET", path="/config")[1]["config-version"] == version
