"""Calls of edges about jobs: handing in, asking, cancelling; and which jobs are not taken."""

from typing import Any

from ..common.records import decode
from ..jobs.model import Job
from . import job_queue as desk
from .binding import Binding
from .job_queue import LATE


class Admission(Binding):
    """Invariant: an answer waits until what it rests on is durable; what is refused never runs."""

    def call(self, *, node_id: str, request_id: int, op: str, b: dict[str, Any]) -> None:
        """A caller's request; the answer waits until what it rests on is durable."""
        job_id = b.get("id", "")
        job = self.jobs.jobs.get(job_id)
        if op == "put":
            self._put(node_id=node_id, request_id=request_id, b=b, job_id=job_id, job=job)
        elif op == "count" and "cv" in b and self._unrouted(b=b):
            self._refuse_route(node_id=node_id, request_id=request_id, b=b)
        elif op == "count":
            self.replica.barrier(
                then=("reply", node_id, request_id, 200, {"pending": self.jobs.pending_by_queue.get(b["q"], 0)})
            )
        elif job is None or job.queue != b["q"]:
            self.replica.barrier(then=("reply", node_id, request_id, 410, {}))
        elif op == "get":
            self.replica.barrier(then=("reply", node_id, request_id, 200, {"state": job.state.value}))
        elif op == "del":
            if job.has_ended:
                self.replica.barrier(then=("reply", node_id, request_id, 200, {}))
            else:
                self.effects(
                    self.replica.commit(
                        event={"t": "cancel", "id": job_id, "at": int(self.environment.wall_now * 1000)},
                        then=("reply", node_id, request_id, 200, {}),
                    )
                )

    def _put(self, *, node_id: str, request_id: int, b: dict[str, Any], job_id: str, job: Job | None) -> None:
        if job is not None:
            self.replica.barrier(then=("reply", node_id, request_id, 200 if job.queue == b["q"] else 409, {}))
            return
        if "cv" in b and self._unrouted(b=b):
            self._refuse_route(node_id=node_id, request_id=request_id, b=b)
            return
        row = {**b["j"], "q": b["q"], "at": int(self.environment.wall_now * 1000)}
        why = self._refusal(job=decode(row, into=Job))
        if why:
            self.environment.reply(node_id=node_id, request_id=request_id, status=429, document={"error": why})
            return
        self.live += 1
        self.effects(
            self.replica.commit(
                event={"t": "job", "id": job_id, "j": row}, then=("reply", node_id, request_id, 200, {})
            )
        )
        self.pump()

    def _unrouted(self, *, b: dict[str, Any]) -> bool:
        """Whether an edge routed a call by an older configuration than this node's, in which the queue is gone, or
        in which the path (told while the edge's may be out of date) is not the queue's.
        """
        if self.environment.config_version() <= b["cv"]:
            return False
        if self.environment.route(name=b["q"]) is None:
            return True
        return "at" in b and self.environment.select(host=b["at"][0], path=b["at"][1]) != b["q"]

    def _refuse_route(self, *, node_id: str, request_id: int, b: dict[str, Any]) -> None:
        """404 where the path leads nowhere for sure; else the caller is to ask again."""
        nowhere = "at" in b and not self.environment.select(host=b["at"][0], path=b["at"][1])
        self.environment.reply(
            node_id=node_id, request_id=request_id, status=404 if nowhere else 503, document={"error": "no such queue"}
        )

    def _refusal(self, *, job: Job) -> str:
        """Why a job can't be taken: too many in hand, or what waits before it would take so long that it could earn
        nothing any more.
        """
        if self.live >= desk.LIVE_MOST:
            return "too many jobs in hand"
        if job.repeat_count or any(s.is_long_running for s in job.steps):
            return ""
        wait = self.expected(service=self.service(job=job), rank=self.rank(job=job))
        if wait + sum(s.estimate_ms for s in job.steps) > LATE * self.aim(job=job):
            return "would start too late"
        return ""

    def expected(self, *, service: str, rank: int) -> float:
        """Milliseconds until the work that waits, of this rank and earlier ones, has had room."""
        shelf = self.room.shelves.get(service)
        if shelf is None or not shelf.count:
            return 0.0
        rows = [row for (s, r), row in self.backlog.load.items() if s == service and r <= rank]
        return max(
            sum(row[0] for row in rows) / max(shelf.total.cpu, 1),
            sum(row[1] for row in rows) / shelf.total.gpu if shelf.total.gpu else 0.0,
        )
