"""Calls of other nodes: each is carried out once, by the node that serves its group, and responded to."""

from typing import Protocol

from ..common.records import decode
from ..jobs.state_machine import Jobs
from ..replication import Replica
from ..scheduling import Scheduler
from ..scheduling.calls import JobCall
from ..transport.effects import Reply
from .call_messages import NOT_PRIMARY, REFUSALS, CallOperation, GroupCall
from .epochs import KnownEpochs
from .heartbeat_routing import HeartbeatRouting
from .in_progress_calls import CallId, InProgressCalls
from .registry_calls import RegistryCalls

REGISTRY_GROUP = 0
UNAVAILABLE = 503
OVERLOADED = {"error": "too busy to take it in time"}


class CallServerEnvironment(Protocol):
    """What the server needs of its node."""

    now: float
    node_id: str
    epochs: KnownEpochs
    replicas: dict[int, Replica]
    schedulers: dict[int, Scheduler]
    jobs: dict[int, Jobs]
    registry_calls: RegistryCalls
    heartbeat_routing: HeartbeatRouting

    def send_reply(self, *, reply: Reply) -> None:
        """Send a reply to a node's call."""


class CallServer:
    """Takes calls, and keeps those that have no response yet.

    Invariant: a call that was refused for good is refused again whenever a repeat of it comes.
    """

    def __init__(self, *, environment: CallServerEnvironment) -> None:
        self.environment = environment
        self.in_progress = InProgressCalls()

    def on_call(self, *, node_id: str, call: GroupCall) -> None:
        """A call of a node; a repeat of one that is in progress is passed over.

        Raises:
            MalformedRecordError: The body is not one of its operation.
        """
        call_id = CallId(node_id=node_id, request_id=call.request_id)
        refusal = self.in_progress.refusal(call_id=call_id)
        if refusal is not None:
            self.environment.send_reply(reply=_reply_to(call_id, status=refusal.status, document=refusal.document))
            return
        if not self.in_progress.take(call_id=call_id, group_id=call.group_id, now=self.environment.now):
            return
        if call.group_id < REGISTRY_GROUP:
            self._call_agent(node_id=node_id, call=call)
        elif not self.environment.replicas[call.group_id].is_serving():
            self._decline(call_id)
        elif call.group_id == REGISTRY_GROUP:
            self.environment.registry_calls.serve(
                node_id=node_id, request_id=call.request_id, operation=call.operation, body=call.body
            )
        else:
            scheduler = self.environment.schedulers[call.group_id]
            scheduler.call(node_id=node_id, request_id=call.request_id, operation=call.operation, arguments=call.body)

    def _call_agent(self, *, node_id: str, call: GroupCall) -> None:
        """A call for the agent here, unless it is meant for that of a node that was at this address before."""
        if call.to != self.environment.node_id:
            call_id = CallId(node_id=node_id, request_id=call.request_id)
            self.reply(reply=_reply_to(call_id, status=UNAVAILABLE, document={}))
            return
        self.environment.heartbeat_routing.serve(
            node_id=node_id, request_id=call.request_id, operation=call.operation, body=call.body
        )

    def on_call_expired(self, *, node_id: str, call: GroupCall) -> None:
        """A call about jobs waited here until its caller is about to give up.

        It is refused, and never admitted, unless a copy of it was, whose response may have got lost. A caller that is
        told so may try again; one that is told nothing could not know whether it may.
        """
        call_id = CallId(node_id=node_id, request_id=call.request_id)
        if self.in_progress.is_in_progress(call_id=call_id):
            return
        if self._is_submitted(call):
            self.on_call(node_id=node_id, call=call)
            return
        self._refuse(call_id, status=UNAVAILABLE, document=OVERLOADED)
        self.environment.send_reply(reply=_reply_to(call_id, status=UNAVAILABLE, document=OVERLOADED))

    def _is_submitted(self, call: GroupCall) -> bool:
        """Whether a call submits a job that is known already."""
        if call.operation is not CallOperation.SUBMIT_JOB:
            return False
        return decode(call.body, into=JobCall).job_id in self.environment.jobs[call.group_id].jobs

    def reply(self, *, reply: Reply) -> None:
        """Respond to a call that was taken."""
        call_id = CallId(node_id=reply.node_id, request_id=reply.request_id)
        group_id = self.in_progress.finish(call_id=call_id)
        if group_id is not None and group_id > REGISTRY_GROUP and reply.status in REFUSALS:
            self._refuse(call_id, status=reply.status, document=reply.document)
        self.environment.send_reply(reply=reply)

    def abandon_group(self, *, group_id: int) -> None:
        """A group is not served here any more: callers look for its next primary at once."""
        for call_id in self.in_progress.abandon_group(group_id=group_id):
            self._decline(call_id)

    def sweep(self) -> None:
        """Forget calls whose callers wait no longer."""
        self.in_progress.sweep(now=self.environment.now)

    def _decline(self, call_id: CallId) -> None:
        """Tell a caller of the epochs known here, by which it finds the primary."""
        epochs = self.environment.epochs.rows()
        self.reply(reply=_reply_to(call_id, status=NOT_PRIMARY, document=epochs))

    def _refuse(self, call_id: CallId, *, status: int, document: object) -> None:
        self.in_progress.refuse(call_id=call_id, status=status, document=document, now=self.environment.now)


def _reply_to(call_id: CallId, *, status: int, document: object) -> Reply:
    return Reply(node_id=call_id.node_id, request_id=call_id.request_id, status=status, document=document)
