"""The envelope of a simulated frame, which receivers check by the same rule as a real one."""

from dataclasses import dataclass

from ...transport.message_kinds import Lane
from ...transport.sequence_tracker import SequenceTracker


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """The fields of a frame's envelope.

    Attributes:
        ip: Address of the sending machine.
        node_id: Node ID of the sender.
        incarnation: Incarnation of the sender.
        connection: Number of the connection; all connections of a process have the number of the process.
        lane: The lane in which frames keep their order.
        seq: Sequence number of the frame within its lane and connection, from 1 on.
    """

    ip: str
    node_id: str
    incarnation: int
    connection: int
    lane: Lane
    seq: int

    def taken(self, *, seen: SequenceTracker) -> tuple[bool, bool]:
        """Return whether a receiver accepts the frame, and whether frames before it are missing."""
        return seen.take(
            source=self.ip,
            lane=self.lane,
            node_id=self.node_id,
            incarnation=self.incarnation,
            sequence=self.seq,
            connection=self.connection,
        )
