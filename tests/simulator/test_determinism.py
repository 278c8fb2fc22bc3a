"""A seed fixes the run: the order of hashes, which differs from process to process, must not show in it."""

import hashlib
import os
import subprocess
import sys

from tests.support.simulated_work import Day, task
from yarrowloom.simulator.cluster import Sim

ASK = "from tests.simulator.test_determinism import mark; print(mark())"


def mark() -> str:
    """A digest of all frames of a day with a crash, a core's kill, gangs and repeated jobs."""
    log = hashlib.sha256()
    real = Sim._send

    def send(self: Sim, ip: str, proc: object, dst: str, kind: object, body: bytes) -> None:
        log.update(f"{self.now:.6f} {ip} {dst} {kind}".encode() + body)
        real(self, ip, proc, dst, kind, body)  # type: ignore[arg-type]

    Sim._send = send  # type: ignore[method-assign]
    try:
        day = Day(seed=5001, minions=9, cores=5, edges=2)
        for i in range(3):
            day.timed(task(n=2), first=1.0, period=0.5 + i, count=4)
        for i in range(16):
            day.job(task(n=4), task(n=2, depends_on=[0]))
            day.job(task(n=3, cpus=2500, gang=True), queue="slow")
            day.sim.run(seconds=0.4)
            if i == 4:
                day.fleet[0].crash()
            if i == 8:
                day.sim.kill(ip=day.sim.serving(group_id=1)[0], power=True)
        day.sim.run(seconds=6.0)
    finally:
        Sim._send = real  # type: ignore[method-assign]
    return log.hexdigest()


def test_the_order_of_hashes_does_not_show() -> None:
    seen = {
        subprocess.run(
            [sys.executable, "-c", ASK],
            env={**os.environ, "PYTHONHASHSEED": str(n)},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for n in range(3)
    }
    assert len(seen) == 1
