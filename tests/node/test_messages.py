"""Heartbeats, their acknowledgements and cluster updates: the keys on the wire, and what is refused."""

from typing import Any

import orjson
import pytest

from yarrowloom.cluster_state.registry_rows import CoreMember, MinionRow
from yarrowloom.common.records import MalformedRecordError, Record, decode
from yarrowloom.node.messages import (
    ClusterUpdate,
    Heartbeat,
    HeartbeatAck,
    OwnedMinion,
    RegistryUpdate,
    VersionsHeld,
)
from yarrowloom.replication.epoch import Epoch
from yarrowloom.transport.message import Message

EPOCH = Epoch(number=4, primary="a:1#0", backups=("b:1#0",), witnesses=("a:1#0", "b:1#0"), snapshot_id="s")
EPOCH_BODY = {"n": 4, "p": "a:1#0", "b": ["b:1#0"], "w": ["a:1#0", "b:1#0"], "t": "s"}
HEARTBEAT_BODY: dict[str, Any] = {
    "u": "a:1#0",
    "site": "z0",
    "kind": "core",
    "name": "n",
    "ctl": "a:2",
    "incarnation": 3,
    "t": 1.5,
    "have": {"conf": 7, "mods": 2, "ep": {"0": 4}, "mbps": 2.0, "whole": False, "lost": True},
}


@pytest.mark.parametrize(
    ("message", "body"),
    [
        (ClusterUpdate(), {}),
        (ClusterUpdate(config={"config-version": 3}), {"conf": {"config-version": 3}}),
        (ClusterUpdate(epochs=[(0, EPOCH)]), {"eps": [[0, EPOCH_BODY]]}),
        (
            ClusterUpdate(
                registry=RegistryUpdate(
                    version=5,
                    evacuated_zones=["z1"],
                    members={"a:1#0": CoreMember(zone="z0", name="n", control_address="a:2")},
                )
            ),
            {"reg": {"mods": 5, "evac": ["z1"], "members": {"a:1#0": {"site": "z0", "name": "n", "ctl": "a:2"}}}},
        ),
        (
            Heartbeat(
                node_id="a:1#0",
                zone="z0",
                kind="core",
                name="n",
                control_address="a:2",
                incarnation=3,
                sent_at=1.5,
                versions=VersionsHeld(
                    config_version=7,
                    registry_version=2,
                    epoch_numbers={"0": 4},
                    link_mbps=2.0,
                    wants_full_config=False,
                    has_lost_updates=True,
                ),
            ),
            HEARTBEAT_BODY,
        ),
        (
            HeartbeatAck(sent_at=1.5, proof_age_s=0.25, proof_epoch=4, config_version=7, is_full=True),
            {"t": 1.5, "age": 0.25, "by": 4, "conf": 7, "full": True},
        ),
        (
            HeartbeatAck(
                owned=[
                    OwnedMinion(
                        minion_id="i",
                        fence=9,
                        row=MinionRow(zone="z0", service="s", labels=["k"], owner="a:1#0", fence=9),
                    )
                ],
                disowned=["j"],
            ),
            {"own": [["i", 9, {"site": "z0", "svc": "s", "labels": ["k"], "o": "a:1#0", "f": 9}]], "dis": ["j"]},
        ),
    ],
)
def test_a_message_has_the_keys_of_the_wire_and_is_read_back(message: Message, body: dict[str, Any]) -> None:
    assert orjson.loads(message.encoded()) == body
    assert decode(body, into=type(message)) == message


def test_keys_that_a_newer_version_adds_are_passed_over() -> None:
    assert decode({"t": 1.0, "later": [1]}, into=HeartbeatAck) == HeartbeatAck(sent_at=1.0)


@pytest.mark.parametrize(
    ("into", "body", "field"),
    [
        (Heartbeat, {**HEARTBEAT_BODY, "t": "x"}, r"\$\.t"),
        (Heartbeat, {**HEARTBEAT_BODY, "incarnation": True}, r"\$\.incarnation"),
        (Heartbeat, {**HEARTBEAT_BODY, "have": {"conf": 1, "mods": 1}}, r"`ep`.*\$\.have"),
        (Heartbeat, {key: value for key, value in HEARTBEAT_BODY.items() if key != "u"}, "`u`"),
        (HeartbeatAck, {"by": "x"}, r"\$\.by"),
        (HeartbeatAck, {"own": [["i", "9", {}]]}, r"\$\.own"),
        (HeartbeatAck, {"via": [1]}, r"\$\.via"),
        (ClusterUpdate, {"conf": []}, r"\$\.conf"),
        (ClusterUpdate, {"eps": [[0, {**EPOCH_BODY, "n": -1}]]}, r"\$\.eps"),
        (ClusterUpdate, {"reg": {"mods": 1, "evac": [1]}}, r"\$\.reg\.evac"),
        (ClusterUpdate, [], "ClusterUpdate"),
    ],
)
def test_a_field_of_another_type_is_refused_by_its_name(into: type[Record], body: Any, field: str) -> None:
    with pytest.raises(MalformedRecordError, match=field):
        decode(body, into=into)
