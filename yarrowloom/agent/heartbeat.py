"""Heartbeats of minions and the responses to them, as published."""

import msgspec
from msgspec import UNSET, UnsetType

from ..common.records import MalformedRecordError, Record
from ..common.resources import Resources
from ..transport.http_messages import JSON, Response
from .messages import MinionInt, TaskEnd

DRAINING = "draining"


class ListedRun(Record, frozen=True, kw_only=True, array_like=True):
    """A run that goes on at the minion.

    Attributes:
        checkpoint: What the run's last checkpoint left; empty: nothing.
        percent: Progress, from 0 to 100.
    """

    task: str
    run: MinionInt
    checkpoint: str = ""
    percent: float = 0.0


class HeartbeatCapacity(
    Record, frozen=True, kw_only=True, rename={"millicores": "cpus", "memory_mb": "mem-mb", "gpus": "gpus"}
):
    """All that a minion offers: thousandths of a core, megabytes, accelerators."""

    millicores: MinionInt = 0
    memory_mb: MinionInt = 0
    gpus: MinionInt = 0

    @property
    def resources(self) -> Resources:
        """The same as an amount."""
        return Resources(self.millicores, self.memory_mb, self.gpus)


class MinionHeartbeat(
    Record,
    frozen=True,
    kw_only=True,
    rename={
        "call_number": "call-seq",
        "service": "backend",
        "leaves_in_ms": "leave-at-ms",
    },
):
    """What a minion tells in one heartbeat. A field that may be unset keeps the value of the heartbeat before.

    Attributes:
        call_number: Rises with each heartbeat of the minion.
        service: The back end whose tasks the minion runs.
        labels: The minion's kind, its rack, and others.
        state: `draining` announces that the minion is to end.
        leaves_in_ms: Milliseconds until a draining minion ends.
        running: All runs that go on.
        finished: Ends of runs whose numbers have not been acknowledged.
    """

    call_number: MinionInt | UnsetType = UNSET
    service: str | UnsetType = UNSET
    zone: str | UnsetType = UNSET
    labels: list[str] | UnsetType = UNSET
    state: str | None = None
    leaves_in_ms: float | None = None
    capacity: HeartbeatCapacity = HeartbeatCapacity()
    running: list[ListedRun] = msgspec.field(default_factory=list)
    finished: list[TaskEnd] = msgspec.field(default_factory=list)


def parse_heartbeat(*, document: object) -> MinionHeartbeat:
    """The heartbeat that parsed JSON stands for; numbers may be written as text.

    Raises:
        MalformedRecordError: A field is of another type than published.

    >>> parse_heartbeat(document={"call-seq": 3, "running": [["t", 1]]}).running
    [ListedRun(task='t', run=1, checkpoint='', percent=0.0)]
    >>> parse_heartbeat(document={"running": [["t", "x"]]})
    Traceback (most recent call last):
    ...
    yarrowloom.common.records.MalformedRecordError: heartbeat: Expected `int`, got `str` - at `$.running[0][1]`
    """
    try:
        return msgspec.convert(document, MinionHeartbeat, strict=False)
    except msgspec.ValidationError as error:
        raise MalformedRecordError(text=f"heartbeat: {error}") from error


class TaskToStart(Record, frozen=True, kw_only=True, array_like=True):
    """A run that the minion is to start.

    Attributes:
        spec: The task specification of the job.
        checkpoint: What the task's last checkpoint left; empty: nothing.
    """

    task: str
    run: int
    spec: str
    checkpoint: str


class TaskToStop(Record, frozen=True, kw_only=True, array_like=True):
    """A run that the minion is to stop, or not to start any more."""

    task: str
    run: int


class HeartbeatResponse(
    Record,
    frozen=True,
    kw_only=True,
    rename={
        "hold_ms": "hold-ms",
        "fence": "fence-no",
        "last_acknowledged_end": "last-seen",
        "retry_after_ms": "retry-after-ms",
    },
):
    """What a minion is told in response to a heartbeat.

    Attributes:
        fence: Number of the minion's ownership; the minion passes over responses with a lower one than it has seen.
        hold_ms: How long the minion may go on with what it runs, counted from when it sent the heartbeat.
        last_acknowledged_end: Ends up to this number are durable; the minion forgets them.
        started: Runs to start.
        stopped: Runs to stop.
        retry_after_ms: Milliseconds until the next heartbeat.
    """

    fence: int
    hold_ms: int | UnsetType = UNSET
    last_acknowledged_end: int | UnsetType = UNSET
    started: list[TaskToStart] | UnsetType = UNSET
    stopped: list[TaskToStop] | UnsetType = UNSET
    retry_after_ms: int | UnsetType = UNSET

    def http_response(self) -> Response:
        """The response as HTTP."""
        return Response(status=200, body=self.encoded(), headers=JSON)


UNAVAILABLE = Response(status=503)  # the minion asks another node
EMPTY = Response(status=200, body=b"{}", headers=JSON)
