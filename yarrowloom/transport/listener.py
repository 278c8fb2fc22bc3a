"""Listening sockets whose waiting connections are accepted many at a time.

A server that takes one connection per round of its tasks is bound by the length of a round: a busy process with rounds
of 4 to 8 ms takes some 200 connections a second, so thousands that arrive together, as after the restart of a cluster,
wait for many seconds.
"""

import errno
import socket
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from .dated_stream import DatedSocketStream, SocketWatch

BACKLOG = 2048  # connections that the system keeps until they are accepted; beyond, it drops the opening packet
MAX_ACCEPTS_PER_ROUND = 64  # accepted in one round
PAUSE_S = 0.1  # after an error for want of descriptors or memory
_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})

StreamHandler = Callable[[DatedSocketStream], Awaitable[object]]


class Accepted(NamedTuple):
    """Connections that were accepted.

    Attributes:
        connections: Their sockets.
        is_all: No other connection waited.
    """

    connections: list[socket.socket]
    is_all: bool


def open_listener(*, address: str, backlog: int = BACKLOG, window_bytes: int = 0) -> socket.socket:
    """Listen at HOST:PORT (IPv4).

    Args:
        address: Where.
        backlog: Connections that the system keeps until they are accepted.
        window_bytes: Most that waits unread in a connection's socket; 0: as the system has it.

    Raises:
        OSError: As where the port is in use.
    """
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if window_bytes:  # the system sets aside twice what it is told
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes // 2)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def accept_waiting(*, listener: socket.socket, most: int = MAX_ACCEPTS_PER_ROUND) -> Accepted:
    """Accept up to `most` of the connections that wait now.

    A connection that its peer gave up meanwhile is passed over.

    Raises:
        OSError: None could be accepted, for want of descriptors or memory.
    """
    accepted: list[socket.socket] = []
    for _ in range(most):
        try:
            accepted.append(listener.accept()[0])
        except BlockingIOError:
            return Accepted(accepted, is_all=True)
        except OSError as err:
            if err.errno not in _EXHAUSTED:
                continue
            if not accepted:
                raise
            break
    return Accepted(accepted, is_all=False)


async def serve(*, listener: socket.socket, handler: StreamHandler) -> None:
    """Accept connections for ever; `handler` owns each of them in a task of its own.

    Whoever opened the listener closes it, once this has ended.
    """
    watch = SocketWatch(watched=listener)
    async with trio.open_nursery() as nursery:
        while True:
            await watch.wait_readable()
            looked_at = time.monotonic()
            try:
                accepted = accept_waiting(listener=listener)
            except OSError:
                await trio.sleep(PAUSE_S)
                continue
            for connection in accepted.connections:
                stream = DatedSocketStream(connection=connection, opened_after=watch.empty_at)
                nursery.start_soon(handler, stream)
            if accepted.is_all:
                watch.empty_at = looked_at
            await trio.lowlevel.checkpoint()
