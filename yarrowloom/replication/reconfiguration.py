"""When a primary asks for another set of witnesses or backups although all members that it has answer."""

from collections.abc import Sequence

from .environment import ReplicaEnvironment
from .epoch import Epoch
from .timing import RISK_WISH_S, STABLE_WISH_S

MAX_SHORTAGES = 5


class _Wish:
    """A set of members that would be better than the present one, and since when it would."""

    def __init__(self) -> None:
        self.members: frozenset[str] = frozenset()
        self.since = 0.0

    def unchanged_s(self, *, members: frozenset[str], now: float) -> float:
        """Seconds for which exactly these members have been wished for."""
        if members != self.members:
            self.members, self.since = members, now
        return now - self.since

    def overlapping_s(self, *, members: frozenset[str], now: float) -> float:
        """Seconds for which there has been a member to wish for, at least one of each set staying in the next."""
        if not members & self.members:
            self.since = now
        self.members = members
        return now - self.since


class Reconfiguration:
    """Whether an election for a better set of members is due.

    An election interrupts the service. So a better set must have been there for STABLE_WISH_S; for RISK_WISH_S where
    the budget's losses could take the majority of the witnesses or the last copy. A set of witnesses that is too small
    for the budget even with all of them there grows at once.

    Attributes:
        shortages: Epochs in a row that had to give up on live members: each makes the next attempt rarer.
    """

    def __init__(self) -> None:
        self.shortages = 0
        self._witnesses = _Wish()
        self._backups = _Wish()
        self._zones = _Wish()

    def epoch_installed(self, *, has_given_up_on_members: bool) -> None:
        """An epoch of this primary is installed.

        Args:
            has_given_up_on_members: It does without live members that were slow to store the snapshot.
        """
        self.shortages = min(self.shortages + 1, MAX_SHORTAGES) if has_given_up_on_members else 0

    def reason(self, *, environment: ReplicaEnvironment, epoch: Epoch) -> str:
        """Why an election is due; empty: it is not."""
        if self._needs_other_witnesses(environment=environment, have=epoch.witnesses):
            return "witnesses"
        if len(epoch.backups) < environment.tolerated_losses() and self._has_more_backups(
            environment=environment, epoch=epoch
        ):
            return "backups"
        if self._has_other_zones(environment=environment, epoch=epoch):
            return "zones"
        return ""

    def _needs_other_witnesses(self, *, environment: ReplicaEnvironment, have: Sequence[str]) -> bool:
        wanted = frozenset(environment.next_witnesses(current=have))
        waited_s = self._witnesses.unchanged_s(members=wanted, now=environment.now)
        if wanted == frozenset(have):
            return False
        if len(have) < 2 * environment.tolerated_losses() + 1 and len(wanted) > len(have):
            return True
        live: int = sum(int(environment.is_up(node_id=node_id)) for node_id in have)
        is_at_risk: bool = 2 * (live - environment.tolerated_losses()) <= len(have)
        return waited_s >= (RISK_WISH_S if is_at_risk else STABLE_WISH_S)

    def _has_more_backups(self, *, environment: ReplicaEnvironment, epoch: Epoch) -> bool:
        candidates = frozenset(
            node_id
            for node_id in environment.backup_candidates(preferred=epoch.backups)
            if node_id not in epoch.holders and environment.is_up(node_id=node_id)
        )
        if not candidates:
            return False
        waited_s = self._backups.overlapping_s(members=candidates, now=environment.now)
        wanted_s: float = RISK_WISH_S * 2**self.shortages
        return waited_s >= wanted_s

    def _has_other_zones(self, *, environment: ReplicaEnvironment, epoch: Epoch) -> bool:
        elsewhere = frozenset(environment.other_zones(holders=epoch.holders)) if epoch.backups else frozenset()
        if not elsewhere:
            return False
        return self._zones.overlapping_s(members=elsewhere, now=environment.now) >= STABLE_WISH_S
