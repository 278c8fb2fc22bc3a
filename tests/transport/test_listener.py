"""A rush of connections is taken in few rounds of a process's tasks; one that fails harms no other."""

import errno
import socket
import struct
import time
from functools import partial

import pytest
import trio

from yarrowloom.transport import listener as accept

RUSH = 300
QUEUED_MOST_S = 10.0


class Refusing:
    """A listener that stands in for one of the system, with what its `accept` brings about, in order."""

    def __init__(self, *, outcomes: list[int]) -> None:
        self.outcomes = outcomes

    def accept(self) -> tuple[socket.socket, str]:
        code = self.outcomes.pop(0) if self.outcomes else errno.EAGAIN
        if code == 0:
            return socket.socket(), ""
        raise OSError(code, "refused")


def waiting(*, listener: socket.socket) -> int:
    """How many connections the system keeps until they are accepted."""
    info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 28)
    (count,) = struct.unpack_from("=I", info, 24)  # of a listening socket, `tcpi_unacked` is this
    assert isinstance(count, int)
    return count


def dialled(*, listener: socket.socket, count: int) -> list[socket.socket]:
    """Connections that wait to be accepted. A client's `connect` may return a moment before the listener has it."""
    clients = [socket.create_connection(listener.getsockname()) for _ in range(count)]
    until = time.monotonic() + QUEUED_MOST_S
    while waiting(listener=listener) < count:
        assert time.monotonic() < until
        time.sleep(0.001)
    return clients


def test_as_many_are_accepted_at_once_as_wait_up_to_a_bound() -> None:
    with accept.open_listener(address="127.0.0.1:0") as listener:
        clients = dialled(listener=listener, count=accept.MAX_ACCEPTS_PER_ROUND + 10)
        taken = [accept.accept_waiting(listener=listener) for _ in range(3)]
        assert [len(rows.connections) for rows in taken] == [accept.MAX_ACCEPTS_PER_ROUND, 10, 0]
        assert [rows.is_all for rows in taken] == [False, True, True]
        for sock in [*clients, *(sock for rows in taken for sock in rows.connections)]:
            sock.close()


def test_a_rush_takes_few_rounds() -> None:
    served = 0
    rounds = 0

    async def handler(stream: trio.abc.Stream) -> None:
        nonlocal served
        served += 1
        await stream.aclose()

    async def other_work() -> None:
        nonlocal rounds
        while served < RUSH:
            rounds += 1
            await trio.lowlevel.checkpoint()

    async def main() -> None:
        with accept.open_listener(address="127.0.0.1:0") as listener:
            clients = dialled(listener=listener, count=RUSH)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(partial(accept.serve, listener=listener, handler=handler))
                with trio.fail_after(10):
                    await other_work()
                nursery.cancel_scope.cancel()
        for sock in clients:
            sock.close()

    trio.run(main)
    assert served == RUSH
    assert rounds <= 6 * (RUSH // accept.MAX_ACCEPTS_PER_ROUND + 1)


@pytest.mark.parametrize(
    ("outcomes", "count"),
    [([errno.ECONNABORTED, 0, errno.EPERM, 0], 2), ([0, errno.EMFILE, 0], 1), ([errno.EBADF] * 1000, 0)],
)
def test_a_connection_that_fails_is_passed_over(outcomes: list[int], count: int) -> None:
    taken = accept.accept_waiting(listener=Refusing(outcomes=outcomes))  # type: ignore[arg-type]
    for sock in taken.connections:
        sock.close()
    assert len(taken.connections) == count


def test_want_of_descriptors_is_told() -> None:
    with pytest.raises(OSError, match=rf"Errno {errno.EMFILE}\b"):
        accept.accept_waiting(listener=Refusing(outcomes=[errno.EMFILE]))  # type: ignore[arg-type]
