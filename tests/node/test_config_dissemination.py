"""Cluster updates down the tree: many edges, relays, evacuations, configurations that never go back."""

from typing import Any

from yarrowloom.node.edge import EdgeNode
from yarrowloom.node.edge_relays import FANOUT
from yarrowloom.node.messages import ClusterUpdate
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.minions import SimMinion
from yarrowloom.simulator.sample_config import HOST, config


def edges(sim: Sim) -> list[EdgeNode]:
    out = []
    for ip in sim.edge_ips:
        node = sim.procs[ip].node
        assert isinstance(node, EdgeNode)
        node.now = sim.now
        out.append(node)
    return out


def test_change_reaches_every_edge_through_relays_and_older_config_is_refused() -> None:
    sim, _, _, _ = cluster(seed=71, edges=3 * FANOUT, minions=1)
    sim.run(seconds=3.0)
    assert sum(bool(n.relays.node_ids) for n in edges(sim)) >= 3
    assert all(n.ready() for n in edges(sim))
    status, _ = sim.ask(
        ip=sim.core_ips[0],
        method="PUT",
        path="/config",
        document=config(version=9, more=400),
        headers={"if-match": "3"},
    )
    assert status == 200
    sim.run(seconds=1.0)
    assert {n.table.config_version for n in edges(sim) if n.table} == {9}
    for node in edges(sim):
        node.apply_update(update=ClusterUpdate(config=config(version=3)))
        assert node.table is not None
        assert node.table.config_version == 9


def test_edges_leave_relay_that_is_down_or_cut_off() -> None:
    sim, _, _, _ = cluster(seed=72, edges=3 * FANOUT, minions=1)
    sim.run(seconds=3.0)
    relays = sorted({u.split(":")[0] for n in edges(sim) for u in n.relays.node_ids})
    sim.kill(ip=relays[0])
    for core in sim.core_ips:
        sim.cut(a=relays[1], b=core)
    sim.run(seconds=4.0)
    live = [n for n in edges(sim) if n.settings.ip not in relays[:2]]
    assert all(n.ready() for n in live)
    cut = sim.procs[relays[1]].node
    assert isinstance(cut, EdgeNode)
    assert not cut.ready()


def test_nothing_starts_in_evacuated_zone_until_evacuation_ends() -> None:
    sim, oracle, caller, fleet = cluster(seed=73)
    status, _ = sim.ask(ip=sim.core_ips[1], method="POST", path="/evacuation/z0")
    assert status == 200
    sim.run(seconds=1.0)
    for _ in range(8):
        caller.submit(stages=[{"task-count": 4, "cpus": 1000, "mem-mb": 10, "long-running": True}])
    sim.run(seconds=3.0)

    def busy(m: SimMinion) -> bool:
        return bool(m.running)

    assert not any(busy(m) for m in fleet if m.zone == "z0")
    assert any(busy(m) for m in fleet)
    assert sim.ask(ip=sim.core_ips[2], method="DELETE", path="/evacuation/z0")[0] == 200
    sim.run(seconds=3.0)
    assert any(busy(m) for m in fleet if m.zone == "z0")
    assert oracle.broken == []


def test_edge_without_config_answers_503_at_once() -> None:
    sim = Sim(seed=74)
    sim.run(seconds=2.0)
    assert not edges(sim)[0].ready()
    status, _ = sim.ask(ip=sim.edge_ips[0], method="GET", path="/fast/", headers={"host": HOST})
    assert status == 503


def test_job_that_fits_no_minion_holds_up_no_other() -> None:
    sim, oracle, caller, _ = cluster(seed=75)
    huge = caller.submit(stages=[{"task-count": 2, "cpus": 64000, "mem-mb": 10}])
    gang = caller.submit(stages=[{"task-count": 90, "cpus": 4000, "mem-mb": 10, "gang": True}])
    sim.run(seconds=1.0)
    job_ids = [caller.submit(stages=[{"task-count": 4, "cpus": 2000, "mem-mb": 10}], queue="slow") for _ in range(6)]
    sim.run(seconds=12.0)
    assert all(caller.state(job_id=j, queue="slow") == (200, "complete") for j in job_ids)
    assert caller.state(job_id=huge) == caller.state(job_id=gang) == (200, "pending")
    assert oracle.broken == []


def test_runs_of_repeated_job_start_when_due() -> None:
    sim, oracle, caller, fleet = cluster(seed=76)
    first = int((sim.wall0 + sim.now + 2.0) * 1000)
    more: dict[str, Any] = {"first-run-ms": first, "period-ms": 3000, "repeat-count": 3}
    job_id = caller.submit(stages=[{"task-count": 1, "cpus": 10, "mem-mb": 1}], **more)
    seen: dict[str, float] = {}
    for _ in range(240):
        sim.run(seconds=0.05)
        for m in fleet:
            for task in m.running:
                seen.setdefault(task, (sim.wall0 + sim.now) * 1000)
    assert sorted(seen) == [f"{job_id}.{k}.0.0" for k in range(3)]
    assert all(-250 <= at - (first + 3000 * int(t.split(".")[1])) < 1500 for t, at in seen.items())
    assert caller.state(job_id=job_id) == (200, "complete")
    assert oracle.broken == []
