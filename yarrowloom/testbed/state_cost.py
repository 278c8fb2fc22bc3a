"""What the state of jobs and configurations costs: memory, snapshots, events."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import orjson

from ..cluster_state.routing_table import RoutingTable
from ..jobs.state_machine import Jobs
from ..jobs.submission import parse_submission
from ..prediction import History
from ..transport.envelope import dump
from .callers import config
from .work import write

Row = dict[str, float]
AT = 1_700_000_000_000  # the time of day of events, in milliseconds


def clock_us(fn: Callable[[], Any], *, times: int) -> float:
    """Microseconds of processor time a call."""
    begun = time.process_time_ns()
    for _ in range(times):
        fn()
    return (time.process_time_ns() - begun) / 1e3 / times


def memory_bytes(fn: Callable[[], Any]) -> tuple[Any, int]:
    """What a call makes, and the bytes it holds."""
    gc.collect()
    tracemalloc.start()
    made = fn()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def jobs_state(*, count: int, tasks: int, seed: int) -> Row:
    """The record of a job group through its reducer: bytes and processor time by job and by task."""
    rng = random.Random(seed)
    stages = [{"task-count": tasks, "cpus": 500, "mem-mb": 64, "estimate-ms": 900}]
    short = parse_submission(body=orjson.dumps({"task-spec": write(stages=stages, ms=[900]), "stages": stages}))
    row = {**short.document(), "svc": "hollow", "mt": 3, "q": "usual", "at": AT}
    rows = [(f"{rng.getrandbits(64):016x}", orjson.dumps(row)) for _ in range(count)]
    jobs = Jobs(history=History())

    def put() -> Jobs:
        for job_id, raw in rows:
            jobs.apply({"t": "job", "id": job_id, "j": orjson.loads(raw)})
        return jobs

    _, held = memory_bytes(put)
    out: Row = {"waiting-memory-a-job": held / count, "waiting-bytes-a-job": len(dump(body=jobs.dump())) / count}
    begun = time.process_time_ns()
    for job_id, _ in rows:
        for i in range(tasks):
            jobs.apply(
                {"t": "start", "id": job_id, "u": "0.0", "x": [[i, 1, f"i-{rng.randrange(1000):05d}-0"]], "at": AT}
            )
    out["start-apply-us"] = (time.process_time_ns() - begun) / 1e3 / count / tasks
    out["running-bytes-a-job"] = len(dump(body=jobs.dump())) / count
    out["dump-us-a-task"] = clock_us(lambda: dump(body=jobs.dump()), times=3) / count / tasks
    raw = orjson.loads(dump(body=jobs.dump()))
    fresh = Jobs(history=History())
    out["load-us-a-task"] = clock_us(lambda: fresh.load(raw), times=2) / count / tasks
    begun = time.process_time_ns()
    for job_id, _ in rows:
        for i in range(tasks):
            jobs.apply(
                {
                    "t": "end",
                    "id": job_id,
                    "u": "0.0",
                    "i": i,
                    "run": 1,
                    "how": "done",
                    "v": "",
                    "mt": 3,
                    "at": AT + 900,
                }
            )
    out["end-apply-us"] = (time.process_time_ns() - begun) / 1e3 / count / tasks
    out["ended-bytes-a-job"] = len(dump(body=jobs.dump())) / count
    return out


def routes_state(*, count: int) -> Row:
    """A configuration: bytes a route in memory and on disk, and the time to build its table."""
    document = config(version=1, more=count)
    raw = orjson.dumps(document)
    _, held = memory_bytes(lambda: [loaded := orjson.loads(raw), RoutingTable(document=loaded)])
    table = RoutingTable(document=document)
    return {
        "bytes-a-route": len(raw) / count,
        "memory-a-route": held / count,
        "build-us-a-route": clock_us(lambda: RoutingTable(document=document), times=5) / count,
        "select-us": clock_us(lambda: table.select(host="rig.example", path="/idle-7/x"), times=2000),
    }
