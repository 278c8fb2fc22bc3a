"""Pushing out: checkpointed work of a later rank makes room for work that waits. Nothing saved is lost."""

from typing import TYPE_CHECKING, Any

from ..job.state import ENDED, task_name
from .leases import Shape

if TYPE_CHECKING:
    from .placer import Placer

AFTER_S = 0.3         # work that has waited this long may push others out
AGAIN_S = 2.5         # a run asked to stop is counted as room to come for this long
MOST = 8


class Evictor:
    """Invariant: only runs whose progress is kept are stopped, and never more than are waited for."""

    def __init__(self, *, placer: "Placer") -> None:
        self.placer = placer
        self.going: dict[tuple[str, int], tuple[float, str]] = {}
        self.total = 0

    def _tidy(self) -> None:
        now = self.placer.hub.now
        for key, (at, _) in list(self.going.items()):
            if now - at > AGAIN_S:
                del self.going[key]

    def ended(self, *, task: str, run: int) -> None:
        """A run is over."""
        self.going.pop((task, run), None)

    def _rows(self, *, mids: frozenset[str] | None, svc: str, grade: int) -> list[tuple[Any, ...]]:
        """Runs that may go: (-rank, -run's place in time, minion, task, run, step, labels)."""
        p = self.placer
        out: list[tuple[Any, ...]] = []
        for mid, runs in p.jobs.on.items():
            link = p.links.get(mid)
            if link is None or link.svc != svc or (mids is not None and mid not in mids):
                continue
            for jid, key, i in runs:
                job = p.jobs.jobs[jid]
                step, rank = job["steps"][int(key.split(".")[1])], p.grade(job=job)
                task, run = task_name(jid=jid, unit=key, idx=i), job["u"][key]["r"][i]
                held = p.held.get(task)
                if (rank > grade and step["ck"] and not step["gang"] and job["st"] not in ENDED
                        and (task, run) not in self.going and held is not None):
                    out.append((-rank, -held.since, mid, task, run, step, link.labels))
        return sorted(out, key=lambda r: r[:5])

    def _stop(self, *, rows: list[tuple[Any, ...]], svc: str) -> None:
        p = self.placer
        for _, _, mid, task, run, _, _ in rows:
            self.going[task, run] = (p.hub.now, svc)
            p.stops([[mid, task, run]])
        if rows:
            self.total += len(rows)
            p.hub.note(event="pushed-out", runs=len(rows), service=svc)

    def tasks(self, *, shape: Shape, n: int, grade: int, strict: bool) -> None:
        """Make room for up to n single tasks."""
        self._tidy()
        n = min(n, MOST) - sum(svc == shape.svc for _, svc in self.going.values())
        if n <= 0:
            return
        fit = [r for r in self._rows(mids=None, svc=shape.svc, grade=grade)
               if r[5]["cpu"] >= shape.cpu and r[5]["mem"] >= shape.mem and r[5]["gpu"] >= shape.gpu
               and (not shape.req or shape.req in r[6]) and (not strict or shape.near in r[6])]
        self._stop(rows=fit[:n], svc=shape.svc)

    def minions(self, *, mids: frozenset[str], svc: str, grade: int) -> None:
        """Clear minions that were booked for a gang."""
        self._tidy()
        self._stop(rows=self._rows(mids=mids, svc=svc, grade=grade), svc="")
