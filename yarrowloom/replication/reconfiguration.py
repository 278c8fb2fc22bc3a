"""When a primary asks for another set of witnesses or backups although all that it has answer."""

from .environment import ReplicaEnvironment
from .epoch import Epoch
from .timing import RISK_S, WANT_S

SHORT_MOST = 5


class _Wish:
    """A set of members that has been wished for since some time."""

    def __init__(self) -> None:
        self.members: frozenset[str] = frozenset()
        self.since = 0.0

    def same(self, *, members: frozenset[str], now: float) -> float:
        """Seconds for which exactly these members have been wished for."""
        if members != self.members:
            self.members, self.since = members, now
        return now - self.since

    def some(self, *, members: frozenset[str], now: float) -> float:
        """Seconds for which there has been a member to wish for, one or another of the last set staying."""
        if not members & self.members:
            self.since = now
        self.members = members
        return now - self.since


class Reconfiguration:
    """Invariant: an election costs service, so a better set must have been there for WANT_S, and for RISK_S while the
    budget's losses could take the majority of the witnesses or the last copy; a witness set that is too small for the
    budget even with all of them there grows at once.
    """

    def __init__(self) -> None:
        self.short = 0  # epochs in a row that had to give up on live members: each makes the next try rarer
        self._witnesses = _Wish()
        self._backups = _Wish()
        self._zones = _Wish()

    def formed(self, *, fewer: bool) -> None:
        """An epoch of this primary is installed; `fewer`: without backups that were slow to copy the state."""
        self.short = min(self.short + 1, SHORT_MOST) if fewer else 0

    def reason(self, *, environment: ReplicaEnvironment, epoch: Epoch) -> str:
        """Why an election is due; empty: it is not."""
        now, have = environment.now, epoch.witnesses
        witnesses = frozenset(environment.witnesses(have=have))
        waited = self._witnesses.same(members=witnesses, now=now)
        small = len(have) < 2 * environment.losses() + 1 and len(witnesses) > len(have)
        live = sum(environment.up(node_id=u) for u in have)
        at_risk = 2 * (live - environment.losses()) <= len(have)
        if witnesses != frozenset(have) and (small or waited >= (RISK_S if at_risk else WANT_S)):
            return "witnesses"
        holders = [epoch.primary, *epoch.backups]
        if len(epoch.backups) < environment.losses():
            spare = frozenset(
                u for u in environment.partners(first=epoch.backups) if u not in holders and environment.up(node_id=u)
            )
            if spare and self._backups.some(members=spare, now=now) >= RISK_S * 2**self.short:
                return "backups"
        elsewhere = frozenset(environment.other_zones(holders=holders)) if epoch.backups else frozenset()
        if elsewhere and self._zones.some(members=elsewhere, now=now) >= WANT_S:
            return "zones"
        return ""
