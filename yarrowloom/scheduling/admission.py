"""Admission: calls of edges about jobs are taken or rejected; a response waits until what it rests on is durable."""

from typing import Any

from msgspec import UNSET

from ..common.records import MalformedRecordError, decode
from ..jobs.events import JobCancelled, JobSubmitted
from ..jobs.model import Job
from ..jobs.submission import AcceptedJob
from ..transport.effects import Reply
from .calls import JobCall
from .context import SchedulerContext
from .job_queue import JobQueue
from .queue_policy import WORTHLESS_AFTER_TARGETS

MAX_LIVE_JOBS = 5000  # jobs that have not ended; what comes beyond is rejected at once and never runs
OK, BAD_REQUEST, NOT_FOUND, CONFLICT, GONE, TOO_MANY, UNAVAILABLE = 200, 400, 404, 409, 410, 429, 503
NO_QUEUE = {"error": "no such queue"}


class Admission:
    """Takes the calls. Invariant: a job that was rejected never runs."""

    def __init__(self, *, context: SchedulerContext, job_queue: JobQueue) -> None:
        self.context = context
        self.job_queue = job_queue

    def call(self, *, node_id: str, request_id: int, operation: str, arguments: dict[str, Any]) -> bool:
        """Take a call of a node.

        Args:
            node_id: The caller.
            request_id: The caller's number of the call.
            operation: "put", "get" or "del" of one job, or "count" of a queue's pending jobs.
            arguments: Of the call, with the encoded keys.

        Returns:
            Whether a job was admitted.
        """
        try:
            call = decode(arguments, into=JobCall)
            if operation == "put":
                return self._submit(node_id=node_id, request_id=request_id, call=call)
        except MalformedRecordError as error:
            self._reject(node_id=node_id, request_id=request_id, status=BAD_REQUEST, document={"error": error.text})
            return False
        if operation == "count":
            self._count_pending(node_id=node_id, request_id=request_id, call=call)
            return False
        job = self.context.jobs.jobs.get(call.job_id)
        if job is None or job.queue != call.queue:
            self._respond(node_id=node_id, request_id=request_id, status=GONE, document={})
        elif operation == "get":
            self._respond(node_id=node_id, request_id=request_id, status=OK, document={"state": job.state.value})
        elif operation == "del":
            self._cancel(node_id=node_id, request_id=request_id, job_id=call.job_id, job=job)
        return False

    def _respond(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        """Respond once all that was committed so far is durable."""
        reply = Reply(node_id=node_id, request_id=request_id, status=status, document=document)
        self.context.replica.barrier(then=reply)

    def _reject(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        """Respond at once: the response rests on nothing in the record."""
        self.context.environment.reply(node_id=node_id, request_id=request_id, status=status, document=document)

    def _count_pending(self, *, node_id: str, request_id: int, call: JobCall) -> None:
        if self._is_misrouted(call=call):
            self._reject_route(node_id=node_id, request_id=request_id, call=call)
            return
        pending = self.context.jobs.pending_by_queue.get(call.queue, 0)
        self._respond(node_id=node_id, request_id=request_id, status=OK, document={"pending": pending})

    def _cancel(self, *, node_id: str, request_id: int, job_id: str, job: Job) -> None:
        if job.has_ended:
            self._respond(node_id=node_id, request_id=request_id, status=OK, document={})
            return
        self.job_queue.commit(
            JobCancelled(job_id=job_id, cancelled_at_ms=self.context.wall_now_ms),
            then=Reply(node_id=node_id, request_id=request_id, status=OK, document={}),
        )

    def _submit(self, *, node_id: str, request_id: int, call: JobCall) -> bool:
        """Admit a job, unless it is known already, was routed wrongly or can't be taken; True if admitted."""
        known = self.context.jobs.jobs.get(call.job_id)
        if known is not None:
            status = OK if known.queue == call.queue else CONFLICT
            self._respond(node_id=node_id, request_id=request_id, status=status, document={})
            return False
        if self._is_misrouted(call=call):
            self._reject_route(node_id=node_id, request_id=request_id, call=call)
            return False
        submission = call.submission if call.submission is not UNSET else {}
        document = {**submission, "q": call.queue, "at": self.context.wall_now_ms}
        accepted = decode(document, into=AcceptedJob)
        reason = self._rejection(job=Job.accepted(accepted))
        if reason:
            self._reject(node_id=node_id, request_id=request_id, status=TOO_MANY, document={"error": reason})
            return False
        self.job_queue.live_jobs += 1
        self.job_queue.commit(
            JobSubmitted(job_id=call.job_id, job=accepted),
            then=Reply(node_id=node_id, request_id=request_id, status=OK, document={}),
        )
        return True

    # -- routes

    def _is_misrouted(self, *, call: JobCall) -> bool:
        """Whether the edge routed a call by an older configuration than this node's, and wrongly.

        That is so if the queue is gone, or if the path (told while the edge's configuration may be out of date) is
        not the queue's.
        """
        environment = self.context.environment
        if call.config_version is UNSET or environment.config_version() <= call.config_version:
            return False
        if environment.route(name=call.queue) is None:
            return True
        return call.caller_route is not UNSET and self._queue_of(call.caller_route) != call.queue

    def _queue_of(self, caller_route: tuple[str, str]) -> str:
        host, path = caller_route
        return self.context.environment.select(host=host, path=path)

    def _reject_route(self, *, node_id: str, request_id: int, call: JobCall) -> None:
        """404 where the path leads nowhere for sure; else the caller is to ask again."""
        leads_nowhere = call.caller_route is not UNSET and not self._queue_of(call.caller_route)
        status = NOT_FOUND if leads_nowhere else UNAVAILABLE
        self._reject(node_id=node_id, request_id=request_id, status=status, document=NO_QUEUE)

    # -- load

    def _rejection(self, *, job: Job) -> str:
        """Why a job can't be taken; empty if it can.

        Either there are too many, or what waits before it would take so long that it could earn nothing any more.
        """
        if self.job_queue.live_jobs >= MAX_LIVE_JOBS:
            return "too many jobs in hand"
        if job.repeat_count or any(step.is_long_running for step in job.steps):
            return ""
        policy = self.context.policy
        wait_ms = self.expected_wait_ms(service=policy.service(job=job), rank=policy.rank(job=job))
        run_ms = sum(step.estimate_ms for step in job.steps)
        if wait_ms + run_ms > WORTHLESS_AFTER_TARGETS * policy.target_ms(job=job):
            return "would start too late"
        return ""

    def expected_wait_ms(self, *, service: str, rank: int) -> float:
        """Milliseconds until the work that waits, of this rank and earlier ones, has had its resources."""
        index = self.context.capacity.services.get(service)
        if index is None or not index.minion_count:
            return 0.0
        waiting = [
            work
            for (work_service, work_rank), work in self.context.queue.waiting_work.items()
            if work_service == service and work_rank <= rank
        ]
        core_work, gpu_work = sum(work[0] for work in waiting), sum(work[1] for work in waiting)
        return max(core_work / max(index.total.millicores, 1), gpu_work / index.total.gpus if index.total.gpus else 0.0)
