"""The order in which a process handles its inputs, and what it drops as duplicates."""

from functools import partial
from itertools import pairwise
from typing import Any

import pytest

from yarrowloom.node.input_scheduler import TIME_SHARES, DuplicateFilter, InputClass, InputScheduler, classify_message
from yarrowloom.transport.message_kinds import Kind


def test_client_calls_get_their_share_of_the_time_however_long_scheduling_takes() -> None:
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


def test_a_call_that_waited_too_long_is_refused_in_its_place_and_not_dropped() -> None:
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


def test_ticks_and_urgent_inputs_go_before_a_backlog() -> None:
    done: list[str] = []
    scheduler = InputScheduler(tick=lambda: done.append("tick"), interval_s=0.05)
    for i in range(200):
        scheduler.put(run=lambda i=i: done.append(f"w{i}"), input_class=InputClass.SCHEDULING)  # type: ignore[misc]
        scheduler.put(run=lambda i=i: done.append(f"c{i}"), input_class=InputClass.CLIENT, expires_at=99.0)  # type: ignore[misc]
    now = 1.0
    while len(scheduler) and (fn := scheduler.take(now=now)) is not None:
        if round(now * 1000) % 40 == 0:
            scheduler.put(run=lambda: done.append("ping"), input_class=InputClass.URGENT)
        fn()
        now += 0.01
    work = [d for d in done if d[0] == "w"]
    assert work == [f"w{i}" for i in range(200)]
    ticks = [i for i, d in enumerate(done) if d == "tick"]
    assert all(b - a <= 8 for a, b in pairwise(ticks))
    calls = [d for d in done if d[0] == "c"]
    assert calls == [f"c{i}" for i in range(200)]
    both = [d[0] for d in done if d[0] in "wc"]
    backlog = both[: len(work) // 2]  # all take as long, so inputs share as time does
    assert all(
        run <= TIME_SHARES[InputClass.SCHEDULING] / TIME_SHARES[InputClass.CLIENT] + 1
        for run in map(len, "".join(backlog).split("c"))
    )
    assert abs(backlog.count("w") / len(backlog) - 2 / 3) < 0.05


def test_client_calls_that_nobody_waits_for_any_more_are_skipped() -> None:
    done: list[float] = []
    scheduler = InputScheduler(tick=lambda: None, interval_s=9.0)
    assert scheduler.take(now=0.0) is not None
    assert scheduler.take(now=0.0) is None
    for until in (1.0, 5.0):
        scheduler.put(run=lambda until=until: done.append(until), input_class=InputClass.CLIENT, expires_at=until)  # type: ignore[misc]
    while (fn := scheduler.take(now=2.0)) is not None:
        fn()
    assert done == [5.0]
    assert len(scheduler) == 0


def test_periodic_inputs_longer_than_their_interval_leave_time_for_others() -> None:
    """Placing passes longer than the gap were due again at once, and nothing else was ever taken."""
    done: list[str] = []
    took = {"tick": 0.02, "chores": 0.3, "beat": 0.001, "ends": 0.01}
    scheduler = InputScheduler(
        tick=lambda: done.append("tick"),
        interval_s=0.05,
        periodic_inputs={InputClass.SCHEDULING: lambda: done.append("chores")},
    )
    now, end = 0.0, 30.0
    while now < end:
        scheduler.put(run=lambda: done.append("ends"), input_class=InputClass.SCHEDULING)
        if len(done) % 5 == 0:
            scheduler.put(run=lambda: done.append("beat"), input_class=InputClass.AGENT)
        fn = scheduler.take(now=now)
        assert fn is not None
        fn()
        now += took[done[-1]]
    spent = {k: done.count(k) * s for k, s in took.items()}
    assert spent["chores"] < 0.55 * end
    assert spent["ends"] > 0.2 * end
    last, at, worst = 0.0, 0.0, 0.0
    for d in done:
        at += took[d]
        if d == "tick":
            worst, last = max(worst, at - last), at
    assert worst < 0.05 + 0.3 + 0.05  # a gap, one pass, the tick itself


def test_heartbeats_do_not_wait_for_a_backlog_of_scheduling() -> None:
    done: list[str] = []
    scheduler = InputScheduler(tick=lambda: None, interval_s=0.05)
    for _ in range(500):
        scheduler.put(run=lambda: done.append("ends"), input_class=InputClass.SCHEDULING)
    now = 0.0
    for i in range(100):
        scheduler.put(run=lambda: done.append("beat"), input_class=InputClass.AGENT)
        for _ in range(3):
            fn = scheduler.take(now=now)
            assert fn is not None
            fn()
            now += 0.02 if done and done[-1] == "ends" else 0.001
        assert done.count("beat") >= i


def test_repeated_reports_that_wait_already_are_dropped() -> None:
    duplicates = DuplicateFilter()
    ends = {"g": 1, "m": "i", "f": 3, "x": [[1, "a"], [2, "b"]]}
    claim = {"g": 1, "x": [["i", 3, "svc"], ["j", 4, "svc"]]}
    lost = {"g": 1, "m": "i", "f": 3, "v": {}}
    for kind, m in ((Kind.TASK_ENDS, ends), (Kind.CLAIM_MINIONS, claim), (Kind.MINION_LOST, lost)):
        assert duplicates.admit(node_id="a", kind=kind, message=m) is m
        assert duplicates.admit(node_id="a", kind=kind, message=dict(m)) is None
        assert duplicates.admit(node_id="b", kind=kind, message=m) is m
        assert duplicates.release(node_id="a", kind=kind, message=m) is m
        assert duplicates.admit(node_id="a", kind=kind, message=m) is m
    assert (
        duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message={**ends, "f": 4}) is not None
    )  # under a newer fence it is news
    assert (
        duplicates.admit(node_id="a", kind=Kind.TASK_ORDERS, message={})
        == duplicates.admit(node_id="a", kind=Kind.TASK_ORDERS, message={})
        == {}
    )
    assert duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message={"x": 3}) == {
        "x": 3
    }  # whoever handles it says why not
    assert duplicates.admit(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 1}) == {"v": 1}
    assert duplicates.admit(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 2}) is None
    assert duplicates.release(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 1}) == {"v": 2}
    assert duplicates.admit(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 3}) == {"v": 3}


@pytest.mark.parametrize("kind", list(Kind))
def test_malformed_messages_pass_the_duplicate_filter_to_their_handler(kind: Kind) -> None:
    duplicates = DuplicateFilter()
    odd: list[Any] = [
        None,
        3,
        "x",
        [],
        {},
        {"g": "1"},
        {"g": 1, "m": "i", "f": 1, "x": [[[1]], 3]},
        {"g": 1, "x": [3]},
        {"g": 1, "m": [], "f": {}, "x": 4},
        {"g": None, "ttl": "x"},
    ]
    for m in odd:
        classify_message(kind=kind, message=m)
        assert duplicates.admit(node_id="a", kind=kind, message=m) == m
        assert duplicates.release(node_id="a", kind=kind, message=m) == m
