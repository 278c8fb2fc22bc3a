"""A node that is cut off says so: how new its configuration is descends from the primary's own proof, hop by hop."""

from collections.abc import Iterable
from typing import Any

import pytest

from yarrowloom.node.edge import EdgeNode
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.link_cluster import LinkSim, put
from yarrowloom.simulator.sample_config import HOST, config
from yarrowloom.transport.message_kinds import Kind

APPLY_S = 2.0  # `config-apply-ms` where the settings name none
CUT_S = 20.0
JOB: dict[str, Any] = {"task-spec": "s", "stages": [{"task-count": 1, "cpus": 10, "mem-mb": 1}]}


def edge(sim: Sim, n: int = 0) -> EdgeNode:
    node = sim.procs[sim.edge_ips[n]].node
    assert isinstance(node, EdgeNode)
    node.now = sim.now
    return node


def island(sim: Sim, ips: Iterable[str], *, way: str = "both") -> None:
    """Cut these machines off from all others. `way`: "both", "mute" (they are not heard) or "deaf" (they hear not)."""
    ips = list(ips)
    for a in ips:
        for b in [*sim.core_ips, *sim.edge_ips]:
            if b in ips:
                continue
            if way in ("both", "mute"):
                sim.cut(a=a, b=b, one_way=True)
            if way in ("both", "deaf"):
                sim.cut(a=b, b=a, one_way=True)


def settled(sim: Sim) -> str:
    """The machine that serves group 0."""
    assert sim.until(cond=lambda: len(sim.serving(group_id=0)) == 1 and len(sim.serving(group_id=1)) == 1, limit=8.0)
    return sim.serving(group_id=0)[0]


def bystander(sim: Sim) -> str:
    """A core machine that is neither primary nor backup of any group."""
    parts = set()
    for replica in sim.core(settled(sim)).replicas.values():
        assert replica.epoch is not None
        parts |= {u.split(":")[0] for u in (replica.epoch.primary, *replica.epoch.backups)}
    return next(ip for ip in sim.core_ips if ip not in parts)


def change(sim: Sim, *, document: dict[str, Any], base: int, away: Iterable[str]) -> None:
    """Have a configuration accepted on the side of the majority."""
    side = [ip for ip in sim.core_ips if ip not in set(away)]
    for n in range(60):
        if (
            sim.ask(
                ip=side[n % len(side)], method="PUT", path="/config", document=document, headers={"if-match": str(base)}
            )[0]
            == 200
        ):
            return
        sim.run(seconds=0.2)
    raise AssertionError("not accepted")


def says(sim: Sim, *, path: str = "/x0/", method: str = "GET", n: int = 0) -> int:
    return sim.ask(ip=sim.edge_ips[n], method=method, path=path, headers={"host": HOST})[0]


def returns(sim: Sim, *, version: int) -> None:
    """After the cut an edge is ready, and on the newest configuration, within `config-apply-ms`."""
    sim.heal()
    sim.run(seconds=APPLY_S)
    for n in range(len(sim.edge_ips)):
        node = edge(sim, n)
        assert node.ready()
        assert node.table is not None
        assert node.table.config_version == version


def stale_for_the_rest_of_the_cut(sim: Sim, *, away: list[str], since: float) -> None:
    """A new configuration is acknowledged elsewhere; the edge neither calls itself ready nor answers by the old one."""
    change(sim, document=config(version=9, more=1), base=3, away=away)
    sim.run(seconds=max(0.0, since + APPLY_S - sim.now))
    while sim.now < since + CUT_S:
        node = edge(sim)
        assert node.table is not None
        assert node.table.config_version == 3
        assert not node.ready(), sim.now - since
        assert says(sim) == 503
        assert says(sim, path="/fast/0123456789abcdef", method="PATCH") == 503
        assert says(sim, path="/fast/no-id", method="GET") == 503
        sim.run(seconds=0.4)


@pytest.mark.parametrize("way", ["both", "mute", "deaf"])
@pytest.mark.parametrize("who", ["bystander", "primary"])
def test_edge_that_reaches_only_a_cut_off_core_is_neither_ready_nor_sure(way: str, who: str) -> None:
    sim, _, _, _ = cluster(seed=301, cores=5, minions=1)
    core = bystander(sim) if who == "bystander" else settled(sim)
    assert edge(sim).ready()
    island(sim, [core], way=way)
    for other in sim.core_ips:
        if other != core:
            sim.cut(a=sim.edge_ips[0], b=other)
    stale_for_the_rest_of_the_cut(sim, away=[core], since=sim.now)
    returns(sim, version=9)


@pytest.mark.parametrize("way", ["both", "mute", "deaf"])
def test_edge_leaves_cut_off_cores_for_others_in_time(way: str) -> None:
    sim, _, _, _ = cluster(seed=302, cores=5, minions=1)
    settled(sim)
    watchers = [u.split(":")[0] for u in edge(sim).heartbeat_targets()]
    assert len(watchers) == 2
    island(sim, watchers, way=way)
    for ip in watchers:  # this edge alone still reaches them
        sim.cuts -= {(ip, sim.edge_ips[0]), (sim.edge_ips[0], ip)}
    sim.run(seconds=4.0)
    change(sim, document=config(version=9, more=1), base=3, away=watchers)
    sim.run(seconds=APPLY_S)
    table = edge(sim).table
    assert table is not None
    assert table.config_version == 9
    for _ in range(100):
        sim.run(seconds=0.1)
        assert edge(sim).ready()
    assert says(sim) == 200
    returns(sim, version=9)


def test_core_restarted_while_cut_off_makes_no_edge_ready() -> None:
    sim, _, _, _ = cluster(seed=303, cores=5, minions=1)
    core = bystander(sim)
    since = sim.now
    island(sim, [core, sim.edge_ips[0]])
    sim.run(seconds=1.0)
    sim.kill(ip=core)
    sim.run(seconds=0.3)
    sim.boot(ip=core)
    stale_for_the_rest_of_the_cut(sim, away=[core], since=since)
    returns(sim, version=9)


def test_edge_restarted_while_cut_off_is_never_ready() -> None:
    sim, _, _, _ = cluster(seed=304, cores=5, minions=1)
    core = bystander(sim)
    island(sim, [core, sim.edge_ips[0]])
    sim.run(seconds=3.0)
    sim.kill(ip=sim.edge_ips[0])
    sim.boot(ip=sim.edge_ips[0])
    change(sim, document=config(version=9, more=1), base=3, away=[core])
    for _ in range(40):
        sim.run(seconds=0.25)
        assert not edge(sim).ready()
        assert says(sim) == 503
    returns(sim, version=9)


def test_edge_behind_relay_of_cut_off_core_is_neither_ready_nor_sure() -> None:
    sim, _, _, _ = cluster(seed=305, cores=5, edges=2, minions=1)
    core = bystander(sim)
    child, relay = edge(sim, 0), edge(sim, 1)
    for ip in sim.core_ips:
        sim.cut(a=child.settings.ip, b=ip)
        if ip != core:
            sim.cut(a=relay.settings.ip, b=ip)
    child.relays.node_ids, child.relays.confirmed_at = [relay.node_id], sim.now
    sim.run(seconds=0.6)
    child.relays.node_ids, child.relays.confirmed_at = [relay.node_id], sim.now
    assert edge(sim, 0).ready()
    assert edge(sim, 1).ready()
    island(sim, [core, child.settings.ip, relay.settings.ip])
    since = sim.now
    change(sim, document=config(version=9, more=1), base=3, away=[core])
    sim.run(seconds=since + APPLY_S - sim.now)
    while sim.now < since + CUT_S:
        for n in (0, 1):
            edge(sim, n).relays.confirmed_at = sim.now if n == 0 else -9.0  # it has nowhere else to go
            assert not edge(sim, n).ready()
            assert says(sim, n=n) == 503
        sim.run(seconds=0.4)
    returns(sim, version=9)


@pytest.mark.parametrize("delay", [0.002, 0.1, 0.4])
def test_two_relays_that_acknowledge_each_other_only_age(delay: float) -> None:
    sim, _, _, _ = cluster(seed=306, edges=2, minions=1)
    a, b = edge(sim, 0), edge(sim, 1)
    assert a.ready()
    assert b.ready()
    way: list[tuple[float, EdgeNode, str, Kind, Any]] = []
    now, end = sim.now, sim.now + CUT_S
    while now < end:
        now += 0.01
        for node, other in ((a, b), (b, a)):
            node.now = now
            node.relays.node_ids, node.relays.confirmed_at = [other.node_id], now
            node.tick()
            way += [(now + delay, other, node.node_id, kind, node.load(body=body)) for _, kind, body in node.out.sends]
            node.out.sends.clear()
        due, way = [row for row in way if row[0] <= now], [row for row in way if row[0] > now]
        for _, node, node_id, kind, m in due:
            node.on_message(node_id=node_id, kind=kind, body=m)
        if now > sim.now + APPLY_S:
            assert not a.ready(), (now - sim.now, delay)
            assert not b.ready(), (now - sim.now, delay)


def stale_edge(*, seed: int) -> tuple[LinkSim, EdgeNode]:
    """An edge whose calls arrive, but which hears nothing of configurations, after `x0` was dropped and `x1` came."""
    sim = LinkSim(seed=seed, mbps=100.0)
    sim.run(seconds=1.0)
    document = config(version=3, more=1)
    put(sim, method="PUT", document=document, base=0)
    sim.run(seconds=2.0)
    node = edge(sim)
    sim.lose = lambda src, dst, kind, m: dst == sim.edge_ips[0]
    document = config(version=9, more=2)
    document["route-table"] = [row for row in document["route-table"] if row["name"] != "x0"]
    put(sim, method="PUT", document=document, base=3)
    return sim, node


def test_stale_edge_answers_503_to_unknown_and_forwards_valid_jobs() -> None:
    sim, _ = stale_edge(seed=307)
    sim.run(seconds=APPLY_S)
    held = edge(sim).table
    assert held is not None
    assert held.config_version == 3
    assert says(sim, path="/x1/") == 503
    status, _ = sim.ask(
        ip=sim.edge_ips[0], method="POST", path="/fast/00000000000000a1", document=JOB, headers={"host": HOST}
    )
    assert status == 200
    assert says(sim, path="/fast/00000000000000a1") == 200
    assert says(sim, path="/fast/00000000000000a2") == 410  # the records' primary says so


@pytest.mark.parametrize("wait", [0.1, 2.0])
def test_no_job_is_admitted_by_removed_route(wait: float) -> None:
    sim, _ = stale_edge(seed=308)
    sim.run(seconds=wait)
    status, _ = sim.ask(
        ip=sim.edge_ips[0], method="POST", path="/x0/00000000000000a1", document=JOB, headers={"host": HOST}
    )
    assert status in (404, 503)
    assert says(sim, path="/x0/") in (404, 503)
    jobs = sim.core(sim.serving(group_id=1)[0]).jobs[1].jobs
    assert "00000000000000a1" not in jobs
