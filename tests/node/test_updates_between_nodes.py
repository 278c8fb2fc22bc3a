"""What a node sends another of the cluster's state, and when its own heartbeats are due: one node, no network."""

from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.registry_rows import CoreMember
from yarrowloom.common.log import Log
from yarrowloom.node.config_dissemination import RESEND_S
from yarrowloom.node.edge import EdgeNode
from yarrowloom.node.heartbeats import FULL_CONFIG_S, HASTY_HEARTBEAT_S, HEARTBEAT_S
from yarrowloom.node.messages import ClusterUpdate, Heartbeat, HeartbeatAck, RegistryUpdate, VersionsHeld
from yarrowloom.replication.epoch import Epoch
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.sample_config import config
from yarrowloom.transport.message_kinds import Kind

OTHER = "10.0.1.9:7001#x"
WATCHERS = ["10.0.0.1:7000#0", "10.0.0.2:7000#0"]


def edge() -> EdgeNode:
    """An edge of two known cores, with configuration 3, at time 100."""
    settings = Sim(seed=1, cores=1).settings(ip="10.0.1.1", first=False)
    node = EdgeNode(settings=settings, node_id="10.0.1.1:7001#me", incarnation=1, log=Log(name="t", level="error"))
    node.now = 100.0
    members = {node_id: CoreMember(zone="z0", name="n", control_address="") for node_id in WATCHERS}
    node.apply_update(update=ClusterUpdate(registry=RegistryUpdate(version=1, members=members)))
    node.apply_update(update=ClusterUpdate(config=config(version=3)))
    node.heartbeats.last_ack = node.now
    node.freshness.prove(at=node.now, epoch=1)
    return node


def hears(node: EdgeNode, **versions: Any) -> None:
    """A heartbeat of the other node: it holds the registry, and of the rest what is given."""
    held = VersionsHeld(**{"config_version": 0, "registry_version": 1, "epoch_numbers": {}, **versions})
    node.on_heartbeat(
        heartbeat=Heartbeat(
            node_id=OTHER,
            zone="z0",
            kind="edge",
            name="n",
            control_address="",
            incarnation=1,
            sent_at=node.now,
            versions=held,
        )
    )


def sent(node: EdgeNode, *, kind: Kind) -> list[dict[str, Any]]:
    """Bodies of the messages that the node has sent since the last look."""
    bodies = [orjson.loads(body) for _, message_kind, body in node.out.sends if message_kind is kind]
    node.out.sends.clear()
    return bodies


def parts(node: EdgeNode) -> set[str]:
    """Which parts an update for the other node has now."""
    return set(node.dissemination.update_for(node_id=OTHER).document())


def test_the_whole_configuration_goes_only_to_a_node_that_asks_this_one_for_it() -> None:
    node = edge()
    hears(node, wants_full_config=False)
    assert parts(node) == set()
    hears(node, wants_full_config=True)
    assert parts(node) == {"conf"}


def test_a_node_that_holds_an_older_version_gets_the_change() -> None:
    node = edge()
    node.apply_update(update=ClusterUpdate(config=config(version=4)))
    hears(node, config_version=3, wants_full_config=False)
    assert parts(node) == {"delta"}


def test_what_is_on_its_way_goes_again_only_after_a_while_or_once_it_is_said_to_be_lost() -> None:
    node = edge()
    hears(node, config_version=0)
    assert parts(node) == {"conf"}
    hears(node, config_version=0)
    assert parts(node) == set()
    hears(node, config_version=0, has_lost_updates=True)
    assert parts(node) == {"conf"}
    node.now += RESEND_S + 1.0
    assert parts(node) == {"conf"}


def test_epochs_and_registry_go_to_who_lacks_them() -> None:
    node = edge()
    epoch = Epoch(number=2, primary="a", backups=(), witnesses=("a",), snapshot_id="")
    node.learn(epochs=[(0, epoch)])
    hears(node, config_version=3, registry_version=0, epoch_numbers={"0": 1})
    assert parts(node) == {"reg", "eps"}
    hears(node, config_version=3, registry_version=1, epoch_numbers={"0": 2})
    assert parts(node) == set()


def test_what_is_newer_is_passed_on_and_what_is_not_is_not() -> None:
    node = edge()
    hears(node, config_version=3)
    node.apply_update(update=ClusterUpdate(config=config(version=4)))
    assert [set(body) for body in sent(node, kind=Kind.CLUSTER_UPDATE)] == [{"delta"}]
    node.apply_update(update=ClusterUpdate(config=config(version=4)))
    node.apply_update(update=ClusterUpdate(config=config(version=2)))
    assert sent(node, kind=Kind.CLUSTER_UPDATE) == []
    assert node.config_version() == 4


def test_a_change_that_does_not_fit_makes_the_node_ask_for_all_at_once() -> None:
    node, newer = edge(), edge()
    newer.apply_update(update=ClusterUpdate(config=config(version=4)))
    delta = newer.dissemination.history.delta_since(config_version=3)
    assert delta is not None
    node.dissemination.history.documents[3]["route-table"] = []
    node.heartbeats.send_due()
    sent(node, kind=Kind.HEARTBEAT)
    node.apply_update(update=ClusterUpdate(config_delta=delta))
    assert node.config_version() == 3
    node.heartbeats.send_due()
    bodies = sent(node, kind=Kind.HEARTBEAT)
    assert {body["have"]["conf"] for body in bodies} == {0}
    assert sum(body["have"]["whole"] for body in bodies) == 1


def test_heartbeats_go_to_the_watchers_once_a_period() -> None:
    node = edge()
    node.heartbeats.send_due()
    assert len(sent(node, kind=Kind.HEARTBEAT)) == len(WATCHERS)
    node.now += HEARTBEAT_S - 0.01
    node.heartbeats.send_due()
    assert sent(node, kind=Kind.HEARTBEAT) == []
    node.now += 0.01
    node.heartbeats.send_due()
    assert len(sent(node, kind=Kind.HEARTBEAT)) == len(WATCHERS)


@pytest.mark.parametrize("lost", ["gap", "ack"])
def test_after_a_lost_update_the_next_heartbeat_comes_soon_and_says_so(lost: str) -> None:
    node = edge()
    node.heartbeats.send_due()
    sent(node, kind=Kind.HEARTBEAT)
    if lost == "gap":
        node.heartbeats.on_sequence_gap(node_id=WATCHERS[0])
    else:
        ack = HeartbeatAck(sent_at=node.now, registry_version=2)
        node.heartbeats.on_ack(node_id=WATCHERS[0], ack=ack)
    node.now += HASTY_HEARTBEAT_S + 0.01
    node.heartbeats.send_due()
    assert sum(body["have"]["lost"] for body in sent(node, kind=Kind.HEARTBEAT)) == 1
    node.now += HEARTBEAT_S
    node.heartbeats.send_due()
    assert not any(body["have"]["lost"] for body in sent(node, kind=Kind.HEARTBEAT))


def test_a_watcher_that_does_not_send_the_configuration_in_time_is_passed_over() -> None:
    node = edge()
    node.heartbeats.send_due()
    first = node.heartbeats.full_config_source
    for node_id in WATCHERS:
        ack = HeartbeatAck(sent_at=node.now, proof_age_s=0.0, proof_epoch=1, config_version=4)
        node.heartbeats.on_ack(node_id=node_id, ack=ack)
    node.now += FULL_CONFIG_S + 0.1
    node.heartbeats.send_due()
    assert {first, node.heartbeats.full_config_source} == set(WATCHERS)


def test_while_nobody_answers_all_nodes_known_are_asked() -> None:
    node = edge()
    epoch = Epoch(number=2, primary="10.0.0.7:7000#0", backups=(), witnesses=(), snapshot_id="")
    node.learn(epochs=[(1, epoch)])
    assert "10.0.0.7:7000#0" not in node.heartbeat_targets()
    node.now += 1.1
    assert "10.0.0.7:7000#0" in node.heartbeat_targets()
