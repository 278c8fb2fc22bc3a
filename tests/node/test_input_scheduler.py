"""The order in which a process takes its inputs: calls of callers while placing takes long."""

from functools import partial

from yarrowloom.node.input_scheduler import Rank, Turns


def test_calls_get_their_share_of_the_time_however_long_placing_takes() -> None:
    """One call after sixteen turns was one in 0.35 s while a placing turn took 22 ms: nearly all callers gave up."""
    answered: list[str] = []
    refused: list[str] = []
    now = 0.0
    turns = Turns(tick=lambda: None, gap=9.0)
    for n in range(3000):
        turns.put(fn=lambda: None, rank=Rank.PLACE)
        if n % 4 == 0:
            call, refusal = partial(answered.append, "call"), partial(refused.append, "call")
            turns.put(fn=call, rank=Rank.LATE, until=now + 2.0, expired=refusal)
        fn = turns.take(now=now)
        assert fn is not None
        before = len(answered)
        fn()
        now += 0.0003 if len(answered) > before else 0.022
    assert len(answered) >= 740
    assert refused == []


def test_a_call_that_waited_too_long_is_refused_in_its_turn_and_not_dropped() -> None:
    done: list[str] = []
    turns = Turns(tick=lambda: None, gap=9.0)
    turns.put(fn=lambda: done.append("taken"), rank=Rank.LATE, until=1.0, expired=lambda: done.append("refused"))
    turns.put(fn=lambda: done.append("next"), rank=Rank.LATE, until=9.0, expired=lambda: done.append("no"))
    while (fn := turns.take(now=1.0)) is not None:
        fn()
    assert done == ["refused", "next"]
    assert turns.load.expired == 1
