"""What one more minion, start, job, route or byte costs each role on this machine; see docs/CAPACITY.md.

Nodes are the real state machines on a virtual clock and network (bed.py); processor time is this process's.
"""

import pathlib
import random
import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson
import trio
import trio.testing

from ..common.errors import UsageError
from ..transport.envelope import dump
from ..transport.http_messages import Request, Response
from ..transport.http_server import Server
from .callers import QUEUES, HollowLoad, config
from .fleet import Crew
from .simulated_minion import Hollow
from .state_cost import Row, clock_us, jobs_state, routes_state
from .virtual_testbed import Bed, Cost, Seat
from .work import write

# Which role an input of a core node belongs to; what is not named counts as `other`.
FIGURES = {"CAPACITY_REPORT": "room", "HEARTBEAT": "heart", "HEARTBEAT_ACK": "heartok"}  # names in slopes.json
ROLES = {
    "agent": (
        "PUT minions",
        "ATTACH_MINION",
        "LEASE_REQUEST",
        "LEASE_RETURN",
        "TASK_ORDERS",
        "STOP_TASKS",
        "TASK_ENDS_ACK",
        "MINION_LOST_ACK",
        "CAPACITY_REPORT_REQUEST",
    ),
    "primary-placer": (
        "CALL",
        "CLAIM_MINIONS",
        "LEASE_GRANT",
        "TASK_ENDS",
        "TASKS_BEGUN",
        "MINION_LOST",
        "ORDERS_REJECTED",
        "ATTACHMENT_VERDICT",
        "BATCH_APPENDED",
        "LEADER_LEASE_GRANTED",
        "CAPACITY_REPORT",
    ),
    "backup": ("APPEND_BATCH", "LEADER_LEASE_REQUEST"),
    "hearts": ("HEARTBEAT", "HEARTBEAT_ACK", "CLUSTER_UPDATE"),
    "disk": ("disk",),
    "tick": ("tick",),
}


def role_of(kind: str) -> str:
    """The role that takes a kind of input.

    >>> role_of("TASK_ORDERS"), role_of("SOMETHING")
    ('agent', 'other')
    """
    return next((role for role, kinds in ROLES.items() if kind in kinds), "other")


def total(*, seats: list[Seat], pick: Callable[[str], bool], sent: bool = False) -> Cost:
    """The costs of some kinds over some nodes."""
    out = Cost()
    for seat in seats:
        for kind, row in (seat.sent if sent else seat.inputs).items():
            if pick(kind):
                out.count, out.ns, out.size = out.count + row.count, out.ns + row.ns, out.size + row.size
    return out


def made(
    *, cores: int, edges: int, minions: int, seed: int, more: int = 0, gpu_every: int = 0, cpus: int = 16000
) -> Bed:
    """A configured bed whose minions are all known."""
    bed = Bed(cores=cores, edges=edges, seed=seed)
    bed.run(seconds=1.0)
    bed.configure(document=config(version=1, more=more))
    bed.enrol(
        crew=Crew(
            count=minions,
            zones=bed.zones,
            gpu_every=gpu_every,
            gpus=8,
            racks=max(1, minions // 60),
            cap=(cpus, 32768, 0),
        ),
        ramp_s=2.0,
    )
    if not bed.until(cond=lambda: all(m.fence for m in bed.minions), limit=60.0):
        raise UsageError(text="not all minions were taken in")
    bed.run(seconds=2.0)
    return bed


def beats(*, minions: int, seed: int, cores: int = 3, seconds: float = 5.0) -> Row:
    """Minions that run nothing: what each costs a second."""
    bed = made(cores=cores, edges=1, minions=minions, seed=seed)
    seats = [bed.seats[ip] for ip in bed.core_ips]
    for seat in bed.seats.values():
        seat.reset()
    before = bed.beats
    bed.run(seconds=seconds)
    each = minions * seconds
    row = total(seats=seats, pick=lambda k: k == "PUT minions")
    out = {
        "beats-a-minion-s": (bed.beats - before) / each,
        "beat-us": row.ns / 1e3 / max(row.count, 1),
        "beat-bytes": row.size / max(row.count, 1),
    }
    for role in (*ROLES, "other"):
        got = total(seats=seats, pick=lambda k, role=role: role_of(k) == role)  # type: ignore[misc]
        out[f"{role}-us-a-minion-s"] = got.ns / 1e3 / each
    out["all-us-a-minion-s"] = total(seats=seats, pick=lambda _k: True).ns / 1e3 / each
    for kind, label in FIGURES.items():
        sent = total(seats=seats, pick=lambda k, kind=kind: k == kind, sent=True)  # type: ignore[misc]
        out[f"{label}-bytes-a-minion-s"] = sent.size / each
    out["sent-bytes-a-minion-s"] = total(seats=seats, pick=lambda _k: True, sent=True).size / each
    return out


def starts(*, minions: int, rate: float, seed: int, seconds: float = 10.0, cores: int = 3) -> Row:
    """A mix of jobs at a rate: what a job and a task's start and end cost each role, over what idling costs."""
    bed = made(cores=cores, edges=2, minions=minions, seed=seed)
    core = [bed.seats[ip] for ip in bed.core_ips]
    edge = [bed.seats[ip] for ip in bed.edge_ips]
    for seat in bed.seats.values():
        seat.reset()
    bed.run(seconds=3.0)
    idle = {
        role: total(seats=core, pick=lambda k, role=role: role_of(k) == role).ns / 3.0  # type: ignore[misc]
        for role in (*ROLES, "other")
    }
    quiet = total(seats=core, pick=lambda _k: True, sent=True)
    for seat in bed.seats.values():
        seat.reset()
    rng, waits, answers = random.Random(seed), [], [0, 0]
    load = HollowLoad(addresses=("bed",), host="h", prefix="/", judge=bed.judge)
    begun: dict[str, float] = {}

    def back(response: Response) -> None:
        answers[response.status == 200] += 1

    def send(job_id: str, document: dict[str, Any], prefix: str) -> None:
        begun[job_id] = bed.now
        bed.submit(job_id=job_id, document=document, prefix=prefix, back=back)

    jobs = int(rate * seconds)
    for i in range(jobs):
        job_id, document = load.job(rng=rng)
        queue = rng.choices(QUEUES, weights=[q.share for q in QUEUES])[0]
        bed.at(
            delay=i / rate,
            fn=partial(send, job_id, document, queue.prefix),
        )
    first: dict[str, float] = {}
    whole = bed.judge.started

    def started(*, m: Hollow, task: str, run: int, spec: str, saved: str) -> None:
        first.setdefault(task[:16], bed.now)
        whole(m=m, task=task, run=run, spec=spec, saved=saved)

    bed.judge.started = started  # type: ignore[method-assign]
    bed.run(seconds=seconds)
    waits = sorted(first[j] - at for j, at in begun.items() if j in first)
    n = max(bed.judge.starts, 1)
    out: Row = {
        "starts-a-s": bed.judge.starts / seconds,
        "accepted": answers[1],
        "refused": answers[0],
        "rules-broken": len(bed.judge.broken),
        "first-start-p50-ms": 1000 * statistics.median(waits) if waits else -1.0,
        "first-start-p99-ms": 1000 * waits[int(0.99 * (len(waits) - 1))] if waits else -1.0,
    }
    sums = 0.0
    for role in (*ROLES, "other"):
        got = total(seats=core, pick=lambda k, role=role: role_of(k) == role)  # type: ignore[misc]
        out[f"{role}-us-a-start"] = (got.ns - idle[role] * seconds) / 1e3 / n
        sums += out[f"{role}-us-a-start"]
    out["all-us-a-start"] = sums
    prim = max(core, key=lambda s: total(seats=[s], pick=lambda k: k == "TASK_ENDS").count)
    out["primary-node-cores"] = total(seats=[prim], pick=lambda _k: True).ns / 1e9 / seconds
    out["edge-us-a-job"] = total(seats=edge, pick=lambda k: k != "tick").ns / 1e3 / max(jobs, 1)
    sent = total(seats=core, pick=lambda _k: True, sent=True)
    out["messages-a-start"] = (sent.count - quiet.count * seconds / 3.0) / n
    out["bytes-a-start"] = (sent.size - quiet.size * seconds / 3.0) / n
    out["room-bytes-a-s"] = total(seats=core, pick=lambda k: k == "CAPACITY_REPORT", sent=True).size / seconds
    out["log-bytes-a-start"] = total(seats=core, pick=lambda k: k == "APPEND_BATCH", sent=True).size / n
    out["disk-bytes-a-start"] = total(seats=core, pick=lambda k: k == "disk").size / n
    return out


def changes(*, routes: int, seed: int, cores: int = 5, edges: int = 20, count: int = 3) -> Row:
    """Small changes of a configuration of many routes: bytes and processor time over all nodes, and how late."""
    bed = made(cores=cores, edges=edges, minions=0, seed=seed, more=routes)
    seats = list(bed.seats.values())
    late: list[float] = []
    row = config(version=1)["route-table"][0]
    bed.run(seconds=2.0)
    for seat in seats:
        seat.reset()
    begun = bed.now
    for i in range(count):
        bed.configure(
            base=i + 1,
            method="PATCH",
            document={"config-version": i + 2, "upserts": {"route-table": [{**row, "target-ms": 3000 + i}]}},
        )
        at = bed.now
        bed.until(
            cond=lambda i=i: all(  # type: ignore[misc]
                s.node.table is not None and s.node.table.config_version == i + 2 for s in seats
            ),
            limit=30.0,
        )
        late.append(bed.now - at)
        bed.run(seconds=0.5)
    span = bed.now - begun
    busy, sent = total(seats=seats, pick=lambda _k: True), total(seats=seats, pick=lambda _k: True, sent=True)
    for seat in seats:
        seat.reset()
    bed.run(seconds=span)
    quiet, hush = total(seats=seats, pick=lambda _k: True), total(seats=seats, pick=lambda _k: True, sent=True)
    return {
        "us-a-node-change": (busy.ns - quiet.ns) / 1e3 / count / len(seats),
        "bytes-a-node-change": (sent.size - hush.size) / count / len(seats),
        "everywhere-ms": 1000 * max(late),
        "idle-bytes-a-node-s": hush.size / span / len(seats),
        "idle-us-a-node-s": quiet.ns / 1e3 / span / len(seats),
    }


def crowd(*, cores: int, edges: int, minions: int, seed: int, seconds: float = 2.0, more: int = 340) -> Row:
    """A cluster as large as asked for, with minions that run nothing: its dearest nodes, sockets left out."""
    bed = made(cores=cores, edges=edges, minions=minions, seed=seed, more=more)
    for seat in bed.seats.values():
        seat.reset()
    bed.run(seconds=seconds)
    out: Row = {}
    for kind, ips in (("core", bed.core_ips), ("edge", bed.edge_ips)):
        spent = [total(seats=[bed.seats[ip]], pick=lambda _k: True).ns / 1e9 / seconds for ip in ips]
        sent = [total(seats=[bed.seats[ip]], pick=lambda _k: True, sent=True).size / seconds for ip in ips]
        out |= {
            f"{kind}-cores": statistics.mean(spent),
            f"{kind}-cores-most": max(spent),
            f"{kind}-bytes-a-s": statistics.mean(sent),
            f"{kind}-bytes-a-s-most": max(sent),
        }
    chief = max(
        (bed.seats[ip] for ip in bed.core_ips), key=lambda s: total(seats=[s], pick=lambda k: k == "HEARTBEAT").ns
    )
    out |= {
        f"chief-{kind.lower().replace(' ', '-')}-cores": row.ns / 1e9 / seconds
        for kind, row in chief.inputs.items()
        if row.ns / 1e9 / seconds >= 0.01
    }
    return out


def gang(*, size: int, minions: int, seed: int, cores: int = 5) -> Row:
    """One gang with a minion's accelerators for each member: when all run, and the processor time that took."""
    bed = made(cores=cores, edges=1, minions=minions, seed=seed, gpu_every=1)
    stages = [{"task-count": size, "cpus": 8000, "mem-mb": 1024, "gpus": 8, "estimate-ms": 2000, "gang": True}]
    seats = [bed.seats[ip] for ip in bed.core_ips]
    for seat in seats:
        seat.reset()
    begun = bed.now
    bed.submit(
        job_id=f"{seed:016x}",
        document={"task-spec": write(stages=stages, ms=[2000]), "stages": stages},
        prefix="/urgent/",
    )
    good = bed.until(cond=lambda: sum(len(m.running) for m in bed.minions) == size, limit=20.0)
    took = bed.now - begun
    bed.run(seconds=5.0)
    ends = bed.judge.ends
    return {
        "all-run-ms": 1000 * took if good else -1.0,
        "done": ends.get("done", 0),
        "alone": ends.get("alone", 0),
        "us-a-member": total(seats=seats, pick=lambda k: k not in ("tick", "PUT minions")).ns / 1e3 / size,
        "rules-broken": len(bed.judge.broken),
    }


def checkpoint(*, minions: int, seed: int) -> Row:
    """A core's checkpoint and its agent's state, by minion."""
    bed = made(cores=3, edges=1, minions=minions, seed=seed)
    core = bed.core(ip=bed.core_ips[0])
    us = clock_us(lambda: core.snapshot_records(), times=5)
    size = len(dump(body=core.registry.dump()))
    return {
        "checkpoint-us-a-minion": us / minions,
        "registry-bytes-a-minion": size / minions,
        "checkpoint-bytes": sum(map(len, core.snapshot_records())),
    }


def http_call(*, calls: int) -> Row:
    """One HTTP call through the shell's server, without the node: h11 on trio over memory."""
    body = b"{" + b'"x":"' + b"a" * 250 + b'"}'
    raw = (
        b"PUT /minions/i-1 HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        % len(body)
    ) + body

    async def handler(req: Request) -> Response:
        return Response.of(200, {"hold-ms": 4000, "fence-no": 7, "last-seen": 58, "retry-after-ms": 200})

    async def main() -> float:
        mine, theirs = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server(handler=handler).serve, theirs)
            begun = time.process_time_ns()
            for _ in range(calls):
                await mine.send_all(raw)
                await mine.receive_some(65536)
            spent = (time.process_time_ns() - begun) / 1e3 / calls
            nursery.cancel_scope.cancel()
        return spent

    return {"http-us-a-call": trio.run(main)}


# Invariant: the name of a run stands in docs/CAPACITY.md beside each slope taken from it.
RUNS: dict[str, Callable[[int], Row]] = {
    "beats-200": lambda seed: beats(minions=200, seed=seed),
    "beats-800": lambda seed: beats(minions=800, seed=seed),
    "beats-3200": lambda seed: beats(minions=3200, seed=seed, seconds=2.0),
    "starts-10": lambda seed: starts(minions=200, rate=2.0, seed=seed),
    "starts-100": lambda seed: starts(minions=200, rate=20.0, seed=seed),
    "starts-400": lambda seed: starts(minions=800, rate=80.0, seed=seed, seconds=5.0),
    "changes-100": lambda seed: changes(routes=100, seed=seed),
    "changes-1000": lambda seed: changes(routes=1000, seed=seed),
    "changes-340": lambda seed: changes(routes=340, seed=seed),
    "jobs": lambda seed: jobs_state(count=2000, tasks=8, seed=seed),
    "routes": lambda seed: routes_state(count=1000),
    "checkpoint": lambda seed: checkpoint(minions=800, seed=seed),
    "http": lambda seed: http_call(calls=3000),
}

# Only run by name: minutes of processor time and up to 2 GB.
LARGE: dict[str, Callable[[int], Row]] = {
    "crowd-2000": lambda seed: crowd(cores=25, edges=11, minions=2000, seed=seed),
    "crowd-19000": lambda seed: crowd(cores=25, edges=11, minions=19000, seed=seed, seconds=1.0),
    "relays-100": lambda seed: changes(routes=340, seed=seed, cores=25, edges=100),
    "relays-400": lambda seed: changes(routes=340, seed=seed, cores=25, edges=400, count=2),
    "gang-512": lambda seed: gang(size=512, minions=600, seed=seed),
    "starts-2000": lambda seed: starts(minions=2000, rate=400.0, seed=seed, seconds=2.0),
}


def slopes(*, repetitions: int, out: str, only: tuple[str, ...] = ()) -> dict[str, str]:
    """Each figure's median with its lowest and highest of `reps` runs, seeds 1 to `reps`."""
    known = {**RUNS, **LARGE}
    unknown = [name for name in only if name not in known]
    if repetitions < 1 or unknown:
        raise UsageError(text=f"reps above 0, and runs among {', '.join(known)}")
    raw: dict[str, list[Row]] = {}
    response: dict[str, str] = {}
    for name, fn in known.items():
        if name not in (only or RUNS):
            continue
        raw[name] = [fn(seed) for seed in range(1, repetitions + 1)]
        for key in raw[name][0]:
            vals = [row[key] for row in raw[name]]
            response[f"{name}.{key}"] = f"{statistics.median(vals):.5g} ({min(vals):.5g} to {max(vals):.5g})"
    if out:
        path = pathlib.Path(out)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(
            orjson.dumps(
                {"day": time.strftime("%Y-%m-%d", time.gmtime()), "reps": repetitions, "runs": raw},
                option=orjson.OPT_INDENT_2,
            )
        )
    return response
