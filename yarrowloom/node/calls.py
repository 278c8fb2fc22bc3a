"""Calls from one node to whoever serves a group: sent again until answered, given up at a horizon."""

from dataclasses import dataclass
from typing import Any, Protocol

from ..wire.frame import Kind

RESEND_S = 0.4
RETRY_S = 0.12
NOT_PRIMARY = 421


class CallHub(Protocol):
    """What calls need of their node."""

    now: float

    def send(self, *, uid: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node."""

    def primary(self, *, g: int) -> tuple[str, int] | None:
        """Who serves a group."""

    def learn(self, *, eps: list[Any]) -> None:
        """News of epochs."""

    def called(self, *, done: tuple[Any, ...], status: int, doc: Any, sent: bool) -> None:
        """A call has ended; status 0: given up."""


@dataclass(kw_only=True)
class Pending:
    """A call in flight. `to` fixes a node; otherwise the primary of `g` is asked."""

    rid: int
    g: int
    to: str
    op: str
    b: dict[str, Any]
    done: tuple[Any, ...]
    horizon: float
    again: float = 0.0
    sent: bool = False


class Calls:
    """Invariant: each call ends exactly once, by its answer or at its horizon."""

    def __init__(self, *, hub: CallHub, base: int) -> None:
        self.hub = hub
        self.rid = base
        self.open: dict[int, Pending] = {}

    def start(self, *, g: int, op: str, b: dict[str, Any], done: tuple[Any, ...], ttl: float, to: str = "") -> None:
        """Begin a call."""
        self.rid += 1
        pend = Pending(rid=self.rid, g=g, to=to, op=op, b=b, done=done, horizon=self.hub.now + ttl)
        self.open[pend.rid] = pend
        self._send(pend)

    def _send(self, pend: Pending) -> None:
        prim = self.hub.primary(g=pend.g)
        uid = pend.to or (prim[0] if prim is not None else "")
        pend.again = self.hub.now + (RESEND_S if uid else RETRY_S)
        if uid:
            pend.sent = True
            self.hub.send(uid=uid, kind=Kind.CALL, body={"rid": pend.rid, "g": pend.g, "op": pend.op, "b": pend.b})

    def reply(self, *, m: dict[str, Any]) -> None:
        """An answer came."""
        pend = self.open.get(m["rid"])
        if pend is None:
            return
        if m["s"] == NOT_PRIMARY and not pend.to:
            before = self.hub.primary(g=pend.g)
            self.hub.learn(eps=m["d"])
            if self.hub.primary(g=pend.g) != before:
                self._send(pend)
            else:
                pend.again = self.hub.now + RETRY_S
            return
        del self.open[pend.rid]
        self.hub.called(done=pend.done, status=m["s"], doc=m["d"], sent=True)

    def tick(self) -> None:
        """Send again, give up."""
        now = self.hub.now
        for pend in list(self.open.values()):
            if now >= pend.horizon:
                del self.open[pend.rid]
                self.hub.called(done=pend.done, status=0, doc=None, sent=pend.sent)
            elif now >= pend.again:
                self._send(pend)
