"""What the copies of a job group's whole state cost, by the number of jobs in it; processor time of this machine.

target/v/bin/python docs/experiments/growth_state.py [--live 100,500,2000,5000] [--ended 2000] [--tasks 10]
"""

import argparse
import gc
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import orjson

from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.storage import RingJournal
from yarrowloom.transport.envelope import Frame, FrameDecoder, dump, pack_frame
from yarrowloom.transport.message_kinds import Kind


def fill(*, live: int, ended: int, tasks: int) -> Jobs:
    """A state with running and ended jobs of one step."""
    jobs = Jobs()
    step: dict[str, Any] = {
        "n": tasks,
        "cpu": 3700,
        "mem": 7600,
        "gpu": 1,
        "est": 800,
        "apart": 0,
        "ck": False,
        "gang": False,
        "tight": False,
        "dup": False,
        "last": False,
        "req": "",
        "near": "",
        "deps": [],
    }
    for i in range(live + ended):
        job_id = f"{i:016x}"
        jobs.apply(
            {
                "t": "job",
                "id": job_id,
                "j": {
                    "spec": "x" * 150,
                    "steps": [step],
                    "first": 0,
                    "period": 0,
                    "times": 0,
                    "q": "q",
                    "svc": "reserva",
                    "mt": 2,
                    "at": 1,
                },
            }
        )
        jobs.apply(
            {
                "t": "start",
                "id": job_id,
                "u": "0.0",
                "x": [[k, 1, f"10.20.{(i + k) % 200}.{k % 200}:31000"] for k in range(tasks)],
            }
        )
        if i >= live:
            for k in range(tasks):
                jobs.apply({"t": "end", "id": job_id, "u": "0.0", "i": k, "run": 1, "how": "done", "v": "", "mt": 2})
    return jobs


def ms(fn: Any) -> tuple[float, Any]:
    """The best of three, in milliseconds."""
    best, out = 1e9, None
    for _ in range(3):
        at = time.perf_counter()
        out = fn()
        best = min(best, 1e3 * (time.perf_counter() - at))
    return best, out


def main() -> None:
    """Print a line for each size."""
    ap = argparse.ArgumentParser()
    ap.add_argument("--live", default="100,500,2000,5000")
    ap.add_argument("--ended", type=int, default=2000)
    ap.add_argument("--tasks", type=int, default=10)
    arg = ap.parse_args()
    for live in map(int, arg.live.split(",")):
        jobs = fill(live=live, ended=arg.ended, tasks=arg.tasks)
        t_dump, body = ms(lambda: dump(body={"g": 1, "st": jobs.dump()}))  # noqa: B023
        t_pack, encoded = ms(
            lambda: pack_frame(
                frame=Frame(kind=int(Kind.SNAPSHOT), source="a:1", node_id="u", boot=1, sequence=1, body=body)  # noqa: B023
            )
        )

        def cut() -> Any:
            s, got = FrameDecoder(), []
            for at in range(0, len(encoded), 65536):  # noqa: B023
                got += list(s.feed(encoded[at : at + 65536]))  # noqa: B023
            return got

        t_cut, _ = ms(cut)
        t_read, document = ms(lambda: orjson.loads(body))  # noqa: B023
        t_load, _ = ms(lambda: Jobs().load(document["st"]))  # noqa: B023
        gc.collect()
        t_gc, _ = ms(gc.collect)
        with tempfile.TemporaryDirectory() as folder:
            ring = RingJournal(folder=folder, file_bytes=8 << 20)
            ring.load()
            ring.rotate()
            full = ring.is_full(extra_bytes=len(body))
            t_ring = 0.0
            if not full:
                ring.append(bodies=[body])
            t_ring, _ = ms(lambda: RingJournal(folder=folder, file_bytes=8 << 20).load())
            ring.close()
        link = len(encoded) * 8 / 100e6 * 1e3
        print(
            f"live={live} ended={arg.ended} tasks={arg.tasks}: {len(body) / 1e6:.2f} MB, "
            f"larger than a ring file: {full}; ms: "
            f"dump {t_dump:.1f} pack {t_pack:.1f} cut {t_cut:.1f} read {t_read:.1f} load {t_load:.1f} "
            f"full gc {t_gc:.1f} ring read {t_ring:.1f}; 100 Mbit/s link {link:.0f}"
        )


if __name__ == "__main__":
    main()
