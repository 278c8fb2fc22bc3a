"""A grant answers the ask of one placing node in one epoch, by the agent asked; leases of two lives never mix."""

import pytest

from yarrowloom.scheduling.binding import LeaseAsk
from yarrowloom.scheduling.capacity import Size
from yarrowloom.simulator.minions import cluster


def test_a_grant_of_an_agent_that_was_not_asked_leaves_the_ask_open(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, _, _, _ = cluster(seed=301)
    sim.run(seconds=3.0)
    node = sim.core(sim.serving(group_id=1)[0])
    placer = node.placers[1]
    landed: list[int] = []
    monkeypatch.setattr(placer, "_landed", lambda *, ask: landed.append(ask.request_id))
    monkeypatch.setattr(placer, "_settle", lambda *, att: None)
    asked, other = (sim.core(ip).node_id for ip in sim.core_ips[:2])

    class Nothing:
        plan: dict[str, list[int]] = {}
        bad = False
        group = type("Group", (), {"gang": True, "apart": 0})

    request_id = placer.request_id + 1
    placer.asks[request_id] = LeaseAsk(
        request_id=request_id,
        agent=asked,
        at=node.now,
        size=Size(1, 1, 0),
        attempt=Nothing(),  # type: ignore[arg-type]
        on=[],
        n=1,
        been=[],
    )
    answer = {"g": 1, "rid": request_id, "x": [], "to": "", "r": [], "size": [1, 1, 0]}
    placer.grant(node_id=other, b=dict(answer))
    assert request_id in placer.asks
    assert landed == []
    placer.grant(node_id=asked, b=dict(answer))
    assert request_id not in placer.asks
    assert landed == [request_id]


def test_the_asks_of_two_epochs_and_the_leases_of_two_lives_are_numbered_apart() -> None:
    sim, oracle, caller, _ = cluster(seed=302)
    asks, leases = [], []
    for _ in range(4):
        assert sim.until(cond=lambda: bool(sim.serving(group_id=1)), limit=8.0)
        ip = sim.serving(group_id=1)[0]
        job_id = caller.submit(stages=[{"task-count": 4, "cpus": 500, "mem-mb": 64, "estimate-ms": 200}])
        assert sim.until(cond=lambda job_id=job_id: caller.state(job_id=job_id)[1] == "complete", limit=10.0)  # type: ignore[misc]
        placer = sim.core(ip).placers[1]
        first = placer.replica.state_epoch << 32
        assert first < placer.request_id < first + 1000
        asks.append(placer.request_id >> 32)
        leases.append((sim.core(ip).node_id, sim.core(ip).agent.next_lease_id >> 32))
        sim.kill(ip=ip)
        sim.run(seconds=0.3)
        sim.boot(ip=ip)
        sim.run(seconds=2.0)
    assert len(set(asks)) == 4
    assert len(set(leases)) == 4
    assert oracle.broken == []
