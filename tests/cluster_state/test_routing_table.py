"""Look-ups of routes against a plain scan of the published table."""

import random

import pytest

from tests.cluster_state.documents import Doc, route, whole
from yarrowloom.cluster_state.routing_table import RequestLimits, Route, RoutingTable


def scan(*, document: Doc, host: str, path: str) -> Doc | None:
    """The plain rule: of the routes whose host and prefix fit, the one of the longest prefix."""
    rows = [
        r
        for r in document["route-table"]
        if r["host-name"].lower() == host.split(":", 1)[0].lower() and path.startswith(r["path-prefix"])
    ]
    return max(rows, key=lambda r: len(r["path-prefix"]), default=None)


@pytest.mark.parametrize("seed", range(20))
def test_a_look_up_finds_the_route_that_a_plain_scan_finds(seed: int) -> None:
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


def test_a_route_that_names_only_what_is_required_gets_the_defaults() -> None:
    row = {"name": "r", "host-name": "h", "path-prefix": "/r/", "deadline-ms": 5, "backend": "s"}
    assert Route.from_document(row=row) == Route(
        name="r",
        host_name="h",
        path_prefix="/r/",
        deadline_ms=5.0,
        backend="s",
        rank=9,
        max_attempts=1,
        target_ms=0.0,
        stretch=1.0,
    )


def test_limits_that_are_not_named_are_unset_and_fractions_are_cut() -> None:
    limits = RequestLimits.from_document(limits={"max-body-bytes": 1.5, "idle-timeout-ms": 7})
    assert limits == RequestLimits(max_body_bytes=1, idle_timeout_ms=7)
    assert limits.max_header_bytes is limits.header_timeout_ms is None
