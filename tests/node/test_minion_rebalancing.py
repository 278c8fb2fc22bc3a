"""Moves of minions in quiet times: rounds, their bounds, and what an agent must have released."""

import pytest

from yarrowloom.cluster_state.minion_ownership import MinionMove
from yarrowloom.node.minion_rebalancing import (
    QUIET_AFTER_JOIN_S,
    QUIET_S,
    RELEASE_TIMEOUT_S,
    ROUND_INTERVAL_S,
    MinionRebalancing,
)

MOVES = [MinionMove("i-1", "b"), MinionMove("i-2", "c")]
OWNERS = {"i-1": "a", "i-2": "a"}


@pytest.fixture
def planned() -> MinionRebalancing:
    """A round of two moves away from agent "a", begun at time 0."""
    rebalancing = MinionRebalancing(now=-QUIET_S, has_minions=True)
    assert rebalancing.begin_round(now=0.0)
    rebalancing.plan(moves=MOVES, owners=OWNERS, now=0.0)
    return rebalancing


def test_only_minions_that_were_requested_and_are_held_no_longer_move(planned: MinionRebalancing) -> None:
    assert planned.to_release(node_id="a") == ["i-1", "i-2"]
    assert planned.to_release(node_id="b") == []
    assert planned.take_released(node_id="a", held=[]) == {}
    planned.on_requested(minion_ids=["i-1", "i-2"])
    assert planned.take_released(node_id="b", held=[]) == {}
    assert planned.take_released(node_id="a", held=["i-2"]) == {"i-1": "b"}
    assert planned.to_release(node_id="a") == ["i-2"]


def test_a_round_ends_when_its_moves_were_made_or_had_their_time(planned: MinionRebalancing) -> None:
    assert not planned.begin_round(now=ROUND_INTERVAL_S)
    assert planned.moves
    assert planned.begin_round(now=RELEASE_TIMEOUT_S)
    assert not planned.moves
    planned.plan(moves=MOVES, owners=OWNERS, now=RELEASE_TIMEOUT_S)
    planned.on_requested(minion_ids=OWNERS)
    planned.take_released(node_id="a", held=[])
    assert not planned.begin_round(now=RELEASE_TIMEOUT_S + 0.9 * ROUND_INTERVAL_S)
    assert planned.begin_round(now=RELEASE_TIMEOUT_S + ROUND_INTERVAL_S)


def test_nothing_moves_until_it_was_quiet_long_enough() -> None:
    rebalancing = MinionRebalancing(now=0.0, has_minions=True)
    assert not rebalancing.begin_round(now=0.9 * QUIET_S)
    assert rebalancing.begin_round(now=QUIET_S)
    rebalancing.on_disturbance(now=QUIET_S)
    assert not rebalancing.begin_round(now=1.9 * QUIET_S)
    assert rebalancing.begin_round(now=2 * QUIET_S)


def test_a_member_that_joins_makes_for_a_short_pause_only() -> None:
    rebalancing = MinionRebalancing(now=0.0, has_minions=False)
    assert not rebalancing.begin_round(now=0.9 * QUIET_AFTER_JOIN_S)
    rebalancing.on_member_joined(now=1.0)
    assert not rebalancing.begin_round(now=1.0 + 0.9 * QUIET_AFTER_JOIN_S)
    assert rebalancing.begin_round(now=1.0 + QUIET_AFTER_JOIN_S)
    rebalancing.on_disturbance(now=3.0)
    rebalancing.on_member_joined(now=3.5)
    assert not rebalancing.begin_round(now=3.5 + QUIET_AFTER_JOIN_S)
