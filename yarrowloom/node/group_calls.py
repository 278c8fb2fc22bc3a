"""Calls from this node to whoever serves a group: repeated until answered, given up at a deadline.

What the response rests on may take longer than the time between repeats; so the receiver knows the calls that it has
in progress (`in_progress_calls`).

A call's identity is the caller's node ID and a number that holds the caller's incarnation: no two calls of any lives
share one.
"""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

import msgspec

from ..common.records import Record, decode
from ..replication.epoch import Epoch
from ..transport.message import Message
from .call_messages import NOT_PRIMARY, REFUSALS, CallOperation, GroupCall, GroupReply

RESEND_S = 0.4  # until the first repeat; doubles with each, up to
RESEND_MOST_S = 1.6
LOSS_RESEND_S = 0.05  # a call is repeated for lost frames no sooner than this after it was sent
NO_PRIMARY_RETRY_S = 0.12  # until the next attempt where no primary is known
CALLS_PER_INCARNATION = 1 << 32
GIVEN_UP = 0  # in place of a status: no response came before the deadline, or no clear one


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """How a call ended.

    Attributes:
        status: The response's, as an HTTP status, or `GIVEN_UP`.
        document: The response; None if the call was given up.
        was_sent: Whether some node may have taken the call.
    """

    status: int
    document: Any
    was_sent: bool


Continuation = Callable[[CallResult], None]


def ignore_result(_result: CallResult) -> None:
    """The continuation of a call whose result changes nothing here."""


class CallEnvironment(Protocol):
    """What calls need of their node."""

    now: float
    node_id: str

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node, or to this one."""

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Node ID of a group's primary and the number of its epoch; None: no epoch is known."""

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """Take note of epochs with their groups."""


class PendingCall(msgspec.Struct, kw_only=True):
    """A call that has not ended.

    Attributes:
        request_id: Its number.
        group_id: The group that it is for.
        fixed_node_id: The node that it is for; empty: whoever is the group's primary.
        operation: What is asked for.
        body: The operation's arguments.
        on_end: Called once with the result.
        deadline: Monotonic time at which it is given up.
        started_at: Monotonic time at which it began.
        sent_at: Monotonic time at which it was sent last.
        resend_at: Monotonic time of the next repeat.
        resend_after_s: The time between the next repeat and the one after it.
        was_sent: Whether it was sent to any node.
        asked_primary: The primary, with the number of its epoch, that was known when it was last sent.
        open_copies: By node, the copies sent to it that it has not declined; only these nodes may answer.
    """

    request_id: int
    group_id: int
    fixed_node_id: str
    operation: CallOperation
    body: Record
    on_end: Continuation
    deadline: float
    started_at: float
    sent_at: float = 0.0
    resend_at: float = 0.0
    resend_after_s: float = RESEND_S
    was_sent: bool = False
    asked_primary: tuple[str, int] | None = None
    open_copies: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def receiver(self) -> str:
        """The node that it is for now; empty: none is known."""
        if self.fixed_node_id:
            return self.fixed_node_id
        return self.asked_primary[0] if self.asked_primary is not None else ""

    def may_be_elsewhere(self, *, than: str) -> bool:
        """Whether a node other than the one named may have taken it."""
        return any(copies for node_id, copies in self.open_copies.items() if node_id != than)


def first_number(*, incarnation: int) -> int:
    """The number below those of an incarnation's calls.

    >>> first_number(incarnation=2) - first_number(incarnation=1) == CALLS_PER_INCARNATION
    True
    """
    return incarnation * CALLS_PER_INCARNATION


class GroupCalls:
    """The calls of a node that have not ended.

    Invariants: each call ends exactly once, by its response or at its deadline; a reply is taken only if it names
    this caller and an open call of this incarnation, and comes from a node that was asked.

    Attributes:
        last_request_id: The number of the newest call.
        pending: The open calls by number.
    """

    def __init__(self, *, environment: CallEnvironment, first_request_id: int) -> None:
        self.environment = environment
        self.last_request_id = first_request_id
        self.pending: dict[int, PendingCall] = {}

    def start(
        self,
        *,
        group_id: int,
        operation: CallOperation,
        body: Record,
        on_end: Continuation,
        ttl_s: float,
        node_id: str = "",
    ) -> None:
        """Begin a call.

        Args:
            group_id: The group that it is for; its primary is asked, whoever that is by then.
            operation: What is asked for.
            body: The operation's arguments.
            on_end: Called once with the result.
            ttl_s: Seconds after which it is given up.
            node_id: If given, this node is asked and no other.
        """
        self.last_request_id += 1
        now = self.environment.now
        call = PendingCall(
            request_id=self.last_request_id,
            group_id=group_id,
            fixed_node_id=node_id,
            operation=operation,
            body=body,
            on_end=on_end,
            deadline=now + ttl_s,
            started_at=now,
        )
        self.pending[call.request_id] = call
        self._send(call)

    def _send(self, call: PendingCall) -> None:
        """Send a call, or its repeat, if its receiver is known."""
        now = self.environment.now
        call.asked_primary = self.environment.primary(group_id=call.group_id)
        receiver = call.receiver
        if not receiver:
            call.resend_at = now + NO_PRIMARY_RETRY_S
            return
        call.resend_at = now + call.resend_after_s
        call.resend_after_s = min(2 * call.resend_after_s, RESEND_MOST_S)
        call.sent_at = now
        call.was_sent = True
        call.open_copies[receiver] = call.open_copies.get(receiver, 0) + 1
        message = GroupCall(
            request_id=call.request_id,
            to=receiver,
            group_id=call.group_id,
            operation=call.operation,
            body=call.body,
            ttl_s=round(call.deadline - now, 3),
        )
        self.environment.send_message(node_id=receiver, message=message)

    def _send_afresh(self, call: PendingCall) -> None:
        """Send a call again, as if for the first time."""
        call.resend_after_s = RESEND_S
        self._send(call)

    def on_frames_lost(self, *, node_id: str) -> None:
        """Frames of a node were lost, perhaps replies: repeat the calls to it, soon.

        Not at once where a call has just been sent: each lost frame would set off a repeat of every open call, of
        whose replies some are lost again.
        """
        for call in self.pending.values():
            if node_id != call.receiver:
                continue
            if self.environment.now - call.sent_at >= LOSS_RESEND_S:
                self._send_afresh(call)
            else:
                call.resend_after_s = RESEND_S
                call.resend_at = min(call.resend_at, call.sent_at + LOSS_RESEND_S)

    def on_reply(self, *, node_id: str, reply: GroupReply) -> None:
        """A reply came from a node; what fits no open call of this incarnation is dropped.

        Raises:
            MalformedRecordError: The node declines, and what it says in place of epochs is none.
        """
        call = self.pending.get(reply.request_id)
        if call is None or reply.to != self.environment.node_id or node_id not in call.open_copies:
            return
        if reply.status == NOT_PRIMARY and not call.fixed_node_id:
            self._on_declined(call, node_id=node_id, epochs=decode(reply.document, into=list[tuple[int, Epoch]]))
            return
        if reply.status in REFUSALS and call.may_be_elsewhere(than=node_id):
            self._end(call, status=GIVEN_UP, document=None)
        else:
            self._end(call, status=reply.status, document=reply.document)

    def _on_declined(self, call: PendingCall, *, node_id: str, epochs: list[tuple[int, Epoch]]) -> None:
        """A node that isn't the primary told of the epochs that it knows."""
        call.open_copies[node_id] = max(call.open_copies[node_id] - 1, 0)
        known = self.environment.primary(group_id=call.group_id)
        self.environment.learn(epochs=epochs)
        if self.environment.primary(group_id=call.group_id) != known:
            self._send_afresh(call)
        else:
            call.resend_at = self.environment.now + NO_PRIMARY_RETRY_S

    def _end(self, call: PendingCall, *, status: int, document: object) -> None:
        del self.pending[call.request_id]
        call.on_end(CallResult(status=status, document=document, was_sent=call.was_sent))

    def tick(self) -> None:
        """Give up calls whose deadline has come, and repeat those that are due."""
        now = self.environment.now
        for call in list(self.pending.values()):
            if now >= call.deadline:
                self._end(call, status=GIVEN_UP, document=None)
            elif not call.fixed_node_id and self.environment.primary(group_id=call.group_id) != call.asked_primary:
                self._send_afresh(call)
            elif now >= call.resend_at:
                self._send(call)
