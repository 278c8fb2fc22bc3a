"""Which frames a receiver takes: the newest of each lane, from the newest incarnation at each address."""

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_RETIRED = 16  # identities remembered per address


class SenderIdentity(NamedTuple):
    """One incarnation of a process.

    A core node keeps its node id with its disk and counts its starts there (`incarnation`); an edge node has an id of
    its own for each start.
    """

    node_id: str
    incarnation: int


@dataclass(slots=True, kw_only=True)
class _Sender:
    """The incarnation that counts at one address.

    Attributes:
        connection: The number of the newest connection that brought one of its frames.
        sequences: By lane, the number of the newest frame taken.
        retired: Incarnations before this one, the oldest first.
    """

    identity: SenderIdentity
    connection: int
    sequences: dict[int, int] = field(default_factory=dict)
    retired: dict[SenderIdentity, None] = field(default_factory=dict)


class SequenceTracker:
    """The newest frame taken from each address in each lane, and from which incarnation of the process there.

    Invariants: sequence numbers belong to one address, lane and incarnation; at an address one incarnation counts at
    a time, and one that was replaced never counts again. Of two with the same node id the higher number is the later
    one; of two with different ids the one whose connection was accepted later, since no connection can be opened (see
    `PeerConnections`) by a process whose successor has already opened one.
    """

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def take(
        self, *, source: str, lane: int, node_id: str, incarnation: int, sequence: int, connection: int
    ) -> tuple[bool, bool]:
        """Whether a frame is to be taken, and whether others before it are missing.

        Args:
            source: The sender's address.
            lane: The frame's lane.
            node_id: The sender's node id.
            incarnation: The sender's incarnation.
            sequence: The frame's number in its lane.
            connection: The number of the connection that brought it; they are numbered as they are accepted.

        >>> tracker = SequenceTracker()
        >>> sender = {"source": "a", "lane": 2, "node_id": "a#0", "incarnation": 1, "connection": 1}
        >>> [tracker.take(sequence=sequence, **sender) for sequence in (1, 2, 2, 4)]
        [(True, True), (True, False), (False, False), (True, True)]
        >>> tracker.take(source="a", lane=2, node_id="a#7", incarnation=1, sequence=1, connection=2)
        (True, True)
        >>> tracker.take(source="a", lane=2, node_id="a#0", incarnation=1, sequence=5, connection=1)
        (False, False)
        """
        sender = self._senders.get(source)
        if sender is None:
            sender = self._senders[source] = _Sender(
                identity=SenderIdentity(node_id, incarnation), connection=connection
            )
        elif sender.identity != (node_id, incarnation):
            identity = SenderIdentity(node_id, incarnation)
            if not self._follows(sender=sender, identity=identity, connection=connection):
                return False, False
            sender = self._senders[source] = self._succeeded(sender=sender, identity=identity, connection=connection)
        if connection > sender.connection:
            sender.connection = connection
        last = sender.sequences.get(lane, 0)
        if sequence <= last:
            return False, False
        sender.sequences[lane] = sequence
        return True, last == 0 or sequence != last + 1

    def current(self, *, source: str) -> SenderIdentity | None:
        """The incarnation that counts at an address."""
        sender = self._senders.get(source)
        return sender.identity if sender is not None else None

    @staticmethod
    def _follows(*, sender: _Sender, identity: SenderIdentity, connection: int) -> bool:
        if identity in sender.retired:
            return False
        if identity.node_id == sender.identity.node_id:
            return identity.incarnation > sender.identity.incarnation
        return connection > sender.connection

    @staticmethod
    def _succeeded(*, sender: _Sender, identity: SenderIdentity, connection: int) -> _Sender:
        retired = {**sender.retired, sender.identity: None}
        while len(retired) > MAX_RETIRED:
            del retired[next(iter(retired))]
        return _Sender(identity=identity, connection=max(connection, sender.connection), retired=retired)
