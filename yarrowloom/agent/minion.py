"""One minion (worker node) as its agent knows it: what its heartbeats tell, its leases, runs and attachments."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
from msgspec import UNSET

from ..common.resources import NO_RESOURCES, Resources
from .heartbeat import DRAINING, ListedRun, MinionHeartbeat
from .messages import TaskEnd
from .timing import NEVER


class Phase(enum.Enum):
    """How much is known of what a minion runs.

    Attributes:
        NEW: Owned, but no response with the fence has gone out: what the minion lists may be an earlier owner's.
        FENCED: The fence has gone out; the next heartbeat tells what runs under it.
        KNOWN: Its heartbeats tell what it runs. The only phase in which leases are granted and orders go out.
        LOST: Silent for longer than it may hold on to its runs, or gone. It stays so until group 0 has removed it.
    """

    NEW = "new"
    FENCED = "fenced"
    KNOWN = "known"
    LOST = "lost"


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.NEW: frozenset({Phase.FENCED, Phase.LOST}),
    Phase.FENCED: frozenset({Phase.KNOWN, Phase.LOST}),
    Phase.KNOWN: frozenset({Phase.LOST}),
    Phase.LOST: frozenset(),
}


class Attachment(NamedTuple):
    """A group's attachment of a minion; a later one compares as greater."""

    epoch_number: int
    number: int


NOT_ATTACHED = Attachment(0, 0)


class Lease(msgspec.Struct, kw_only=True):
    """Resources of one minion, reserved for one group.

    Invariants: it counts against the minion until it is removed; it serves one run at a time.

    Attributes:
        task: The task that runs on it, or is ordered; empty: none.
        expires_at: When it expires if it serves no task (monotonic seconds).
        is_unknown_to_scheduler: Made for a run found at an attachment: no scheduler can return or reuse it, so it
            ends with its run.
    """

    lease_id: int
    minion_id: str
    group_id: int
    size: Resources
    expires_at: float
    task: str = ""
    is_unknown_to_scheduler: bool = False


class TaskRun(msgspec.Struct, kw_only=True):
    """A run whose start the group's record holds. It stays until the group has acknowledged its end.

    Attributes:
        run: Number of the run; rises with each start of the task.
        lease_id: The lease that it runs on; 0: that lease was returned after its end.
        spec: The job's task specification; emptied once the run is listed.
        is_sent: The order was put into a response to a heartbeat.
        is_running: A heartbeat listed the run.
        is_stop_requested: It is to be stopped, or not to start any more.
        is_begin_awaited: Its scheduler is to be told once a heartbeat lists it.
        begin_reports: How often it was told so under the attachment that stands.
        begin_told_at: When it was told last (monotonic seconds).
        running_since: When it was first listed (monotonic seconds).
        percent: Progress when it was last listed.
        first_percent: Progress when it was first listed; a run restored from a checkpoint begins above 0.
        progressed_at: When its progress last changed (monotonic seconds); 0: it was not listed yet.
        missing_heartbeats: Heartbeats in a row that listed neither the run nor its end, after it was listed.
        estimate_ms: Expected run time in milliseconds; below 0 for a task that runs until it is stopped.
    """

    task: str
    run: int
    group_id: int
    lease_id: int
    spec: str = ""
    checkpoint: str = ""
    is_sent: bool = False
    is_running: bool = False
    is_stop_requested: bool = False
    is_begin_awaited: bool = False
    begin_reports: int = 0
    begin_told_at: float = NEVER
    running_since: float = 0.0
    percent: float = 0.0
    first_percent: float = 0.0
    progressed_at: float = 0.0
    missing_heartbeats: int = 0
    estimate_ms: int = 0

    @property
    def is_unsent(self) -> bool:
        """Whether the minion cannot know of the run."""
        return not self.is_sent and not self.is_running


@dataclass(slots=True, kw_only=True)
class PendingHeartbeat:
    """A heartbeat without a response so far.

    Attributes:
        call: What the node knows the HTTP call by.
        received_at: Monotonic seconds.
        respond_at: When the response goes out even if there is nothing to tell (monotonic seconds).
    """

    call: object
    received_at: float
    respond_at: float


@dataclass(slots=True, kw_only=True)
class Minion:
    """A minion that this agent owns. Times are seconds on the monotonic clock.

    Invariants: `last_acknowledged_end` reaches an end only when its group has it on both disks; no order goes out
    unless the phase is KNOWN and every group has attached the minion once under this fence; `leased` is the sum of
    `leases`.

    Attributes:
        fence: Group 0's newest ownership number of this minion.
        last_heartbeat_at: When it was last heard of; moved on while the agent could not hear it.
        is_draining: It takes no new work.
        has_announced_draining: It said in a heartbeat that it drains.
        leaves_at: When a draining minion ends.
        gone_at: It is lost from then on, whatever it may hold; 0: no such time.
        last_call_number: Number of its last heartbeat.
        last_acknowledged_end: Ends up to this number are durable in their groups' records.
        listed_runs: Runs that its last heartbeat listed, by task.
        ends: Ends that its heartbeats listed, by number, without those up to `last_acknowledged_end`.
        end_reported_at: When an end was last reported to its group, by number.
        acknowledged_ends: Numbers of ends that are durable, though an earlier one is not.
        runs: Runs that groups' records have on it, by task.
        unknown_runs: Listed runs, by task, that no group's record has here; they are stopped.
        attachments: The attachment that stands, by group.
        once_attached: Groups that have attached it under this fence, whether or not that attachment stands.
        claimed_at: When it was last claimed of a group.
        loss_reported_at: When its loss was last reported.
        unanswered_requests: Claims or reports of its loss in a row without an answer; they go out more rarely.
        loss_acknowledged_by: Groups that have its loss in their record.
        pending_heartbeat: The heartbeat that waits for its response.
        retry_after_s: Seconds from its last heartbeat to its next one, by the last response.
        no_leases_until: Runs made no progress here: no leases are granted until then.
    """

    minion_id: str
    fence: int
    last_heartbeat_at: float
    service: str = ""
    zone: str = ""
    labels: list[str] = field(default_factory=list)
    capacity: Resources = NO_RESOURCES
    phase: Phase = Phase.NEW
    is_draining: bool = False
    has_announced_draining: bool = False
    leaves_at: float = 0.0
    gone_at: float = 0.0
    last_call_number: int = -1
    last_acknowledged_end: int = 0
    listed_runs: dict[str, ListedRun] = field(default_factory=dict)
    ends: dict[int, TaskEnd] = field(default_factory=dict)
    end_reported_at: dict[int, float] = field(default_factory=dict)
    acknowledged_ends: set[int] = field(default_factory=set)
    runs: dict[str, TaskRun] = field(default_factory=dict)
    unknown_runs: dict[str, int] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    leased: Resources = NO_RESOURCES
    attachments: dict[int, Attachment] = field(default_factory=dict)
    once_attached: set[int] = field(default_factory=set)
    claimed_at: dict[int, float] = field(default_factory=dict)
    loss_reported_at: float = NEVER
    unanswered_requests: int = 0
    loss_acknowledged_by: set[int] = field(default_factory=set)
    pending_heartbeat: PendingHeartbeat | None = None
    retry_after_s: float = 0.0
    no_leases_until: float = 0.0

    def move(self, phase: Phase) -> None:
        """Change the phase by the table of transitions."""
        assert phase in TRANSITIONS[self.phase], (self.phase, phase)
        self.phase = phase

    # -- leases

    def free(self) -> Resources:
        """What nobody has leased; nothing while a run goes on that no record has."""
        if self.unknown_runs:
            return NO_RESOURCES
        return self.capacity.plus(self.leased, -1)

    def is_nearly_full(self) -> bool:
        """Whether at most an eighth of the cores or a sixteenth of the memory is free."""
        capacity, leased = self.capacity, self.leased
        return (
            bool(self.unknown_runs)
            or (capacity.millicores - leased.millicores) * 8 <= capacity.millicores
            or (capacity.memory_mb - leased.memory_mb) * 16 <= capacity.memory_mb
        )

    def add_lease(self, lease: Lease) -> None:
        """Count a lease against the minion."""
        self.leases[lease.lease_id] = lease
        self.leased = self.leased.plus(lease.size)

    def remove_lease(self, *, lease_id: int) -> bool:
        """End a lease; whether there was one."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        self.leased = self.leased.plus(lease.size, -1)
        return True

    # -- heartbeats

    def record_heartbeat(self, *, heartbeat: MinionHeartbeat, now: float) -> None:
        """Take over what a heartbeat tells."""
        self.last_heartbeat_at, self.retry_after_s = now, 0.0
        self.last_call_number = self.call_number_of(heartbeat)
        if heartbeat.service is not UNSET:
            self.service = heartbeat.service
        if heartbeat.zone is not UNSET:
            self.zone = heartbeat.zone
        if heartbeat.labels is not UNSET:
            self.labels = heartbeat.labels
        self.capacity = heartbeat.capacity.resources
        if heartbeat.state == DRAINING:
            self.is_draining = self.has_announced_draining = True
            self.leaves_at = now + (heartbeat.leaves_in_ms or 0.0) / 1000
        self.listed_runs = {listed.task: listed for listed in heartbeat.running}
        for end in heartbeat.finished:
            if end.number > self.last_acknowledged_end:
                self.ends[end.number] = end

    def call_number_of(self, heartbeat: MinionHeartbeat) -> int:
        """The number of a heartbeat; one without a number counts as the next."""
        number = heartbeat.call_number
        return self.last_call_number + 1 if number is UNSET else number

    def skip_acknowledged_ends(self) -> None:
        """Move `last_acknowledged_end` over ends that are acknowledged.

        A number that is not listed was acknowledged, and forgotten by the minion, under an earlier agent.
        """
        for number in sorted(self.ends):
            if number not in self.acknowledged_ends:
                break
            self.last_acknowledged_end = number
            self.acknowledged_ends.discard(number)
            del self.ends[number]
            self.end_reported_at.pop(number, None)

    def has_listed_end(self, *, task: str, run: int) -> bool:
        """Whether heartbeats listed an end of this run that is not yet acknowledged."""
        for end in self.ends.values():
            if end.task == task and end.run == run:
                return True
        return False

    def has_unacknowledged_end(self) -> bool:
        """Whether an end is listed that its group has not acknowledged."""
        return not self.ends.keys() <= self.acknowledged_ends
