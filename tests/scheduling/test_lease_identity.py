"""A grant answers the request of one scheduler in one epoch, by the agent asked; incarnations share no leases."""

import pytest

from yarrowloom.common.resources import Resources
from yarrowloom.scheduling.binding import OpenLeaseRequest
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.message_kinds import Kind


def test_grant_of_an_agent_that_was_not_asked_leaves_the_request_open(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, _, _, _ = cluster(seed=301)
    sim.run(seconds=3.0)
    node = sim.core(sim.serving(group_id=1)[0])
    scheduler = node.schedulers[1]
    binding = scheduler.binding
    settled: list[object] = []
    monkeypatch.setattr(binding, "_settle", lambda *, attempt: settled.append(attempt))
    asked, other = (sim.core(ip).node_id for ip in sim.core_ips[:2])

    class Nothing:
        open_requests = 1
        has_failed = False
        group = type("PodGroup", (), {"is_gang": True, "max_per_minion": 0})

    attempt = Nothing()
    request_id = binding.last_request_id + 1
    binding.open_requests[request_id] = OpenLeaseRequest(
        request_id=request_id,
        agent_id=asked,
        sent_at=node.now,
        size=Resources(1, 1, 0),
        attempt=attempt,  # type: ignore[arg-type]
        minions=[],
        count=1,
        asked_agents=[],
    )
    answer = {"g": 1, "rid": request_id, "x": [], "to": "", "r": [], "size": [1, 1, 0]}
    scheduler.on_message(node_id=other, kind=Kind.LEASE_GRANT, body=dict(answer))
    assert request_id in binding.open_requests
    assert settled == []
    assert attempt.open_requests == 1
    scheduler.on_message(node_id=asked, kind=Kind.LEASE_GRANT, body=dict(answer))
    assert request_id not in binding.open_requests
    assert settled == [attempt]
    assert attempt.open_requests == 0
    assert attempt.has_failed


def test_requests_of_two_epochs_and_leases_of_two_incarnations_share_no_number() -> None:
    sim, oracle, caller, _ = cluster(seed=302)
    asks, leases = [], []
    for _ in range(4):
        assert sim.until(cond=lambda: bool(sim.serving(group_id=1)), limit=8.0)
        ip = sim.serving(group_id=1)[0]
        job_id = caller.submit(stages=[{"task-count": 4, "cpus": 500, "mem-mb": 64, "estimate-ms": 200}])
        assert sim.until(cond=lambda job_id=job_id: caller.state(job_id=job_id)[1] == "complete", limit=10.0)  # type: ignore[misc]
        scheduler = sim.core(ip).schedulers[1]
        first = scheduler.context.replica.state_epoch << 32
        assert first < scheduler.binding.last_request_id < first + 1000
        asks.append(scheduler.binding.last_request_id >> 32)
        leases.append((sim.core(ip).node_id, sim.core(ip).agent.next_lease_id >> 32))
        sim.kill(ip=ip)
        sim.run(seconds=0.3)
        sim.boot(ip=ip)
        sim.run(seconds=2.0)
    assert len(set(asks)) == 4
    assert len(set(leases)) == 4
    assert oracle.broken == []
