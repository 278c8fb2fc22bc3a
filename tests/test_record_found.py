"""Faults that the model of replication found: each with the steps that bring it about."""

import pytest

from tests.model import Choice
from tests.record_adapter import Book
from tests.record_explore import calm, do, ready, replay
from tests.record_model import Line, Op, World
from yarrowloom.record.epoch import Epoch
from yarrowloom.record.stored import StoredCopy
from yarrowloom.record.timing import SPARES

SCRIPT = (Op(commit=True), Op(commit=True), Op(commit=False), Op(commit=True, at=0.5), Op(commit=True, last=True),
          Op(commit=False, last=True))
SAME_BALLOT: list[tuple[int, Choice]] = [(1, ("kill", 0)), (18, ("kill", 1)), (23, ("kill", 0))]
SAME_BALLOT_STEPS = 43


def world(*, unasked: frozenset[str] = frozenset()) -> World:
    return ready(World(size=3, losses=1, script=SCRIPT, unasked=unasked))


def test_a_ballot_is_not_used_again_after_a_restart() -> None:
    """The candidate ends when one witness has its proposal, comes back, and proposes another in the same ballot."""
    replay(world(), SAME_BALLOT)


def head(w: World, *, src: int, dst: int, kind: str) -> Line | None:
    """The line whose next message is of this kind."""
    rows = (line for line, waiting in w.lines.items() if waiting[0].kind == kind)
    return next((line for line in rows if (line.src, line.dst) == (w.members[src].addr, w.members[dst].addr)), None)


def test_one_value_is_decided_although_a_candidate_restarts() -> None:
    """As above, and on: the second value is decided, the candidate loses power before it learns so, and the next
    candidate hears first from the witness that has the first value."""
    w = world(unasked=frozenset({"BALLOT"}))
    steps = dict(SAME_BALLOT)
    for step in range(SAME_BALLOT_STEPS):
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


@pytest.mark.parametrize("others", [SPARES - 1, SPARES + 1])
def test_a_copy_that_was_voted_for_makes_no_room(others: int) -> None:
    """Its epoch may still be decided: nobody else has what it names. Elections that follow must not push it out."""
    copy = StoredCopy(g=0, uid="a", state=Book(), epoch={"n": 1, "p": "a", "b": ["b"], "w": ["a", "b", "c"], "t": ""})
    value: Epoch = {"n": 2, "p": "a", "b": ["c"], "w": ["a", "b", "c"], "t": "a/1/1"}
    copy.keep(rec={"k": "ck", "g": 0, "inst": 2, "tag": "a/1/1", "applied": 3, "st": "[1,2,3]"})
    assert copy.wit.accept(n=2, ballot=[1, "a"], value=value) == {"ok": True}
    for number in range(others):
        copy.keep(rec={"k": "ck", "g": 0, "inst": 2, "tag": f"a/2/{number}", "applied": 3, "st": "[1,2,3]"})
    assert "a/1/1" in copy.spares
