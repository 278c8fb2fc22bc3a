"""Which minions should move to other agents in quiet times: a few at a time, only once their agent released them."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..cluster_state.minion_ownership import MinionMove

QUIET_S = 6.0  # no minion had to change its owner for this long: some may move back
QUIET_AFTER_JOIN_S = 1.0  # nor did a core join for this long
ROUND_INTERVAL_S = 0.5
MOVES_PER_ROUND = 16
RELEASE_TIMEOUT_S = 2.0  # an agent that has not released minions by then keeps them


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedMove:
    """A minion that should move from one agent to another."""

    owner: str
    new_owner: str


class MinionRebalancing:
    """The moves of the present round.

    Invariant: a minion moves only if its agent held it when it was asked to release it, and holds it no longer.

    Attributes:
        moves: By minion, where it should move.
        requested: Of these minions, those that their agent held when it was asked.
    """

    def __init__(self, *, now: float, has_minions: bool) -> None:
        self.moves: dict[str, PlannedMove] = {}
        self.requested: set[str] = set()
        self._round_began_at = now
        self._disturbed_at = now if has_minions else now - QUIET_S + QUIET_AFTER_JOIN_S

    def on_disturbance(self, *, now: float) -> None:
        """Minions had to change their owners, or to get new fencing tokens."""
        self._disturbed_at = now

    def on_member_joined(self, *, now: float) -> None:
        """A core joined: others are about to."""
        self._disturbed_at = max(self._disturbed_at, now - QUIET_S + QUIET_AFTER_JOIN_S)

    def to_release(self, *, node_id: str) -> list[str]:
        """The minions that an agent should release."""
        return [minion_id for minion_id, move in self.moves.items() if move.owner == node_id]

    def on_requested(self, *, minion_ids: Iterable[str]) -> None:
        """An agent that holds these minions is asked to release them."""
        self.requested.update(minion_ids)

    def take_released(self, *, node_id: str, held: Iterable[str]) -> dict[str, str]:
        """The moves that an agent has made possible, as it lists what it holds; they are planned no longer.

        Returns:
            By minion, its new owner.
        """
        still_held = set(held)
        released = [
            minion_id
            for minion_id in self.to_release(node_id=node_id)
            if minion_id in self.requested and minion_id not in still_held
        ]
        return {minion_id: self.moves.pop(minion_id).new_owner for minion_id in released}

    def begin_round(self, *, now: float) -> bool:
        """End the present round if its time is over; whether moves may be planned."""
        round_s = now - self._round_began_at
        if round_s < (max(RELEASE_TIMEOUT_S, ROUND_INTERVAL_S) if self.moves else ROUND_INTERVAL_S):
            return False
        self.moves.clear()
        self.requested.clear()
        return now - self._disturbed_at >= QUIET_S

    def plan(self, *, moves: Iterable[MinionMove], owners: dict[str, str], now: float) -> None:
        """Begin a round with these moves; `owners`: by minion, its present agent."""
        self._round_began_at = now
        self.moves = {
            move.minion_id: PlannedMove(owner=owners[move.minion_id], new_owner=move.new_owner) for move in moves
        }
