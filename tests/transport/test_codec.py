"""Frames, jobs and configurations under seeded fuzzing: whole or refused, never guessed at, never a crash."""

import random
from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state import config
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.cluster_state.routing_table import RoutingTable
from yarrowloom.common.errors import InvalidInputError, SettingsError, StaleVersionError, YarrowError
from yarrowloom.common.settings import check as check_startup
from yarrowloom.jobs.submission import parse_submission
from yarrowloom.transport.envelope import Frame, FrameDecoder, FrameEncoder, Lane, pack_frame


def noise(*, rng: random.Random, document: Any, depth: int = 0) -> Any:
    """The document with some parts replaced, dropped or doubled."""
    if rng.random() < 0.08:
        return rng.choice([None, True, -1, 0, 1.5, 1 << 62, "", "x", [], {}, [[]], {"a": 1}])
    if isinstance(document, dict):
        out = {k: noise(rng=rng, document=v, depth=depth + 1) for k, v in document.items() if rng.random() > 0.05}
        return out if rng.random() > 0.05 else {**out, "strange": 1}
    if isinstance(document, list):
        rows = [noise(rng=rng, document=v, depth=depth + 1) for v in document if rng.random() > 0.05]
        return rows + rows[:1] if rng.random() < 0.05 else rows
    return document


JOB = {
    "task-spec": "x",
    "stages": [
        {"task-count": 2, "cpus": 5, "gang": True, "affinity": "r"},
        {"task-count": 1, "depends-on": [0], "checkpoints": True},
    ],
    "first-run-ms": 5,
    "period-ms": 7,
    "repeat-count": 2,
}
CONF = {
    "config-version": 4,
    "route-table": [
        {"name": "a", "host-name": "h", "path-prefix": "/a/", "deadline-ms": 5, "backend": "s", "rank": 1},
        {"name": "b", "host-name": "h", "path-prefix": "/b/", "deadline-ms": 5, "backend": "s"},
    ],
    "service-table": [{"name": "s"}],
    "limits": {"max-body-bytes": 9},
}


@pytest.mark.parametrize("seed", range(60))
def test_frames_in_any_pieces(seed: int) -> None:
    rng = random.Random(seed)
    sent = [
        Frame(
            lane=rng.randint(1, 3),
            source=f"a{i}",
            node_id="u#1",
            incarnation=rng.getrandbits(50),
            sequence=i + 1,
            body=rng.randbytes(rng.randint(0, 2000)),
        )
        for i in range(8)
    ]
    encoded = b"".join(pack_frame(frame=f) for f in sent)
    cut, got, at = FrameDecoder(), [], 0
    while at < len(encoded):
        n = rng.randint(1, 700)
        got += cut.feed(encoded[at : at + n])
        at += n
    assert got == sent
    torn = bytearray(encoded)
    torn[rng.randrange(len(torn))] ^= 1 << rng.randint(0, 7)
    try:
        FrameDecoder().feed(bytes(torn))
    except ValueError:
        pass


@pytest.mark.parametrize("seed", range(60))
def test_the_short_way_reads_and_writes_frames_as_the_long_way_does(seed: int) -> None:
    rng = random.Random(seed)
    cut, number = FrameDecoder(), 0
    for _ in range(6):
        lane, source, incarnation = rng.choice(list(Lane)), rng.choice(["a", "", "b:1"]), rng.choice([0, 7, 1 << 50])
        sealer = FrameEncoder(lane=lane, source=source, node_id=source + "#0", incarnation=incarnation)
        for _ in range(rng.randint(1, 4)):
            number += rng.choice([1, 1, 200, 1 << 40])
            body = rng.randbytes(rng.choice([1, 126, 127, 128, 20000]))
            want = Frame(
                lane=int(lane),
                source=source,
                node_id=source + "#0",
                incarnation=incarnation,
                sequence=number,
                body=body,
            )
            encoded = sealer.encode(sequence=number, body=body)
            assert encoded == pack_frame(frame=want)
            assert cut.feed(encoded) == [want]
    torn = bytearray(encoded)
    torn[rng.randrange(4, len(torn))] ^= 1 << rng.randint(0, 7)
    try:
        fresh, known = FrameDecoder().feed(bytes(torn)), cut.feed(bytes(torn))
    except ValueError:
        return
    assert known == fresh


@pytest.mark.parametrize("seed", range(300))
def test_jobs_are_whole_or_refused_with_places(seed: int) -> None:
    rng = random.Random(seed)
    body = orjson.dumps(noise(rng=rng, document=JOB)) if seed % 10 else rng.randbytes(40)
    try:
        job = parse_submission(body=body)
    except InvalidInputError as err:
        assert err.findings
        assert all(f.place for f in err.findings)
        return
    for at, step in enumerate(job.steps):
        assert step.task_count >= 1
        assert all(0 <= d < at for d in step.depends_on)


@pytest.mark.parametrize("seed", range(300))
def test_configurations_are_valid_or_refused_with_places(seed: int) -> None:
    rng = random.Random(seed)
    document = noise(rng=rng, document=CONF)
    try:
        good = config.check(document=document)
    except InvalidInputError as err:
        assert err.findings
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
        {"config-version": 0},
        {"service-table": None},
        {"limits": {"max-body-bytes": 0}},
    ],
)
def test_each_clause_of_validity(change: dict[str, Any]) -> None:
    config.check(document=CONF)
    with pytest.raises(InvalidInputError):
        config.check(document={**CONF, **change})


def test_registry_races_repeats_and_rising_versions() -> None:
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


@pytest.mark.parametrize("seed", range(100))
def test_settings_are_read_or_refused_with_all_findings(seed: int) -> None:
    rng = random.Random(seed)
    document = {
        "node-name": "n",
        "role": "r",
        "ip": "10.0.0.1",
        "zone": "z",
        "zones": {"z": "r"},
        "bootstrap": True,
        "bind-addrs": {"control": "10.0.0.1:80"},
        "internal-ports": [10, 20],
        "seed-nodes": ["10.0.0.1:80"],
        "data-dir": "/d",
        "limits": {"disk-mb": 4},
        "beat-interval-ms": 1000,
        "bounds": {"drain-ms": 5},
    }
    check_startup(document=document)
    try:
        check_startup(document=noise(rng=rng, document=document))
    except SettingsError as err:
        assert err.findings
        assert err.exit_code == 78
    except YarrowError as err:
        raise AssertionError("another code") from err
