"""Who may be a backup, and who is up: the view of the members by itself."""

from dataclasses import dataclass, field

import pytest

from yarrowloom.cluster_state.registry_rows import CoreMember
from yarrowloom.common.settings import NodeSettings
from yarrowloom.node.epochs import KnownEpochs
from yarrowloom.node.membership import LISTED_ALIVE_S, Membership
from yarrowloom.node.messages import Heartbeat, RegistryUpdate, VersionsHeld
from yarrowloom.node.roster import Roster
from yarrowloom.replication.epoch import Epoch
from yarrowloom.simulator.cluster import Sim

OWN = "10.0.0.1:7000#0"


def own_settings() -> NodeSettings:
    """Settings of a core in zone z0."""
    return Sim(seed=1, cores=1).settings(ip="10.0.0.1", first=False)


@dataclass
class Node:
    """What the view needs of its node."""

    now: float = 100.0
    node_id: str = OWN
    settings: NodeSettings = field(default_factory=own_settings)
    roster: Roster = field(default_factory=lambda: Roster(node_id=OWN))
    epochs: KnownEpochs = field(default_factory=KnownEpochs)


def membership(**zones: str) -> tuple[Node, Membership]:
    """A view of members by zone; all are up."""
    node = Node()
    members = {node_id: CoreMember(zone=zone, name="n", control_address="") for node_id, zone in zones.items()}
    members[OWN] = CoreMember(zone=node.settings.zone, name="n", control_address="")
    node.roster.apply_registry(registry=RegistryUpdate(version=1, members=members), now=node.now)
    view = Membership(environment=node)
    view.on_listed_alive(node_ids=members)
    return node, view


def heartbeat(*, node_id: str, zone: str) -> Heartbeat:
    return Heartbeat(
        node_id=node_id,
        zone=zone,
        kind="core",
        name="n",
        control_address="",
        incarnation=1,
        sent_at=0.0,
        versions=VersionsHeld(config_version=0, registry_version=-1, epoch_numbers={}),
    )


def test_a_member_that_the_controller_lists_is_up_for_a_while() -> None:
    node, view = membership(a="z1")
    assert view.is_up(node_id="a")
    node.now += LISTED_ALIVE_S
    assert not view.is_up(node_id="a")
    node.roster.on_heartbeat(heartbeat=heartbeat(node_id="a", zone="z1"), now=node.now)
    assert view.is_up(node_id="a")
    assert view.is_up(node_id=OWN)


def test_backups_come_from_other_zones_first_and_by_turns() -> None:
    node, view = membership(a="z1", b="z1", c="z2", d="z0")
    assert node.settings.zone == "z0"
    assert view.backup_candidates(first=[]) == ["a", "c", "b", "d"]
    assert view.backup_candidates(first=["b"]) == ["b", "c", "a", "d"]


def test_a_member_that_is_not_up_is_the_last_choice() -> None:
    node, view = membership(a="z1", c="z2")
    node.now += LISTED_ALIVE_S
    node.roster.on_heartbeat(heartbeat=heartbeat(node_id="c", zone="z2"), now=node.now)
    assert view.backup_candidates(first=["a"]) == ["c", "a"]


def test_of_equal_members_the_less_loaded_comes_first() -> None:
    node, view = membership(a="z1", b="z1")
    epoch = Epoch(number=1, primary="a", backups=(), witnesses=("a",), snapshot_id="")
    node.epochs.learn(epochs=[(1, epoch)])
    assert view.backup_candidates(first=[]) == ["b", "a"]


@pytest.mark.parametrize(
    ("holders", "others"),
    [
        (["a", "b"], ["c", OWN]),
        (["a", "c"], []),
        (["a", "unknown"], []),
        (["unknown"], []),
    ],
)
def test_other_zones_are_named_only_if_all_holders_stand_in_one(holders: list[str], others: list[str]) -> None:
    _, view = membership(a="z1", b="z1", c="z2")
    assert sorted(view.other_zones(holders=holders)) == sorted(others)


def test_a_node_id_that_gave_way_to_another_at_its_address_does_not_count() -> None:
    node, view = membership(**{"10.0.0.2:7000#0": "z1"})
    assert "10.0.0.2:7000#0" in view.zones()
    node.roster.on_heartbeat(heartbeat=heartbeat(node_id="10.0.0.2:7000#f", zone="z1"), now=node.now)
    assert view.zones() == {OWN: "z0", "10.0.0.2:7000#f": "z1"}


def test_witnesses_stay_while_too_few_members_are_up_for_a_better_set() -> None:
    _, view = membership(a="z1")
    current = ["x", "y", "z"]
    assert view.witnesses(current=current) == current
