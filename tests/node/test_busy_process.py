"""A node that stands still or falls behind is not a dead one, and campaigns stay cheap."""

from typing import Any

import orjson
import pytest

from yarrowloom.node.node_base import JOB_GROUPS
from yarrowloom.replication import election as election_module
from yarrowloom.replication.environment import Reducer, decode_state, encode_state
from yarrowloom.replication.timing import BACKUP_TIMEOUT_S
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.message_kinds import Kind


def epochs(sim: Sim) -> list[int]:
    """The newest number of each group."""
    out = []
    for group_id in range(JOB_GROUPS + 1):
        known = [e.number for ip in sim.core_ips if (e := sim.core(ip).replicas[group_id].epoch) is not None]
        out.append(max(known))
    return out


@pytest.mark.parametrize("group_id", range(JOB_GROUPS + 1))
@pytest.mark.parametrize("seconds", [0.85, 1.15])
def test_a_primary_that_stood_still_asks_its_backup_before_it_replaces_it(group_id: int, seconds: float) -> None:
    sim, oracle, caller, _ = cluster(seed=91)
    before, ip = epochs(sim), sim.serving(group_id=group_id)[0]
    for _ in range(4):
        caller.submit(stages=[{"task-count": 2, "cpus": 100, "mem-mb": 10}])
        sim.freeze(ip=ip, seconds=seconds)
        sim.run(seconds=seconds + 1.5)
        assert sim.serving(group_id=group_id) == [ip]
    assert epochs(sim)[group_id] == before[group_id]
    assert oracle.broken == []
    assert epochs(sim) == before or seconds > BACKUP_TIMEOUT_S  # as a backup of another group it was replaced


def test_all_that_stood_still_together_go_on_as_before() -> None:
    sim, oracle, caller, _ = cluster(seed=92)
    before = epochs(sim)
    job_ids = [caller.submit(stages=[{"task-count": 2, "cpus": 100, "mem-mb": 10}]) for _ in range(3)]
    sim.run(seconds=1.0)
    for ip in sim.core_ips:
        sim.freeze(ip=ip, seconds=2.5)
    sim.run(seconds=6.0)
    owners = {row.owner for row in sim.core(sim.serving(group_id=0)[0]).registry.minions.values()}
    assert epochs(sim) == before
    assert len(owners) == 3
    assert all(caller.state(job_id=j) == (200, "complete") for j in job_ids)
    assert oracle.broken == []


def test_a_short_absence_of_a_witness_costs_no_campaign() -> None:
    sim, _, _, _ = cluster(seed=93, cores=6)
    sim.run(seconds=8.0)
    e = [sim.core(sim.core_ips[0]).replicas[group_id].epoch for group_id in range(JOB_GROUPS + 1)]
    busy = {u for x in e if x is not None for u in (x.primary, *x.backups)}
    kept = {u for x in e if x is not None for u in x.witnesses}
    idle = next(ip for ip in sim.core_ips if sim.node_ids[ip] in kept - busy)
    before = epochs(sim)
    sim.freeze(ip=idle, seconds=2.6)
    sim.run(seconds=8.0)
    assert epochs(sim) == before
    sim.kill(ip=idle)
    sim.run(seconds=8.0)
    assert epochs(sim) != before


def test_a_campaign_encodes_its_state_once(monkeypatch: pytest.MonkeyPatch) -> None:
    made: list[int] = []

    def count(*, state: Reducer) -> str:
        made.append(1)
        return encode_state(state=state)

    sim, oracle, caller, _ = cluster(seed=94, cores=5)
    sim.run(seconds=8.0)
    job_id = caller.submit(stages=[{"task-count": 2, "cpus": 100, "mem-mb": 10}])
    sim.run(seconds=2.0)
    ip = sim.serving(group_id=1)[0]
    before = epochs(sim)[1]
    monkeypatch.setattr(election_module, "encode_state", count)
    sent = tap(sim)
    for other in sim.core_ips:
        if other != ip:
            sim.cut(a=ip, b=other)
    sim.run(seconds=1.15)  # long enough for a campaign, too short for one of the backup
    mine = [s for s in sent if s[0] == ip and s[1] is Kind.SNAPSHOT]
    sim.run(seconds=10.0)
    tried = [s for s in sent if s[0] == ip and s[1] is Kind.SNAPSHOT and s[2]["g"] == 1 and s[2]["inst"] == before + 1]
    assert mine
    assert 2 <= len(tried) <= 7
    assert len({s[2]["tag"] for s in tried}) == 1
    assert len(made) <= 4  # of each group's two campaigners, one each
    sim.heal()
    assert sim.until(cond=lambda: len(sim.serving(group_id=1)) == 1, limit=8.0)
    assert caller.state(job_id=job_id) == (200, "complete")
    assert oracle.broken == []


def tap(sim: Sim) -> list[tuple[str, Kind | None, Any]]:
    """All that is sent from now on."""
    out: list[tuple[str, Kind | None, Any]] = []
    real = sim._send

    def send(ip: str, proc: Any, dst: str, kind: Kind | None, body: bytes) -> None:
        out.append((ip, kind, orjson.loads(body) if body else None))
        real(ip, proc, dst, kind, body)

    sim._send = send  # type: ignore[method-assign]
    return out


def test_a_checkpoint_is_text_and_older_records_are_read() -> None:
    sim, _, caller, _ = cluster(seed=95)
    caller.submit(stages=[{"task-count": 2, "cpus": 100, "mem-mb": 10}])
    sim.run(seconds=2.0)
    jobs = sim.core(sim.serving(group_id=1)[0]).jobs[1]
    assert decode_state(encoded=encode_state(state=jobs)) == decode_state(encoded=jobs.dump()) == jobs.dump()
