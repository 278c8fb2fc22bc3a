"""A process stands still after it has looked whether it serves: what leaves it late harms nobody."""

from collections.abc import Callable
from functools import partial
from typing import Any

import orjson
import pytest

from tests.replication.test_quorum_contact import holders, newest
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.machines.process import Proc
from yarrowloom.simulator.minions import SimMinion
from yarrowloom.simulator.sample_config import config
from yarrowloom.transport.http_messages import Response
from yarrowloom.transport.message_kinds import Kind

STILL_S = 5.0
SETTLE_S = 6.0


class Standstill:
    """From the first matching frame on, a machine stands still: that frame, those after it and all answers of the
    step that made it leave only when it goes on, as they were made."""

    def __init__(
        self, *, sim: Sim, ip: str, when: Callable[[Kind, dict[str, Any]], bool], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.begun = 0.0
        whole = sim._send

        def send(src: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
            if src == ip and kind is not None and not self.begun and when(kind, orjson.loads(body)):
                self.begun = sim.now
                sim.freeze(ip=ip, seconds=STILL_S)
            if src == ip and self.begun and sim.now < self.begun + STILL_S:
                sim.at(delay=self.begun + STILL_S - sim.now, fn=partial(whole, src, proc, dst, kind, body))
                return
            whole(src, proc, dst, kind, body)

        monkeypatch.setattr(sim, "_send", send)


def later(sim: Sim, *, ip: str, method: str, path: str, **more: Any) -> list[Response]:
    """A call whose answer may come at any time."""
    got: list[Response] = []
    sim.http(ip=ip, src="op", method=method, path=path, back=got.append, **more)
    return got


def put(sim: Sim, *, ip: str, to: int) -> int:
    return sim.ask(ip=ip, method="PUT", path="/config", document=config(version=to), headers={"if-match": str(to - 1)})[
        0
    ]


def scene(*, seed: int) -> tuple[Sim, str, str, list[SimMinion]]:
    """A cluster, the primary of group 0, and a core that is no holder."""
    sim, _, _, fleet = cluster(seed=seed, cores=5)
    sim.run(seconds=SETTLE_S)
    named = holders(newest(sim, group_id=0))
    return sim, named[0], next(ip for ip in sim.core_ips if ip not in named), fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_order_whose_log_leaves_late_is_not_confirmed_by_the_old_epoch(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fence: the number of the epoch in LOG; the backup has left it. The order is unclear or confirmed by the next
    primary, and another one under its number is not confirmed beside it."""
    sim, primary, other, _ = scene(seed=seed)
    still = Standstill(
        sim=sim, ip=primary, when=lambda kind, m: kind is Kind.APPEND_BATCH and m["g"] == 0, monkeypatch=monkeypatch
    )
    first = later(sim, ip=primary, method="PUT", path="/config", document=config(version=4), headers={"if-match": "3"})
    sim.run(seconds=3.0)
    rival = config(version=4, tries=2)
    status = sim.ask(ip=other, method="PUT", path="/config", document=rival, headers={"if-match": "3"})[0]
    assert status == 200
    sim.run(seconds=STILL_S)
    assert still.begun
    assert not [response for response in first if response.status == 200]
    for ip in (primary, other):
        assert sim.ask(ip=ip, method="GET", path="/config")[1]["route-table"] == rival["route-table"]


@pytest.mark.parametrize("seed", [4, 5, 6])
def test_a_read_that_leaves_late_is_as_old_as_its_call_and_no_older(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """No fence, and none needed: the call came before the look at the lease, so what it was answered was the newest
    at a moment between call and answer. A call that comes later gets what was confirmed meanwhile."""
    sim, primary, other, _ = scene(seed=seed)
    still = Standstill(
        sim=sim, ip=primary, when=lambda kind, m: kind is Kind.REPLY and m.get("s") == 200, monkeypatch=monkeypatch
    )
    reader = next(ip for ip in sim.core_ips if ip not in (primary, other))
    called = sim.now
    first = later(sim, ip=reader, method="GET", path="/config")
    sim.run(seconds=2.5)
    assert put(sim, ip=other, to=4) == 200
    confirmed = sim.now
    second = sim.ask(ip=other, method="GET", path="/config")
    sim.run(seconds=STILL_S)
    assert called < still.begun < confirmed
    assert len(first) <= 1
    assert [orjson.loads(response.body)["config-version"] for response in first if response.status == 200] in (
        [],
        [3],
        [4],
    )
    assert second[0] == 200
    assert second[1]["config-version"] == 4
    for ip in sim.core_ips:
        assert sim.ask(ip=ip, method="GET", path="/config")[1]["config-version"] == 4


@pytest.mark.parametrize("seed", [7, 8, 9])
def test_calls_that_waited_at_the_socket_are_judged_by_the_clock_after_it(seed: int) -> None:
    """What reaches a process while it stands still is taken with the time at which it goes on."""
    sim, primary, other, _ = scene(seed=seed)
    sim.freeze(ip=primary, seconds=STILL_S)
    sim.run(seconds=2.5)
    assert put(sim, ip=other, to=4) == 200
    late = later(sim, ip=primary, method="GET", path="/config")
    sim.run(seconds=STILL_S)
    assert [orjson.loads(response.body)["config-version"] for response in late if response.status == 200] in ([], [4])


@pytest.mark.parametrize("seed", [10, 11, 12])
def test_a_renewal_of_an_agents_lease_that_leaves_late_counts_from_the_agents_heart(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fence: HEARTOK carries the agent's own time of sending; so a late one grants nothing."""
    sim, primary, other, _ = scene(seed=seed)
    agent = sim.core(other)
    still = Standstill(
        sim=sim,
        ip=primary,
        when=lambda kind, m: kind is Kind.HEARTBEAT_ACK and bool(m.get("lease")),
        monkeypatch=monkeypatch,
    )
    sim.run(seconds=0.5)
    assert still.begun
    before = sim.now
    while sim.now < before + STILL_S + 1.0:
        sim.run(seconds=0.05)
        assert agent.core_heartbeats.lease_expires <= sim.now + 1.5
        if newest(sim, group_id=0).primary == sim.core(primary).node_id:
            assert agent.core_heartbeats.lease_expires <= before + 1.5


@pytest.mark.parametrize("seed", [13, 14, 15])
def test_late_lease_grant_counts_from_its_request(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The backup stands still between its look at its role and the socket: its answer carries the primary's time."""
    sim, primary, _, _ = scene(seed=seed)
    backup = holders(newest(sim, group_id=0))[1]
    still = Standstill(
        sim=sim,
        ip=backup,
        when=lambda kind, m: kind is Kind.LEADER_LEASE_GRANTED and m["g"] == 0,
        monkeypatch=monkeypatch,
    )
    sim.run(seconds=0.5)
    assert still.begun
    before = sim.now
    number = newest(sim, group_id=0).number
    replica = sim.core(primary).replicas[0]
    while sim.now < before + STILL_S + 1.0:
        sim.run(seconds=0.05)
        assert len(sim.serving(group_id=0)) <= 1
        if newest(sim, group_id=0).number == number:
            assert replica.lease.valid_until <= before + 1.2
    assert newest(sim, group_id=0).number > number
    assert len(sim.serving(group_id=0)) == 1


@pytest.mark.parametrize("seed", [16, 17])
def test_minions_stay_with_their_agents_after_the_controller_stood_still(seed: int) -> None:
    """Hearts that a primary did not count while it did not serve are no silence of their agents."""
    sim, _, _, _ = cluster(seed=seed, cores=7)
    sim.run(seconds=SETTLE_S)
    named = holders(newest(sim, group_id=0))
    owners = {minion_id: row.owner for minion_id, row in sim.core(named[0]).registry.minions.items()}
    rest = [ip for ip in sim.core_ips if ip not in named]
    for a in named:
        for b in rest:
            sim.cut(a=a, b=b)
    sim.run(seconds=3.0)
    sim.heal()
    assert sim.until(cond=lambda: sim.serving(group_id=0) == [named[0]], limit=1.0)
    sim.run(seconds=0.3)
    now = {minion_id: row.owner for minion_id, row in sim.core(named[0]).registry.minions.items()}
    assert {m: o for m, o in now.items() if owners[m] != o} == {}
