"""The controller with many minions: work counted, moves bounded, racks kept together, all back after a herd kill."""

from collections.abc import Callable
from typing import Any

import pytest
from msgspec import UNSET

from yarrowloom.agent.minion import Phase, TaskRun
from yarrowloom.cluster_state.minion_ownership import MinionMove, OwnerSelector
from yarrowloom.cluster_state.registry_events import MinionsAssigned, RegistryEvent
from yarrowloom.cluster_state.registry_rows import PlacementDomain
from yarrowloom.node import controller, minion_rebalancing
from yarrowloom.node.core_environment import CoreEnvironment
from yarrowloom.node.messages import Heartbeat
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.minion_population import attached, back, loads, populated_cluster, serves

TASK: dict[str, Any] = {"task-count": 3, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}


def watch(*, sim: Sim, monkeypatch: pytest.MonkeyPatch) -> list[tuple[float, int]]:
    """(time, number of minions) of each commit of owners from now on."""
    out: list[tuple[float, int]] = []
    old = CoreEnvironment.commit_registry

    def commit_registry(self: CoreEnvironment, *, event: RegistryEvent, **kw: Any) -> None:
        if isinstance(event, MinionsAssigned):
            out.append((sim.now, len(event.assignments)))
        old(self, event=event, **kw)

    monkeypatch.setattr(CoreEnvironment, "commit_registry", commit_registry)
    return out


def racks(*, sim: Sim) -> dict[PlacementDomain, set[str]]:
    registry = sim.core(sim.serving(group_id=0)[0]).registry
    out: dict[PlacementDomain, set[str]] = {}
    for row in registry.minions.values():
        out.setdefault(row.placement_domain, set()).add(row.owner)
    return out


def settled(*, n: int, seed: int, **kw: Any) -> tuple[Sim, Oracle, SimCaller]:
    """Minions attached and evened out."""
    sim, oracle, caller, _ = populated_cluster(seed=seed, minions=n, **kw)
    back(sim=sim, n=n)
    sim.run(seconds=20.0)
    return sim, oracle, caller


def test_a_storm_of_new_minions_makes_few_commits(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, _, _, _ = populated_cluster(seed=31, minions=1)
    made = watch(sim=sim, monkeypatch=monkeypatch)
    sim, _, _, _ = populated_cluster(seed=31, minions=350)
    back(sim=sim, n=350)
    first = [n for at, n in made if at < 102.2]
    assert sum(first) >= 350
    assert len(first) <= 1.3 / controller.NEW_MINIONS_WINDOW_S
    assert max(first) <= controller.ASSIGNMENTS_MOST


def test_hearts_of_calm_times_do_not_list_minions() -> None:
    sim, _, _ = settled(n=350, seed=32)
    primary = sim.core(sim.serving(group_id=0)[0])
    seen: list[int] = []
    for ip in sim.core_ips:
        node = sim.core(ip)
        old = node.heartbeat

        def heartbeat(old: Callable[[], Heartbeat] = old) -> Heartbeat:
            message = old()
            seen.append(message.owned_minions is not UNSET)
            return message

        node.heartbeat = heartbeat  # type: ignore[method-assign]
    applied = primary.replicas[0].last_applied
    sim.run(seconds=5.0)
    assert len(seen) >= 5 * 18
    assert not any(seen)
    assert primary.replicas[0].last_applied == applied


@pytest.mark.parametrize("lost", [0, 2])
def test_a_lost_core_s_minions_spread_by_racks_and_come_home_slowly(lost: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Machine 0 stands in a site of two cores, machine 2 alone in its site."""
    sim, oracle, caller = settled(n=210, seed=33 + lost)
    even = loads(sim=sim)
    ip = sim.core_ips[lost]
    assert even[ip] >= 24
    assert all(len(o) == 1 for o in racks(sim=sim).values())
    made = watch(sim=sim, monkeypatch=monkeypatch)
    t0 = sim.now
    sim.kill(ip=ip, power=True)
    assert sim.until(cond=lambda: serves(sim=sim) and len(attached(sim=sim)) == 210, limit=6.0)
    assert sum(n for _, n in made) == even[ip]
    assert max(n for _, n in made) <= controller.ASSIGNMENTS_MOST
    assert all(len(o) == 1 for o in racks(sim=sim).values())
    now = loads(sim=sim)
    if lost == 2:
        gain = [now[u] - even[u] for u in sim.core_ips if u != ip]
        assert sum(gain) == even[ip]
        assert min(gain) >= 12
    job_ids = [caller.submit(stages=[TASK]) for _ in range(5)]
    sim.run(seconds=12.0)
    made.clear()
    sim.boot(ip=ip)
    for _ in range(20):
        job_ids.append(caller.submit(stages=[{**TASK, "task-count": 12}]))
        sim.run(seconds=1.0)
    after = loads(sim=sim)
    assert max(abs(after[u] - even[u]) for u in even) <= 12
    assert len(attached(sim=sim)) == 210
    assert made
    assert max(n for _, n in made) <= minion_rebalancing.MOVES_PER_ROUND
    most_in_a_second = (1.0 / minion_rebalancing.ROUND_INTERVAL_S + 1) * minion_rebalancing.MOVES_PER_ROUND
    for at, _ in made:
        assert sum(n for when, n in made if at <= when < at + 1.0) <= most_in_a_second
    sim.run(seconds=5.0)
    assert all(caller.state(job_id=j) == (200, "complete") for j in job_ids)
    assert oracle.broken == []
    assert sim.now > t0


def test_an_agent_keeps_minions_that_leave_are_silent_or_have_an_order_on_its_way_out() -> None:
    sim, _, _ = settled(n=24, seed=43)
    node = next(sim.core(ip) for ip in sim.core_ips if len(sim.core(ip).agent.minions) >= 5)
    node.now = sim.now
    minion_ids = sorted(node.agent.minions)[:5]
    leaving, silent, ordered, lost, well = (node.agent.minions[m] for m in minion_ids)
    leaving.is_draining = True
    silent.last_heartbeat_at = sim.now - 9.0
    ordered.runs["t"] = TaskRun(task="t", run=1, group_id=1, lease_id=1)
    lost.phase = Phase.LOST
    well.runs["t"] = TaskRun(task="t", run=1, group_id=1, lease_id=1, is_sent=True)
    node.core_heartbeats.release_minions(minion_ids=[*minion_ids, "i-none"])
    assert [m in node.agent.minions for m in minion_ids] == [True, True, True, True, False]


def test_moves_of_many_are_cut_into_batches(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, oracle, _ = settled(n=120, seed=41)
    monkeypatch.setattr(controller, "ASSIGNMENTS_MOST", 10)
    made = watch(sim=sim, monkeypatch=monkeypatch)
    held = loads(sim=sim)
    ip = max((u for u in sim.core_ips if u not in sim.serving(group_id=0)), key=lambda u: held[u])
    had = held[ip]
    sim.kill(ip=ip)
    assert sim.until(cond=lambda: serves(sim=sim) and len(attached(sim=sim)) == 120, limit=8.0)
    rows = [n for _, n in made]
    assert sum(rows) == had > 20
    assert max(rows) <= 10
    assert len({at for at, _ in made}) == len(made)
    assert oracle.broken == []


def test_a_restarted_core_gets_new_fences_in_batches_before_its_minions(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, oracle, _ = settled(n=120, seed=42)
    monkeypatch.setattr(controller, "ASSIGNMENTS_MOST", 10)
    ip = next(u for u in sim.core_ips if u not in sim.serving(group_id=0) and u not in sim.serving(group_id=1))
    minion_ids = set(sim.core(ip).agent.minions)
    before = {m: sim.core(sim.serving(group_id=0)[0]).registry.minions[m].fence for m in minion_ids}
    sim.kill(ip=ip)
    sim.boot(ip=ip)
    assert sim.until(cond=lambda: len(attached(sim=sim)) == 120, limit=6.0)
    registry = sim.core(sim.serving(group_id=0)[0]).registry
    held = sim.core(ip).agent.minions
    assert set(held) == minion_ids
    assert len(minion_ids) > 20
    assert all(held[m].fence == registry.minions[m].fence > before[m] for m in minion_ids)
    assert oracle.broken == []


@pytest.mark.parametrize("minions", [27, 100, 350])
def test_after_a_herd_kill_all_is_back_soon_however_many_minions(minions: int, monkeypatch: pytest.MonkeyPatch) -> None:
    sim, oracle, caller = settled(n=minions, seed=50 + minions)
    had = loads(sim=sim)
    job_ids = [caller.submit(stages=[TASK]) for _ in range(10)]
    sim.run(seconds=0.3)
    made = watch(sim=sim, monkeypatch=monkeypatch)
    for ip in sim.core_ips:
        sim.kill(ip=ip)
        sim.at(delay=0.6 + 0.4 * sim.rng.random(), fn=lambda ip=ip: sim.boot(ip=ip))  # type: ignore[misc]
    sim.run(seconds=1.0)
    served, whole = back(sim=sim, n=minions)
    assert served <= 1.5
    assert whole <= 2.5
    assert loads(sim=sim) == had
    assert sum(n for _, n in made) == 0
    sim.run(seconds=8.0)
    assert all(caller.state(job_id=j) == (200, "complete") for j in job_ids)
    assert oracle.broken == []


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_while_minions_change_hands(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Frames are lost, cores end and freeze, and the controller moves racks between any agents almost all the time."""
    monkeypatch.setattr(minion_rebalancing, "QUIET_S", 0.6)
    monkeypatch.setattr(minion_rebalancing, "QUIET_AFTER_JOIN_S", 0.3)
    sim, oracle, caller, fleet = populated_cluster(seed=60 + seed, minions=24, cores=5, rack=4)

    def any_moves(self: OwnerSelector, *, max_moves: int) -> list[MinionMove]:
        there = sim.rng.choice(list(self.ownership.minions_by_domain.values()))
        was = sim.rng.choice(list(there))
        to = sim.rng.choice(list(self.zones))
        if to == was or was not in self.zones:
            return []
        return [MinionMove(minion_id, to) for minion_id in list(there[was])[:max_moves]]

    monkeypatch.setattr(OwnerSelector, "rebalancing_moves", any_moves)
    made = watch(sim=sim, monkeypatch=monkeypatch)
    job_ids = []
    for i in range(40):
        sim.loss = 0.02 if i % 10 < 7 else 0.0
        gang = {"gang": True} if i % 3 == 0 else {}
        job_ids.append(caller.submit(stages=[{**TASK, **gang}, {**TASK, "depends-on": [0]}]))
        if i % 8 == 3:
            ip = sim.rng.choice(sim.core_ips)
            if sim.procs[ip].up and all(p.up for p in sim.procs.values()):
                if sim.rng.random() < 0.5:
                    sim.kill(ip=ip, power=sim.rng.random() < 0.5)
                    sim.at(delay=0.5 + 3 * sim.rng.random(), fn=lambda ip=ip: sim.boot(ip=ip))  # type: ignore[misc]
                else:
                    sim.freeze(ip=ip, seconds=1.0 + 2 * sim.rng.random())
        sim.run(seconds=1.0)
    sim.loss = 0.0
    monkeypatch.setattr(OwnerSelector, "rebalancing_moves", lambda self, *, max_moves: [])
    sim.run(seconds=15.0)
    assert oracle.broken == []
    assert sum(n for _, n in made) > 60
    assert all(caller.state(job_id=j)[1] == "complete" for j in job_ids if j in oracle.accepted)
    assert len(attached(sim=sim)) == len(fleet)
