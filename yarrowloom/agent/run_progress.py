"""How far a run has come, by the percentages that heartbeats list."""

from .heartbeat import ListedRun
from .minion import TaskRun

STANDSTILL_S = 1.5  # a run stands still after this long, and PERCENT_TIMES times a percent's time, without progress
PERCENT_TIMES = 5.0
UNKNOWN_S = 1e9  # the remaining time of a run that shows no progress


def note_progress(run: TaskRun, *, listed: ListedRun, now: float) -> None:
    """Take over what a heartbeat lists of a run."""
    if not run.is_running:
        run.is_running, run.running_since, run.spec, run.first_percent = True, now, "", listed.percent
    if listed.percent != run.percent or not run.progressed_at:
        run.progressed_at = now
    run.missing_heartbeats, run.percent = 0, listed.percent
    if listed.checkpoint:
        run.checkpoint = listed.checkpoint


def stands_still(run: TaskRun, *, now: float) -> bool:
    """Whether a run has made no progress for several times as long as a percent took so far.

    The wait grows with each run of the task, so that work whose percents take long is not moved for ever.

    >>> def at_half(**fields):
    ...     return TaskRun(task="t", run=1, group_id=1, lease_id=1, running_since=1.0, percent=50.0, **fields)
    >>> stands_still(at_half(progressed_at=2.0), now=3.0)
    False
    >>> stands_still(at_half(progressed_at=2.0), now=4.0)
    True
    >>> stands_still(at_half(first_percent=50.0, estimate_ms=200000), now=4.0)
    False
    """
    if now - run.progressed_at <= STANDSTILL_S or not 0 < run.percent < 100 or run.estimate_ms < 0:
        return False
    gained = run.percent - run.first_percent
    s_per_percent = (run.progressed_at - run.running_since) / gained if gained > 0 else run.estimate_ms / 100_000 or 1.0
    limit_s = max(STANDSTILL_S, PERCENT_TIMES * s_per_percent) * run.run
    return now - max(run.progressed_at, run.running_since) > limit_s


def remaining_s(run: TaskRun, *, now: float) -> float:
    """How long a run will still take, by its progress so far.

    >>> remaining_s(TaskRun(task="t", run=1, group_id=1, lease_id=1, running_since=1.0, percent=20.0), now=2.0)
    4.0
    """
    elapsed_s = max(now - run.running_since, 0.05)
    return elapsed_s * (100 - run.percent) / run.percent if run.percent > 0 else UNKNOWN_S
