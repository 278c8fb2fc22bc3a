"""One core, one edge, a stand-in minion and operator over real loopback sockets; nothing here sleeps."""

import pathlib
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import httpcore
import orjson
import pytest
import trio

from tests.support.loopback import HOST, reserved_ports, settings
from yarrowloom.common.errors import UsageError
from yarrowloom.common.log import Log
from yarrowloom.common.settings import SETTINGS_FILE_VARIABLE, check
from yarrowloom.loadgen import Load, report
from yarrowloom.node.startup import open_core, open_edge
from yarrowloom.simulator.sample_config import HOST as HOST_NAME
from yarrowloom.simulator.sample_config import config


async def call(pool: httpcore.AsyncConnectionPool, method: str, url: str, document: Any = None, **heads: str) -> Any:
    response = await pool.request(
        method,
        url,
        content=orjson.dumps(document) if document is not None else b"",
        headers={k.replace("_", "-"): v for k, v in heads.items()},
    )
    return response.status, orjson.loads(response.content) if response.content else None


async def minion(pool: httpcore.AsyncConnectionPool, ctl: str) -> None:
    """Every task it is told to start has ended by its next beat."""
    seq, num, seen = 0, 0, 0
    ends: list[list[Any]] = []
    while True:
        seq += 1
        status, document = await call(
            pool,
            "PUT",
            f"http://{ctl}/minions/i-1",
            {
                "backend": "svc",
                "address": "a",
                "zone": "z",
                "state": "ready",
                "call-seq": seq,
                "labels": ["a", "r"],
                "capacity": {"cpus": 8000, "mem-mb": 8000, "gpus": 0},
                "running": [],
                "finished": ends,
            },
        )
        if status != 200:
            continue
        seen = max(seen, document.get("last-seen", 0))
        ends = [e for e in ends if e[0] > seen]
        for task, run, _, _ in document.get("started", []):
            num += 1
            ends.append([num, task, run, "done", ""])


@pytest.fixture
def ports() -> Iterator[list[int]]:
    """Control, front and ready, and two inner ones: the core's and the one after it, the edge's."""
    with reserved_ports(5) as held:
        yield held


def test_whole_path_over_sockets(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, ports: list[int]) -> None:
    ctl, front, ready, inner, _ = ports
    seed = f"{HOST}:{ctl}"
    core = check(document=settings(binds={"control": seed}, inner=inner, seed=seed, data=str(tmp_path)))
    edge = check(
        document=settings(
            binds={"front": f"{HOST}:{front}", "ready": f"{HOST}:{ready}"}, inner=inner, seed=seed, data=None
        )
    )
    monkeypatch.setenv(SETTINGS_FILE_VARIABLE, str(tmp_path / "none"))

    async def main() -> None:
        log = Log(name="loopback", level="error")
        async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
            with trio.fail_after(30):
                await nursery.start(open_core(settings=core, log=log).run)
                await nursery.start(open_edge(settings=edge, log=log).run)
                status = 0
                while status != 200:
                    status, _ = await call(pool, "PUT", f"http://{seed}/config", config(version=2), If_Match="0")
                assert (await call(pool, "PUT", f"http://{seed}/config", config(version=2), If_Match="0"))[0] == 200
                assert (await call(pool, "PUT", f"http://{seed}/config", config(version=3), If_Match="1"))[0] == 412
                bad, document = await call(pool, "PUT", f"http://{seed}/config", {"config-version": 3}, If_Match="2")
                assert bad == 400
                assert len(document["findings"]) == 2
                nursery.start_soon(minion, pool, seed)
                while (await call(pool, "GET", f"http://{HOST}:{ready}/readiness"))[0] != 200:
                    pass
                load = Load(addresses=(f"{HOST}:{front}",), host=HOST_NAME, prefix="/fast/", jobs=5, rate=1000.0)
                await load.run()
                out = report(load=load)
                assert out["accepted"] == 5
                assert out["lost"] == 0
                assert out["failed"] == 0
                url = f"http://{HOST}:{front}/fast/"
                assert await call(pool, "GET", url, Host=HOST_NAME) == (200, {"pending": 0})
                assert (await call(pool, "GET", url + "0123456789abcdef", Host=HOST_NAME))[0] == 410
                assert (await call(pool, "POST", url + "0123456789abcdef", {"stages": 1}, Host=HOST_NAME))[0] == 400
                assert (await call(pool, "POST", url + "0123", {"stages": 1}, Host="other"))[0] == 404
                big = {"task-spec": "x" * 300_000}
                assert (await call(pool, "POST", url + "0123456789abcdef", big, Host=HOST_NAME))[0] == 413
                assert (await call(pool, "GET", f"http://{seed}/state"))[1]["config"] == 2
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_unreachable_target_ends_with_a_clear_error() -> None:
    with reserved_ports(1) as (port,):  # nobody listens on it
        load = Load(addresses=(f"{HOST}:{port}",), host=HOST_NAME, prefix="/fast/", jobs=1, rate=100.0)
        with pytest.raises(UsageError) as got:
            trio.run(load.run)
    assert got.value.exit_code == 64


def test_unusable_settings_end_the_start_with_all_findings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "local.json"
    path.write_text('{"node-name": 3, "internal-ports": [9, 1], "seed-nodes": ["x"]}')
    root = pathlib.Path(__file__).resolve().parents[2]
    response = subprocess.run(
        [sys.executable, "yarrowloom.py", "core"],
        cwd=root,
        env={"PATH": "/usr/bin", SETTINGS_FILE_VARIABLE: str(path), "PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert response.returncode == 78
    for place in ("node-name", "internal-ports", "seed-nodes[0]", "bind-addrs"):
        assert place in response.stderr
