"""Calls from one node to whoever serves a group: sent again until answered, given up at a horizon.

What a call rests on may take longer than a repeat at its receiver, which therefore knows those it has in hand.

A call's identity is the caller's uid and a number that holds the caller's incarnation: no two calls of any lives share
one. A CALL names the node it is meant for (`to`), as frames go to an address; its REPLY names the caller (`to`).
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..common.records import decode
from ..replication.epoch import Epoch
from ..transport.envelope import Kind

RESEND_S = 0.4  # doubles with each repeat, up to
RESEND_MOST_S = 1.6
HAND_S = 35.0  # longer than any call lives
RETRY_S = 0.12
NOT_PRIMARY = 421
REFUSALS = frozenset({429, 503})  # of a group's primary: the call was not taken and never will be
REFUSED_S = 10.0  # a refused call is refused again this long: longer than its repeats are on their way
CALLS_PER_LIFE = 1 << 32


class CallEnvironment(Protocol):
    """What calls need of their node."""

    now: float
    node_id: str

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node."""

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Who serves a group."""

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """News of epochs."""

    def called(self, *, done: tuple[Any, ...], status: int, document: Any, sent: bool) -> None:
        """A call has ended; status 0: given up."""


@dataclass(kw_only=True)
class Pending:
    """A call in flight. `to` fixes a node; otherwise the primary of `g` is asked."""

    request_id: int
    group_id: int
    to: str
    op: str
    b: dict[str, Any]
    done: tuple[Any, ...]
    horizon: float
    began: float
    again: float = 0.0
    sent: bool = False
    wait: float = RESEND_S
    asked: tuple[str, int] | None = None  # the primary, with its epoch, that it was last sent to
    nodes: dict[str, int] = field(default_factory=dict)  # copies sent and not declined, by node: only these answer


def first_number(*, incarnation: int) -> int:
    """What a life's calls are numbered from.

    >>> first_number(incarnation=2) - first_number(incarnation=1) == CALLS_PER_LIFE
    True
    """
    return incarnation * CALLS_PER_LIFE


class Calls:
    """Invariants: each call ends exactly once, by its answer or at its horizon; an answer is taken only if it names
    this caller and an open call of this life, and comes from a node that was asked.
    """

    def __init__(self, *, environment: CallEnvironment, base: int) -> None:
        self.environment = environment
        self.request_id = base
        self.open: dict[int, Pending] = {}

    def start(
        self, *, group_id: int, op: str, b: dict[str, Any], done: tuple[Any, ...], ttl: float, to: str = ""
    ) -> None:
        """Begin a call."""
        self.request_id += 1
        pend = Pending(
            request_id=self.request_id,
            group_id=group_id,
            to=to,
            op=op,
            b=b,
            done=done,
            horizon=self.environment.now + ttl,
            began=self.environment.now,
        )
        self.open[pend.request_id] = pend
        self._send(pend)

    def _send(self, pend: Pending) -> None:
        prim = self.environment.primary(group_id=pend.group_id)
        node_id = pend.to or (prim[0] if prim is not None else "")
        pend.again = self.environment.now + (pend.wait if node_id else RETRY_S)
        pend.asked = prim
        if node_id:
            pend.sent = True
            pend.wait = min(2 * pend.wait, RESEND_MOST_S)
            pend.nodes[node_id] = pend.nodes.get(node_id, 0) + 1
            self.environment.send(
                node_id=node_id,
                kind=Kind.CALL,
                body={
                    "rid": pend.request_id,
                    "to": node_id,
                    "g": pend.group_id,
                    "op": pend.op,
                    "b": pend.b,
                    "ttl": round(pend.horizon - self.environment.now, 3),
                },
            )

    def _anew(self, pend: Pending) -> None:
        pend.wait = RESEND_S
        self._send(pend)

    def lost(self, *, node_id: str) -> None:
        """Frames of a node were lost, perhaps answers."""
        for pend in self.open.values():
            if node_id == (pend.to or (pend.asked[0] if pend.asked else "")):
                self._anew(pend)

    def reply(self, *, node_id: str, m: dict[str, Any]) -> None:
        """An answer came from a node; what fits no open call of this life is dropped."""
        pend = self.open.get(m["rid"])
        if pend is None or m["to"] != self.environment.node_id or node_id not in pend.nodes:
            return
        if m["s"] == NOT_PRIMARY and not pend.to:
            pend.nodes[node_id] = max(pend.nodes[node_id] - 1, 0)
            before = self.environment.primary(group_id=pend.group_id)
            self.environment.learn(epochs=decode(m["d"], into=list[tuple[int, Epoch]]))
            if self.environment.primary(group_id=pend.group_id) != before:
                self._anew(pend)
            else:
                pend.again = self.environment.now + RETRY_S
            return
        del self.open[pend.request_id]
        if m["s"] in REFUSALS and any(copies for node, copies in pend.nodes.items() if node != node_id):
            self.environment.called(
                done=pend.done, status=0, document=None, sent=True
            )  # another node may have taken it
        else:
            self.environment.called(done=pend.done, status=m["s"], document=m["d"], sent=True)

    def tick(self) -> None:
        """Send again, give up."""
        now = self.environment.now
        for pend in list(self.open.values()):
            if now >= pend.horizon:
                del self.open[pend.request_id]
                self.environment.called(done=pend.done, status=0, document=None, sent=pend.sent)
            elif not pend.to and self.environment.primary(group_id=pend.group_id) != pend.asked:
                self._anew(pend)
            elif now >= pend.again:
                self._send(pend)


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The answer to a call that was not taken."""

    status: int
    document: Any
    until: float


class InHand:
    """Calls taken and not yet answered here, by their identity: caller and number. Invariant: a call is taken again
    only once its answer has left, or this node no longer serves its group; so an answer that got lost is made again.
    One that was refused is refused again: its caller may have heard so, while a repeat was still on its way.
    """

    def __init__(self) -> None:
        self._at: dict[tuple[str, int], tuple[int, float]] = {}
        self._refused: dict[tuple[str, int], Refusal] = {}
        self._swept = 0.0

    def take(self, *, node_id: str, request_id: int, group_id: int, now: float) -> bool:
        """Whether a call is new.

        >>> hand = InHand()
        >>> hand.take(node_id="a", request_id=1, group_id=1, now=0.0)
        True
        >>> hand.take(node_id="a", request_id=1, group_id=1, now=0.4)
        False
        >>> hand.drop(node_id="a", request_id=1)
        1
        >>> hand.take(node_id="a", request_id=1, group_id=1, now=0.8), hand.leave(group_id=1)
        (True, [('a', 1)])
        """
        if (node_id, request_id) in self._at:
            return False
        self._at[node_id, request_id] = (group_id, now)
        return True

    def holds(self, *, node_id: str, request_id: int) -> bool:
        """Whether a call was taken and is not answered yet."""
        return (node_id, request_id) in self._at

    def drop(self, *, node_id: str, request_id: int) -> int:
        """It is answered; the group that it was for, -1 if it was for none or is not known."""
        return self._at.pop((node_id, request_id), (-1, 0.0))[0]

    def refuse(self, *, node_id: str, request_id: int, status: int, document: Any, now: float) -> None:
        """It is refused for good."""
        self._refused[node_id, request_id] = Refusal(status=status, document=document, until=now + REFUSED_S)

    def refusal(self, *, node_id: str, request_id: int) -> Refusal | None:
        """How a call was refused before."""
        return self._refused.get((node_id, request_id))

    def leave(self, *, group_id: int) -> list[tuple[str, int]]:
        """Let go of all of a group."""
        return [key for key, (of, _) in list(self._at.items()) if of == group_id and self._at.pop(key)]

    def sweep(self, *, now: float) -> None:
        """Forget what nobody waits for any more."""
        if now - self._swept > HAND_S / 2:
            self._swept = now
            self._at = {key: row for key, row in self._at.items() if now - row[1] < HAND_S}
        while self._refused and next(iter(self._refused.values())).until <= now:
            del self._refused[next(iter(self._refused))]
