"""HTTP requests and responses as the servers and their handlers see them, and the limits on requests."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import orjson

JSON = (("content-type", "application/json"),)
CONNECTION_CLOSE = ("connection", "close")
SEND_TIMEOUT_S = 10  # for one response


@dataclass(kw_only=True)
class Limits:
    """Limits on what clients may send; replaced in place when a configuration says so.

    Attributes:
        header_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        header_ms: Time from a request's first byte until its head is whole.
        idle_ms: Time that a connection may stay without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: int = 3000
    idle_ms: int = 15000


class Request(msgspec.Struct, kw_only=True):
    """One request as it arrived; header names are in lower case.

    Attributes:
        sent_after: Monotonic time; the request was sent later. What the node has learned since then may be newer than
            the request, which may have waited in its socket. Minus infinity: nothing is known.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    sent_after: float = -math.inf


class Response(msgspec.Struct, kw_only=True):
    """The answer to one request."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def of(cls, status: int, document: object = None, *, headers: tuple[tuple[str, str], ...] = ()) -> "Response":
        """A response with a JSON body, or with an empty one."""
        if document is None:
            return cls(status=status, headers=headers)
        return cls(status=status, body=orjson.dumps(document), headers=JSON + headers)


Handler = Callable[[Request], Awaitable[Response]]
ErrorHandler = Callable[[Request, Exception], Response]
