"""The subcommands `simulate` and `hunt`: checked flags, progress, what is printed."""

import sys
from dataclasses import replace
from pathlib import Path

from ..common.errors import Finding, UsageError
from .digest import RunDigest
from .faults.model import MOST_S, MOST_SIZE, Plan, dump, load
from .hunt import history_lines, hunt, plan_of, shrunk
from .run import Report, RunSettings, run_simulation

MOST_SEED = (1 << 63) - 1
MOST_RUNS = 1_000_000
MOST_JOBS = 256


def _whole(*, name: str, value: object, low: int, high: int, bad: list[Finding]) -> int:
    """A whole number from a flag, or a finding."""
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        bad.append(Finding(place=f"--{name}", text=f"{value!r} is not a whole number from {low} to {high}"))
        return low
    return value


def _seconds(*, value: object, bad: list[Finding]) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 1 <= value <= MOST_S:
        bad.append(Finding(place="--seconds", text=f"{value!r} is not a number from 1 to {MOST_S:g}"))
        return 1.0
    return float(value)


def _settings(*, seed: object, seconds: object, size: object, bad: list[Finding]) -> RunSettings:
    return RunSettings(
        seed=_whole(name="seed", value=seed, low=0, high=MOST_SEED, bad=bad),
        seconds=_seconds(value=seconds, bad=bad),
        size=_whole(name="size", value=size, low=1, high=MOST_SIZE, bad=bad),
    )


def _refuse(*, bad: list[Finding]) -> None:
    if bad:
        raise UsageError(text="flags that cannot be used", findings=bad)


def _from_plan(*, plan: Plan, seed: object, seconds: object, size: object) -> RunSettings:
    """Flags come before the file, the file before what is usual."""
    usual, bad = RunSettings(), list[Finding]()

    def pick(flag: object, filed: object, default: object) -> object:
        return flag if flag is not None else filed if filed is not None else default

    settings = _settings(
        seed=pick(seed, plan.seed, usual.seed),
        seconds=pick(seconds, plan.seconds, usual.seconds),
        size=pick(size, plan.size, usual.size),
        bad=bad,
    )
    _refuse(bad=bad)
    return RunSettings(seed=settings.seed, seconds=settings.seconds, size=settings.size, faults=plan.faults)


def _switch(*, name: str, value: object) -> bool:
    """A flag without a value; another value is refused."""
    if not isinstance(value, bool):
        _refuse(bad=[Finding(place=f"--{name}", text=f"{value!r} is neither True nor False")])
    return bool(value)


def simulate(
    *, seed: object, seconds: object, size: object, faults: object, digest: object = False, more_faults: object = False
) -> int:
    """Play one run, print its report and, if asked to, its digest.

    Args:
        seed: Seed of the run; None for the one of the file or the default.
        seconds: Simulated seconds of load; None as above.
        size: Number of core machines; None as above.
        faults: Path of a file of faults; if empty, faults are generated from the seed.
        digest: Whether to print the digest of the run as the last line.
        more_faults: Whether kinds of faults that are generated only on request are included; has no effect together
            with a file.

    Returns:
        The exit code: 1 if a rule was broken, otherwise 0.

    Raises:
        UsageError: If a flag's value cannot be used.
        FaultsError: If the file of faults cannot be used.
    """
    more_faults = _switch(name="more-faults", value=more_faults)
    run_digest = RunDigest() if _switch(name="digest", value=digest) else None
    if faults:
        settings = _from_plan(plan=load(path=str(faults)), seed=seed, seconds=seconds, size=size)
    else:
        settings = _from_plan(plan=Plan(faults=()), seed=seed, seconds=seconds, size=size)
        settings = replace(settings, faults=None, more_faults=more_faults)
    report = run_simulation(settings=settings, digest=run_digest)
    print("\n".join(report.lines()))
    if run_digest is not None:
        print(run_digest.hexdigest())
    return 1 if report.breaches else 0


def replay(*, path: str) -> int:
    """Play a file's run again and print all that happens; return the exit code."""
    settings = _from_plan(plan=load(path=path), seed=None, seconds=None, size=None)
    report = run_simulation(settings=settings)
    print("\n".join(str(event) for event in report.story.events))
    print("\n".join(report.lines()))
    return 1 if report.breaches else 0


def hunting(
    *,
    runs: object,
    jobs: object,
    seed: object,
    seconds: object,
    size: object,
    most: object,
    out: str,
    more_faults: object = False,
) -> int:
    """Play many runs; shrink and print those that broke a rule; return the exit code."""
    bad: list[Finding] = []
    runs = _whole(name="runs", value=runs, low=1, high=MOST_RUNS, bad=bad)
    jobs = _whole(name="jobs", value=jobs, low=1, high=MOST_JOBS, bad=bad)
    most = _whole(name="most", value=most, low=1, high=MOST_RUNS, bad=bad)
    more_faults = _switch(name="more-faults", value=more_faults)
    settings = replace(_settings(seed=seed, seconds=seconds, size=size, bad=bad), more_faults=more_faults)
    _refuse(bad=bad)
    from tqdm import tqdm

    with tqdm(total=runs, unit="run", file=sys.stderr, disable=None) as bar:

        def progress(report: Report) -> None:
            bar.update()
            if report.breaches:
                bar.write(f"seed {report.settings.seed}: {report.breaches[0]}", file=sys.stderr)

        found = hunt(settings=settings, runs=runs, jobs=jobs, most=most, progress=progress)
    print(f"runs {found.runs}, with a breach {len(found.broken)}")
    for report in found.broken:
        print()
        print("\n".join(_smaller(report=report, out=out)))
    return 1 if found.broken else 0


def _smaller(*, report: Report, out: str) -> list[str]:
    """Shrink one run, keep it as a file if asked to, and tell it."""
    from tqdm import tqdm

    with tqdm(desc=f"shrinking seed {report.settings.seed}", unit="step", file=sys.stderr, disable=None) as bar:
        small = shrunk(report=report, progress=lambda _: bar.update() and None)
    rows = [f"shrunk from {len(report.faults)} faults to {len(small.faults)}", *history_lines(report=small)]
    if out:
        path = Path(out) / f"seed-{report.settings.seed}-size-{report.settings.size}.toml"
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(dump(plan=plan_of(report=small)))
        except OSError as err:
            raise UsageError(text=f"{path}: {err.strerror}") from err
        rows.insert(1, f"kept as {path}")
    return rows
