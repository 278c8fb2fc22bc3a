"""Plays many runs in several processes until one breaks a rule."""

import multiprocessing
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED as FIRST
from concurrent.futures import Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, replace

from .faults.model import Plan, dump
from .faults.shrink import shrink
from .run import Report, RunSettings, run_simulation

STORY_LINES = 60
AHEAD = 2  # runs planned for each process


@dataclass(frozen=True, slots=True, kw_only=True)
class Hunt:
    """The result of a hunt: the number of runs that ended, and the reports of those that broke a rule."""

    runs: int
    broken: tuple[Report, ...]


def hunt(
    *,
    settings: RunSettings,
    runs: int,
    jobs: int,
    most: int = 1,
    progress: Callable[[Report], None] = lambda report: None,
) -> Hunt:
    """Play `runs` runs with consecutive seeds from `settings.seed` on.

    Args:
        settings: The settings of the first run; the others differ from it in the seed.
        runs: The number of runs at most.
        jobs: The number of processes that execute runs at the same time.
        most: No more runs are begun after so many have broken a rule.
        progress: Called with the report of each run that ended.
    """
    seeds = iter(range(settings.seed, settings.seed + runs))
    ended, broken = 0, list[Report]()
    with ProcessPoolExecutor(max_workers=jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        waiting: set[Future[Report]] = set()
        while True:
            while len(waiting) < AHEAD * jobs and len(broken) < most:
                seed = next(seeds, None)
                if seed is None:
                    break
                waiting.add(pool.submit(run_simulation, settings=replace(settings, seed=seed)))
            if not waiting:
                break
            done, waiting = wait(waiting, return_when=FIRST)
            for future in done:
                report = future.result()
                ended += 1
                progress(report)
                if report.breaches:
                    broken.append(report)
            if len(broken) >= most:
                for future in waiting:
                    future.cancel()
                waiting = {future for future in waiting if not future.cancelled()}
    return Hunt(runs=ended, broken=tuple(sorted(broken, key=lambda r: r.settings.seed)))


def plan_of(*, report: Report) -> Plan:
    """Return the plan that repeats a run."""
    run = report.settings
    return Plan(faults=report.faults, seed=run.seed, seconds=run.seconds, size=run.size)


def history_lines(*, report: Report, last: int = STORY_LINES) -> list[str]:
    """Return the report, the faults as a file, and the events relevant to the first broken rule, line by line."""
    events = report.story.about(text=report.breaches[0], last=last) if report.breaches else report.story.events
    return [*report.lines(), "", *dump(plan=plan_of(report=report)).splitlines(), "", *(str(event) for event in events)]


def shrunk(*, report: Report, progress: Callable[[Report], None] = lambda report: None) -> Report:
    """Return the smallest run found that breaks the same rule."""
    return shrink(report=report, progress=progress)
