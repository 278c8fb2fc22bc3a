"""Two operators through faults: their histories are clean, and mutants of the node are found by the checkers."""

from collections import Counter
from collections.abc import Callable

import pytest

from tests.support.two_operators import OrdersRun
from yarrowloom.simulator.judges.history import Outcome
from yarrowloom.simulator.operators import Answer, Habits

BUSY = Habits(pause_s=0.12)
EVACUATING = Habits(pause_s=0.3, evacuation=0.5)
Fault = Callable[[OrdersRun], None]


def quiet(run: OrdersRun) -> None:
    run.sim.run(seconds=40.0)


def cut(run: OrdersRun) -> None:
    """One core, the primary every other time, is cut off from the others for 20 s; the operators reach it."""
    for turn in range(2):
        run.sim.run(seconds=8.0)
        far = run.primary() if turn else run.rng.choice(run.sim.core_ips)
        assert far is not None
        for ip in run.sim.core_ips:
            if ip != far:
                run.sim.cut(a=ip, b=far)
        run.sim.run(seconds=20.0)
        run.sim.heal()


def kill_after_acknowledgement(run: OrdersRun) -> None:
    """The primary loses power as soon as it has acknowledged an order, five times."""
    armed = [False]

    def watch(method: str, answer: Answer) -> None:
        lead = run.primary()
        if armed[0] and method in ("PUT", "PATCH") and answer.status == 200 and lead is not None:
            armed[0] = False
            run.sim.kill(ip=lead, power=True)
            run.sim.at(delay=3.0, fn=lambda: run.sim.boot(ip=lead))

    run.network.on_answer.append(watch)
    for _ in range(5):
        run.sim.run(seconds=8.0)
        armed[0] = True
    run.sim.run(seconds=4.0)


def all_power(run: OrdersRun) -> None:
    for _ in range(3):
        run.sim.run(seconds=8.0 + run.rng.random())
        for ip in run.sim.core_ips:
            run.sim.kill(ip=ip, power=True)
            run.sim.at(delay=0.5 + run.rng.random(), fn=lambda ip=ip: run.sim.boot(ip=ip))  # type: ignore[misc]
    run.sim.run(seconds=8.0)


def lost_answers(run: OrdersRun) -> None:
    run.network.lost = 0.7
    run.sim.run(seconds=40.0)


def stand_still(run: OrdersRun) -> None:
    for _ in range(5):
        run.sim.run(seconds=6.0)
        lead = run.primary()
        if lead is not None:
            run.sim.freeze(ip=lead, seconds=0.5 + 3.5 * run.rng.random())
    run.sim.run(seconds=6.0)


def doomed(run: OrdersRun) -> None:
    """The primary reaches nobody any more, works on for as long as it may, and loses power: what it applied last was
    never confirmed."""
    for _ in range(8):
        run.sim.run(seconds=4.0 + run.rng.random())
        lead = run.primary()
        if lead is None:
            continue
        for ip in run.sim.core_ips:
            if ip != lead:
                run.sim.cut(a=lead, b=ip, one_way=True)
        run.sim.stalls[lead] = run.sim.now + 2.0
        run.sim.run(seconds=0.7)
        run.sim.kill(ip=lead, power=True)
        run.sim.heal()
        run.sim.at(delay=2.0, fn=lambda ip=lead: run.sim.boot(ip=ip))  # type: ignore[misc]
    run.sim.run(seconds=4.0)


def closing(run: OrdersRun) -> None:
    """The day ends, and then all lose power, twice."""
    run.sim.run(seconds=25.0)
    for operator in run.operators:
        operator.stop()
    for _ in range(2):
        for ip in run.sim.core_ips:
            run.sim.kill(ip=ip, power=True)
            run.sim.at(delay=0.5 + run.rng.random(), fn=lambda ip=ip: run.sim.boot(ip=ip))  # type: ignore[misc]
        run.sim.run(seconds=4.0)


def closing_cut(run: OrdersRun) -> None:
    """The day ends just as a core that couldn't reach the primary for two seconds can reach it again."""
    run.sim.run(seconds=8.0)
    lead = run.primary()
    assert lead is not None
    far = next(ip for ip in run.sim.core_ips if ip != lead)
    run.sim.cut(a=far, b=lead)
    run.sim.run(seconds=2.0)
    for operator in run.operators:
        operator.stop()
    run.sim.heal()
    run.sim.run(seconds=4.0)


FAULTS: list[Fault] = [quiet, cut, kill_after_acknowledgement, all_power, lost_answers, stand_still, doomed]


def confirmed(run: OrdersRun) -> int:
    return len({op.argument.identity for op in run.recorder.history.orders if op.outcome is Outcome.CONFIRMED})


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_the_history_of_two_operators_is_clean(seed: int, fault: Fault, cores: int) -> None:
    run = OrdersRun(seed=seed, cores=cores)
    fault(run)
    breach = run.finish()
    assert breach is None, str(breach)
    assert confirmed(run) >= 20, Counter(op.status for op in run.recorder.history.orders)


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize("fault", [closing, closing_cut], ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("seed", range(6))
def test_what_was_ordered_last_is_in_force_after_the_end_of_the_day(seed: int, fault: Fault, cores: int) -> None:
    run = OrdersRun(seed=seed, cores=cores, habits=EVACUATING)
    fault(run)
    breach = run.finish()
    assert breach is None, str(breach)
    assert sum(op.outcome is Outcome.CONFIRMED for op in run.recorder.history.evacuations) >= 10


@pytest.mark.parametrize("cores", [3, 5])
def test_hundreds_of_changes_in_one_run_with_all_faults(cores: int) -> None:
    run = OrdersRun(seed=7, cores=cores, habits=BUSY)
    most = 0

    def watch(_method: str, _answer: Answer) -> None:
        nonlocal most
        most = max(most, sum(operator.under_way for operator in run.operators))

    run.network.on_answer.append(watch)
    for fault in FAULTS:
        fault(run)
        run.network.lost = 0.1
        run.sim.heal()
    breach = run.finish()
    assert breach is None, str(breach)
    assert confirmed(run) >= 300
    assert most == 8
