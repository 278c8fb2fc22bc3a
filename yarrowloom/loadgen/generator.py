"""Sends jobs at a steady rate, asks for their states, and tells latencies, losses and repeats."""

import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore
import orjson
import trio

from ..common.errors import Finding, UsageError

DEADLINE_S = 3.0
POLL_S = 0.2
TRIES = 4


def quantile(*, vals: list[float], q: float) -> float:
    """The nearest-rank quantile; 0 of nothing.

    >>> quantile(vals=[3.0, 1.0, 2.0], q=0.5)
    2.0
    """
    rows = sorted(vals)
    return rows[min(len(rows) - 1, max(0, int(q * len(rows) + 0.5) - 1))] if rows else 0.0


@dataclass(kw_only=True)
class Load:
    """What is to be sent. Invariant: the seed alone fixes the jobs.

    Attributes:
        key: The key of the tenant that sends them; empty: none.
    """

    addresses: tuple[str, ...]
    host: str
    prefix: str
    jobs: int = 50
    rate: float = 5.0
    seed: int = 1
    wait_s: float = 60.0
    poll_s: float = POLL_S
    key: str = field(default="", repr=False)
    accept_ms: list[float] = field(default_factory=list)
    done_ms: list[float] = field(default_factory=list)
    refused: int = 0
    lost: list[str] = field(default_factory=list)
    failed: int = 0
    repeats: int = 0
    unreached: int = 0

    def key_header(self) -> dict[bytes | str, bytes | str]:
        """The header that carries the key, if there is one."""
        return {"Authorization": f"Token {self.key}"} if self.key else {}

    def job(self, *, rng: random.Random) -> tuple[str, dict[str, Any]]:
        """One job of the mix: small, wide, in steps, or a gang."""
        step: dict[str, Any] = {
            "task-count": rng.choice([1, 2, 4, 8]),
            "cpus": rng.choice([250, 500, 1000]),
            "mem-mb": 64,
            "estimate-ms": rng.choice([200, 800, 2000]),
        }
        stages = [step]
        kind = rng.random()
        if kind < 0.3:
            stages.append({**step, "depends-on": [0], "checkpoints": True})
        elif kind < 0.4:
            step["gang"] = True
        return f"{rng.getrandbits(64):016x}", {"task-spec": "load", "stages": stages}

    async def run(self) -> None:
        """Send all, wait for all."""
        rng = random.Random(self.seed)
        rows = [(self.job(rng=rng), rng.choice(self.addresses)) for _ in range(self.jobs)]
        async with (
            httpcore.AsyncConnectionPool(max_connections=100, network_backend=None) as pool,
            trio.open_nursery() as nursery,
        ):
            for (job_id, document), address in rows:
                nursery.start_soon(self._one, pool, address, job_id, document)
                await trio.sleep(1 / self.rate)
        if self.unreached and not self.accept_ms and not self.refused:
            raise UsageError(
                text="no target answered",
                findings=[Finding(place=a, text="not reached or no such queue") for a in self.addresses],
            )

    async def _call(
        self, *, pool: httpcore.AsyncConnectionPool, address: str, method: str, job_id: str, body: bytes = b""
    ) -> tuple[int, Any]:
        try:
            response = await pool.request(
                method,
                f"http://{address}{self.prefix}{job_id}",
                content=body,
                headers={
                    "Host": self.host,
                    "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    "Content-Type": "application/json",
                    **self.key_header(),
                },
                extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), DEADLINE_S)},
            )
            return response.status, orjson.loads(response.content) if response.content else None
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, orjson.JSONDecodeError):
            return 0, None

    async def _one(
        self, pool: httpcore.AsyncConnectionPool, address: str, job_id: str, document: dict[str, Any]
    ) -> None:
        begun = trio.current_time()
        body = orjson.dumps(document)
        for again in range(TRIES):
            self.repeats += again > 0
            status, _ = await self._call(pool=pool, address=address, method="POST", job_id=job_id, body=body)
            if status not in (0, 502, 504):
                break
        if status != 200:
            self.unreached += status in (0, 404)
            self.refused += status in (429, 503)
            return
        self.accept_ms.append((trio.current_time() - begun) * 1000)
        while trio.current_time() - begun < self.wait_s:
            status, got = await self._call(pool=pool, address=address, method="GET", job_id=job_id)
            if status == 410:
                self.lost.append(job_id)
                return
            state = got.get("state") if status == 200 and isinstance(got, dict) else ""
            if state in ("complete", "failed", "cancelled"):
                self.failed += state != "complete"
                self.done_ms.append((trio.current_time() - begun) * 1000)
                return
            await trio.sleep(self.poll_s)
        self.lost.append(job_id)


def read_key(*, path: str) -> str:
    """The key that a file holds, without the white space around it.

    Raises:
        UsageError: The file can't be read, or holds no key.
    """
    try:
        key = Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(text="the key can't be read", findings=[Finding(place=path, text=str(error))]) from error
    if not key or any(character.isspace() for character in key):
        raise UsageError(text="no key", findings=[Finding(place=path, text="does not hold one key")])
    return key


def report(*, load: Load) -> dict[str, Any]:
    """What became of the jobs."""
    out: dict[str, Any] = {
        "sent": load.jobs,
        "accepted": len(load.accept_ms),
        "refused": load.refused,
        "unreached": load.unreached,
        "repeats": load.repeats,
        "failed": load.failed,
        "lost": len(load.lost),
    }
    for name, vals in (("accept", load.accept_ms), ("done", load.done_ms)):
        out |= {f"{name}-p{int(q * 100)}-ms": round(quantile(vals=vals, q=q), 1) for q in (0.5, 0.95, 0.99)}
    return out
