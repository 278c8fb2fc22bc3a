"""Which nodes are known, and which of them are alive."""

from yarrowloom.cluster_state.registry_rows import CoreMember
from yarrowloom.node.messages import Heartbeat, RegistryUpdate, VersionsHeld
from yarrowloom.node.roster import ALIVE_S, FORGET_S, ROWS_KEPT, Roster


def heartbeat(*, node_id: str, kind: str = "core", zone: str = "z1", control_address: str = "") -> Heartbeat:
    return Heartbeat(
        node_id=node_id,
        zone=zone,
        kind=kind,
        name="n",
        control_address=control_address,
        incarnation=1,
        sent_at=0.0,
        versions=VersionsHeld(config_version=0, registry_version=-1, epoch_numbers={}),
    )


def member(*, zone: str = "z0", control_address: str = "m:1") -> CoreMember:
    return CoreMember(zone=zone, name="n", control_address=control_address)


def test_a_node_is_alive_until_its_heartbeats_have_stopped_for_a_while() -> None:
    roster = Roster(node_id="me")
    roster.on_heartbeat(heartbeat=heartbeat(node_id="a"), now=0.0)
    assert roster.is_alive(node_id="a", now=ALIVE_S - 0.01)
    assert not roster.is_alive(node_id="a", now=ALIVE_S)
    assert not roster.is_alive(node_id="b", now=0.0)
    assert roster.is_alive(node_id="me", now=1e9)


def test_cores_are_the_members_and_the_cores_that_are_alive() -> None:
    roster = Roster(node_id="me")
    roster.apply_registry(registry=RegistryUpdate(version=1, members={"m": member()}), now=5.0)
    roster.on_heartbeat(heartbeat=heartbeat(node_id="a"), now=10.0)
    roster.on_heartbeat(heartbeat=heartbeat(node_id="e", kind="edge"), now=10.0)
    assert roster.cores(now=10.0) == ["a", "m"]
    assert roster.cores(now=20.0) == ["m"]
    assert roster.alive_of_kind(kind="edge", now=10.0) == ["e"]


def test_an_older_registry_changes_nothing() -> None:
    roster = Roster(node_id="me")
    assert roster.apply_registry(registry=RegistryUpdate(version=3, evacuated_zones=["z0"]), now=5.0)
    assert not roster.apply_registry(registry=RegistryUpdate(version=3), now=5.0)
    assert not roster.apply_registry(registry=RegistryUpdate(version=2), now=5.0)
    assert roster.registry.evacuated_zones == ["z0"]


def test_the_registry_tells_a_zone_first_and_a_heartbeat_an_address_first() -> None:
    roster = Roster(node_id="me")
    roster.apply_registry(registry=RegistryUpdate(version=1, members={"m": member()}), now=5.0)
    assert (roster.zone(node_id="m"), roster.control_address(node_id="m")) == ("z0", "m:1")
    roster.on_heartbeat(heartbeat=heartbeat(node_id="m", control_address="m:2"), now=1.0)
    assert (roster.zone(node_id="m"), roster.control_address(node_id="m")) == ("z0", "m:2")
    assert (roster.zone(node_id="x"), roster.control_address(node_id="x")) == ("", "")


def test_silent_nodes_are_forgotten_only_once_there_are_many() -> None:
    roster = Roster(node_id="me")
    for number in range(ROWS_KEPT):
        roster.on_heartbeat(heartbeat=heartbeat(node_id=f"n{number}"), now=0.0)
    assert roster.forget_silent(now=10 * FORGET_S) == []
    roster.on_heartbeat(heartbeat=heartbeat(node_id="late"), now=10 * FORGET_S)
    assert len(roster.forget_silent(now=10 * FORGET_S)) == ROWS_KEPT
    assert list(roster.nodes) == list(roster.last_heartbeat) == ["late"]
