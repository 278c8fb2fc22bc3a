"""Faults that the model of replication found: each with the steps that bring it about."""

from tests.replication.test_model import SCRIPT
from tests.support.binding_model import Choice
from tests.support.replication_explorer import calm, do, ready, replay
from tests.support.replication_model import Line, World

SAME_NUMBER: list[tuple[int, Choice]] = [(1, ("kill", 0)), (18, ("kill", 1)), (23, ("kill", 0))]
SAME_NUMBER_STEPS = 43
MANY_ELECTIONS: list[tuple[int, Choice]] = [
    (21, ("cut", 1, "both", True)),
    (50, ("power", 0, 0)),
    (80, ("disk", 1)),
    (103, ("kill", 0)),
    (124, ("power", 2, 0)),
    (147, ("power", 2, 0)),
    (151, ("power", 0, 0)),
    (198, ("kill", 0)),
]


def world(*, unasked: frozenset[str] = frozenset()) -> World:
    return ready(World(size=3, losses=1, script=SCRIPT, unasked=unasked))


def test_proposal_number_is_not_used_again_after_a_restart() -> None:
    """The candidate ends when one witness has its proposal, comes back, and proposes another by the same number."""
    replay(world(), SAME_NUMBER)


def head(w: World, *, src: int, dst: int, kind: str) -> Line | None:
    """The line whose next message is of this kind."""
    rows = (line for line, waiting in w.lines.items() if waiting[0].kind == kind)
    return next(
        (line for line in rows if (line.src, line.dst) == (w.members[src].address, w.members[dst].address)), None
    )


def test_one_value_is_decided_although_a_candidate_restarts() -> None:
    """As above, and on: the second value is decided, the candidate loses power before it learns so, and the next
    candidate hears first from the witness that has the first value."""
    w = world(unasked=frozenset({"PROPOSAL"}))
    steps = dict(SAME_NUMBER)
    for step in range(SAME_NUMBER_STEPS):
        do(w, steps.get(step) or calm(w))
    while 2 not in w.decided:
        late = head(w, src=0, dst=2, kind="ACCEPT")
        do(w, ("lose", late) if late is not None else calm(w))
    do(w, ("power", 0, 0))
    w.closing = True
    while not w.settled():
        choice = calm(w)
        first, own = head(w, src=2, dst=1, kind="PROMISE"), head(w, src=1, dst=1, kind="PROMISE")
        if own is not None and first is not None and choice == ("deliver", own):
            choice = ("deliver", first)
        do(w, choice)


def test_proposal_number_names_one_value_although_the_backup_changes() -> None:
    """The same copy, but the candidate comes back while the backup that it had proposed is down: of five witnesses only
    the last has the first proposal, and hears nothing of the second."""
    w = ready(World(size=5, losses=1, script=SCRIPT))
    do(w, ("kill", 0))
    while not any(key[0] == 2 for key in w.proposals):
        do(w, calm(w))
    for other in range(4):
        late = head(w, src=0, dst=other, kind="ACCEPT")
        assert late is not None
        do(w, ("lose", late))
    while not w.members[4].vote_on_disk(n=2):
        do(w, calm(w))
    do(w, ("power", 1, 0))
    do(w, ("kill", 0))
    while 2 not in w.decided:
        late = head(w, src=0, dst=4, kind="PREPARE")
        do(w, ("lose", late) if late is not None else calm(w))
    w.closing = True
    while not w.settled():
        do(w, calm(w))


def test_snapshots_that_a_proposal_names_are_kept_through_many_elections() -> None:
    """Eight faults, one of them a lost disk. While each election had a copy of its own, the one that was voted for made
    room for later ones, and once it was decided no member had its state."""
    replay(world(), MANY_ELECTIONS)
