"""What an agent tells of its room: changes to placing nodes, a summary to other agents."""

from typing import TYPE_CHECKING, Any

from ..transport.envelope import Kind

if TYPE_CHECKING:
    from .agent import Agent

ROOM_S = 0.02  # rows of room that changed go out at most this often
ROOM_IDLE_S = 0.4  # and something goes out at least this often
PARTS = 10
BEST = 4  # rows of a service in the summary that other agents get


class Share:
    """Invariants: `stale` names every minion whose room changed since it was last told; `shown` those last told to
    be open; `told` holds, by group, the primary that has been told all and every change since.
    """

    def __init__(self, *, agent: "Agent") -> None:
        self.agent = agent
        self.stale: set[str] = set()
        self.shown: set[str] = set()
        self.told: dict[int, tuple[str, int]] = {}
        self.views: dict[str, tuple[float, dict[str, list[Any]]]] = {}
        self.roomed = 0.0
        self.summed = 0.0
        self.turn = 0

    def refresh(self) -> None:
        """A part of what is shown is told again, all of it in PARTS calls: no difference lasts."""
        self.turn += 1
        self.stale.update(minion_id for i, minion_id in enumerate(sorted(self.shown)) if i % PARTS == self.turn % PARTS)

    def tell(self) -> None:
        """Tell placing nodes what changed of the room, and other agents a summary."""
        environment = self.agent.environment
        now = environment.now
        fresh = {
            group_id: prim
            for group_id in environment.groups()
            if (prim := environment.primary(group_id=group_id)) is not None
        }
        due = (self.stale and now - self.roomed > ROOM_S) or now - self.roomed > ROOM_IDLE_S
        if not due and fresh == self.told:
            return
        rows, shut = [], []
        for minion_id in sorted(self.stale):
            m = self.agent.minions.get(minion_id)
            if m is not None and self.agent.open(m=m):
                rows.append([minion_id, *m.free()])
                self.shown.add(minion_id)
            elif minion_id in self.shown:
                self.shown.discard(minion_id)
                shut.append(minion_id)
        self.stale.clear()
        self.roomed = now
        for group_id, prim in fresh.items():
            if self.told.get(group_id) == prim:
                environment.send(
                    node_id=prim[0],
                    kind=Kind.CAPACITY_REPORT,
                    body={"u": environment.node_id, "g": group_id, "x": rows, "shut": shut},
                )
            else:
                self._all(group_id=group_id, node_id=prim[0])
        self.told = fresh
        if now - self.summed > ROOM_IDLE_S:
            self.summed = now
            body = {"u": environment.node_id, "v": self.summary()}
            for node_id in environment.cores():
                if node_id != environment.node_id:
                    environment.send(node_id=node_id, kind=Kind.CAPACITY_REPORT, body=body)

    def _all(self, *, group_id: int, node_id: str) -> None:
        rows = [
            [minion_id, *self.agent.minions[minion_id].free()]
            for minion_id in sorted(self.shown)
            if minion_id in self.agent.minions
        ]
        self.agent.environment.send(
            node_id=node_id,
            kind=Kind.CAPACITY_REPORT,
            body={"u": self.agent.environment.node_id, "g": group_id, "x": rows, "shut": []},
        )

    def roomget(self, *, node_id: str, group_id: int) -> None:
        """A placing node lost count: tell it all."""
        self._all(group_id=group_id, node_id=node_id)

    def summary(self) -> dict[str, list[Any]]:
        """By service, the open minions with the most room: enough for a redirect, which may be stale."""
        view: dict[str, list[Any]] = {}
        for minion_id in self.shown:
            m = self.agent.minions.get(minion_id)
            if m is not None:
                view.setdefault(m.service, []).append([*m.free(), m.labels, list(m.cap), m.minion_id])
        return {service: sorted(rows, key=lambda r: (-r[2], -r[0], r[5]))[:BEST] for service, rows in view.items()}
