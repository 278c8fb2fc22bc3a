"""Messages between members of a group: their encoded form, and what is refused."""

from typing import Any

import orjson
import pytest

from yarrowloom.common.records import MalformedRecordError
from yarrowloom.replication.epoch import Epoch
from yarrowloom.replication.messages import GROUP_MESSAGE_KINDS, LeaseGranted, decode_message
from yarrowloom.transport.message_kinds import Kind

EPOCH = {"n": 7, "p": "a:1#0", "b": ["b:1#0"], "w": ["a:1#0", "b:1#0", "c:1#0"], "t": "a:1#0/1.0/5"}
NUMBER = [3, "a:1#0", 2]
ENCODED: list[tuple[Kind, dict[str, Any]]] = [
    (Kind.PREPARE, {"g": 1, "n": 8, "bal": NUMBER, "cert": EPOCH}),
    (Kind.PROMISE, {"g": 1, "n": 8, "bal": NUMBER, "ok": True, "ab": None, "av": None}),
    (Kind.PROMISE, {"g": 1, "n": 8, "bal": NUMBER, "ok": True, "ab": [2, "b:1#0", 1], "av": EPOCH}),
    (Kind.PROMISE, {"g": 1, "n": 7, "bal": NUMBER, "ok": False, "cur": EPOCH}),
    (Kind.PROMISE, {"g": 1, "n": 8, "bal": NUMBER, "ok": False, "cur": None, "pb": [4, "b:1#0", 1]}),
    (Kind.ACCEPT, {"g": 1, "n": 8, "bal": NUMBER, "val": EPOCH, "cert": EPOCH}),
    (Kind.ACCEPTED, {"g": 1, "n": 8, "bal": NUMBER, "ok": True}),
    (Kind.ACCEPTED, {"g": 1, "n": 8, "bal": NUMBER, "ok": False, "cur": None, "pb": [4, "b:1#0", 1]}),
    (Kind.INSTALL_EPOCH, {"g": 1, "e": EPOCH}),
    (Kind.INSTALL_EPOCH, {"g": 1, "e": EPOCH, "t": 12.5}),
    (Kind.EPOCH_INSTALLED, {"g": 1, "n": 7, "t": 12.5}),
    (Kind.EPOCH_INSTALLED, {"g": 1, "n": 7, "t": None}),
    (Kind.SNAPSHOT, {"g": 1, "inst": 8, "tag": "a:1#0/1.0/5", "applied": 4, "st": '{"rows":[1]}'}),
    (Kind.SNAPSHOT_STORED, {"g": 1, "tag": "a:1#0/1.0/5"}),
    (Kind.APPEND_BATCH, {"g": 1, "n": 7, "first": 4, "evs": [{"t": "x", "rows": [1, 2.5, None]}], "t": 12.5}),
    (Kind.BATCH_APPENDED, {"g": 1, "n": 7, "last": 4, "t": 12.5}),
    (Kind.LEADER_LEASE_REQUEST, {"g": 1, "n": 7, "t": 12.5}),
    (Kind.LEADER_LEASE_REQUEST, {"g": 1, "n": 7, "t": 12.5, "apart": True}),
    (Kind.LEADER_LEASE_GRANTED, {"g": 1, "n": 7, "t": 12.5}),
    (Kind.LEADER_LEASE_GRANTED, {"g": 1, "n": 7, "t": 12.5, "apart": True, "contact": False}),
    (Kind.YIELD, {"g": 1, "n": 7}),
]
MALFORMED: list[tuple[Kind, dict[str, Any], str]] = [
    (Kind.YIELD, {"g": 1}, "`n`"),
    (Kind.YIELD, {"g": "1", "n": 7}, r"\$\.g"),
    (Kind.PREPARE, {"g": 1, "n": 8, "bal": [3, "a:1#0"]}, r"\$\.bal"),
    (Kind.PREPARE, {"g": 1, "n": 8, "bal": NUMBER, "cert": {**EPOCH, "w": "a"}}, r"\$\.cert\.w"),
    (Kind.ACCEPT, {"g": 1, "n": 8, "bal": NUMBER, "cert": EPOCH}, "`val`"),
    (Kind.INSTALL_EPOCH, {"g": 1, "e": {**EPOCH, "n": -1}}, r"\$\.e\.n"),
    (Kind.INSTALL_EPOCH, {"g": 1, "e": {**EPOCH, "n": True}}, r"\$\.e\.n"),
    (Kind.SNAPSHOT, {"g": 1, "inst": 8, "tag": "x", "applied": 4, "st": {"rows": []}}, r"\$\.st"),
    (Kind.APPEND_BATCH, {"g": 1, "n": 7, "first": 4, "evs": [5], "t": 12.5}, r"\$\.evs\[0\]"),
    (Kind.LEADER_LEASE_GRANTED, {"g": 1, "n": 7, "t": 12.5, "contact": 1}, r"\$\.contact"),
]


@pytest.mark.parametrize(("kind", "body"), ENCODED)
def test_message_that_is_decoded_and_encoded_again_is_the_same(kind: Kind, body: dict[str, Any]) -> None:
    message = decode_message(kind=kind, body=body)
    assert message.KIND is kind
    assert orjson.loads(message.encoded()) == body


def test_each_kind_of_message_of_a_group_has_an_encoded_example() -> None:
    assert {kind for kind, _ in ENCODED} == GROUP_MESSAGE_KINDS


@pytest.mark.parametrize(("kind", "body", "field"), MALFORMED)
def test_malformed_message_is_refused_with_the_name_of_its_field(kind: Kind, body: dict[str, Any], field: str) -> None:
    with pytest.raises(MalformedRecordError, match=field):
        decode_message(kind=kind, body=body)


def test_field_of_a_newer_version_is_passed_over() -> None:
    message = decode_message(kind=Kind.LEADER_LEASE_GRANTED, body={"g": 1, "n": 7, "t": 12.5, "newer": [1]})
    assert message == LeaseGranted(group_id=1, epoch_number=7, sent_at=12.5)


def test_epoch_names_its_holders_in_the_order_in_which_they_take_over() -> None:
    epoch = Epoch(number=1, primary="a", backups=("c", "b"), witnesses=("a", "b", "c"), snapshot_id="")
    assert epoch.holders == ("a", "c", "b")
    assert epoch.document() == {"n": 1, "p": "a", "b": ("c", "b"), "w": ("a", "b", "c"), "t": ""}
