"""One process of a node, and what its machine keeps on disk."""

from collections.abc import Callable

from ...common.effects import Effect
from ...node.core import CoreNode
from ...node.edge import EdgeNode
from ...node.input_scheduler import DuplicateFilter, InputScheduler
from ...transport.sequence_tracker import SequenceTracker


class Disk:
    """What a machine keeps. `synced` survives a loss of power; `torn` writes may or may not."""

    def __init__(self) -> None:
        self.synced: list[bytes] = []
        self.pending: list[bytes] = []


class Proc:
    """One process of a node."""

    def __init__(self, *, node: CoreNode | EdgeNode, process_number: int) -> None:
        self.node = node
        self.process_number = process_number
        self.up = True
        self.frozen_till = 0.0
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
