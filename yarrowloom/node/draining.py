"""The orderly end of a process: what it still does between SIGTERM and its exit, within the operator's `grace-s`."""

import time
from collections.abc import Callable

import trio

from ..common.log import Log
from ..transport.http_server import Server
from .core import CoreNode
from .edge import EdgeNode

GRACE_RESERVE_S = 1.0  # of `grace-s`: left for the exit itself
CORE_DRAIN_MINIMUM_S = 0.6  # what a core node has to send leaves within this time
CORE_POLL_S = 0.05
EDGE_DRAIN_MINIMUM_S = 0.5  # an edge has this long to finish calls, however short `grace-s` is
EDGE_NOT_READY_S = 2.5  # clients and load balancers need this long to see that it is not ready any more
EDGE_IDLE_S = 1.0  # it ends once no call has been in progress for this long
EDGE_POLL_S = 0.1


async def drain_edge(*, node: EdgeNode, servers: list[Server]) -> None:
    """Finish the calls in progress; report not ready meanwhile, and close each connection after its response."""
    node.is_draining = True
    for server in servers:
        server.closing = True
    grace_s = node.settings.grace_s
    started_at = last_busy = time.monotonic()
    deadline = started_at + max(grace_s - GRACE_RESERVE_S, EDGE_DRAIN_MINIMUM_S)
    while (now := time.monotonic()) < deadline:
        if any(server.busy for server in servers):
            last_busy = now
        if now - started_at > EDGE_NOT_READY_S and now - last_busy > EDGE_IDLE_S:
            return
        await trio.sleep(EDGE_POLL_S)


async def drain_core(*, node: CoreNode, step: Callable[[Callable[[], None]], None], log: Log) -> None:
    """Hand over the singleton roles and copies, and stay until other nodes hold what this node holds.

    Args:
        node: The node that is to end.
        step: Runs the node and carries out its outputs.
        log: Takes how it ended.
    """
    started_at = time.monotonic()
    grace_s = node.settings.grace_s
    most_s = max(grace_s - GRACE_RESERVE_S, CORE_DRAIN_MINIMUM_S)
    step(node.leave)
    spent_s = 0.0
    while spent_s < most_s and not (spent_s >= CORE_DRAIN_MINIMUM_S and node.may_end()):
        await trio.sleep(CORE_POLL_S)
        spent_s = time.monotonic() - started_at
    only_copies = node.only_copies()
    if only_copies:
        log.warn("only-copy-left", groups=",".join(map(str, only_copies)))
    log.info("drain-completed", s=round(spent_s, 2), relieved=node.may_end())
