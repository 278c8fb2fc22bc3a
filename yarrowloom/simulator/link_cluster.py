"""The simulated cluster with links of a bandwidth, frames counted, and frames lost by choice."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Unpack

import orjson

from ..common.settings import NodeSettings
from ..node.edge import EdgeNode
from ..transport.message_kinds import LANES, Kind, Lane
from .cluster import Sim
from .errors import SimulationError
from .machines.machine_set import ClusterOptions
from .machines.process import Proc
from .sample_config import HOST

HEAD = 80  # bytes of envelope and of TCP that come with each frame


class LinkSim(Sim):
    """A simulated cluster whose links have a bandwidth.

    Attributes:
        mbps: Bandwidth of an edge machine's link in Mbit/s, each way; that of a core machine is 100 times as much.
        frames: Time, source, destination, kind, size in bytes and body of each heartbeat acknowledgement and cluster
            update that was sent.
        lose: Called with source, destination, kind and body of each of these; if true, the frame is lost.
    """

    def __init__(self, *, seed: int, mbps: float = 2.0, **kw: Unpack[ClusterOptions]) -> None:
        self.mbps = mbps
        self.free: dict[tuple[str, str], float] = {}
        self.frames: list[tuple[float, str, str, Kind, int, dict[str, Any]]] = []
        self.lose: Callable[[str, str, Kind, dict[str, Any]], bool] = lambda src, dst, kind, m: False
        super().__init__(seed=seed, **kw)

    def settings(self, *, ip: str, first: bool) -> NodeSettings:
        """The settings of a machine's process, with its link."""
        return replace(super().settings(ip=ip, first=first), link_mbps=self.rate(ip))

    def rate(self, ip: str) -> float:
        """Bandwidth of a machine's link, in Mbit/s."""
        return self.mbps if ip.split(".")[2] == "1" else 100 * self.mbps

    def _send(self, ip: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
        size = len(body) + HEAD
        for end in ((ip, "out"), (dst, "in")) if ip != dst else ():
            at = max(self.now, self.free.get(end, 0.0)) + size * 8e-6 / self.rate(end[0])
            self.free[end] = at
            lane = LANES[kind] if kind is not None else Lane.WORK
            self.last[ip, dst, lane] = max(self.last.get((ip, dst, lane), 0.0), at)
        if kind is not None and kind in (Kind.HEARTBEAT_ACK, Kind.CLUSTER_UPDATE):
            m = orjson.loads(body)
            self.frames.append((self.now, ip, dst, kind, size, m))
            if self.lose(ip, dst, kind, m):
                key = (ip, dst, proc.process_number, LANES[kind])
                self.seq[key] = self.seq.get(key, 0) + 1
                return
        super()._send(ip, proc, dst, kind, body)

    def edges(self) -> list[EdgeNode]:
        """The edge nodes."""
        out = []
        for ip in self.edge_ips:
            node = self.procs[ip].node
            if not isinstance(node, EdgeNode):
                raise SimulationError(text=f"{ip} is no edge node")
            node.now = self.now
            out.append(node)
        return out

    def stamps(self) -> set[int]:
        """Versions in force at the edges."""
        return {n.table.config_version if n.table is not None else 0 for n in self.edges()}

    def news(self, *, what: str, since: float, to: str | None = None) -> list[tuple[str, str, int]]:
        """(from, to, size) of frames to edges that carried a part of the news."""
        return [
            (src, dst, size)
            for at, src, dst, kind, size, m in self.frames
            if at >= since
            and dst in self.edge_ips
            and (to is None or dst == to)
            and what in (m.get("news", {}) if kind is Kind.HEARTBEAT_ACK else m)
        ]


def large(*, version: int, routes: int = 510) -> dict[str, Any]:
    """A configuration of two queues in use and many idle ones, about 100 KB."""

    def row(name: str, prefix: str) -> dict[str, Any]:
        return {
            "name": name,
            "host-name": HOST,
            "path-prefix": prefix,
            "route-kind": "mutating",
            "deadline-ms": 3000,
            "target-ms": 2000,
            "rank": 1,
            "backend": "svc",
            "max-tries": 3,
            "stretch": 2.0,
        }

    rows = [row("fast", "/fast/"), row("slow", "/slow/")] + [row(f"r-{i:07}", f"/x{i:07}/") for i in range(routes)]
    return {
        "config-version": version,
        "route-table": rows,
        "service-table": [{"name": "svc", "conn-limit": 64, "guards": False}],
        "limits": {"idle-timeout-ms": 15000},
    }


def patched(*, version: int, n: int = 1) -> dict[str, Any]:
    """A change that takes one idle route out and adds others."""
    rows = [
        {**large(version=1)["route-table"][0], "name": f"n-{version}-{i}", "path-prefix": f"/n{version}-{i}/"}
        for i in range(n)
    ]
    return {
        "config-version": version,
        "upserts": {"route-table": rows},
        "removals": {"route-table": [f"r-{version:07}"]},
    }


def put(sim: Sim, *, method: str, document: dict[str, Any], base: int) -> None:
    """Send a configuration until it is accepted."""
    for _ in range(20):
        status, _ = sim.ask(
            ip=sim.rng.choice(sim.core_ips),
            method=method,
            path="/config",
            document=document,
            headers={"if-match": str(base)},
        )
        if status == 200:
            return
        sim.run(seconds=0.2)
    raise SimulationError(text=f"the configuration was answered {status}")
