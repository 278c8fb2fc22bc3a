"""Admission: calls of edges about jobs are taken or rejected; a response waits until what it rests on is durable."""

from typing import Any

from msgspec import UNSET, structs

from ..cluster_state.routing_table import Route
from ..common.queue_identity import QueueIdentity
from ..common.records import MalformedRecordError, decode
from ..jobs.early_cancellations import NONE_YET
from ..jobs.events import JobCancelled, JobSubmitted
from ..jobs.model import Job
from ..jobs.submission import AcceptedJob
from ..transport.effects import Reply
from .calls import JobCall
from .context import SchedulerContext
from .job_queue import JobQueue
from .queue_policy import WORTHLESS_AFTER_TARGETS

MAX_LIVE_JOBS = 5000  # jobs that have not ended; what comes beyond is rejected at once and never runs
BEYOND_SHARE_WAIT_TARGETS = 0.3  # a job beyond its tenant's share is taken only if it would wait less than this
OK, BAD_REQUEST, UNAUTHORIZED, FORBIDDEN, NOT_FOUND = 200, 400, 401, 403, 404
CONFLICT, GONE, TOO_MANY, UNAVAILABLE = 409, 410, 429, 503
NO_QUEUE = {"error": "no such queue"}
UNKNOWN_KEY = {"error": "key missing or unknown"}
CANCELLED_BEFORE = {"error": "perhaps sent before the job was cancelled"}
OTHER_TENANT = {"error": "job of another tenant"}


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
        if self._has_lost_key(call=call):
            self._reject(node_id=node_id, request_id=request_id, status=UNAUTHORIZED, document=UNKNOWN_KEY)
            return False
        if operation == "count":
            self._count_pending(node_id=node_id, request_id=request_id, call=call)
            return False
        job = self.context.jobs.jobs.get(call.job_id)
        if job is None and operation == "del":
            self._cancel_early(node_id=node_id, request_id=request_id, job_id=call.job_id)
        elif job is None or not self._is_reached(queue=job.queue_identity, call=call):
            self._respond(node_id=node_id, request_id=request_id, status=GONE, document={})
        elif _is_of_another(call=call, tenant=job.tenant):
            self._reject(node_id=node_id, request_id=request_id, status=FORBIDDEN, document=OTHER_TENANT)
        elif operation == "get":
            self._respond(node_id=node_id, request_id=request_id, status=OK, document={"state": job.state.value})
        elif operation == "del":
            self._cancel(node_id=node_id, request_id=request_id, call=call, job=job)
        return False

    def _respond(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        """Respond once all that was committed so far is durable."""
        self.context.replica.barrier(
            then=self._reply(node_id=node_id, request_id=request_id, status=status, document=document)
        )

    def _reply(self, *, node_id: str, request_id: int, status: int, document: object) -> Reply:
        """A reply that leaves once all that was committed so far is durable."""
        newest = self.context.jobs.early_cancellations.newest
        return Reply(
            node_id=node_id,
            request_id=request_id,
            status=status,
            document=document,
            newest_cancellation=UNSET if newest == NONE_YET else newest,
        )

    def _reject(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        """Respond at once: the response rests on nothing in the record."""
        self.context.environment.reply(node_id=node_id, request_id=request_id, status=status, document=document)

    def _count_pending(self, *, node_id: str, request_id: int, call: JobCall) -> None:
        if self._is_misrouted(call=call):
            self._reject_route(node_id=node_id, request_id=request_id, call=call)
            return
        pending = sum(
            count
            for queue, count in self.context.jobs.pending_by_queue.items()
            if self._is_reached(queue=queue, call=call)
        )
        self._respond(node_id=node_id, request_id=request_id, status=OK, document={"pending": pending})

    def _cancel(self, *, node_id: str, request_id: int, call: JobCall, job: Job) -> None:
        if job.has_ended:
            self._respond(node_id=node_id, request_id=request_id, status=OK, document={})
        elif self._may_precede_cancellation(call=call):
            # Race: it was cancelled before it was known, then submitted; a copy of the first cancelling comes late.
            self._refuse_older(node_id=node_id, request_id=request_id, call=call)
        else:
            self.job_queue.commit(
                JobCancelled(job_id=call.job_id, cancelled_at_ms=self.context.wall_now_ms),
                then=self._reply(node_id=node_id, request_id=request_id, status=OK, document={}),
            )

    def _cancel_early(self, *, node_id: str, request_id: int, job_id: str) -> None:
        """A job that isn't known is cancelled: a submission that may be older is refused from now on.

        Race: that one may still wait in the socket of an edge or of this node, whose caller gave it up.
        """
        self.job_queue.commit(JobCancelled(job_id=job_id, cancelled_at_ms=self.context.wall_now_ms, is_early=True))
        self._respond(node_id=node_id, request_id=request_id, status=GONE, document={})

    def _refuse_older(self, *, node_id: str, request_id: int, call: JobCall) -> None:
        """Refuse a call that may be older than its job's cancelling; the reply tells the edge of that one."""
        self.context.environment.note(event="job-call-outdated", id=call.job_id, known=call.known_cancellation)
        self._respond(node_id=node_id, request_id=request_id, status=UNAVAILABLE, document=CANCELLED_BEFORE)

    def _may_precede_cancellation(self, *, call: JobCall) -> bool:
        """Whether a call may have been sent before its job's last cancelling that found no such job was answered."""
        cancellations = self.context.jobs.early_cancellations
        return cancellations.may_precede(job_id=call.job_id, known=call.known_cancellation)

    def _submit(self, *, node_id: str, request_id: int, call: JobCall) -> bool:
        """Admit a job, unless it is known already, was routed wrongly or can't be taken; True if admitted."""
        if self._has_lost_key(call=call):
            self._reject(node_id=node_id, request_id=request_id, status=UNAUTHORIZED, document=UNKNOWN_KEY)
            return False
        if self.context.jobs.submission(job_id=call.job_id) is not None:
            known = self.context.jobs.jobs[call.job_id]
            is_same_job = self._is_reached(queue=known.queue_identity, call=call)
            is_repeat = is_same_job and not _is_of_another(call=call, tenant=known.tenant)
            status = OK if is_repeat else CONFLICT
            self._respond(node_id=node_id, request_id=request_id, status=status, document={})
            return False
        if self._is_misrouted(call=call):
            self._reject_route(node_id=node_id, request_id=request_id, call=call)
            return False
        if self._may_precede_cancellation(call=call):
            self._refuse_older(node_id=node_id, request_id=request_id, call=call)
            return False
        submission = call.submission if call.submission is not UNSET else {}
        document = {**submission, "q": call.queue, "at": self.context.wall_now_ms}
        accepted = structs.replace(decode(document, into=AcceptedJob), address=call.address)
        if accepted.tenant and not self.context.quotas.takes_share(tenant=accepted.tenant):
            accepted = structs.replace(accepted, is_beyond_share=True)
        job = Job.accepted(accepted)
        reason = self._rejection(job=job)
        if reason:
            self._reject(node_id=node_id, request_id=request_id, status=TOO_MANY, document={"error": reason})
            return False
        self.job_queue.live_jobs.add(job_id=call.job_id, job=job)
        self.job_queue.commit(
            JobSubmitted(job_id=call.job_id, job=accepted),
            then=self._reply(node_id=node_id, request_id=request_id, status=OK, document={}),
        )
        return True

    # -- keys and routes

    def _has_lost_key(self, *, call: JobCall) -> bool:
        """Whether the key that the edge knew belongs to its tenant no more, by a newer configuration than the edge's.

        The edge tells the key's digest while its own configuration may be out of date.
        """
        environment = self.context.environment
        if call.key_digest is UNSET or not call.tenant or not self._is_older(call=call):
            return False
        route = environment.route_of(queue=call.queue_identity)
        is_public = route is not None and route.is_public
        return not is_public and environment.tenant_of_key(key_digest=call.key_digest) != call.tenant

    def _is_older(self, *, call: JobCall) -> bool:
        """Whether the edge's configuration was older than the one in force here."""
        return call.config_version is not UNSET and self.context.environment.config_version() > call.config_version

    def _is_newer(self, *, call: JobCall) -> bool:
        """Whether the edge's configuration was newer than the one in force here."""
        return call.config_version is not UNSET and self.context.environment.config_version() < call.config_version

    def _is_misrouted(self, *, call: JobCall) -> bool:
        """Whether the edge routed a call by an older configuration than this node's, and wrongly.

        That is so if the queue is gone or was moved, or if the path (told while the edge's configuration may be out of
        date) is not the queue's.
        """
        if not self._is_older(call=call):
            return False
        route = self.context.environment.route_of(queue=call.queue_identity)
        if route is None or (call.address is not UNSET and not route.address.has_same_urls(call.address)):
            return True
        return call.caller_route is not UNSET and self._route_of(call.caller_route) != route

    def _route_of(self, caller_route: tuple[str, str]) -> Route | None:
        host, path = caller_route
        return self.context.environment.select(host=host, path=path)

    def _is_reached(self, *, queue: QueueIdentity, call: JobCall) -> bool:
        """Whether a call finds the jobs of a queue.

        Where the edge's configuration is the newer one, a queue of the same name may have moved to where it was called.
        """
        has_moved = self._is_newer(call=call) and queue.name == call.queue
        return has_moved or self.context.policy.is_reached_at(queue=queue, called=call.queue_identity)

    def _reject_route(self, *, node_id: str, request_id: int, call: JobCall) -> None:
        """404 where the path leads nowhere for sure; else the caller is to ask again."""
        leads_nowhere = call.caller_route is not UNSET and self._route_of(call.caller_route) is None
        status = NOT_FOUND if leads_nowhere else UNAVAILABLE
        self._reject(node_id=node_id, request_id=request_id, status=status, document=NO_QUEUE)

    # -- load

    def _rejection(self, *, job: Job) -> str:
        """Why a job can't be taken; empty if it can.

        Either there are too many, or what waits before it would take so long that it could earn nothing any more.
        """
        if len(self.job_queue.live_jobs) >= MAX_LIVE_JOBS:
            return "too many jobs in hand"
        if not self.job_queue.live_jobs.has_capacity(job=job):
            return "jobs in hand take too much memory"
        if job.repeat_count or any(step.is_long_running for step in job.steps):
            return ""
        policy = self.context.policy
        wait_ms = self.expected_wait_ms(service=policy.service(job=job), rank=policy.rank(job=job))
        run_ms = sum(step.estimate_ms for step in job.steps)
        target_ms = policy.target_ms(job=job)
        if wait_ms + run_ms > WORTHLESS_AFTER_TARGETS * target_ms:
            return "would start too late"
        return self._quota_rejection(job=job, wait_ms=wait_ms, run_ms=run_ms, target_ms=target_ms)

    def _quota_rejection(self, *, job: Job, wait_ms: float, run_ms: float, target_ms: float) -> str:
        """Why a job's tenant may not submit it now; empty if it may.

        What a tenant submits beyond its share is the first to be refused, as soon as anything would wait.
        """
        quotas = self.context.quotas
        if not job.tenant:
            return ""
        is_waiting = quotas.is_throttled(tenant=job.tenant) or wait_ms > BEYOND_SHARE_WAIT_TARGETS * target_ms
        if job.is_beyond_share and is_waiting:
            return "beyond the tenant's share"
        if quotas.expected_wait_ms(tenant=job.tenant) + run_ms > WORTHLESS_AFTER_TARGETS * target_ms:
            return "the tenant's bound is used up"
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


def _is_of_another(*, call: JobCall, tenant: str) -> bool:
    """Whether a job belongs to another tenant than the caller; on public routes, callers may name none."""
    return bool(call.tenant and tenant and call.tenant != tenant)
