"""The envelope of a simulated frame, judged by the rule that real ones are judged by."""

from dataclasses import dataclass

from ...transport.message_kinds import Lane
from ...transport.sequence_tracker import SequenceTracker


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """What a frame's envelope says. A life's connections have its number: no life opens one after its successor."""

    ip: str
    node_id: str
    incarnation: int
    connection: int
    lane: Lane
    seq: int

    def taken(self, *, seen: SequenceTracker) -> tuple[bool, bool]:
        """Whether a receiver takes the frame, and whether others before it are missing."""
        return seen.take(
            source=self.ip,
            lane=self.lane,
            node_id=self.node_id,
            incarnation=self.incarnation,
            sequence=self.seq,
            connection=self.connection,
        )
