"""Core nodes that are cut off: what they answer, whom they own, what they start; and what they catch up with."""

import contextlib
from typing import Any

import msgspec
import pytest

from tests.node.test_config_freshness import APPLY_S, CUT_S, bystander, change, edge, island, settled
from yarrowloom.common.records import MalformedRecordError, decode
from yarrowloom.node.config_freshness import Freshness
from yarrowloom.node.controller import AGENT_LEASE_S
from yarrowloom.node.edge import EdgeNode
from yarrowloom.node.messages import ContactProof
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.link_cluster import LinkSim, put
from yarrowloom.simulator.minions import SimMinion
from yarrowloom.simulator.sample_config import HOST, config
from yarrowloom.transport.message_kinds import Kind


@pytest.mark.parametrize("seed", range(310, 318))
def test_change_of_primary_costs_an_edge_hardly_two_polls(seed: int) -> None:
    """The platform asks once a second and drops a node after two misses in a row. With five cores an election leaves
    no room for two; with three it may take 2.25 s, and one of four edges may miss two."""
    cores = 3 + 2 * (seed % 2)
    sim, _, _, _ = cluster(seed=seed, cores=cores, edges=3, minions=1)
    sim.kill(ip=settled(sim), power=True)
    since = dict.fromkeys(range(3), 0.0)
    for _ in range(160):
        sim.run(seconds=0.05)
        for n in since:
            since[n] = 0.0 if edge(sim, n).ready() else since[n] + 0.05
            assert since[n] < (0.9 if cores == 5 else 1.25)


@pytest.mark.parametrize("way", ["both", "mute", "deaf"])
@pytest.mark.parametrize("who", ["bystander", "primary"])
def test_cut_off_core_neither_reads_out_config_nor_takes_orders(way: str, who: str) -> None:
    sim, _, _, _ = cluster(seed=321, cores=5, minions=1)
    core = bystander(sim) if who == "bystander" else settled(sim)
    since = sim.now
    island(sim, [core], way=way)
    change(sim, document=config(version=9, more=1), base=3, away=[core])
    sim.run(seconds=max(0.0, since + APPLY_S - sim.now))
    while sim.now < since + CUT_S:
        for method, path, document, head in (
            ("GET", "/config", None, {}),
            ("POST", "/evacuation/z1", None, {}),
            ("PUT", "/config", config(version=11), {"if-match": "3"}),
            ("PUT", "/config", config(version=3), {"if-match": "0"}),
        ):
            status, _ = sim.ask(ip=core, method=method, path=path, document=document, headers=head)
            assert status in (0, 503), (method, path, status)
        status, document = sim.ask(ip=core, method="GET", path="/state")
        assert status == 200
        assert document["proof-age-ms"] > 1000 * (sim.now - since) - 700
    sim.heal()
    sim.run(seconds=APPLY_S)
    status, document = sim.ask(ip=core, method="GET", path="/config")
    assert status == 200
    assert document["config-version"] == 9
    status, document = sim.ask(ip=core, method="GET", path="/state")
    assert document["proof-age-ms"] < 1000
    assert document["config"] == 9
    assert (
        document["evacuated"] == sim.core(settled(sim)).registry.evacuated_zones
    )  # orders of a deaf core arrive, without an answer


def owners(sim: Sim) -> dict[str, list[str]]:
    """By minion: the cores whose agent would answer its heartbeat now."""
    out: dict[str, list[str]] = {}
    for ip in sim.core_ips:
        node = sim.core(ip)
        if sim.procs[ip].up:
            node.now = sim.now
            for minion_id in node.agent.minions if node.trusted() else ():
                out.setdefault(minion_id, []).append(ip)
    return out


@pytest.mark.parametrize("way", ["both", "mute", "deaf"])
@pytest.mark.parametrize("who", ["bystander", "primary"])
def test_two_agents_never_act_for_one_minion(way: str, who: str) -> None:
    """And each has one that does, also where the former one is heard but does not hear."""
    sim, oracle, _, fleet = cluster(seed=322, cores=5, zones=5, minions=30)
    core = bystander(sim) if who == "bystander" else settled(sim)
    assert any(core in ips for ips in owners(sim).values())
    island(sim, [core], way=way)
    start, moved = sim.now, False
    while sim.now < start + CUT_S + 6.0:
        sim.run(seconds=0.05)
        now = owners(sim)
        assert all(len(ips) == 1 for ips in now.values()), now
        if start + 6.0 < sim.now < start + CUT_S:
            assert not any(core in ips for ips in now.values())
            moved = moved or len(now) == len(fleet)
        if sim.now > start + CUT_S:
            sim.heal()
    assert moved
    assert oracle.broken == []


def test_agent_acts_only_with_all_evacuations_that_the_primary_knew_of() -> None:
    """Its lease is renewed by an answer only once it has all that the answer tells of."""
    sim = LinkSim(seed=323, mbps=100.0, cores=5)
    sim.run(seconds=1.0)
    put(sim, method="PUT", document=config(version=3), base=0)
    sim.run(seconds=2.0)
    core = bystander(sim)

    def lost(src: str, dst: str, kind: Kind, m: dict[str, Any]) -> bool:
        return dst == core and "reg" in (m.get("news", {}) if kind is Kind.HEARTBEAT_ACK else m)

    sim.lose = lost
    assert sim.ask(ip=settled(sim), method="POST", path="/evacuation/z0")[0] == 200
    since = sim.now
    sim.run(seconds=AGENT_LEASE_S)
    while sim.now < since + 10.0:
        node = sim.core(core)
        node.now = sim.now
        assert "z0" not in node.roster.registry.evacuated_zones
        assert not node.trusted()
        sim.run(seconds=0.1)
    sim.lose = lambda src, dst, kind, m: False
    sim.run(seconds=1.0)
    node = sim.core(core)
    assert "z0" in node.roster.registry.evacuated_zones
    assert node.trusted()


def test_nothing_starts_in_zone_evacuated_while_its_agent_was_cut_off() -> None:
    sim, oracle, caller, fleet = cluster(seed=324, cores=5, minions=10)
    core = bystander(sim)
    island(sim, [core])
    for _ in range(60):
        if sim.ask(ip=settled(sim), method="POST", path="/evacuation/z0")[0] == 200:
            break
    sim.run(seconds=5.0)
    for _ in range(8):
        caller.submit(stages=[{"task-count": 4, "cpus": 1000, "mem-mb": 10, "long-running": True}])

    def busy(m: SimMinion) -> bool:
        return bool(m.running)

    for n in range(100):
        sim.run(seconds=0.1)
        assert not any(busy(m) for m in fleet if m.zone == "z0")
        if n == 50:
            sim.heal()
    assert any(busy(m) for m in fleet)
    assert oracle.broken == []


def test_scheduler_that_does_not_reach_the_primary_gets_changes_from_others() -> None:
    sim, _, _, _ = cluster(seed=325, cores=5, minions=1)
    primary, scheduler_ip = settled(sim), sim.serving(group_id=1)[0]
    assert primary != scheduler_ip
    sim.cut(a=primary, b=scheduler_ip)
    base = 3
    for version in range(9, 90, 9):
        change(sim, document=config(version=version, more=version), base=base, away=[])
        base = version
        sim.run(seconds=APPLY_S)
        node = sim.core(scheduler_ip)
        node.now = sim.now
        assert node.config_version() == version
        assert node.freshness.age(now=sim.now) < APPLY_S / 2


@pytest.mark.parametrize("cores", [3, 5])
def test_node_that_returns_after_hundreds_of_changes_is_up_to_date_in_time(cores: int) -> None:
    sim, _, _, _ = cluster(seed=326, cores=cores, edges=3, minions=1)
    core = bystander(sim) if cores > 3 else next(ip for ip in sim.core_ips if not {ip} & {*sim.serving(group_id=0)})
    away = [core, sim.edge_ips[0]]
    island(sim, away)
    change(sim, document=config(version=4, more=50), base=3, away=away)
    base = 4
    for version in range(5, 305):
        patch = {
            "config-version": version,
            "upserts": {
                "route-table": [
                    {**config(version=1)["route-table"][0], "name": f"n{version}", "path-prefix": f"/n{version}/"}
                ]
            },
        }
        side = [ip for ip in sim.core_ips if ip != core]
        for n in range(40):
            if (
                sim.ask(
                    ip=side[n % len(side)],
                    method="PATCH",
                    path="/config",
                    document=patch,
                    headers={"if-match": str(base)},
                )[0]
                == 200
            ):
                break
        base = version
    newest = edge(sim, 1).table
    assert newest is not None
    assert newest.config_version == 304
    assert sim.core(core).config_version() == 3
    held = edge(sim).table
    assert held is not None
    assert held.config_version == 3
    sim.heal()
    sim.run(seconds=APPLY_S)
    for n in range(3):
        node = edge(sim, n)
        assert node.ready()
        assert node.has_fresh_config()
        assert node.table is not None
        assert len(node.table.routes) == 352
    assert sim.core(core).config_version() == 304
    assert sim.ask(ip=sim.edge_ips[0], method="GET", path="/n304/", headers={"host": HOST})[0] == 200


def lone() -> EdgeNode:
    """An edge with configuration 3, proved at 99.9 by a primary of epoch 5, at 100."""
    sim, _, _, _ = cluster(seed=327, minions=1)
    node = edge(sim)
    node.now = 100.0
    known = node.epochs.by_group[0]
    node.epochs.by_group[0] = msgspec.structs.replace(known, number=5)
    node.freshness = Freshness(apply_ms=2000)
    node.freshness.prove(at=99.9, epoch=5)
    return node


@pytest.mark.parametrize(
    ("m", "sent", "at"),
    [
        ({"age": 0.0, "by": 5, "conf": 3}, 99.95, 99.95),
        ({"age": 0.25, "by": 6, "conf": 3}, 100.0, 99.9),  # older than what is known
        ({"age": 0, "by": 6}, 100.0, 100.0),
        ({"age": 0.0, "by": 4, "conf": 3}, 100.0, 99.9),  # an epoch that is over
        ({"age": 0.0, "by": 5, "conf": 4}, 100.0, 99.9),  # a configuration that is not here yet
        ({"age": 0.0, "by": 5, "conf": 3}, 100.1, 99.9),  # sent by another life of the process
        ({"age": -1.0, "by": 5, "conf": 3}, 100.0, 99.9),
        ({"age": None, "by": 5, "conf": 3}, 100.0, 99.9),
        ({"age": 0.0, "conf": 3}, 100.0, 99.9),
        ({}, 100.0, 99.9),
    ],
)
def test_answer_proves_freshness_only_if_current_and_well_formed(m: dict[str, Any], sent: float, at: float) -> None:
    node = lone()
    malformed = "age" in m and m["age"] is None
    with pytest.raises(MalformedRecordError, match="age") if malformed else contextlib.nullcontext():
        node.confirm(sent_at=sent, proof=decode(m, into=ContactProof))
    assert node.freshness.proven_at == at


def test_node_whose_config_is_known_to_be_wrong_proves_nothing() -> None:
    node = lone()
    assert node.proof().document() == {"age": 0.1, "by": 5, "conf": 3}
    node.dissemination.needs_full_config = True
    assert node.proof().document() == {}
    heartbeat = node.heartbeat()
    node.on_heartbeat(heartbeat=heartbeat)
    assert "age" not in node.heartbeat_ack(heartbeat=heartbeat).document()
    node.confirm(sent_at=100.0, proof=ContactProof(age_s=0.0, epoch=5, config_version=3))
    assert node.freshness.proven_at == 99.9


@pytest.mark.parametrize("hops", [1, 5, 50])
def test_clock_error_of_two_percent_makes_age_wrong_by_two_percent(hops: int) -> None:
    """Every hop's clock runs slow by the most allowed: the last one's age is at least 98% of the true one."""
    true, proofs = 0.0, [Freshness(apply_ms=2000) for _ in range(hops)]
    for proof in proofs:
        proof.prove(at=0.0, epoch=1)
    step = 1.0 / hops
    told = 0.0
    for n, proof in enumerate(proofs):
        at = 0.98 * true - told  # on this hop's clock, when its heartbeat left, less the age told
        proof.prove(at=at, epoch=1)
        true += step
        told = proof.age(now=0.98 * true)
        assert told >= 0.98 * true - 1e-9, n


@pytest.mark.parametrize("way", ["both", "mute", "deaf"])
def test_cut_off_scheduler_answers_neither_410_nor_409(way: str) -> None:
    """Of a job that was accepted where it is not heard of."""
    sim, oracle, _, _ = cluster(seed=328, cores=5, edges=2, minions=2)
    settled(sim)
    scheduler_ip = sim.serving(group_id=1)[0]
    away = [scheduler_ip, sim.edge_ips[0]]
    island(sim, away, way=way)
    sim.run(seconds=0.5)
    job_id, head, accepted = "00000000000000c1", {"host": HOST}, False
    job = {"task-spec": "s", "stages": [{"task-count": 1, "cpus": 10, "mem-mb": 1}]}
    oracle.jobs[job_id] = job
    for _ in range(12):
        accepted = (
            sim.ask(ip=sim.edge_ips[1], method="POST", path=f"/fast/{job_id}", document=job, headers=head)[0] == 200
        )
        if accepted:
            break
    assert accepted
    end = sim.now + CUT_S
    while sim.now < end:
        for method, path in (("GET", f"/fast/{job_id}"), ("DELETE", f"/fast/{job_id}"), ("POST", f"/slow/{job_id}")):
            document = job if method == "POST" else None
            status, _ = sim.ask(ip=sim.edge_ips[0], method=method, path=path, document=document, headers=head)
            assert status in (503, 504), (method, status)
        assert sim.ask(ip=scheduler_ip, method="GET", path=f"/jobs/{job_id}")[0] in (0, 307, 503)
    sim.heal()
    sim.run(seconds=APPLY_S)
    assert sim.ask(ip=sim.edge_ips[0], method="GET", path=f"/fast/{job_id}", headers=head)[0] == 200
    assert sim.ask(ip=sim.edge_ips[0], method="POST", path=f"/slow/{job_id}", document=job, headers=head)[0] == 409
