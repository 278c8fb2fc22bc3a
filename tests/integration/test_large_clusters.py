"""What held up others at hundreds of machines: each cause, brought about without the bench."""

import random
from typing import Any

import orjson
import pytest

from tests.support.agent_harness import JOB, MINION, TASK, AgentHarness
from tests.support.capacity_reports import report
from yarrowloom.cluster_state.routing_table import RoutingTable
from yarrowloom.common.resources import Resources
from yarrowloom.jobs.model import Job
from yarrowloom.node.call_server import OVERLOADED
from yarrowloom.node.core import CoreNode
from yarrowloom.node.edge_relays import FANOUT, SELECTION_PERIOD_S, EdgeRelays
from yarrowloom.scheduling.capacity import ClusterCapacity, MinionCapacity
from yarrowloom.scheduling.scheduling_cycle import PlacementRequest, run_cycle
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import config
from yarrowloom.transport.message_kinds import Kind

RACK = 20
MEMBER = Resources(10_000, 31_000, 1)
STEP: dict[str, Any] = {"task-count": 1, "cpus": 4000, "mem-mb": 100, "estimate-ms": 500}


def crowded(*, minions: int, rng: random.Random) -> ClusterCapacity:
    """Minions in racks, few of which have room for a member."""
    capacity = ClusterCapacity()
    for i in range(minions):
        total = Resources(32_000, 131_072, 8)
        minion_id = f"m{i}"
        labels = ("a", f"r{i // RACK}")
        capacity.attach(
            minion=MinionCapacity(
                minion_id=minion_id,
                agent_id="a",
                fence=1,
                attachment=i,
                service="s",
                zone="z",
                labels=labels,
                total=total,
            )
        )
        report(capacity, [minion_id, rng.choice([rng.randint(0, 9000), 12_000]), rng.randint(0, 80_000), 2])
    return capacity


def gang(*, members: int, **more: Any) -> PlacementRequest:
    return PlacementRequest(
        service="s", size=MEMBER, members=list(range(members)), min_count=members, same_rack=True, **more
    )


# -- gangs of one rack


@pytest.mark.parametrize("minions", [200, 2000])
def test_a_gang_of_one_rack_looks_only_at_minions_with_room_for_a_member(minions: int) -> None:
    """Every minion of every rack was looked at by each cycle of each waiting gang: 3.5 ms at 750 minions."""
    capacity = crowded(minions=minions, rng=random.Random(5))
    fits = sum(minion.free.millicores >= MEMBER.millicores for minion in capacity.minions.values())
    capacity.visited = 0
    assert not run_cycle(capacity=capacity, request=gang(members=RACK + 1)).feasible
    assert capacity.visited <= fits < 0.7 * minions


@pytest.mark.parametrize("seed", range(60))
def test_the_fullest_rack_that_holds_a_gang_is_taken(seed: int) -> None:
    """Against trying every rack whole and comparing what would be left."""
    rng = random.Random(seed)
    capacity = crowded(minions=rng.choice([60, 110]), rng=rng)
    members = rng.randint(1, 6)
    got = run_cycle(capacity=capacity, request=gang(members=members))
    left: list[tuple[int, int, str]] = []
    for rack in {minion.rack for minion in capacity.minions.values()}:
        minions = [minion for minion in capacity.minions.values() if minion.rack == rack]
        if sum(minion.free.copies(MEMBER) for minion in minions) >= members:
            gpus, millicores = (
                sum(max(getattr(minion.free, part), 0) for minion in minions) for part in ("gpus", "millicores")
            )
            left.append((gpus - members * MEMBER.gpus, millicores - members * MEMBER.millicores, rack))
    assert got.feasible is bool(left)
    assert not left or got.rack == min(left)[2]


# -- what no longer answers


def silenced(*, sim: Sim, ip: str) -> None:
    """A core machine is cut off from all nodes; its minions still reach it."""
    for other in [*sim.core_ips, *sim.edge_ips]:
        if other != ip:
            sim.cuts |= {(ip, other), (other, ip)}


def test_a_silent_agent_holds_up_no_work_that_others_have_room_for() -> None:
    """At high load the minions of an agent that fell silent are the only ones that seem to have room: every group
    asked it again and again for as long as its rows counted."""
    sim, oracle, caller, _ = cluster(seed=3102, cores=7, edges=2, minions=21)
    sim.run(seconds=4.0)
    serving = {ip for group_id in range(2) for ip in sim.serving(group_id=group_id)}
    epochs = [
        replica.epoch for ip in serving for replica in sim.core(ip).replicas.values() if replica.epoch is not None
    ]
    holders = {backup.split(":")[0] for epoch in epochs for backup in epoch.backups}
    cut = next(ip for ip in sim.core_ips if ip not in serving | holders and sim.core(ip).agent.minions)
    silenced(sim=sim, ip=cut)
    scheduler = sim.core(sim.serving(group_id=1)[0]).schedulers[1]
    job_ids = [caller.submit(stages=[STEP]) for _ in range(12)]
    sim.run(seconds=1.2)
    capacity = scheduler.context.capacity
    assert capacity.minion_ids_by_agent[sim.node_ids[cut]]
    assert not any(capacity.minions[minion_id].is_open for minion_id in capacity.minion_ids_by_agent[sim.node_ids[cut]])
    assert sim.until(cond=lambda: all(caller.state(job_id=j) == (200, "complete") for j in job_ids), limit=5.0)
    sim.heal()
    sim.run(seconds=8.0)
    assert oracle.broken == []


def test_an_order_that_was_never_sent_goes_back_once_its_minion_is_overdue() -> None:
    """It waited until the minion counted as lost, which takes a whole hold."""
    harness = AgentHarness()
    harness.heartbeat()  # answered: the next heartbeat is due
    lease_id = harness.request_lease()
    harness.order(lease_id=lease_id)
    began = harness.environment.now
    while not harness.environment.has_sent(Kind.ORDERS_REJECTED):
        harness.tick()
        assert harness.environment.now - began < 2.5  # a hold is 4 s
    assert harness.environment.last(Kind.ORDERS_REJECTED)["x"] == [[MINION, 1, TASK, 1]]
    assert harness.minion.runs == {}
    assert harness.request_leases(group_id=2) == []
    assert "started" not in harness.heartbeat()  # and it does not go out after all
    assert harness.request_leases(group_id=2) != []
    assert TASK.startswith(JOB)


# -- what every change and every heartbeat cost


def test_a_change_of_idle_queues_moves_no_group() -> None:
    """Every group that waited was ranked anew at each configuration: 120 ms at 3,000 groups."""
    sim, oracle, caller, _ = cluster(seed=3102, minions=3)
    job_ids = [caller.submit(stages=[{**STEP, "task-count": 30}], queue="slow") for _ in range(4)]
    sim.run(seconds=1.0)
    ip = sim.serving(group_id=1)[0]
    scheduler = sim.core(ip).schedulers[1]
    ranked: list[str] = []
    real = scheduler.context.policy.priority

    def priority(*, job: Job, job_id: str, unit_key: str, first_seen: float) -> Any:
        ranked.append(job_id)
        return real(job=job, job_id=job_id, unit_key=unit_key, first_seen=first_seen)

    scheduler.context.policy.priority = priority  # type: ignore[method-assign]
    scheduler.on_config_change()
    assert ranked == []
    document = config(version=9, more=2)
    document["route-table"][1]["rank"] = 0
    sim.core(ip).dissemination.table = RoutingTable(document=document)
    scheduler.on_config_change()
    waiting = {job_id for job_id, _ in scheduler.context.queue.groups}
    assert set(ranked) == waiting <= set(job_ids)
    assert waiting
    assert {group.rank for group in scheduler.context.queue.groups.values()} == {0}
    assert oracle.broken == []


def test_edges_are_looked_through_once_for_many_heartbeats() -> None:
    looks = 0

    def alive_edges() -> list[str]:
        nonlocal looks
        looks += 1
        return nodes

    nodes = [f"e{i:03d}" for i in range(300)]
    relays = EdgeRelays()
    via = [relays.for_edge(node_id=node_id, now=5.0, alive_edges=alive_edges) for node_id in nodes]
    assert looks == 1
    assert via[:FANOUT] == [[]] * FANOUT
    assert all(len(row) == 2 and set(row) <= set(relays.names) for row in via[FANOUT:])
    few = nodes[:FANOUT]
    assert relays.for_edge(node_id="e299", now=5.0 + SELECTION_PERIOD_S, alive_edges=lambda: few) == []


# -- calls that a busy process could not take


def answers(*, node: CoreNode) -> list[tuple[int, int]]:
    rows = [orjson.loads(body) for _, kind, body in node.out.sends if kind is Kind.REPLY]
    node.out.sends.clear()
    return [(row["rid"], row["s"]) for row in rows]


def test_a_call_that_waited_too_long_is_refused_for_good_unless_a_copy_was_taken() -> None:
    sim, _, _, _ = cluster(seed=3103)
    node = sim.core(sim.serving(group_id=1)[0])
    node.replicas[1].commit(event={"t": "forget", "ids": []})  # an answer must wait for this event
    call = {"rid": 7, "g": 1, "op": "count", "b": {"q": "fast"}}
    edge = "10.0.1.1:7001#ff"
    node.out.sends.clear()
    node.on_call_expired(node_id=edge, body=call)
    assert answers(node=node) == [(7, 503)]
    node.on_message(node_id=edge, kind=Kind.CALL, body=call)  # a repeat that was on its way
    assert answers(node=node) == [(7, 503)]
    assert "error" in OVERLOADED
    node.on_message(node_id=edge, kind=Kind.CALL, body={**call, "rid": 8})
    node.on_call_expired(node_id=edge, body={**call, "rid": 8})
    assert answers(node=node) == []


def test_a_call_too_late_is_not_refused_if_the_answer_to_its_first_copy_got_lost() -> None:
    """The job runs: a refusal would tell its caller that it never will."""
    sim, oracle, caller, _ = cluster(seed=3104)
    job_id = caller.submit(stages=[STEP])
    assert sim.until(cond=lambda: job_id in oracle.accepted, limit=3.0)
    node = sim.core(sim.serving(group_id=1)[0])
    node.out.sends.clear()
    node.on_call_expired(
        node_id="10.0.1.1:7001#ff", body={"rid": 9, "g": 1, "op": "put", "b": {"id": job_id, "q": "fast"}}
    )
    assert answers(node=node) == [(9, 200)]
