"""Binding through failures: the scheduler ends, stands still or is cut off at each step of a cycle's way."""

import random
from typing import Any

import pytest

from yarrowloom.common.resources import NO_RESOURCES
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.machines.process import Proc
from yarrowloom.transport.message_kinds import Kind

TASK: dict[str, Any] = {"task-count": 3, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}
STEPS = [
    Kind.LEASE_REQUEST,
    Kind.LEASE_GRANT,
    Kind.APPEND_BATCH,
    Kind.TASK_ORDERS,
    Kind.LEASE_RETURN,
    Kind.TASK_ENDS,
    Kind.TASK_ENDS_ACK,
]


def finish(*, sim: Sim, oracle: Oracle, caller: SimCaller, limit: float = 60.0) -> None:
    left = list(oracle.accepted)
    end = sim.now + limit
    while left and sim.now < end:
        left = [j for j in left if caller.state(job_id=j)[1] not in ("complete", "failed", "cancelled")]
        sim.run(seconds=0.5)
    assert oracle.broken == []
    assert left == []


def strike(*, sim: Sim, at: Kind, nth: int, how: str) -> list[str]:
    """When the nth frame of a kind leaves, the job group's primary is struck before the frame arrives."""
    seen = {"n": 0}
    hit: list[str] = []
    send = sim._send

    def sent(ip: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
        send(ip, proc, dst, kind, body)
        if kind is not at or hit:
            return
        seen["n"] += 1
        if seen["n"] == nth:
            prim = sim.serving(group_id=1)
            if not prim:
                return
            ip = prim[0]
            hit.append(ip)
            sim.at(delay=0.0, fn=lambda: act(ip))

    def act(ip: str) -> None:
        if how in ("kill", "power"):
            sim.kill(ip=ip, power=how == "power")
            sim.at(delay=0.4, fn=lambda: sim.boot(ip=ip))
        elif how == "freeze":
            sim.freeze(ip=ip, seconds=2.5)
        else:
            for other in sim.core_ips:
                if other != ip:
                    sim.cut(a=ip, b=other)
            sim.at(delay=3.0, fn=sim.heal)

    sim._send = sent  # type: ignore[method-assign]
    return hit


@pytest.mark.parametrize("how", ["kill", "power", "freeze", "cut"])
@pytest.mark.parametrize("at", STEPS, ids=[k.name for k in STEPS])
def test_all_jobs_end_if_the_scheduler_fails_at_any_step_of_a_binding(at: Kind, how: str) -> None:
    seed = 7000 + 10 * int(at) + len(how)
    sim, oracle, caller, _ = cluster(seed=seed, minions=6, edges=2)
    hit = strike(sim=sim, at=at, nth=random.Random(seed).randint(2, 9), how=how)
    for i in range(12):
        gang = {**TASK, "task-count": 4, "cpus": 3000, "gang": True}
        wide = {**TASK, "task-count": 6}
        caller.submit(stages=[gang if i % 2 else wide, {**TASK, "depends-on": [0]}])
        sim.run(seconds=0.2)
    sim.run(seconds=6.0)
    finish(sim=sim, oracle=oracle, caller=caller)
    assert len(hit) == 1
    assert len(oracle.accepted) >= 8


@pytest.mark.parametrize("seed", range(4))
def test_job_cancelled_in_mid_cycle_starts_nothing_later(seed: int) -> None:
    sim, oracle, caller, fleet = cluster(seed=7300 + seed, minions=4, work=5.0)
    job_id = caller.submit(stages=[{**TASK, "task-count": 4, "cpus": 3000, "gang": True}])
    sim.run(seconds=0.004 + 0.004 * seed)
    caller.cancel(job_id=job_id)
    sim.run(seconds=6.0)
    assert oracle.broken == []
    assert sum(len(m.running) for m in fleet) == 0
    core = sim.core(sim.serving(group_id=1)[0])
    scheduler = core.schedulers[1]
    assert not scheduler.context.queue.groups
    assert not scheduler.binding.open_requests
    minions = scheduler.context.capacity.minions.values()
    assert all(minion.in_flight == (0, 0, 0) and minion.free == minion.total for minion in minions)


def test_a_group_that_fits_nowhere_holds_up_nobody_and_is_told_so() -> None:
    sim, oracle, caller, _ = cluster(seed=7401, minions=4)
    never = caller.submit(stages=[{**TASK, "cpus": 900000}])
    odd = caller.submit(stages=[{**TASK, "requires": "nowhere"}])
    wide = caller.submit(stages=[{**TASK, "task-count": 90, "cpus": 4000, "gang": True}])
    good = [caller.submit(stages=[{**TASK, "cpus": 4000}], queue="slow") for _ in range(6)]
    assert sim.until(cond=lambda: all(caller.state(job_id=j, queue="slow")[1] == "complete" for j in good), limit=30.0)
    core = sim.core(sim.serving(group_id=1)[0])
    scheduler = core.schedulers[1]
    for job_id in (never, odd, wide):
        assert caller.state(job_id=job_id) == (200, "pending")
        rows = scheduler.explain(job_id=job_id)
        assert rows[0]["cycles-failed"] > 0
        assert rows[0]["last"]
    assert oracle.broken == []


def test_leases_of_a_failed_gang_attempt_all_go_back() -> None:
    """The snapshot is old: one agent refuses; nothing starts, no capacity stays taken, the group is tried again."""
    sim, oracle, caller, fleet = cluster(seed=7501, minions=3)
    core = sim.core(sim.serving(group_id=1)[0])
    scheduler = core.schedulers[1]
    victim = fleet[0].minion_id
    agent = next(sim.core(ip).agent for ip in sim.core_ips if victim in sim.core(ip).agent.minions)
    take = agent.minions[victim].capacity
    agent.minions[victim].capacity = NO_RESOURCES  # known to the agent alone until its next word
    job_id = caller.submit(stages=[{**TASK, "task-count": 3, "cpus": 4000, "gang": True}])
    sim.run(seconds=0.02)
    agent.minions[victim].capacity = take
    assert not any(m.running for m in fleet)
    assert sim.until(cond=lambda: caller.state(job_id=job_id)[1] == "complete", limit=20.0)
    assert oracle.broken == []
    sim.run(seconds=1.0)
    assert all(minion.free == minion.total for minion in scheduler.context.capacity.minions.values())


MOST_S = 24.0  # of any seed; a task has three tries of 0.8 to 2.3 s, and a run takes two waves at least
MEAN_S = 13.5  # over the seeds


def seconds_until_all_ended(*, seed: int) -> float:
    """A failed member goes back alone, keeps its group's first-seen time and is placed beside the running ones."""
    sim, oracle, caller, _ = cluster(seed=seed, minions=4, fail=0.25, work=1.5)
    job_ids = [caller.submit(stages=[{**TASK, "task-count": 12}]) for _ in range(4)]
    core = sim.core(sim.serving(group_id=1)[0])
    records = core.jobs[1].jobs
    begun = sim.now
    seen: dict[tuple[str, str], set[float]] = {}
    while not all(j in records and records[j].state in ("complete", "failed") for j in job_ids):
        sim.run(seconds=0.2)
        assert sim.now - begun < MOST_S, seed
        for unit, group in core.schedulers[1].context.queue.groups.items():
            seen.setdefault(unit, set()).add(group.first_seen)
    assert all(len(times) == 1 for times in seen.values())
    assert len(seen) == 4
    assert all(caller.state(job_id=j)[1] in ("complete", "failed") for j in job_ids)
    assert [b for b in oracle.broken if not b.startswith("BUDGET")] == oracle.broken == []
    return sim.now - begun


def test_new_members_are_placed_while_others_bind_and_run() -> None:
    times = [seconds_until_all_ended(seed=seed) for seed in range(7601, 7613)]
    assert sum(times) / len(times) < MEAN_S, times


def test_a_group_goes_back_to_minions_on_which_it_failed_where_there_are_no_others() -> None:
    """Members had failed on each of the few minions: the group waited 4 s with all of them free."""
    sim, oracle, caller, fleet = cluster(seed=7650, minions=2, fail=0.0, work=0.4)
    job_id = caller.submit(stages=[{**TASK, "task-count": 2, "cpus": 4000}])
    assert sim.until(cond=lambda: all(m.running for m in fleet), limit=3.0)
    for minion in fleet:
        minion.finish(task=next(iter(minion.running)), run=1, how="failed")
    assert sim.until(cond=lambda: caller.state(job_id=job_id)[1] == "complete", limit=2.5)
    assert oracle.broken == []


def test_members_on_their_way_count_against_anti_affinity() -> None:
    """A second cycle of a group, run while the first one's leases were asked for, did not see those members."""
    sim, oracle, caller, _ = cluster(seed=7701, minions=6, fail=0.3, work=0.3)
    for _ in range(8):
        caller.submit(stages=[{**TASK, "task-count": 5, "cpus": 500, "anti-affinity": 1}])
        sim.run(seconds=0.1)
    finish(sim=sim, oracle=oracle, caller=caller)


def test_the_operator_is_told_why_a_job_waits_from_any_core() -> None:
    sim, _, caller, _ = cluster(seed=7801, minions=3)
    job_id = caller.submit(stages=[{**TASK, "requires": "nowhere"}])
    sim.run(seconds=2.0)
    got: list[tuple[int, Any]] = [sim.ask(ip=ip, method="GET", path=f"/jobs/{job_id}") for ip in sim.core_ips]
    assert sorted(status for status, _ in got) == [200, 307, 307]
    document = next(document for status, document in got if status == 200)
    assert document["state"] == "pending"
    assert document["groups"][0]["members-waiting"] == 0
    assert "never" in document["groups"][0]["last"]
    assert document["groups"][0]["cycles-failed"] > 1
    home = sim.serving(group_id=1)[0]
    assert sim.ask(ip=home, method="GET", path="/jobs/0000000000000001")[0] == 410
    assert sim.ask(ip=home, method="GET", path="/jobs/zz")[0] == 400
