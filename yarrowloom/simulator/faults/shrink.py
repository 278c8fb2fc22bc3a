"""Makes a list of faults smaller while a rule stays broken."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from ..run import Report, run_simulation
from .model import Fault

MOST_RUNS = 80
SHORTEST_S = 0.05

Faults = tuple[Fault, ...]


def shrink(
    *, report: Report, runs: int = MOST_RUNS, progress: Callable[[Report], None] = lambda report: None
) -> Report:
    """Find a run with fewer and shorter faults that breaks one of the rules that `report` broke.

    Args:
        report: The run to shrink; at least one rule was broken in it.
        runs: The number of accepted steps at most.
        progress: Called with the report of each smaller run that still broke a rule.

    Returns:
        The report of the smallest run that was found.
    """
    best = report
    for _ in range(runs):
        smaller = _next(best=best, rules=report.rules, candidates=_candidates(faults=best.faults))
        if smaller is None:
            break
        best = smaller
        progress(best)
    return best


def _next(*, best: Report, rules: frozenset[str], candidates: Iterator[Faults]) -> Report | None:
    """Return the first candidate that still breaks a rule; None if there is none."""
    for faults in candidates:
        tried = run_simulation(settings=replace(best.settings, faults=faults))
        if tried.rules & rules:
            return tried
    return None


def _candidates(*, faults: Faults) -> Iterator[Faults]:
    """Yield smaller lists: without one half, then without one entry, then with an entry half as long."""
    many = len(faults)
    if many > 3:
        yield faults[many // 2 :]
        yield faults[: many // 2]
    for i in range(many):
        yield faults[:i] + faults[i + 1 :]
    for i, fault in enumerate(faults):
        if fault.for_s > 2 * SHORTEST_S:
            yield (*faults[:i], replace(fault, for_s=round(fault.for_s / 2, 3)), *faults[i + 1 :])
