"""Warm capacity in the simulated cluster: it keeps later work off, starts nothing, and dies with what it rests on."""

from functools import partial
from typing import Any

import pytest

from yarrowloom.common.defaults import SHIPPED, Defaults
from yarrowloom.prediction import History
from yarrowloom.scheduling.scheduler import Scheduler
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.minions import SimMinion
from yarrowloom.simulator.sample_config import HOST

URGENT: dict[str, Any] = {"task-count": 2, "cpus": 4000, "mem-mb": 100, "estimate-ms": 500, "gang": True}
FILL: dict[str, Any] = {"task-count": 4, "cpus": 2000, "mem-mb": 100, "estimate-ms": 3000}
ON: Defaults = {"learn": {"on": True}, "warm": {**SHIPPED["warm"], "on": True, "core_s": 6000.0}}


@pytest.fixture
def warm(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("yarrowloom.node.core_environment.SHIPPED", ON)


def scheduler_of(sim: Sim) -> Scheduler:
    return sim.core(sim.serving(group_id=1)[0]).schedulers[1]


def beat(*, sim: Sim, caller: SimCaller, times: int, gap: float) -> list[str]:
    """An urgent job every `gap` seconds."""
    out = []
    for _ in range(times):
        out.append(caller.submit(stages=[URGENT]))
        sim.run(seconds=gap)
    return out


def ended(*, sim: Sim, oracle: Oracle, caller: SimCaller, limit: float = 60.0) -> None:
    left = list(oracle.accepted)
    end = sim.now + limit
    while left and sim.now < end:
        left = [
            j
            for j in left
            if caller.state(job_id=j)[1] != "complete" and caller.state(job_id=j, queue="slow")[1] != "complete"
        ]
        sim.run(seconds=0.5)
    assert left == []
    assert oracle.broken == []


def test_capacity_is_kept_before_the_call_and_nothing_starts_in_it(warm: None) -> None:
    sim, oracle, caller, fleet = cluster(seed=8101, minions=4, work=0.4)
    beat(sim=sim, caller=caller, times=14, gap=3.0)
    scheduler = scheduler_of(sim)
    assert sim.until(cond=lambda: bool(scheduler.warm.reservations), limit=4.0)
    assert not any(m.running for m in fleet)
    kept = next(iter(scheduler.warm.reservations.values()))
    assert sum(kept.tasks_by_minion.values()) == 2
    assert kept.size.millicores == 4000
    slow = caller.submit(stages=[{**FILL, "task-count": 8}], queue="slow")
    sim.run(seconds=0.1)
    busy = {m.minion_id for m in fleet if m.running}
    assert busy
    assert not busy & set(kept.tasks_by_minion), "later ranks keep off warm capacity"
    hits = scheduler.warm.planner.figures.hits
    caller.submit(stages=[URGENT])
    sim.run(seconds=0.3)
    assert scheduler.warm.planner.figures.hits == hits + 1
    assert caller.state(job_id=slow, queue="slow")[0] == 200
    ended(sim=sim, oracle=oracle, caller=caller)


def test_work_that_ends_in_time_may_use_warm_capacity(warm: None) -> None:
    """What by its learned run time ends before the capacity is wanted no more is let in."""
    sim, oracle, caller, fleet = cluster(seed=8201, minions=4, work=0.2)
    quick = {"task-count": 2, "cpus": 1000, "mem-mb": 100, "estimate-ms": 200}
    for _ in range(14):
        caller.submit(stages=[URGENT])
        caller.submit(stages=[quick], queue="slow")
        sim.run(seconds=3.0)
    scheduler = scheduler_of(sim)
    assert sim.until(
        cond=lambda: any(
            k.request.queue == "fast" and k.request.until_ms / 1000 - sim.now > 0.5
            for k in scheduler.warm.reservations.values()
        ),
        limit=6.0,
    )
    minion_ids = {minion_id for k in scheduler.warm.reservations.values() for minion_id in k.tasks_by_minion}
    caller.submit(stages=[{**quick, "task-count": 12}], queue="slow")
    sim.run(seconds=0.1)
    assert any(m.running for m in fleet if m.minion_id in minion_ids)
    ended(sim=sim, oracle=oracle, caller=caller)


@pytest.mark.parametrize("what", ["kill", "crash", "drain", "evacuate", "config"])
def test_warm_capacity_ends_with_what_it_rests_on(warm: None, what: str) -> None:
    sim, oracle, caller, fleet = cluster(seed=8300 + len(what), minions=6, work=0.4, edges=2)
    beat(sim=sim, caller=caller, times=14, gap=3.0)
    scheduler = scheduler_of(sim)
    assert sim.until(cond=lambda: bool(scheduler.warm.reservations), limit=4.0)
    kept = next(iter(scheduler.warm.reservations.values()))
    victim = next(m for m in fleet if m.minion_id in kept.tasks_by_minion)
    if what == "kill":
        ip = sim.serving(group_id=1)[0]
        sim.kill(ip=ip)
        sim.at(delay=0.5, fn=lambda: sim.boot(ip=ip))
    elif what == "crash":
        victim.crash()
    elif what == "drain":
        victim.state = "draining"
    elif what == "evacuate":
        assert sim.ask(ip=sim.core_ips[0], method="POST", path=f"/evacuation/{victim.zone}")[0] == 200
    else:
        change = {
            "config-version": 5,
            "removals": {"route-table": ["fast"]},
            "upserts": {
                "route-table": [
                    {
                        "name": "fast2",
                        "host-name": HOST,
                        "path-prefix": "/fast2/",
                        "route-kind": "mutating",
                        "deadline-ms": 3000,
                        "target-ms": 2000,
                        "rank": 0,
                        "backend": "svc",
                        "max-tries": 3,
                        "stretch": 2.0,
                    }
                ]
            },
        }
        assert (
            sim.ask(ip=sim.core_ips[0], method="PATCH", path="/config", document=change, headers={"if-match": "3"})[0]
            == 200
        )
    sim.run(seconds=8.0)
    scheduler = scheduler_of(sim)
    for one in scheduler.warm.reservations.values():
        assert victim.minion_id not in one.tasks_by_minion or what in ("kill", "config")
        assert what != "config" or one.request.queue != "fast"
    minions = scheduler.context.capacity.minions.values()
    assert all(
        m.warm_reserved == (0, 0, 0)
        for m in minions
        if not any(m.minion_id in k.tasks_by_minion for k in scheduler.warm.reservations.values())
    )
    if what != "config":
        ended(sim=sim, oracle=oracle, caller=caller)
    assert oracle.broken == []


def history(scheduler: Scheduler) -> Any:
    return scheduler.context.history.dump()


def test_history_outlives_kills_and_a_change_of_primary(warm: None) -> None:
    sim, oracle, caller, _ = cluster(seed=8401, minions=4, work=0.4)
    beat(sim=sim, caller=caller, times=8, gap=2.0)
    sim.run(seconds=2.0)
    before = history(scheduler_of(sim))
    for _ in range(2):
        sim.kill(ip=sim.serving(group_id=1)[0], power=True)
        assert sim.until(cond=lambda: bool(sim.serving(group_id=1)), limit=8.0)
        for ip in sim.core_ips:
            if not sim.procs[ip].up:
                sim.boot(ip=ip)
        sim.run(seconds=4.0)
        assert history(scheduler_of(sim)) == before
    ended(sim=sim, oracle=oracle, caller=caller)


@pytest.mark.parametrize("seed", range(4))
def test_a_cluster_with_warming_ends_every_job_that_one_without_ends(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same seeded jobs, warming off and on, with a core killed and a minion lost: all end, no rule is broken."""
    got: list[tuple[int, int]] = []
    for row in (SHIPPED, ON):
        monkeypatch.setattr("yarrowloom.node.core_environment.SHIPPED", row)
        sim, oracle, caller, fleet = cluster(seed=8500 + seed, minions=6, work=0.5, edges=2)
        for i in range(30):
            caller.submit(stages=[URGENT] if i % 3 == 0 else [FILL], queue="fast" if i % 3 == 0 else "slow")
            sim.run(seconds=0.7)
            if i == 15:
                ip = sim.serving(group_id=1)[0]
                sim.kill(ip=ip)
                sim.at(delay=0.5, fn=partial(sim.boot, ip=ip))
            if i == 20:
                fleet[seed].crash()
        ended(sim=sim, oracle=oracle, caller=caller, limit=90.0)
        gangs = {j for j, document in oracle.jobs.items() if document["stages"][0].get("gang")}
        done = {t.split(".")[0] if t.split(".")[0] in gangs else t for t in oracle.done}  # one stands for all
        got.append((len(oracle.accepted), len(done)))
    assert got[0] == got[1]


def minions_used(fleet: list[SimMinion]) -> int:
    return sum(bool(m.running) for m in fleet)


def test_off_keeps_nothing() -> None:
    sim, oracle, caller, fleet = cluster(seed=8601, minions=4, work=0.4)
    beat(sim=sim, caller=caller, times=14, gap=3.0)
    scheduler = scheduler_of(sim)
    assert not scheduler.warm.reservations
    assert not minions_used(fleet)
    assert scheduler.figures()["warm"]["on"] is False
    assert scheduler.figures()["warm"]["core-s-held"] == 0
    assert history(scheduler) == History().dump()
    ended(sim=sim, oracle=oracle, caller=caller)
