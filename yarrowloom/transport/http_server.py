"""HTTP/1.1 served on trio: one task owns one connection."""

from contextlib import suppress
from dataclasses import dataclass, field

import h11
import trio

from . import listener as accept
from .caller_budget import FIELD_BYTES, WINDOW_BYTES, Admission, CallerAccount, CallerBudget, CallerClosedError
from .dated_stream import DatedStream, dated
from .document_size import document_bytes
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
    CallerClosedError,
)
LARGE_RESPONSE_BYTES = 65536  # a body of this size is not copied behind its head
_REFUSALS = {
    Admission.FULL: Response.of(503, {"error": "too much in hand"}, headers=(("retry-after", "1"),)),
    Admission.TOO_LARGE: Response.of(413, {"error": "too large a document"}),
}


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
        budget: What its callers may hold, with those of the process's other servers.
        parsing: Held by the connection that parses by h11.
    """

    handler: Handler
    on_error: ErrorHandler = _internal_error
    limits: Limits = field(default_factory=Limits)
    closing: bool = False
    busy: int = 0
    budget: CallerBudget = field(default_factory=CallerBudget)
    parsing: trio.Lock = field(default_factory=trio.Lock)

    async def answer(self, request: Request, *, account: CallerAccount, next_bytes: int) -> Response:
        """Answer one request; 503 or 413 if there is no room for what would be made of it.

        Args:
            request: The request.
            account: Of its connection.
            next_bytes: What has come behind it.

        Raises:
            CallerClosedError: The connection was closed to make room.
        """
        head_bytes = len(request.headers) * FIELD_BYTES
        admission = account.admit(request_bytes=head_bytes + document_bytes(request.body) + next_bytes)
        if admission is not Admission.ADMITTED:
            return _REFUSALS[admission]
        return await self.handle(request)

    async def handle(self, request: Request) -> Response:
        """Answer one request; it counts as busy meanwhile."""
        self.busy += 1
        try:
            return await self.handler(request)
        except Exception as error:
            return self.on_error(request, error)
        finally:
            self.busy -= 1

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Own one connection until it ends."""
        try:
            with suppress(*CONNECTION_ERRORS):
                await _Connection(server=self, stream=dated(stream)).run()
        finally:
            with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)


class _Connection:
    """One connection from its start to its end.

    Plain requests (see `http_head`) are read on a short way; with the first that is not plain, the connection and all
    that it has received pass to h11 for good.
    """

    def __init__(self, *, server: Server, stream: DatedStream) -> None:
        self._server = server
        self._stream = stream
        self._scope = trio.CancelScope()
        self._account = server.budget.open(on_evicted=self._on_evicted)
        self._plain = PlainReader(stream=stream, limits=server.limits, account=self._account)
        self._exchange: H11Exchange | None = None

    async def run(self) -> None:
        """Serve requests until the connection ends.

        Raises:
            CallerClosedError: It was closed to make room.
        """
        try:
            with self._scope:
                await self._serve_requests()
        finally:
            self._account.close()

    def _on_evicted(self) -> None:
        """End the connection, and let go of what it has received before its task has ended."""
        self._plain.drop()
        if self._exchange is not None:
            self._exchange.drop()
        self._scope.cancel()

    async def _serve_requests(self) -> None:
        plain = self._plain
        while (request := await plain.next_request()) is not None:
            response = await self._server.answer(request, account=self._account, next_bytes=len(plain.buffer))
            del request  # its body is not to be held while the response leaves
            closing = self._server.closing
            await self._send(response, closing=closing)
            if closing or CONNECTION_CLOSE in response.headers:
                return
            self._account.read(received_bytes=len(plain.buffer))
        if not plain.timed_out and not plain.buffer:
            return
        self._exchange = H11Exchange(server=self._server, stream=self._stream, account=self._account)
        if plain.timed_out:
            await self._exchange.refuse(status=408)
        else:
            await self._exchange.run(plain=plain)

    async def _send(self, response: Response, *, closing: bool) -> None:
        self._account.send(response_bytes=len(response.body))
        head = write_head(status=response.status, headers=response.headers, closing=closing, size=len(response.body))
        with trio.fail_after(SEND_TIMEOUT_S):
            if len(response.body) < LARGE_RESPONSE_BYTES:
                await self._stream.send_all(head + response.body)
                return
            await self._stream.send_all(head)
            await self._stream.send_all(response.body)


async def listen(
    *, address: str, server: Server, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Accept connections at HOST:PORT for ever; started once clients can connect.

    The listener is closed once this has ended, however it ends.
    """
    with accept.open_listener(address=address, window_bytes=WINDOW_BYTES) as listener:
        task_status.started()
        await accept.serve(listener=listener, handler=server.serve)
