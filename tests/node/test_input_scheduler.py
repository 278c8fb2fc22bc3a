"""The order in which a process takes its inputs: calls of callers while placing takes long."""

from functools import partial

from yarrowloom.node.input_scheduler import InputClass, InputScheduler


def test_calls_get_their_share_of_the_time_however_long_placing_takes() -> None:
    """One call after sixteen inputs was one in 0.35 s while a scheduling input took 22 ms: most callers gave up."""
    answered: list[str] = []
    refused: list[str] = []
    now = 0.0
    scheduler = InputScheduler(tick=lambda: None, interval_s=9.0)
    for n in range(3000):
        scheduler.put(run=lambda: None, input_class=InputClass.SCHEDULING)
        if n % 4 == 0:
            call, refusal = partial(answered.append, "call"), partial(refused.append, "call")
            scheduler.put(run=call, input_class=InputClass.CLIENT, expires_at=now + 2.0, on_expired=refusal)
        fn = scheduler.take(now=now)
        assert fn is not None
        before = len(answered)
        fn()
        now += 0.0003 if len(answered) > before else 0.022
    assert len(answered) >= 740
    assert refused == []


def test_a_call_that_waited_too_long_is_refused_in_its_turn_and_not_dropped() -> None:
    done: list[str] = []
    scheduler = InputScheduler(tick=lambda: None, interval_s=9.0)
    scheduler.put(
        run=lambda: done.append("taken"),
        input_class=InputClass.CLIENT,
        expires_at=1.0,
        on_expired=lambda: done.append("refused"),
    )
    scheduler.put(
        run=lambda: done.append("next"),
        input_class=InputClass.CLIENT,
        expires_at=9.0,
        on_expired=lambda: done.append("no"),
    )
    while (fn := scheduler.take(now=1.0)) is not None:
        fn()
    assert done == ["refused", "next"]
    assert scheduler.busy_time.expired == 1
