"""Claims minions of groups: has each group's scheduler attach every minion that this agent owns."""

from .messages import ClaimedMinion, ClaimMinions
from .minion import Minion
from .minion_table import MinionTable
from .timing import NEVER

CLAIM_S = 0.3  # pause between two claims of a minion; it grows with each one that is not answered
MOST_UNANSWERED = 4


class AttachmentClaims:
    """The claims of one tick: collected minion by minion, then sent in one message a group.

    Attributes:
        primaries: The node that serves each group, with the number of its epoch, as far as known.
    """

    def __init__(self, *, table: MinionTable) -> None:
        self._table = table
        self.primaries = table.primaries()
        self._claims: dict[int, list[ClaimedMinion]] = {}

    def collect(self, minion: Minion) -> None:
        """Drop attachments by primaries that were replaced; claim the minion where it is not attached."""
        now = self._table.environment.now
        for group_id, (_, epoch_number) in self.primaries.items():
            attachment = minion.attachments.get(group_id)
            if attachment is not None and attachment.epoch_number < epoch_number:
                del minion.attachments[group_id]
                attachment = None
            if attachment is None and now - minion.claimed_at.get(group_id, NEVER) > pause_s(minion):
                minion.claimed_at[group_id] = now
                minion.unanswered_requests = min(minion.unanswered_requests + 1, MOST_UNANSWERED)
                self._claims.setdefault(group_id, []).append(_claimed(minion))

    def send(self) -> None:
        """Send what was collected."""
        for group_id, minions in self._claims.items():
            message = ClaimMinions(group_id=group_id, minions=minions)
            self._table.environment.send_message(node_id=self.primaries[group_id][0], message=message)


def pause_s(minion: Minion) -> float:
    """Seconds until a claim of a minion, or a report of its loss, is repeated."""
    return CLAIM_S * (1 + minion.unanswered_requests)


def _claimed(minion: Minion) -> ClaimedMinion:
    return ClaimedMinion(
        minion_id=minion.minion_id,
        fence=minion.fence,
        service=minion.service,
        zone=minion.zone,
        labels=minion.labels,
        capacity=minion.capacity,
    )
