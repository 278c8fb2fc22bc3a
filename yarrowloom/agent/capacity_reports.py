"""What an agent tells of its free capacity: changes to schedulers, a summary to other agents."""

from .lease_selection import has_room
from .messages import CapacityReport, CapacityRequest, CapacitySummary, FreeCapacity, LeaseRequest, SummaryRow
from .minion_table import MinionTable

REPORT_S = 0.02  # changes go out at most this often,
IDLE_REPORT_S = 0.4  # and something goes out at least this often: schedulers tell silent agents by it
REFRESH_PARTS = 10
SUMMARY_ROWS = 4  # minions of each service in a summary
SUMMARY_VALID_S = 1.5


class CapacityReporter:
    """Keeps schedulers and other agents informed of free capacity.

    Invariant: `_informed` holds, by group, the primary that was sent all open minions and every change since.
    """

    def __init__(self, *, table: MinionTable) -> None:
        self._table = table
        self._informed: dict[int, tuple[str, int]] = {}
        self._summaries: dict[str, tuple[float, CapacitySummary]] = {}
        self._reported_at = 0.0
        self._summarized_at = 0.0
        self._refreshes = 0

    # -- to schedulers

    def refresh(self) -> None:
        """Have a part of the open minions reported again; all of them in `REFRESH_PARTS` calls.

        So no difference between the agent's table and a scheduler's lasts.
        """
        self._refreshes += 1
        part = self._refreshes % REFRESH_PARTS
        self._table.capacity_changed.update(
            minion_id
            for index, minion_id in enumerate(sorted(self._table.reported_open))
            if index % REFRESH_PARTS == part
        )

    def report(self) -> None:
        """Send what changed to schedulers, and a summary to other agents, if it is time."""
        now = self._table.environment.now
        primaries = self._table.primaries()
        silent_s = now - self._reported_at
        is_due = silent_s > IDLE_REPORT_S or (self._table.capacity_changed and silent_s > REPORT_S)
        if not is_due and primaries == self._informed:
            return
        opened, closed = self._take_changes()
        self._reported_at = now
        for group_id, primary in primaries.items():
            if self._informed.get(group_id) == primary:
                self._send_report(node_id=primary[0], group_id=group_id, opened=opened, closed=closed)
            else:
                self._send_all(node_id=primary[0], group_id=group_id)
        self._informed = primaries
        if now - self._summarized_at > IDLE_REPORT_S:
            self._summarized_at = now
            self._send_summary()

    def _take_changes(self) -> tuple[list[FreeCapacity], list[str]]:
        """Open minions whose capacity changed, and minions that are not open any more."""
        table = self._table
        opened: list[FreeCapacity] = []
        closed: list[str] = []
        for minion_id in sorted(table.capacity_changed):
            minion = table.minions.get(minion_id)
            if minion is not None and table.is_open(minion):
                opened.append(FreeCapacity.of(minion_id=minion_id, free=minion.free()))
                table.reported_open.add(minion_id)
            elif minion_id in table.reported_open:
                table.reported_open.discard(minion_id)
                closed.append(minion_id)
        table.capacity_changed.clear()
        return opened, closed

    def _send_report(self, *, node_id: str, group_id: int, opened: list[FreeCapacity], closed: list[str]) -> None:
        environment = self._table.environment
        message = CapacityReport(
            node_id=environment.node_id, group_id=group_id, open_minions=opened, closed_minions=closed
        )
        environment.send_message(node_id=node_id, message=message)

    def _send_all(self, *, node_id: str, group_id: int) -> None:
        minions = self._table.minions
        opened = [
            FreeCapacity.of(minion_id=minion_id, free=minions[minion_id].free())
            for minion_id in sorted(self._table.reported_open)
            if minion_id in minions
        ]
        self._send_report(node_id=node_id, group_id=group_id, opened=opened, closed=[])

    def on_request(self, *, node_id: str, message: CapacityRequest) -> None:
        """A scheduler has lost count: report all open minions."""
        self._send_all(node_id=node_id, group_id=message.group_id)

    # -- to and from other agents

    def _send_summary(self) -> None:
        environment = self._table.environment
        message = CapacitySummary(node_id=environment.node_id, minions_by_service=self._summary())
        for node_id in environment.cores():
            if node_id != environment.node_id:
                environment.send_message(node_id=node_id, message=message)

    def _summary(self) -> dict[str, list[SummaryRow]]:
        """By service, the open minions with the most free capacity."""
        by_service: dict[str, list[SummaryRow]] = {}
        for minion_id in self._table.reported_open:
            minion = self._table.minions.get(minion_id)
            if minion is None:
                continue
            free = minion.free()
            by_service.setdefault(minion.service, []).append(
                SummaryRow(
                    millicores=free.millicores,
                    memory_mb=free.memory_mb,
                    gpus=free.gpus,
                    labels=minion.labels,
                    capacity=minion.capacity,
                    minion_id=minion_id,
                )
            )
        return {
            service: sorted(rows, key=lambda row: (-row.gpus, -row.millicores, row.minion_id))[:SUMMARY_ROWS]
            for service, rows in by_service.items()
        }

    def on_summary(self, message: CapacitySummary) -> None:
        """Keep another agent's summary, in place of its earlier one."""
        self._summaries[message.node_id] = (self._table.environment.now, message)

    def redirect_for(self, request: LeaseRequest) -> str:
        """Another agent that seems to have capacity for a request and was not asked yet; empty: none is known."""
        environment = self._table.environment
        for node_id, (received_at, summary) in sorted(self._summaries.items()):
            if (
                node_id != environment.node_id
                and node_id not in request.asked_agents
                and environment.now - received_at < SUMMARY_VALID_S
                and any(
                    has_room(row=row, request=request) for row in summary.minions_by_service.get(request.service, ())
                )
            ):
                return node_id
        return ""
