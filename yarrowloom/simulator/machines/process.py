"""One process of a node, and what its machine keeps on disk."""

from collections.abc import Callable

from ...common.effects import Effect
from ...node.core import CoreNode
from ...node.edge import EdgeNode
from ...node.input_scheduler import DuplicateFilter, InputScheduler
from ...transport.sequence_tracker import SequenceTracker


class Disk:
    """A machine's disk. `synced` records survive a power failure; of the `pending` ones a random prefix does."""

    def __init__(self) -> None:
        self.synced: list[bytes] = []
        self.pending: list[bytes] = []


class Proc:
    """One process of a node.

    Attributes:
        node: The state machine that the process runs.
        process_number: Counts all processes of the simulation; a later process has a higher number.
        up: Whether the process runs.
        frozen_at: By the machine's monotonic clock, when the process was stopped last.
        frozen_until: Simulated time until which the process is stopped and its inputs wait in `inbox`.
        disk_busy: Whether a sync of the disk is in progress.
        disk: Records that wait for the next sync, with the effects that follow it.
        busy: Whether a step is in progress; only where processor time is charged.
        spent: Seconds of processor time used so far; only where it is charged.
    """

    def __init__(self, *, node: CoreNode | EdgeNode, process_number: int) -> None:
        self.node = node
        self.process_number = process_number
        self.up = True
        self.frozen_at = 0.0
        self.frozen_until = 0.0
        self.disk_busy = False
        self.disk: list[tuple[bytes, Effect]] = []
        self.inbox: list[Callable[[], None]] = []
        self.duplicates = DuplicateFilter()
        self.input_scheduler: InputScheduler | None = None  # only where processor time is charged
        self.busy = False
        self.woken = 0.0
        self.spent = 0.0
        self.mark = (0, 0, 0)  # messages, bytes and HTTP calls that came with the step that runs
        self.seen = SequenceTracker()
        self.owing: set[str] = set()  # peers that are still to learn of a loss
