"""Lines of the published pages that no other test holds to: see docs/rules.md."""

from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
import trio.testing

from tests.support.simulated_work import Day, task
from yarrowloom.common.log import Log
from yarrowloom.node import draining
from yarrowloom.node.edge import EdgeNode
from yarrowloom.node.identity import FIRST_INCARNATION
from yarrowloom.simulator.cluster import BOUNDS, Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import HOST
from yarrowloom.transport.http_server import Server

TASK: dict[str, Any] = {"task-count": 1, "cpus": 1000, "mem-mb": 100, "estimate-ms": 500}
NOWHERE: dict[str, Any] = {**TASK, "requires": "no-such-label"}
STATUS_DEFAULT_S = 120.0


def pending(sim: Sim, *, queue: str = "fast") -> tuple[int, int]:
    """The status and the count that an edge answers for a queue."""
    status, document = sim.ask(ip=sim.edge_ips[0], method="GET", path=f"/{queue}/", headers={"host": HOST})
    return status, document["pending"] if status == 200 else -1


def test_pending_counts_the_accepted_jobs_of_a_queue_of_which_no_task_has_begun() -> None:
    sim, oracle, caller, _ = cluster(seed=81, work=8.0)
    waiting = [caller.submit(stages=[NOWHERE]) for _ in range(12)]
    running = [caller.submit(stages=[TASK]) for _ in range(4)]
    sim.run(seconds=2.0)
    assert set(waiting + running) <= set(oracle.accepted)
    assert all(caller.state(job_id=jid) == (200, "active") for jid in running)
    assert pending(sim) == (200, 12)
    for jid in waiting[:5]:
        assert caller.cancel(job_id=jid) == 200
    sim.run(seconds=2.0)
    assert pending(sim) == (200, 7)
    sim.kill(ip=sim.core_ips[0], power=True)
    sim.run(seconds=5.0)
    assert pending(sim) == (200, 7)
    assert oracle.broken == []


@pytest.mark.parametrize(
    ("bounds", "kept_s"),
    [
        ({}, STATUS_DEFAULT_S),
        ({"status_s": 30.0}, 30.0),
        ({"status-poll-s": 30.0}, 30.0),
        ({"status-poll-s": 170.0}, 170.0),
        ({"status_s": 30.0, "status-poll-s": 170.0}, 170.0),  # the newest page's name counts
    ],
)
def test_an_ended_job_is_shown_for_as_long_as_the_settings_say(
    bounds: dict[str, float], kept_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`status_s` and `status-poll-s` name the same figure on different pages."""
    others = {name: value for name, value in BOUNDS.items() if name != "status_s"}
    monkeypatch.setattr("yarrowloom.simulator.machines.machine_set.BOUNDS", {**others, **bounds})
    sim, _, caller, _ = cluster(seed=82, minions=3, work=0.3)
    jid = caller.submit(stages=[TASK])
    sim.run(seconds=3.0)
    assert caller.state(job_id=jid) == (200, "complete")
    sim.run(seconds=kept_s - 4.0)
    assert caller.state(job_id=jid) == (200, "complete")
    sim.run(seconds=0.25 * kept_s + 8.0)
    assert caller.state(job_id=jid)[0] == 410


@pytest.mark.parametrize("grace_s", [6.0, 8.0])
def test_an_edge_that_ends_answers_until_the_last_sixth_of_its_grace(
    grace_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As long as a call is in hand an edge stays for five sixths of `grace-s` at least, and ends within it."""
    settings = Sim(seed=83).settings(ip="10.0.1.1", first=False)
    settings.bounds["grace-s"] = grace_s
    node = EdgeNode(
        settings=settings, node_id="10.0.1.1:7001#1", incarnation=FIRST_INCARNATION, log=Log(name="test", level="error")
    )
    server = SimpleNamespace(busy=1, closing=False)
    monkeypatch.setattr(draining, "time", SimpleNamespace(monotonic=trio.current_time))

    async def main() -> float:
        begun = trio.current_time()
        await draining.drain_edge(node=node, servers=[cast(Server, server)])
        return trio.current_time() - begun

    took = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert grace_s * 5 / 6 <= took + 1e-9
    assert took < grace_s
    assert server.closing
    assert not node.ready()


def test_a_new_life_of_another_kind_at_the_same_address_is_another_minion() -> None:
    """After a crash a minion comes back under a new ID, with other labels and half the capacity, at the address of the
    one before: what needs the old kind waits, and what it is given keeps to the new capacity."""
    day = Day(seed=84, minions=1, work=1.0)
    old = day.fleet[0]
    needs_old = day.job(task(n=2, requires="r0"))
    day.sim.run(seconds=0.8)
    assert old.running
    old.crash()
    day.judge.trouble(seconds=8.0)
    new = day.add_minion(minion_id="i-new", zone=old.zone, cap=(2000, 4000, 0), labels=("a", "r9"), address=old.address)
    fits_new = day.job(task(n=5, requires="r9"))
    day.sim.run(seconds=10.0)
    assert day.judge.shows[fits_new] == "complete"
    assert new.fence > 0
    assert day.judge.shows[needs_old] in ("pending", "active")
    day.add_minion(minion_id="i-third", zone=old.zone, cap=old.cap, labels=old.labels)
    day.finish()
    assert day.judge.shows[needs_old] == "complete"


@pytest.mark.parametrize("end", ["crash", "fail", "done"])
@pytest.mark.parametrize("seed", range(3))
def test_each_lasting_task_runs_again_soon_after_its_last_run(end: str, seed: int) -> None:
    """Each task that lasts counts by itself: from 6 s after its last run it isn't without one for 3 s, though others of
    its job run; however its run ended, and however often."""
    day = Day(seed=8500 + seed, minions=6, work=3.0)
    jid = day.job(task(n=6, cpus=1500, long_running=True))
    day.sim.run(seconds=3.0)
    last = {f"{jid}.0.0.{i}": day.sim.now for i in range(6)}
    begun = day.sim.now
    for step in range(300):
        if step % 60 == 0:
            _end_a_run(day=day, how=end)
        day.sim.run(seconds=0.1)
        for name in last:
            if day.judge.alive.get(name):
                last[name] = day.sim.now
            assert day.sim.now - last[name] <= 9.0, (name, last[name] - begun)
    assert day.judge.broken == []
    assert day.judge.shows[jid] == "active"


def _end_a_run(*, day: Day, how: str) -> None:
    """End what the busiest minion runs; one that crashes is followed by another."""
    minion = max((m for m in day.fleet if m.up), key=lambda m: len(m.running))
    if how == "crash":
        minion.crash()
        day.judge.trouble()
        day.add_minion(minion_id=f"{minion.minion_id}x", zone=minion.zone, cap=minion.cap, labels=minion.labels)
        return
    for name in list(minion.running):
        minion.end(task=name, how="failed" if how == "fail" else "done")
