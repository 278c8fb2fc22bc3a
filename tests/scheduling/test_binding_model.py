"""Model checking of binding: real agents and placing nodes, every way with so many swaps and faults is gone through.

`CASES` has what each search met when it was written. `states` are the distinct ones among those that
were compared (all within the window, later only those in which nothing but time could go on); the invariants of
`explore.judge` and those in `model.py` were asked after each of `steps`."""

from typing import Any

import pytest

from tests.support.binding_explorer import Found, Search, attached, choices, do, replay
from tests.support.binding_model import ONE, TWO, StubReplica
from yarrowloom.agent.agent import Agent
from yarrowloom.agent.messages import AttachMinion
from yarrowloom.agent.minion import Minion
from yarrowloom.agent.task_runs import TaskRuns
from yarrowloom.common.effects import Effect
from yarrowloom.common.records import Record
from yarrowloom.scheduling.binding import Binding
from yarrowloom.scheduling.lease_cache import LeaseCache
from yarrowloom.scheduling.task_ends import TaskEnds

TASK: dict[str, Any] = {"mem-mb": 10, "estimate-ms": 500}
GANG: dict[str, Any] = {**TASK, "task-count": 2, "cpus": 3000, "gang": True}
Jobs = list[tuple[str, list[dict[str, Any]]]]
LONE: Jobs = [(ONE, [{**TASK, "task-count": 1, "cpus": 3000}])]
MIX: Jobs = [(ONE, [{**TASK, "task-count": 2, "cpus": 2000}]), (TWO, [GANG])]
GANGS: Jobs = [(ONE, [GANG]), (TWO, [GANG])]
# jobs, swaps, faults, window; least states and steps: somewhat below what was counted
CASES: dict[str, tuple[Jobs, int, int, int, int, int]] = {
    "mix, one swap": (MIX, 1, 0, 50, 430, 3300),  # 469 states, 3,595 steps, 164 ways
    "mix, one fault": (MIX, 0, 1, 60, 1050, 7200),  # 1,119 states, 7,662 steps, 225 ways
    "gangs, one fault": (GANGS, 0, 1, 50, 800, 6000),  # 858 states, 6,523 steps, 185 ways
    "lone, a swap and a fault": (LONE, 1, 1, 10, 900, 8300),  # 966 states, 8,831 steps, 617 ways
}


def search(*, jobs: Jobs, swaps: int, faults: int, window: int) -> Found:
    return Search(swaps=swaps, faults=faults, window=window).run(attached(jobs))


@pytest.mark.parametrize("name", CASES)
def test_no_invariant_breaks_and_all_is_settled_in_the_end(name: str) -> None:
    jobs, swaps, faults, window, states, steps = CASES[name]
    found = search(jobs=jobs, swaps=swaps, faults=faults, window=window)
    print(name, found.states, found.steps, found.ways, found.kinds)
    assert found.broken == []
    assert found.states >= states
    assert found.steps >= steps
    assert {"deliver", "rooms", "write", "beat", "end", "tick"} <= found.kinds.keys()
    assert {"lose", "die"} <= found.kinds.keys() or not faults


def test_the_same_search_meets_the_same_states() -> None:
    one, two = (search(jobs=LONE, swaps=1, faults=0, window=40) for _ in range(2))
    assert one.seen == two.seen
    assert one.steps == two.steps
    assert one.states > 60


# -- mutants: with a guard taken out, the search finds what breaks


def room_is_granted_twice(p: pytest.MonkeyPatch) -> None:
    p.setattr(Minion, "free", lambda self: self.capacity)


def an_end_is_noted_before_its_group_has_it(p: pytest.MonkeyPatch) -> None:
    def note(self: Minion) -> None:
        self.last_acknowledged_end = max([self.last_acknowledged_end, *self.ends])
        self.ends.clear()

    p.setattr(Minion, "skip_acknowledged_ends", note)


def an_order_leaves_before_its_start_is_durable(p: pytest.MonkeyPatch) -> None:
    real = StubReplica.commit

    def commit(self: StubReplica, *, event: Record, then: Effect | None = None) -> Any:
        out = real(self, event=event)
        if then is not None:
            self.world.effect(group_id=self.group_id, effect=then)
        return out

    p.setattr(StubReplica, "commit", commit)


def a_gang_starts_with_what_was_granted(p: pytest.MonkeyPatch) -> None:
    real = Binding._settle

    def settle(self: Binding, *, attempt: Any) -> None:
        attempt.has_failed, attempt.min_count = False, len(attempt.leased)
        real(self, attempt=attempt)

    p.setattr(Binding, "_settle", settle)


def an_agent_takes_no_note_of_a_gap(p: pytest.MonkeyPatch) -> None:
    p.setattr(Agent, "on_lost_messages", lambda self, node_id: None)


def what_never_started_stays_in_the_record(p: pytest.MonkeyPatch) -> None:
    p.setattr(TaskEnds, "never_started", lambda self, orders: None)


def a_sent_order_is_called_never_started(p: pytest.MonkeyPatch) -> None:
    real = TaskRuns.attach

    def attach(self: TaskRuns, *, node_id: str, message: AttachMinion) -> Minion | None:
        for run in self._table.minions[message.minion_id].runs.values():
            run.is_sent = False
        return real(self, node_id=node_id, message=message)

    p.setattr(TaskRuns, "attach", attach)


def idle_leases_are_kept_for_ever(p: pytest.MonkeyPatch) -> None:
    p.setattr(LeaseCache, "take_expired", lambda self, now: [])


MUTANTS = {
    room_is_granted_twice: ("LIMIT", GANGS, 0, 0),
    an_end_is_noted_before_its_group_has_it: ("LOST", MIX, 1, 0),
    an_order_leaves_before_its_start_is_durable: ("EARLY", GANGS, 0, 0),
    a_gang_starts_with_what_was_granted: ("GANG", MIX, 1, 0),
    an_agent_takes_no_note_of_a_gap: ("STUCK", LONE, 0, 1),
    what_never_started_stays_in_the_record: ("STUCK", LONE, 0, 1),
    a_sent_order_is_called_never_started: ("LOST", LONE, 1, 1),
    idle_leases_are_kept_for_ever: ("STUCK", LONE, 0, 0),
}


@pytest.mark.parametrize("out", MUTANTS, ids=lambda fn: fn.__name__)
def test_without_a_guard_the_search_finds_what_breaks(out: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    rule, jobs, swaps, faults = MUTANTS[out]
    out(monkeypatch)
    ((why, trail),) = search(jobs=jobs, swaps=swaps, faults=faults, window=20 if swaps and faults else 100).broken
    print(why, trail)
    assert why.startswith(f"InvariantBrokenError {rule}")
    monkeypatch.undo()
    replay(attached(jobs), trail)  # with the guard, the same way ends well


def test_without_a_guard_a_task_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """A run found at an attachment is called never started; one swap after the placing node died brings it out."""

    def after_death() -> Found:
        world = attached(LONE)
        for _ in range(15):
            do(world, choices(world)[0])
        assert any(m.running for m in world.minions.values())
        do(world, ("die", 1, False))
        return Search(swaps=1, faults=0, window=30, stop_at=1000).run(world)

    calm = after_death()
    assert calm.broken == []
    assert calm.states > 60
    real = TaskRuns.attach

    def attach(self: TaskRuns, *, node_id: str, message: AttachMinion) -> Minion | None:
        for run in self._table.minions[message.minion_id].runs.values():
            run.is_sent = run.is_running = False
        return real(self, node_id=node_id, message=message)

    monkeypatch.setattr(TaskRuns, "attach", attach)
    found = after_death()
    print(calm.states, found.broken)
    assert any(why.startswith("InvariantBrokenError TWICE") for why, _ in found.broken)
