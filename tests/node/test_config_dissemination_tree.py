"""Changes of a large configuration over thin links: each sent once, lost ones again, the whole only where asked."""

from typing import Any

import pytest

from yarrowloom.node.edge_relays import FANOUT
from yarrowloom.simulator.link_cluster import LinkSim, large, patched, put
from yarrowloom.transport.message_kinds import Kind


def ready(*, seed: int, cores: int = 5, edges: int = 33, **kw: Any) -> LinkSim:
    sim = LinkSim(seed=seed, cores=cores, edges=edges, **kw)
    sim.run(seconds=2.0)
    put(sim, method="PUT", document=large(version=3), base=0)
    assert sim.until(cond=lambda: sim.stamps() == {3}, limit=2.5)
    sim.run(seconds=3.0)
    return sim


def test_first_config_is_sent_to_each_edge_about_once() -> None:
    sim = ready(seed=1)
    wholes = sim.news(what="conf", since=0.0)
    assert 33 <= len(wholes) <= 40
    assert all(size > 80_000 for *_, size in wholes)
    assert all(src in sim.core_ips for src, *_ in wholes)


def test_change_is_sent_as_delta_once_by_each_watcher() -> None:
    sim = ready(seed=2)
    base = 3
    for version in (7, 9, 20):
        since = sim.now
        put(sim, method="PATCH", document=patched(version=version), base=base)
        assert sim.until(cond=lambda version=version: sim.stamps() == {version}, limit=0.5)  # type: ignore[misc]
        sim.run(seconds=2.0)
        rows = sim.news(what="delta", since=since)
        assert len({(src, dst) for src, dst, _ in rows}) == len(rows) <= 2 * 33 + 10
        assert max(size for *_, size in rows) < 1500
        assert sim.news(what="conf", since=since) == []
        base = version


def test_whole_put_that_changes_little_is_sent_as_delta() -> None:
    sim = ready(seed=3)
    since = sim.now
    put(sim, method="PUT", document=large(version=8, routes=512), base=3)
    assert sim.until(cond=lambda: sim.stamps() == {8}, limit=0.5)
    assert sim.news(what="conf", since=since) == []
    status, document = sim.ask(ip=sim.core_ips[0], method="GET", path="/config")
    assert status == 200
    assert document == large(version=8, routes=512)


def test_lost_update_is_sent_again_within_the_bound() -> None:
    sim = ready(seed=4)
    lost: dict[tuple[str, str], int] = {}

    def lose(src: str, dst: str, kind: Kind, m: dict[str, Any]) -> bool:
        """The first two changes on each way."""
        if "delta" in (m.get("news", {}) if kind is Kind.HEARTBEAT_ACK else m):
            lost[src, dst] = lost.get((src, dst), 0) + 1
            return lost[src, dst] <= 2
        return False

    sim.lose = lose
    put(sim, method="PATCH", document=patched(version=5), base=3)
    assert sim.until(cond=lambda: sim.stamps() == {5}, limit=2.0)
    assert max(lost.values()) >= 3


def test_edge_whose_delta_does_not_fit_asks_for_the_whole_config() -> None:
    sim = ready(seed=5)
    node = sim.edges()[7]
    node.dissemination.history.documents[3]["route-table"] = node.dissemination.history.documents[3]["route-table"][1:]
    since = sim.now
    put(sim, method="PATCH", document=patched(version=5), base=3)
    assert sim.until(cond=lambda: sim.stamps() == {5}, limit=2.5)
    assert {dst for _, dst, _ in sim.news(what="conf", since=since)} == {sim.edge_ips[7]}
    status, document = sim.ask(ip=sim.core_ips[0], method="GET", path="/config")
    assert status == 200
    assert node.config == document


def test_edge_cut_off_during_some_changes_gets_one_delta() -> None:
    sim = ready(seed=6)
    away = sim.edge_ips[4]
    for core in sim.core_ips:
        sim.cut(a=away, b=core)
    base = 3
    for version in range(5, 25, 2):
        put(sim, method="PATCH", document=patched(version=version), base=base)
        sim.run(seconds=0.2)
        base = version
    sim.run(seconds=2.0)
    since = sim.now
    sim.heal()
    assert sim.until(cond=lambda: sim.stamps() == {base}, limit=2.0)
    assert sim.news(what="conf", since=since) == []


def test_relay_feeds_no_more_edges_than_its_link_carries() -> None:
    sim = ready(seed=7, cores=3, edges=4 * FANOUT)
    assert sum(bool(n.relays.node_ids) for n in sim.edges()) >= 3
    for node in sim.edges():
        fed = [u for u, at in node.roster.last_heartbeat.items() if sim.now - at < 1.0]
        assert len(fed) <= node.children_most() == 4
    assert all(n.ready() for n in sim.edges())
    since = sim.now
    put(sim, method="PATCH", document=patched(version=5, n=8), base=3)
    assert sim.until(cond=lambda: sim.stamps() == {5}, limit=1.0)
    assert sim.news(what="conf", since=since) == []


def test_cut_off_relay_does_not_hold_up_a_change() -> None:
    sim = ready(seed=8, cores=3, edges=4 * FANOUT)
    relay = max(
        sim.edges(), key=lambda n: sum(sim.now - at < 1.0 for at in n.roster.last_heartbeat.values())
    ).settings.ip
    for core in sim.core_ips:
        sim.cut(a=relay, b=core)
    put(sim, method="PATCH", document=patched(version=5), base=3)
    rest = [n for n in sim.edges() if n.settings.ip != relay]
    assert sim.until(cond=lambda: all(n.table is not None and n.table.config_version == 5 for n in rest), limit=2.5)


def apply(document: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """What PROTOCOL says of a change; `doc` stays as it is."""
    rows = {r["name"]: r for r in document["route-table"]}
    rows.update({r["name"]: r for r in change["upserts"]["route-table"]})
    for name in change["removals"]["route-table"]:
        rows.pop(name, None)
    return {**document, "config-version": change["config-version"], "route-table": list(rows.values())}


@pytest.mark.parametrize("seed", range(6))
def test_edges_hold_complete_configs_whatever_gets_lost(seed: int) -> None:
    """Frames lost, edges cut off and ended, cores ended; each edge holds exactly what was sent under its version."""
    sim = LinkSim(seed=80 + seed, cores=5, edges=10)
    sim.run(seconds=2.0)
    document = large(version=3, routes=60)
    docs = {3: document}
    put(sim, method="PUT", document=document, base=0)
    seen: dict[str, tuple[str, int]] = {}
    for step in range(25):
        version = document["config-version"] + sim.rng.randint(1, 4)
        sim.loss = sim.rng.choice([0.0, 0.05, 0.2])
        what = sim.rng.choice(["cut", "edge", "core", "none", "heal"])
        ip = sim.rng.choice(sim.edge_ips)
        if what == "cut":
            for core in sim.rng.sample(sim.core_ips, 3):
                sim.cut(a=ip, b=core, one_way=sim.rng.random() < 0.5)
        elif what == "edge":
            sim.kill(ip=ip)
            sim.boot(ip=ip)
        elif what == "core" and step % 5 == 0:
            core = sim.rng.choice(sim.core_ips)
            sim.kill(ip=core, power=True)
            sim.at(delay=1.0, fn=lambda core=core: sim.boot(ip=core))  # type: ignore[misc]
        elif what == "heal":
            sim.heal()
        if sim.rng.random() < 0.8:
            change = patched(version=version, n=sim.rng.randint(0, 3))
            put(sim, method="PATCH", document=change, base=document["config-version"])
            document = apply(document, change)
        else:
            rows = list(document["route-table"])
            sim.rng.shuffle(rows)
            new = {**document, "config-version": version, "route-table": rows}
            put(sim, method="PUT", document=new, base=document["config-version"])
            document = new
        docs[version] = document
        sim.run(seconds=sim.rng.random())
        for node in sim.edges():
            if node.config is not None:
                config_version = node.config["config-version"]
                assert node.config == docs[config_version]
                node_id, was = seen.get(node.settings.ip, ("", 0))
                assert node_id != node.node_id or config_version >= was
                seen[node.settings.ip] = (node.node_id, config_version)
    sim.loss = 0.0
    sim.heal()
    sim.run(seconds=1.0)
    put(sim, method="PATCH", document=patched(version=1000), base=document["config-version"])
    assert sim.until(cond=lambda: sim.stamps() == {1000}, limit=2.5)
    assert all(n.config == apply(document, patched(version=1000)) for n in sim.edges())


@pytest.mark.parametrize("power", [False, True])
def test_acknowledged_changes_survive_restart_of_all_processes(power: bool) -> None:
    sim = LinkSim(seed=90, cores=5, edges=2)
    sim.run(seconds=2.0)
    document = large(version=3)
    put(sim, method="PUT", document=document, base=0)
    for version in range(4, 20, 3):
        change = patched(version=version, n=2)
        put(sim, method="PATCH", document=change, base=document["config-version"])
        document = apply(document, change)
    for ip in sim.core_ips + sim.edge_ips:
        sim.kill(ip=ip, power=power)
    sim.run(seconds=1.0)
    for ip in sim.core_ips + sim.edge_ips:
        sim.boot(ip=ip)
    assert sim.until(cond=lambda: sim.stamps() == {document["config-version"]}, limit=6.0)
    assert sim.ask(ip=sim.core_ips[1], method="GET", path="/config") == (200, document)
    assert all(n.config == document for n in sim.edges())
