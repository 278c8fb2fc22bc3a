"""The minions that an agent owns, and what its parts must know of all of them."""

from .environment import AgentEnvironment
from .minion import Minion, Phase
from .timing import LATEST_RESPONSE_S, OVERDUE_MARGIN_S, AgentTiming


class MinionTable:
    """The agent's minions. The parts of the agent share it; each changes only what its own module tells.

    Attributes:
        environment: The node.
        timing: Times from the settings.
        group_ids: All job groups.
        group_count: How many they are.
        minions: Owned minions, by their IDs.
        watched: Minions that are looked at in every tick, not only in every full scan.
        capacity_changed: Minions whose free capacity, or being open, may differ from what schedulers were told.
        reported_open: Minions that schedulers were last told to be open.
    """

    def __init__(self, *, environment: AgentEnvironment, timing: AgentTiming) -> None:
        self.environment = environment
        self.timing = timing
        self.group_ids = tuple(environment.groups())
        self.group_count = len(self.group_ids)
        self.minions: dict[str, Minion] = {}
        self.watched: set[str] = set()
        self.capacity_changed: set[str] = set()
        self.reported_open: set[str] = set()
        self._response_wait_s = max(timing.heartbeat_ms / 1000, LATEST_RESPONSE_S)

    def find(self, *, minion_id: str, fence: int) -> Minion | None:
        """The minion, if it is owned under this fence."""
        minion = self.minions.get(minion_id)
        return minion if minion is not None and minion.fence == fence else None

    def primaries(self) -> dict[int, tuple[str, int]]:
        """The primary of each group that has one, as far as known: its node and the number of its epoch."""
        environment = self.environment
        return {
            group_id: primary
            for group_id in self.group_ids
            if (primary := environment.primary(group_id=group_id)) is not None
        }

    def was_attached_by_all(self, minion: Minion) -> bool:
        """Whether every group has attached the minion once under its fence: then all that it should run is known."""
        return len(minion.once_attached) == self.group_count

    def is_overdue(self, minion: Minion) -> bool:
        """Whether a heartbeat that should have come has not: the minion may be cut off or dead.

        A heartbeat that waits for its response does so for `LATEST_RESPONSE_S` at most.
        """
        expected_at = minion.last_heartbeat_at + minion.retry_after_s
        return self.environment.now > expected_at + self._response_wait_s + OVERDUE_MARGIN_S

    def is_open(self, minion: Minion) -> bool:
        """Whether leases on the minion may be granted."""
        return (
            minion.phase is Phase.KNOWN
            and not minion.is_draining
            and not self.is_overdue(minion)
            and self.environment.now >= minion.no_leases_until
            and not self.environment.evacuated(zone=minion.zone)
            and self.was_attached_by_all(minion)
        )
