"""Operator requests in the simulated cluster: lost answers, takeovers, restarts, nodes that are cut off."""

from typing import Any

import orjson
import pytest

from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.sample_config import config
from yarrowloom.transport.http_messages import Response

UNCLEAR = (0, 503)


def cluster(*, seed: int, cores: int = 3, losses: int = 1, speed: float = 0.0) -> Sim:
    """A cluster with configuration 1 in force."""
    sim = Sim(seed=seed, cores=cores, losses=losses, speed=speed)
    assert sim.until(cond=lambda: bool(sim.serving(group_id=0)), limit=10.0)
    sim.run(seconds=2.0)
    assert send(sim, ip=sim.core_ips[0], base=0, body=orjson.dumps(config(version=1)))[0] == 200
    sim.run(seconds=0.5)
    return sim


def send(sim: Sim, *, ip: str, base: int, body: bytes, method: str = "PUT", limit: float = 6.0) -> tuple[int, Any]:
    return sim.ask(ip=ip, method=method, path="/config", body=body, headers={"if-match": str(base)}, limit=limit)


def begin(sim: Sim, *, ip: str, base: int, body: bytes, method: str = "PUT") -> list[Response]:
    """A request whose answer is waited for elsewhere."""
    got: list[Response] = []
    sim.http(
        ip=ip, src="op", method=method, path="/config", body=body, headers={"if-match": str(base)}, back=got.append
    )
    return got


def patch(*, version: int, tries: int = 2) -> bytes:
    row = {**config(version=1)["route-table"][0], "max-tries": tries}
    return orjson.dumps({"config-version": version, "upserts": {"route-table": [row]}})


def primary(sim: Sim) -> str:
    assert sim.until(cond=lambda: bool(sim.serving(group_id=0)), limit=20.0)
    return sim.serving(group_id=0)[0]


def others(sim: Sim, ip: str) -> list[str]:
    return [other for other in sim.core_ips if other != ip]


def read(sim: Sim, ip: str) -> int:
    status, document = sim.ask(ip=ip, method="GET", path="/config")
    assert status == 200
    return int(document["config-version"])


def evacuate(sim: Sim, *, ip: str, method: str, limit: float = 6.0) -> int:
    return sim.ask(ip=ip, method=method, path="/evacuation/z1", limit=limit)[0]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("first", ["POST", "DELETE"])
def test_a_delayed_copy_of_an_evacuation_request_does_not_undo_a_later_one(seed: int, first: str) -> None:
    """The node that received the request can't reach the primary; the operator gives up after a second and goes on."""
    sim = cluster(seed=seed)
    then = {"POST": "DELETE", "DELETE": "POST"}[first]
    lead = primary(sim)
    far, near = others(sim, lead)
    assert evacuate(sim, ip=near, method=then) == 200
    sim.run(seconds=1.0)
    sim.cut(a=far, b=lead)
    assert evacuate(sim, ip=far, method=first, limit=0.7) == 0
    assert evacuate(sim, ip=near, method=first) == 200
    sim.run(seconds=0.1)
    assert evacuate(sim, ip=near, method=then) == 200
    sim.heal()
    sim.run(seconds=5.0)
    assert primary(sim) == lead
    assert sim.core(lead).registry.evacuated_zones == (["z1"] if then == "POST" else [])


def bystander(sim: Sim) -> str:
    """A core that holds nothing of group 0."""
    epoch = sim.core(primary(sim)).replicas[0].epoch
    assert epoch is not None
    return next(ip for ip in sim.core_ips if sim.node_ids[ip] not in {epoch.primary, *epoch.backups})


# Guards against an old order that undoes the evacuation in force (review/9, EVAC).
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("standstill_s", [0.5, 4.0])
@pytest.mark.parametrize("is_open", [True, False])
@pytest.mark.parametrize("first", ["POST", "DELETE"])
def test_an_evacuation_request_that_waited_in_a_node_does_not_undo_a_later_one(
    seed: int, standstill_s: float, is_open: bool, first: str
) -> None:
    """A node that stood still learns of the later requests before it reads the one that waited."""
    sim = cluster(seed=seed, cores=5, speed=1.0)
    then = {"POST": "DELETE", "DELETE": "POST"}[first]
    frozen, near = bystander(sim), primary(sim)
    assert evacuate(sim, ip=near, method=then) == 200
    sim.run(seconds=1.0)
    sim.freeze(ip=frozen, seconds=standstill_s)
    answers: list[Response] = []
    sim.http(ip=frozen, src="op", method=first, path="/evacuation/z1", back=answers.append)
    sim.run(seconds=0.1)
    if not is_open:
        sim.calls.clear()  # the operator has closed the connection
    assert evacuate(sim, ip=near, method=first) == 200
    assert evacuate(sim, ip=near, method=then) == 200
    assert sim.now < sim.procs[frozen].frozen_until
    sim.run(seconds=standstill_s + 5.0)
    assert sim.core(primary(sim)).registry.evacuated_zones == (["z1"] if then == "POST" else [])
    assert [answer.status for answer in answers] == ([503] if is_open else [])


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("standstill_s", [0.5, 4.0])
def test_an_evacuation_request_that_waited_in_a_node_is_carried_out_if_none_for_its_zone_came_meanwhile(
    seed: int, standstill_s: float
) -> None:
    sim = cluster(seed=seed, cores=5, speed=1.0)
    frozen, near = bystander(sim), primary(sim)
    assert evacuate(sim, ip=near, method="POST") == 200
    sim.run(seconds=1.0)
    sim.freeze(ip=frozen, seconds=standstill_s)
    assert sim.ask(ip=near, method="POST", path="/evacuation/z0")[0] == 200  # another zone
    assert evacuate(sim, ip=frozen, method="DELETE") == 200
    assert sim.core(primary(sim)).registry.evacuated_zones == ["z0"]


def test_a_request_of_the_opposite_kind_is_taken_at_once_through_any_node() -> None:
    sim = cluster(seed=3, cores=5, losses=2)
    for i in range(20):
        ip = sim.core_ips[i % 5]
        assert evacuate(sim, ip=ip, method="POST") == 200
        sim.run(seconds=0.5)
        assert evacuate(sim, ip=sim.core_ips[(i * 3 + 1) % 5], method="DELETE") == 200
        sim.run(seconds=0.5)


@pytest.mark.parametrize("depth", [300, 900])
def test_a_configuration_that_can_not_be_written_is_refused_and_the_cluster_goes_on(depth: int) -> None:
    sim = cluster(seed=5)
    deep = "[" * depth + "]" * depth
    body = f'{{"config-version": 7, "route-table": [], "service-table": [], "x": {deep}}}'.encode()
    for ip in sim.core_ips:
        assert send(sim, ip=ip, base=1, body=body)[0] == 400
    assert send(sim, ip=sim.core_ips[1], base=1, body=patch(version=2), method="PATCH")[0] == 200
    assert read(sim, sim.core_ips[2]) == 2


def test_items_that_are_no_objects_are_refused_by_any_node() -> None:
    sim = cluster(seed=6)
    body = b'{"config-version": 7, "upserts": {"route-table": ["fast"]}, "removals": {"route-table": ["slow"]}}'
    assert [send(sim, ip=ip, base=1, body=body, method="PATCH")[0] for ip in sim.core_ips] == [400] * 3


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("how", ["kill", "power", "all"])
def test_a_repeat_is_known_after_a_takeover_and_after_replay_from_disk(seed: int, how: str) -> None:
    sim = cluster(seed=seed)
    lead = primary(sim)
    requests = [
        (1, patch(version=2), "PATCH"),
        (2, orjson.dumps(config(version=5, more=3)), "PUT"),
        (5, patch(version=6, tries=4), "PATCH"),
    ]
    for base, body, method in requests:
        assert send(sim, ip=others(sim, lead)[0], base=base, body=body, method=method)[0] == 200
    for ip in sim.core_ips if how == "all" else [lead]:
        sim.kill(ip=ip, power=how != "kill")
        sim.at(delay=1.0 if how == "all" else 6.0, fn=lambda ip=ip: sim.boot(ip=ip))  # type: ignore[misc]
    sim.run(seconds=1.5)
    assert how == "all" or primary(sim) != lead
    for ip in sim.core_ips if how == "all" else others(sim, lead):
        for base, body, method in requests:
            assert send(sim, ip=ip, base=base, body=body, method=method)[0] in (200, *UNCLEAR)
    sim.run(seconds=8.0)
    for ip in sim.core_ips:
        for base, body, method in requests:
            assert send(sim, ip=ip, base=base, body=body, method=method)[0] == 200
    assert read(sim, sim.core_ips[0]) == 6


def test_a_repeat_elsewhere_while_the_first_waits_ends_both_with_200_once_durable() -> None:
    """The disk of the primary stands still: neither copy may be confirmed, nor a rival refused, before it goes on."""
    sim = cluster(seed=8)
    lead = primary(sim)
    sim.stalls[lead] = sim.now + 0.6
    body, rival = patch(version=2), patch(version=2, tries=5)
    copies = [begin(sim, ip=ip, base=1, body=body, method="PATCH") for ip in (*others(sim, lead), lead)]
    sim.run(seconds=0.05)
    rivals = [begin(sim, ip=ip, base=1, body=rival, method="PATCH") for ip in others(sim, lead)]
    sim.run(seconds=0.4)
    assert copies == [[], [], []]
    assert rivals == [[], []]
    sim.run(seconds=2.0)
    assert [[response.status for response in got] for got in copies] == [[200]] * 3
    assert [[response.status for response in got] for got in rivals] == [[412]] * 2


@pytest.mark.parametrize("seed", range(4))
def test_a_refusal_that_rests_on_lost_state_is_never_sent(seed: int) -> None:
    """The primary has applied a request that reached no backup and is lost with it: nobody may have been told 412."""
    sim = cluster(seed=seed)
    lead = primary(sim)
    sim.stalls[lead] = sim.now + 99.0
    for ip in others(sim, lead):
        sim.cut(a=lead, b=ip, one_way=True)
    first = begin(sim, ip=lead, base=1, body=patch(version=2), method="PATCH")
    sim.run(seconds=0.02)
    rival = begin(sim, ip=lead, base=1, body=patch(version=3, tries=5), method="PATCH")
    sim.run(seconds=0.1)
    assert first == []
    assert rival == []
    sim.kill(ip=lead, power=True)
    sim.heal()
    assert first == []
    assert rival == []
    sim.run(seconds=3.0)
    left = others(sim, lead)[0]
    assert read(sim, left) == 1
    assert send(sim, ip=left, base=1, body=patch(version=3, tries=5), method="PATCH")[0] == 200


def test_a_node_out_of_touch_refuses_nothing() -> None:
    sim = cluster(seed=11)
    lead = primary(sim)
    far = others(sim, lead)[0]
    for ip in others(sim, far):
        sim.cut(a=far, b=ip)
    sim.run(seconds=3.0)
    for base, body, method in (
        (0, b"{}", "PUT"),
        (99, patch(version=2), "PATCH"),
        (1, patch(version=2), "PATCH"),
        (1, patch(version=1), "PATCH"),
        (1, b"{", "PUT"),
    ):
        assert send(sim, ip=far, base=base, body=body, method=method)[0] in UNCLEAR
    assert sim.ask(ip=far, method="GET", path="/config")[0] in UNCLEAR
    assert evacuate(sim, ip=far, method="POST") in UNCLEAR
    assert send(sim, ip=far, base=1, body=b"\xff", method="PUT")[0] == 400  # the body alone is wrong


@pytest.mark.parametrize("seed", range(6))
def test_of_eight_requests_at_once_on_one_version_one_wins(seed: int) -> None:
    sim = cluster(seed=seed, cores=5, losses=2)
    for turn in range(10):
        base = read(sim, sim.core_ips[turn % 5])
        got = [
            begin(
                sim,
                ip=sim.core_ips[i % 5],
                base=base,
                body=patch(version=base + 1 + i // 4, tries=i + 1),
                method="PATCH",
            )
            for i in range(8)
        ]
        sim.run(seconds=1.0)
        assert sorted(response.status for answers in got for response in answers) == [200, *[412] * 7]


def test_a_repeat_is_known_after_hundreds_of_changes_and_a_takeover() -> None:
    sim = cluster(seed=12)
    for version in range(2, 330):
        assert (
            send(sim, ip=sim.core_ips[version % 3], base=version - 1, body=patch(version=version), method="PATCH")[0]
            == 200
        )
    lead = primary(sim)
    sim.kill(ip=lead, power=True)
    sim.run(seconds=3.0)
    for version in (2, 3, 150, 329):
        assert (
            send(sim, ip=others(sim, lead)[1], base=version - 1, body=patch(version=version), method="PATCH")[0] == 200
        )
    assert send(sim, ip=others(sim, lead)[1], base=1, body=patch(version=2, tries=5), method="PATCH")[0] == 412
