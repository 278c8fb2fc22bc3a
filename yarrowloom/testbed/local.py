"""One command: a small cluster, a configuration, a mix of jobs to its end, a summary, and nothing left behind."""

import signal
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import trio

from ..common.errors import UsageError, YarrowError
from ..common.log import pair
from ..loadgen.generator import quantile
from .callers import HollowLoad, config, loads, run_all
from .cluster import Cluster, Shape
from .fleet import Crew, Fleet
from .judge import Judge
from .simulated_minion import Bounds

SHOW_S = 1.0
MOST_NODES = 60
MOST_MINIONS = 4000


class InterruptedRunError(YarrowError):
    """A signal asked for the end; the exit code is the shell's for it."""

    code = "interrupted"

    def __init__(self, *, num: int) -> None:
        super().__init__(text=f"{signal.Signals(num).name}: all that was started has been ended")
        self.exit_code = 128 + num


async def _signals(scope: trio.CancelScope, got: list[int]) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM, signal.SIGHUP) as sigs:
        async for num in sigs:
            got.append(num)
            scope.cancel()


def guarded(*, main: Callable[[], Awaitable[None]]) -> None:
    """Run `main` until it ends or a signal comes; the signal's number is raised once all is cleaned up."""
    got: list[int] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_signals, nursery.cancel_scope, got)
            await main()
            nursery.cancel_scope.cancel()

    try:
        trio.run(run)
    except BaseExceptionGroup as group:
        known = group.subgroup(YarrowError)
        while isinstance(known, BaseExceptionGroup):
            known = known.exceptions[0]  # type: ignore[assignment]
        if known is None or got:
            raise
        raise known from group
    finally:
        if got:
            raise InterruptedRunError(num=got[0])


def show(*, what: str, **fields: object) -> None:
    """One line of progress."""
    print(
        " ".join([pair(key="event", value=what), *(pair(key=k.replace("_", "-"), value=v) for k, v in fields.items())]),
        file=sys.stderr,
        flush=True,
    )


def summary(*, rows: dict[str, HollowLoad], judge: Judge) -> dict[str, Any]:
    """What became of all jobs."""
    out: dict[str, Any] = {
        key: sum(getattr(r, key) for r in rows.values())
        for key in ("jobs", "refused", "unreached", "repeats", "failed")
    }
    out["accepted"] = sum(len(r.accept_ms) for r in rows.values())
    out["complete"] = sum(len(r.done_ms) for r in rows.values()) - out["failed"]
    out["lost"] = sum(len(r.lost) for r in rows.values())
    out["task-starts"] = judge.starts
    out |= {f"ends-{how}": n for how, n in sorted(judge.ends.items())}
    for name, row in rows.items():
        for key, vals in (("accept", row.accept_ms), ("done", row.done_ms)):
            out |= {f"{name}-{key}-p{int(q * 100)}-ms": round(quantile(vals=vals, q=q), 1) for q in (0.5, 0.99)}
    out["rules-broken"] = len(judge.broken)
    return out


def whole(*, out: dict[str, Any], judge: Judge) -> bool:
    """Nothing lost: all accepted, all complete, no rule broken."""
    return bool(out["complete"] == out["accepted"] == out["jobs"] and not judge.broken)


def lines(*, out: dict[str, Any]) -> Iterable[str]:
    """One key=value line an item."""
    return (pair(key=k, value=v) for k, v in out.items())


async def _progress(rows: dict[str, HollowLoad], judge: Judge, fleet: Fleet, cluster: Cluster) -> None:
    while True:
        await trio.sleep(SHOW_S)
        cluster.watch()
        show(
            what="running",
            accepted=sum(len(r.accept_ms) for r in rows.values()),
            ended=sum(len(r.done_ms) for r in rows.values()),
            starts=judge.starts,
            on_minions=sum(len(m.running) for m in fleet.minions),
        )


def local(
    *, cores: int, edges: int, minions: int, jobs: int, seed: int, rate: float, port: int, keep: bool
) -> tuple[dict[str, Any], bool]:
    """Run it all; the summary, and whether nothing was lost."""
    if not (
        cores >= 1
        and edges >= 1
        and cores + edges <= MOST_NODES
        and 1 <= minions <= MOST_MINIONS
        and jobs >= 1
        and rate > 0
        and 0 <= port < 65000
    ):
        raise UsageError(
            text=f"at least one core, edge, minion and job, a rate above 0, at most {MOST_NODES} nodes "
            f"and {MOST_MINIONS} minions, a port below 65000"
        )
    judge = Judge()
    bounds = Bounds()
    shape = Shape(cores=cores, edges=edges, zones=min(cores, 3), port=port, beat_ms=int(bounds.beat * 1000))
    out: dict[str, Any] = {}

    async def main() -> None:
        with Cluster(shape=shape, keep=keep) as cluster:
            show(what="starting", cores=cores, edges=edges, folder=cluster.folder)
            cluster.start_all()
            show(what="started", pids=",".join(str(n.proc.pid) for n in cluster.nodes if n.proc is not None))
            show(what="configured", after_s=round(await cluster.configure(document=config(version=1)), 2))
            fleet = Fleet(
                crew=Crew(count=minions, zones=cluster.zones),
                cores=cluster.controls(),
                seed=seed,
                watcher=judge,
                bounds=bounds,
            )
            rows = loads(addresses=cluster.fronts(), jobs=jobs, rate=rate, seed=seed, judge=judge)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run)
                await cluster.ready()
                show(what="ready", minions=minions)
                nursery.start_soon(_progress, rows, judge, fleet, cluster)
                await run_all(rows=rows)
                nursery.cancel_scope.cancel()
            out.update(summary(rows=rows, judge=judge))
            show(what="stopping")

    guarded(main=main)
    for text in judge.broken[:20]:
        show(what="rule-broken", text=text)
    return out, whole(out=out, judge=judge)
