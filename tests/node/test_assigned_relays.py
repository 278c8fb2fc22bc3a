"""Relays that feed an edge: how long they are used, and which are left out."""

from yarrowloom.node.assigned_relays import FULL_RETRY_S, SILENCE_S, AssignedRelays


def test_relays_are_in_contact_until_they_were_silent_or_of_no_use_too_long() -> None:
    relays = AssignedRelays()
    assert not relays.are_in_contact(now=0.0)
    relays.on_assigned(node_ids=["a", "b"], now=0.0)
    assert relays.are_in_contact(now=0.9 * SILENCE_S)
    relays.on_ack(node_id="c", is_useful=True, now=0.9 * SILENCE_S)
    relays.on_ack(node_id="a", is_useful=False, now=0.9 * SILENCE_S)
    assert not relays.are_in_contact(now=SILENCE_S)
    relays.on_ack(node_id="a", is_useful=True, now=SILENCE_S)
    assert relays.are_in_contact(now=1.9 * SILENCE_S)


def test_a_relay_without_capacity_is_left_out_for_a_while() -> None:
    relays = AssignedRelays()
    relays.on_assigned(node_ids=["a", "b"], now=0.0)
    relays.on_full(node_id="a", now=1.0)
    assert relays.node_ids == ["b"]
    relays.on_assigned(node_ids=["a"], now=2.0)
    assert relays.node_ids == ["b"]
    relays.on_assigned(node_ids=["a", "c"], now=2.0)
    assert relays.node_ids == ["c"]
    relays.on_assigned(node_ids=["a", "c"], now=1.1 + FULL_RETRY_S)
    assert relays.node_ids == ["a", "c"]
