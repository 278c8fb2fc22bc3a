"""Samples of each process while an experiment runs: processor time, memory, messages, calls, disk."""

from dataclasses import dataclass, field
from typing import Any

import psutil
import trio

from .cluster import Cluster, Node

GAP_S = 1.0


@dataclass(kw_only=True)
class Series:
    """One process's samples. Invariant: rows are in order of time; a restart begins counts anew."""

    name: str
    kind: str
    rows: list[dict[str, Any]] = field(default_factory=list)

    def grown(self, *, key: str) -> float:
        """How much a count grew, over all lives; what a life did after its last sample is not known.

        >>> Series(name="a", kind="core", rows=[{"pid": 1, "n": 2}, {"pid": 1, "n": 5}, {"pid": 2, "n": 1}]).grown(
        ...     key="n")
        4.0
        """
        out, last, pid = 0.0, 0.0, None
        for i, row in enumerate(self.rows):
            val = float(row.get(key, 0))
            if i:
                out += val - last if row["pid"] == pid else val
            last, pid = val, row["pid"]
        return out

    def span(self) -> float:
        """Seconds from first to last sample."""
        return self.rows[-1]["at"] - self.rows[0]["at"] if self.rows else 0.0

    def top(self, *, key: str) -> float:
        """The highest value."""
        return max((float(r.get(key, 0)) for r in self.rows), default=0.0)


@dataclass(kw_only=True)
class Sampler:
    """Asks each process for its counts once a second, and psutil for what the kernel knows."""

    cluster: Cluster
    series: dict[str, Series] = field(default_factory=dict)
    tallies: dict[str, dict[str, Any]] = field(default_factory=dict)
    own: Series = field(default_factory=lambda: Series(name="rig", kind="rig"))

    async def run(self) -> None:
        """Until cancelled."""
        self.begun = trio.current_time()
        while True:
            await self.once()
            await trio.sleep(GAP_S)

    async def once(self) -> None:
        """One sample of all."""
        async with trio.open_nursery() as nursery:
            for node in self.cluster.nodes:
                if node.proc is not None and not node.frozen:
                    nursery.start_soon(self._node, node)
        me = psutil.Process()
        cpu = me.cpu_times()
        self.own.rows.append(
            {
                "at": trio.current_time() - self.begun,
                "pid": me.pid,
                "cpu-s": cpu.user + cpu.system,
                "rss": me.memory_info().rss,
            }
        )

    async def _node(self, node: Node) -> None:
        assert node.proc is not None
        pid = node.proc.pid
        address = node.binds.get("control") or node.binds["ready"]
        status, document = await self.cluster.call(method="GET", address=address, path="/tally")
        try:
            proc = psutil.Process(pid)
            with proc.oneshot():
                cpu, rss = proc.cpu_times(), proc.memory_info().rss
        except psutil.Error:
            return
        row: dict[str, Any] = {
            "at": trio.current_time() - self.begun,
            "pid": pid,
            "cpu-s": cpu.user + cpu.system,
            "rss": rss,
        }
        if status == 200:
            row |= {
                "msgs-sent": sum(n for n, _ in document["sent"].values()),
                "msgs-got": sum(document["got"].values()),
                "bytes-sent": sum(size for _, size in document["sent"].values()),
                "calls": sum(document["calls"].values()),
                "disk-records": document["disk"][0],
                "disk-bytes": document["disk"][1],
                "disk-batches": document["disk"][2],
                "checkpoints": document["disk"][3],
                "stamp": document["stamp"],
            }
            self.tallies[node.name] = document
        elif self.series.get(node.name) and self.series[node.name].rows[-1]["pid"] == pid:
            row = {**self.series[node.name].rows[-1], **row}  # counts as they were
        else:
            return
        self.series.setdefault(node.name, Series(name=node.name, kind=node.kind)).rows.append(row)
