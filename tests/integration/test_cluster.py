"""Whole jobs in the simulated cluster, with and without failures; the oracle judges the rules."""

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from yarrowloom.node.node_base import JOB_GROUPS
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.minions import SimMinion

TASK: dict[str, Any] = {"task-count": 3, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}


def finish(sim: Sim, oracle: Oracle, caller: SimCaller, job_ids: list[str], limit: float = 60.0) -> None:
    """All accepted jobs complete and no rule is broken."""
    left = list(job_ids)
    end = sim.now + limit
    while left and sim.now < end:
        left = [j for j in left if caller.state(job_id=j)[1] not in ("complete", "failed", "cancelled")]
        sim.run(seconds=0.5)
    assert oracle.broken == []
    assert left == [], [(j, caller.state(job_id=j)) for j in left]


def test_quiet_jobs_complete() -> None:
    sim, oracle, caller, _ = cluster(seed=1)
    job_ids = [caller.submit(stages=[TASK, {**TASK, "depends-on": [0]}]) for _ in range(10)]
    finish(sim, oracle, caller, job_ids)
    assert len(oracle.accepted) == 10
    assert all(caller.state(job_id=j) == (200, "complete") for j in job_ids)


def test_gang_runs_together() -> None:
    sim, oracle, caller, _ = cluster(seed=2)
    job_ids = [caller.submit(stages=[{**TASK, "task-count": 5, "cpus": 3000, "gang": True}]) for _ in range(3)]
    finish(sim, oracle, caller, job_ids)


def test_same_id_is_one_job_and_unknown_is_gone() -> None:
    sim, oracle, caller, _ = cluster(seed=3)
    job_id = caller.submit(stages=[TASK])
    sim.run(seconds=1.0)
    document = oracle.jobs[job_id]
    caller._send(job_id=job_id, queue="fast", document=document, left=0)
    finish(sim, oracle, caller, [job_id])
    assert caller.state(job_id="0123456789abcdef") == (410, None)
    assert sim.ask(ip=sim.edge_ips[0], method="GET", path="/none/", headers={"host": "h.example"})[0] == 404


def test_cancel_stops() -> None:
    sim, oracle, caller, fleet = cluster(seed=4, work=30.0)
    job_id = caller.submit(stages=[{**TASK, "long-running": True}])
    sim.run(seconds=2.0)
    assert sum(len(m.running) for m in fleet) == 3
    assert caller.cancel(job_id=job_id) == 200
    sim.run(seconds=4.0)
    assert sum(len(m.running) for m in fleet) == 0
    assert caller.state(job_id=job_id) == (200, "cancelled")
    assert oracle.broken == []


def test_failing_job_ends_failed_within_budget() -> None:
    sim, oracle, caller, _ = cluster(seed=5, fail=1.0)
    job_id = caller.submit(stages=[TASK])
    finish(sim, oracle, caller, [job_id])
    assert caller.state(job_id=job_id) == (200, "failed")


def kill(sim: Sim, _: list[SimMinion], ip: str) -> None:
    sim.kill(ip=ip)
    sim.at(delay=0.5, fn=lambda: sim.boot(ip=ip))


def lose_power(sim: Sim, _: list[SimMinion], ip: str) -> None:
    sim.kill(ip=ip, power=True)
    sim.at(delay=3.0, fn=lambda: sim.boot(ip=ip))


def wipe(sim: Sim, _: list[SimMinion], ip: str) -> None:
    sim.kill(ip=ip, power=True)
    sim.wipe(ip=ip)
    sim.at(delay=2.0, fn=lambda: sim.boot(ip=ip))


def freeze(sim: Sim, _: list[SimMinion], ip: str) -> None:
    sim.freeze(ip=ip, seconds=2.0 + sim.rng.random() * 3)


def cut(sim: Sim, _: list[SimMinion], ip: str) -> None:
    for other in sim.core_ips:
        if other != ip:
            sim.cut(a=ip, b=other, one_way=sim.rng.random() < 0.4)
    sim.at(delay=5.0, fn=sim.heal)


def stall(sim: Sim, _: list[SimMinion], ip: str) -> None:
    sim.stalls[ip] = sim.now + 3.3


def cut_minions(sim: Sim, fleet: list[SimMinion], _: str) -> None:
    for m in sim.rng.sample(fleet, 2):
        for other in sim.core_ips:
            sim.cut(a=m.minion_id, b=other, one_way=sim.rng.random() < 0.4)
    sim.at(delay=sim.rng.choice([3.0, 9.0]), fn=sim.heal)


def crash_minion(sim: Sim, fleet: list[SimMinion], _: str) -> None:
    live = [m for m in fleet if m.up]
    sim.rng.choice(live).crash()


def restart_all(sim: Sim, _: list[SimMinion], __: str) -> None:
    for one in sim.core_ips:
        sim.kill(ip=one, power=True)
        sim.at(delay=1.0, fn=partial(sim.boot, ip=one))


def wipe_one_and_restart_all(sim: Sim, _: list[SimMinion], ip: str) -> None:
    for one in sim.core_ips:
        sim.kill(ip=one, power=True)
        if one == ip:
            sim.wipe(ip=one)
        sim.at(delay=1.0, fn=partial(sim.boot, ip=one))


FAILURES: dict[str, Callable[[Sim, list[SimMinion], str], None]] = {
    "kill": kill,
    "power": lose_power,
    "wipe": wipe,
    "freeze": freeze,
    "cut": cut,
    "stall": stall,
    "minion-cut": cut_minions,
    "minion-crash": crash_minion,
    "restart-all": restart_all,
    "wipe-and-power": wipe_one_and_restart_all,
}
KINDS = list(FAILURES)


def storm(sim: Sim, fleet: list[SimMinion], kind: str) -> None:
    """One failure of a kind, at a node the seed picks."""
    FAILURES[kind](sim, fleet, sim.rng.choice(sim.core_ips))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("seed", [11, 12, 13])
def test_rules_hold_through(kind: str, seed: int) -> None:
    sim, oracle, caller, fleet = cluster(seed=seed * 100 + KINDS.index(kind), minions=8, edges=2)
    job_ids = []
    for i in range(24):
        shape: list[dict[str, Any]] = [{**TASK, "task-count": 4}, {**TASK, "task-count": 2, "depends-on": [0]}]
        if i % 5 == 0:
            shape = [{**TASK, "task-count": 3, "cpus": 3000, "gang": True}]
        job_ids.append(caller.submit(stages=shape))
        sim.run(seconds=0.15)
        if i == 8:
            storm(sim, fleet, kind)
    sim.run(seconds=8.0)
    finish(sim, oracle, caller, [j for j in job_ids if j in oracle.accepted], limit=90.0)
    lost = [j for j in oracle.accepted if caller.state(job_id=j)[0] != 200]
    assert lost == []


@pytest.mark.parametrize("seed", range(6))
def test_two_losses_one_after_the_other(seed: int) -> None:
    sim, oracle, caller, fleet = cluster(seed=900 + seed, minions=6)
    job_ids = []
    for _ in range(2):
        job_ids += [caller.submit(stages=[TASK]) for _ in range(6)]
        sim.run(seconds=0.7)
        storm(sim, fleet, sim.rng.choice(["wipe", "power", "freeze", "kill"]))
        sim.run(seconds=9.0)
    finish(sim, oracle, caller, [j for j in job_ids if j in oracle.accepted], limit=90.0)


@pytest.mark.parametrize("seed", range(4))
def test_one_primary_at_a_time(seed: int) -> None:
    sim, _, _, fleet = cluster(seed=700 + seed)
    for kind in ("cut", "freeze", "power", "cut"):
        storm(sim, fleet, kind)
        for _ in range(200):
            sim.run(seconds=0.05)
            for group_id in range(JOB_GROUPS + 1):
                assert len(sim.serving(group_id=group_id)) <= 1


def test_planned_replacement_then_a_lost_disk() -> None:
    """Four members for a while must not leave four witnesses, of which two losses would take half."""
    sim, oracle, caller, _ = cluster(seed=41)
    spare = "10.0.0.9"
    sim.boot(ip=spare)
    sim.run(seconds=4.0)
    sim.kill(ip=sim.core_ips[1])
    sim.run(seconds=6.0)
    for ip in (sim.core_ips[0], sim.core_ips[2], spare):
        sim.kill(ip=ip, power=True)
    sim.wipe(ip=spare)
    for ip in (sim.core_ips[0], sim.core_ips[2], spare):
        sim.boot(ip=ip)
    assert sim.until(
        cond=lambda: all(len(sim.serving(group_id=group_id)) == 1 for group_id in range(JOB_GROUPS + 1)), limit=10.0
    )
    finish(sim, oracle, caller, [caller.submit(stages=[TASK])])


@pytest.mark.parametrize("cores", [3, 5])
def test_restart_of_all_after_a_seed_has_a_new_identity(cores: int) -> None:
    """Without members to read yet, a backup must not copy to uids that the seeds no longer have."""
    sim, oracle, caller, _ = cluster(seed=43 + cores, cores=cores)
    job_id = caller.submit(stages=[TASK])
    sim.run(seconds=3.0)
    for ip in sim.core_ips[:2]:
        sim.kill(ip=ip, power=True)
        sim.wipe(ip=ip)
        sim.run(seconds=2.0)
        sim.boot(ip=ip)
        sim.run(seconds=8.0)
    for _ in range(2):
        primary = sim.serving(group_id=0)[0]
        for ip in sim.core_ips:
            sim.kill(ip=ip, power=True)
        sim.wipe(ip=primary)
        for ip in sim.core_ips:
            sim.boot(ip=ip)
        assert sim.until(
            cond=lambda: all(len(sim.serving(group_id=group_id)) == 1 for group_id in range(JOB_GROUPS + 1)), limit=8.0
        )
        sim.run(seconds=6.0)
    finish(sim, oracle, caller, [job_id, caller.submit(stages=[TASK])])
    assert sim.ask(ip=sim.core_ips[0], method="GET", path="/config")[1]["config-version"] == 3


def test_beyond_the_most_jobs_in_hand_is_refused_at_once_and_never_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("yarrowloom.scheduling.admission.MAX_LIVE_JOBS", 3)
    sim, oracle, caller, _ = cluster(seed=51, work=3.0)
    job_ids = []
    for _ in range(6):
        job_ids.append(caller.submit(stages=[TASK]))
        sim.run(seconds=0.3)
    assert len(oracle.accepted) == 3
    assert len(oracle.refused) == 3
    finish(sim, oracle, caller, [j for j in job_ids if j in oracle.accepted])
    assert all(caller.state(job_id=j)[0] == 410 for j in oracle.refused)


def test_a_gangs_room_is_free_as_soon_as_it_ends() -> None:
    """Leases of a gang went back before their ends were acknowledged, were not taken, and lay idle for 3 s."""
    sim, oracle, caller, _ = cluster(seed=61, minions=3, work=0.5)
    wide = [{**TASK, "task-count": 3, "cpus": 4000, "gang": True}]
    job_ids = [caller.submit(stages=wide) for _ in range(4)]
    begun = sim.now
    finish(sim, oracle, caller, job_ids)
    assert sim.now - begun < 4 * 2.0
