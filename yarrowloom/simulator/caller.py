"""Simulated clients that submit jobs, ask for them and cancel them."""

from typing import Any

from ..transport.http_messages import Response
from .cluster import Sim
from .judges.oracle import Oracle
from .sample_config import HOST
from .tenants import SimTenant, headers_of

OK, GONE = 200, 410


class SimCaller:
    """Submits jobs as clients do, and again under the same ID after a time-out, 502 or 504.

    Attributes:
        withdrawn: Jobs that it cancels; they are not submitted again.
    """

    def __init__(self, *, sim: Sim, oracle: Oracle) -> None:
        self.sim, self.oracle = sim, oracle
        self.n = 0
        self.withdrawn: set[str] = set()

    def headers(self, *, job_id: str) -> dict[str, str]:
        """Headers of a call about a job, with the key of its tenant."""
        return {"host": HOST, "x-deadline-ms": "3000", **headers_of(self.oracle.tenant_of.get(job_id))}

    def submit(
        self,
        *,
        stages: list[dict[str, Any]],
        queue: str = "fast",
        tenant: SimTenant | None = None,
        **more: object,
    ) -> str:
        """Submit a job; return its ID."""
        self.n += 1
        job_id = f"{self.sim.rng.getrandbits(64):016x}"
        document = {"task-spec": f"spec-{job_id}", "stages": stages, **more}
        self.oracle.jobs[job_id] = document
        if tenant is not None:
            self.oracle.tenant_of[job_id] = tenant
        self._send(job_id=job_id, queue=queue, document=document, left=5)
        return job_id

    def _send(self, *, job_id: str, queue: str, document: object, left: int) -> None:
        ip = self.sim.rng.choice(self.sim.edge_ips)
        state = {"done": False}

        def again() -> None:
            if left and job_id not in self.withdrawn:
                self._send(job_id=job_id, queue=queue, document=document, left=left - 1)

        def back(response: Response) -> None:
            if state["done"]:
                return
            state["done"] = True
            if 200 <= response.status < 300:
                self.oracle.accepted.setdefault(job_id, self.sim.now)
            elif response.status in (429, 503) and left == 5:
                self.oracle.refused.add(job_id)
            elif response.status in (502, 504):
                again()

        def late() -> None:
            if not state["done"]:
                state["done"] = True
                again()

        self.sim.http(
            ip=ip,
            src="caller",
            method="POST",
            path=f"/{queue}/{job_id}",
            document=document,
            headers=self.headers(job_id=job_id),
            back=back,
        )
        self.sim.at(delay=3.0, fn=late)

    def state(self, *, job_id: str, queue: str = "fast") -> tuple[int, Any]:
        """Ask for a job's state."""
        status, document = self.sim.ask(
            ip=self.sim.edge_ips[0],
            method="GET",
            path=f"/{queue}/{job_id}",
            headers=self.headers(job_id=job_id),
        )
        return status, document["state"] if status == 200 else None

    def cancel(self, *, job_id: str, queue: str = "fast") -> int:
        """Cancel a job. 410 is an answer too: it may not run after that."""
        status, _ = self.sim.ask(
            ip=self.sim.edge_ips[0],
            method="DELETE",
            path=f"/{queue}/{job_id}",
            headers=self.headers(job_id=job_id),
        )
        if status in (OK, GONE):
            self.oracle.cancelled[job_id] = self.sim.now
        return status
