"""Pod groups: the tasks of one step of a job, of one of its runs, which are scheduled as a unit."""

import enum
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from ..common.resources import Resources


class Phase(enum.Enum):
    """Where a group stands. The values are shown to the operator."""

    ACTIVE = "active"  # in the queue, waits for its cycle
    SCHEDULING = "turn"  # taken from the queue: its cycle runs
    UNSCHEDULABLE = "parked"  # its last cycle failed: waits for capacity or for the end of its backoff
    THROTTLED = "quota"  # its tenant's tasks hold all that they may: waits until some end
    BOUND = "bound"  # every member runs or has a lease asked for: nothing to schedule
    GONE = "gone"


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.ACTIVE: frozenset({Phase.SCHEDULING, Phase.GONE}),
    Phase.SCHEDULING: frozenset({Phase.ACTIVE, Phase.UNSCHEDULABLE, Phase.BOUND, Phase.THROTTLED, Phase.GONE}),
    Phase.THROTTLED: frozenset({Phase.ACTIVE, Phase.GONE}),
    Phase.UNSCHEDULABLE: frozenset({Phase.ACTIVE, Phase.SCHEDULING, Phase.GONE}),
    Phase.BOUND: frozenset({Phase.ACTIVE, Phase.GONE}),
    Phase.GONE: frozenset(),
}


FIRST_RANK = -1  # of groups that go before all ranks


class Priority(NamedTuple):
    """A group's place in the queue; the lesser one goes first.

    Attributes:
        is_worthless: Its job can earn nothing any more.
        rank: The rank of its job's queue; 0 goes first, `FIRST_RANK` before all.
        latest_start_ms: The latest start by which the job can still meet its target, wall milliseconds.
        first_seen: When the group entered the queue first, monotonic seconds.
        job_id: The job.
        unit_key: The unit of the job: "run.step".
    """

    is_worthless: bool
    rank: int
    latest_start_ms: float
    first_seen: float
    job_id: str
    unit_key: str


@dataclass(slots=True, kw_only=True)
class PodGroup:
    """The tasks of one step of a job, of one of its runs.

    Attributes:
        job_id: The job.
        unit_key: The unit of the job: "run.step".
        tenant: The job's tenant; empty: none.
        service: The service whose minions run its tasks.
        size: What one member needs.
        priority: Its place in the queue.
        waiting_since: Since when a member has waited, monotonic seconds.
        required_label: A label that a member's minion must have; empty: any.
        preferred_label: The label of minions where the members' data is; empty: anywhere.
        is_gang: The members run all at once or not at all.
        prefers_same_rack: The members of a gang run in one rack.
        max_per_minion: The most members on one minion; 0: any number.
        estimate_ms: How long a member is expected to run.
        worthless_after: Wall seconds after which the job can earn nothing any more.
        binding: Members that a cycle placed and whose leases are not granted yet, with their minions.
        phase: Where the group stands.
        failed_cycles: Cycles in a row that failed.
        backoff_until: End of the backoff after the last of them, monotonic seconds.
        last_failure: Why the last of them failed.
        last_cycle_at: When it was last considered for a cycle, monotonic seconds.
        first_seen: When it entered the queue first, monotonic seconds.
        entry_number: Of its newest entry in a list of the queue; older entries are void.
        waiting_count: Members counted as waiting work.
        failed_minion_ids: Minions on which a member failed.
        ordinary_rank: The rank of the job's queue while the group goes before all ranks; None: `priority` has it.
        is_long_running: The members run until they are stopped.
        was_adopted: It waited already under the primary before this one.
        takes_kept_capacity: Nothing is kept from it for others: it has waited long for capacity that is there.
        exceeds_cluster: No open minions could hold it, were they empty: it keeps nobody waiting.
    """

    job_id: str
    unit_key: str
    service: str
    size: Resources
    priority: Priority
    waiting_since: float
    tenant: str = ""
    required_label: str = ""
    preferred_label: str = ""
    is_gang: bool = False
    prefers_same_rack: bool = False
    max_per_minion: int = 0
    estimate_ms: int = 0
    worthless_after: float = 0.0
    binding: dict[int, str] = field(default_factory=dict)
    phase: Phase = Phase.ACTIVE
    failed_cycles: int = 0
    backoff_until: float = 0.0
    last_failure: str = ""
    last_cycle_at: float = -math.inf
    first_seen: float = 0.0
    entry_number: int = 0
    waiting_count: int = 0
    failed_minion_ids: set[str] = field(default_factory=set)
    ordinary_rank: int | None = None
    is_long_running: bool = False
    was_adopted: bool = False
    takes_kept_capacity: bool = False
    exceeds_cluster: bool = False

    @property
    def unit_id(self) -> tuple[str, str]:
        """The job's id and the unit's key: the group's key in every table."""
        return self.job_id, self.unit_key

    @property
    def rank(self) -> int:
        """The rank of the job's queue; 0 goes first."""
        return self.priority.rank if self.ordinary_rank is None else self.ordinary_rank

    def transition(self, phase: Phase) -> None:
        """Change phase, as `TRANSITIONS` allows."""
        assert phase is self.phase or phase in TRANSITIONS[self.phase], (self.phase, phase)
        self.phase = phase
