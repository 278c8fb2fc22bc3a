"""A core node without another: its disk may hang, and there is nobody to yield to."""

from typing import Any

import pytest

from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.machines.process import Proc
from yarrowloom.transport.message_kinds import Kind


def test_core_without_peers_and_with_a_hanging_disk_sends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, oracle, caller, _ = cluster(seed=1, cores=1, zones=1)
    whole = sim._send

    def send(ip: str, proc: Proc, dst: str, kind: Kind, body: bytes) -> None:
        assert dst, f"a {kind.name} to nobody"
        whole(ip, proc, dst, kind, body)

    monkeypatch.setattr(sim, "_send", send)
    task: dict[str, Any] = {"task-count": 3, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}
    sim.stalls[sim.core_ips[0]] = sim.now + 3.0
    job_id = caller.submit(stages=[task])
    sim.run(seconds=20.0)
    assert caller.state(job_id=job_id) == (200, "complete")
    assert oracle.broken == []
