"""Addresses on loopback for tests over real sockets, and the rule that these tests keep.

Ports. None is fixed, and none is picked, released and bound later: in between the system may give it to anybody. A
listener of the test's own binds port 0, and the port is read back from it. Where a port must be known before it is
bound (in settings, as a peer's address, for a node that starts again), `reserved_ports` keeps it from then to the end
of the test.

Readiness. A server is ready when it says so: `await nursery.start(server.run)` returns once it can be reached. What
comes later (a message, an answer, an end) is awaited by an event, a channel or the end of a nursery or process, with
`trio.fail_after` as the bound. A test asks again in a loop only where the other side can't tell by itself, and each
round of the loop waits for an answer. No fixed sleeps, no loops around a bare checkpoint, nothing that relies on the
order in which trio runs its tasks.

End. Sockets are closed by the block that opened them, and what follows at an address begins after the end of the
nursery or process of what was there before.
"""

import contextlib
import os
import socket
from collections.abc import Iterator
from typing import Any

NETWORK = f"127.{os.getpid() % 200 + 2}.{os.getpid() // 200 % 250}"  # of this process alone
HOST = f"{NETWORK}.2"
_ATTEMPTS = 50


@contextlib.contextmanager
def reserved_ports(count: int) -> Iterator[list[int]]:
    """Ports that follow one another, kept until the block ends; at most one such block at a time.

    Each is held by a socket that is bound but does not listen. The system gives a held port to nobody who asks for any
    port; the nodes can listen on it, again and again, as they set SO_REUSEADDR and so does the holder. Until one does,
    connections to it are refused.

    >>> with reserved_ports(3) as ports, socket.create_server((HOST, ports[1])) as listener:
    ...     ports == [ports[0], ports[0] + 1, ports[0] + 2], listener.getsockname() == (HOST, ports[1])
    (True, True)
    """
    with contextlib.ExitStack() as holders:
        yield _hold_neighbours(count=count, holders=holders)


def _hold_neighbours(*, count: int, holders: contextlib.ExitStack) -> list[int]:
    for _ in range(_ATTEMPTS):
        with contextlib.ExitStack() as held:
            try:
                first = _hold(port=0, holders=held)
                ports = [first, *(_hold(port=first + i, holders=held) for i in range(1, count))]
            except OSError:  # a neighbour is taken
                continue
            holders.push(held.pop_all())
            return ports
    raise OSError(f"{HOST}: no {count} ports in a row are free")


def _hold(*, port: int, holders: contextlib.ExitStack) -> int:
    holder = holders.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((HOST, port))
    held: int = holder.getsockname()[1]
    return held


def settings(*, binds: dict[str, str], inner: int, seed: str, data: str | None) -> dict[str, Any]:
    """A settings file's content for a process at `HOST`; `inner` is the first of its internal ports."""
    return {
        "node-name": "n",
        "role": "r",
        "ip": HOST,
        "zone": "z",
        "zones": {"z": "r"},
        "bind-addrs": binds,
        "internal-ports": [inner, inner + 15],
        "seed-nodes": [seed],
        "bootstrap": True,
        "data-dir": data,
        "limits": {"disk-mb": 16},
        "beat-interval-ms": 1000,
        "bounds": {},
        "something-new": 1,
    }
