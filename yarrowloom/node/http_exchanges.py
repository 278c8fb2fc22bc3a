"""HTTP calls that wait for the node's response."""

import msgspec
import trio

from ..transport.http_messages import Response

EXCHANGE_MOST_S = 30.0  # an HTTP call that the node has not answered by then gets 504
_GATEWAY_TIMEOUT = 504


class _Exchange(msgspec.Struct, kw_only=True):
    """A call that waits; `expires_at` is monotonic time."""

    expires_at: float
    response: Response | None = None
    has_ended: trio.Event = msgspec.field(default_factory=trio.Event)


class HttpExchanges:
    """The open HTTP calls of a process, by a key that is used once.

    Invariants: a call gets the first response that the node gives for its key; later ones, and those for calls that
    have ended, are dropped.
    """

    def __init__(self) -> None:
        self._open: dict[int, _Exchange] = {}
        self._last_key = 0

    def __len__(self) -> int:
        return len(self._open)

    def begin(self, *, now: float) -> int:
        """Open an exchange; its key."""
        self._last_key += 1
        self._open[self._last_key] = _Exchange(expires_at=now + EXCHANGE_MOST_S)
        return self._last_key

    async def response(self, *, key: int) -> Response:
        """Wait for the response to a call that was begun, and end the exchange; 504 if it expires."""
        exchange = self._open[key]
        try:
            await exchange.has_ended.wait()
        finally:
            self.discard(key=key)
        return exchange.response or Response(status=_GATEWAY_TIMEOUT)

    def discard(self, *, key: int) -> None:
        """Forget a call, if it is still open."""
        self._open.pop(key, None)

    def respond(self, *, key: int, response: Response) -> None:
        """The node's response to a call."""
        exchange = self._open.get(key)
        if exchange is not None and exchange.response is None:
            exchange.response = response
            exchange.has_ended.set()

    def expire(self, *, now: float) -> None:
        """End the calls that have waited too long."""
        for exchange in self._open.values():
            if now > exchange.expires_at:
                exchange.has_ended.set()
