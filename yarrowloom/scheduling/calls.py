"""The arguments of the calls about jobs that edges make of the scheduler."""

from typing import Any

from msgspec import UNSET, UnsetType

from ..common.queue_identity import QueueAddress, QueueIdentity
from ..common.records import Record


class JobCall(
    Record,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={
        "job_id": "id",
        "queue": "q",
        "address": "ad",
        "config_version": "cv",
        "caller_route": "at",
        "submission": "j",
        "tenant": "tn",
        "key_digest": "key",
        "known_cancellation": "kc",
    },
):
    """A call about one job, or about all jobs of a queue.

    Attributes:
        job_id: The job; empty in a call about a queue.
        queue: The queue that the edge routed the call to.
        address: Where clients reach that queue; absent in calls of edges of releases that did not tell it.
        config_version: The version of the configuration by which it did.
        caller_route: Host and path that the caller named; absent while the edge's configuration is up to date.
        submission: The job's record, without what the scheduler adds; absent in calls that submit nothing.
        tenant: The tenant whose key the caller presented; empty: none.
        key_digest: Stands for that key; absent while the edge's configuration is up to date.
        known_cancellation: Number of the newest cancellation of a job that was not known, of which the edge knew before
            the caller sent its request; -1: of none.
    """

    job_id: str = ""
    queue: str
    address: QueueAddress | UnsetType = UNSET
    config_version: int | UnsetType = UNSET
    caller_route: tuple[str, str] | UnsetType = UNSET
    submission: dict[str, Any] | UnsetType = UNSET
    tenant: str = ""
    key_digest: str | UnsetType = UNSET
    known_cancellation: int = -1

    @property
    def queue_identity(self) -> QueueIdentity:
        """What the queue is known by."""
        return QueueIdentity(self.queue, self.address)
