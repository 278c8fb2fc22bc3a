"""The queue of messages for one peer in one lane."""

from collections import deque

from .envelope import join_messages
from .message_kinds import Kind

MAX_QUEUED_MESSAGES = 8000  # for one peer in one lane; what comes beyond is dropped
FRAME_BYTES = 128 * 1024
PROBES_AFTER_MESSAGES = 4  # empty frames after the last message: longer than a dead connection stays unnoticed
PROBES_AFTER_LOSS = 60


class SendQueue:
    """Messages that wait for one peer in one lane.

    Invariants: each frame's sequence number is above the last one's, and by more than one exactly if messages between
    them were dropped; messages leave in the order in which they came.

    Attributes:
        messages: Kind and encoded body of each message that waits.
        probes_due: Empty frames still to be sent, so that the receiver notices a gap behind the last message.
    """

    def __init__(self) -> None:
        self.messages: deque[tuple[int, bytes]] = deque()
        self.probes_due = 0
        self.is_full = False
        self._sequence = 0

    def put(self, *, kind: Kind, body: bytes) -> bool:
        """Queue a message; false: it was dropped, as the queue is full."""
        if len(self.messages) >= MAX_QUEUED_MESSAGES:
            if not self.is_full:
                self._sequence += 1
            self.is_full = True
            return False
        self.messages.append((int(kind), body))
        return True

    def take(self) -> tuple[int, bytes]:
        """The next frame's sequence number and body: all that waits, up to FRAME_BYTES but at least one message."""
        taken: list[tuple[int, bytes]] = []
        size = 0
        while self.messages and (not taken or size + len(self.messages[0][1]) <= FRAME_BYTES):
            taken.append(self.messages.popleft())
            size += len(taken[-1][1])
        self._sequence += 1
        self.is_full = False
        return self._sequence, join_messages(rows=taken)

    def on_failure(self, *, lost_messages: bool) -> None:
        """A frame could not be sent.

        What waits behind it is dropped too: it would be stale by the time the peer is reached again.

        Args:
            lost_messages: The frame, or the connection that broke, held messages.
        """
        self.probes_due = PROBES_AFTER_LOSS if lost_messages or self.messages else self.probes_due - 1
        self.messages.clear()
        self._sequence += 1

    def on_renewed(self) -> None:
        """A frame was cut off, as its connection led to an earlier incarnation of the peer.

        What waits behind it is for the newer one.
        """
        self.probes_due = PROBES_AFTER_LOSS
        self._sequence += 1

    def on_sent(self, *, held_messages: bool) -> None:
        """A frame has left; `held_messages`: it was no mere probe."""
        self.probes_due = PROBES_AFTER_MESSAGES if held_messages else min(self.probes_due, PROBES_AFTER_MESSAGES) - 1
