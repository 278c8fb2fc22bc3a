"""HTTP/1.1 served on trio: one task owns one connection."""

from contextlib import suppress
from dataclasses import dataclass, field

import h11
import trio

from . import listener as accept
from .h11_exchange import H11Exchange
from .http_head import write_head
from .http_messages import CONNECTION_CLOSE, SEND_TIMEOUT_S, ErrorHandler, Handler, Limits, Request, Response
from .plain_reader import PlainReader

CLOSE_TIMEOUT_S = 0.5
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    OSError,
)


def _internal_error(_request: Request, _error: Exception) -> Response:
    return Response(status=500)


@dataclass(kw_only=True)
class Server:
    """Serves the requests that come to one address.

    Attributes:
        handler: Answers a request.
        on_error: Makes the answer to a request whose handler raised.
        closing: Each response is the last of its connection.
        busy: Requests that are being answered.
    """

    handler: Handler
    on_error: ErrorHandler = _internal_error
    limits: Limits = field(default_factory=Limits)
    closing: bool = False
    busy: int = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request; it counts as busy meanwhile."""
        self.busy += 1
        try:
            return await self.handler(request)
        except Exception as error:
            return self.on_error(request, error)
        finally:
            self.busy -= 1

    async def serve(self, stream: trio.SocketStream) -> None:
        """Own one connection until it ends."""
        try:
            with suppress(*CONNECTION_ERRORS):
                await _Connection(server=self, stream=stream).run()
        finally:
            with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)


class _Connection:
    """One connection from its start to its end.

    Plain requests (see `http_head`) are read on a short way; with the first that is not plain, the connection and all
    that it has received pass to h11 for good.
    """

    def __init__(self, *, server: Server, stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream

    async def run(self) -> None:
        plain = PlainReader(stream=self._stream, limits=self._server.limits)
        while (request := await plain.next_request()) is not None:
            response = await self._server.handle(request)
            closing = self._server.closing
            head = write_head(
                status=response.status, headers=response.headers, closing=closing, size=len(response.body)
            )
            with trio.fail_after(SEND_TIMEOUT_S):
                await self._stream.send_all(head + response.body)
            if closing or CONNECTION_CLOSE in response.headers:
                return
        if plain.timed_out:
            await H11Exchange(server=self._server, stream=self._stream).refuse(status=408)
        elif plain.buffer:
            await H11Exchange(server=self._server, stream=self._stream).run(plain=plain)


async def listen(
    *, address: str, server: Server, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Accept connections at HOST:PORT for ever; started once clients can connect.

    The listener is closed once this has ended, however it ends.
    """
    with accept.open_listener(address=address) as listener:
        task_status.started()
        await accept.serve(listener=listener, handler=server.serve)
