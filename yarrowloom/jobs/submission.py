"""Jobs as they are handed in: checked with all findings, brought to the short form that records keep."""

from typing import Any

import orjson
from msgspec import UNSET, UnsetType

from ..common.errors import Finding, InvalidInputError
from ..common.records import Record

MAX_TASKS = 20_000
MAX_STEPS = 256
MAX_SPEC = 4_000
_ID = frozenset("0123456789abcdef")


class Step(
    Record,
    frozen=True,
    kw_only=True,
    rename={
        "task_count": "n",
        "cpu_millicores": "cpu",
        "memory_mb": "mem",
        "gpus": "gpu",
        "estimate_ms": "est",
        "depends_on": "deps",
        "takes_checkpoints": "ck",
        "is_gang": "gang",
        "prefers_same_rack": "tight",
        "required_label": "req",
        "preferred_label": "near",
        "max_per_minion": "apart",
        "may_be_duplicated": "dup",
        "is_long_running": "last",
    },
):
    """One stage of a job: tasks that are alike.

    Attributes:
        task_count: How many tasks, 1 or more.
        cpu_millicores: What one task needs, in thousandths of a core.
        memory_mb: What one task needs, in MB.
        gpus: How many GPUs one task needs.
        estimate_ms: How long the caller expects a task to run, in milliseconds; 0: not said.
        depends_on: Indices of the steps that must be finished before. Invariant: earlier steps only, so steps are in
            a working order.
        takes_checkpoints: Whether a task keeps its progress when it is stopped.
        is_gang: Whether all tasks start together or not at all.
        prefers_same_rack: Whether a gang is to run in one rack.
        required_label: A label that a minion must have; empty: none.
        preferred_label: A label of minions near the task's data; empty: none.
        max_per_minion: Most tasks of the step on one minion; 0: any number.
        may_be_duplicated: Whether a second copy of a slow task does no harm.
        is_long_running: Whether tasks run until they are cancelled.
    """

    task_count: int
    cpu_millicores: int
    memory_mb: int
    gpus: int
    estimate_ms: int
    depends_on: list[int]
    takes_checkpoints: bool
    is_gang: bool
    prefers_same_rack: bool
    required_label: str
    preferred_label: str
    max_per_minion: int
    may_be_duplicated: bool
    is_long_running: bool


class Submission(
    Record,
    frozen=True,
    kw_only=True,
    rename={"first_run_ms": "first", "period_ms": "period", "repeat_count": "times"},
):
    """A job as it was submitted, checked.

    Attributes:
        spec: What the caller's minions are told to do; opaque.
        steps: Its stages, one or more.
        first_run_ms: Wall time in milliseconds of its first run, if `repeat_count` is above 0.
        period_ms: Milliseconds between due times.
        repeat_count: How often it runs; 0: once, at once.
    """

    spec: str
    steps: list[Step]
    first_run_ms: int
    period_ms: int
    repeat_count: int


class AcceptedJob(
    Submission,
    frozen=True,
    kw_only=True,
    rename={"service": "svc", "max_attempts": "mt", "queue": "q", "accepted_at_ms": "at"},
):
    """A submission with what the cluster adds as it accepts the job.

    Attributes:
        service: The service on whose minions its tasks run while the queue has no route.
        max_attempts: Failed runs of a task that fail the job while the queue has no route; absent in old records.
        queue: The queue it was submitted to.
        accepted_at_ms: Wall time in milliseconds at which it was accepted.
    """

    service: str
    max_attempts: int | UnsetType = UNSET
    queue: str
    accepted_at_ms: int


_INTS = {
    "task-count": ("task_count", 1, MAX_TASKS),
    "cpus": ("cpu_millicores", 0, 1 << 31),
    "mem-mb": ("memory_mb", 0, 1 << 31),
    "gpus": ("gpus", 0, 1 << 20),
    "estimate-ms": ("estimate_ms", 0, 1 << 42),
    "anti-affinity": ("max_per_minion", 0, 1 << 20),
}
_FLAGS = {
    "checkpoints": "takes_checkpoints",
    "gang": "is_gang",
    "same-rack": "prefers_same_rack",
    "duplicate": "may_be_duplicated",
    "long-running": "is_long_running",
}
_TEXTS = {"requires": "required_label", "affinity": "preferred_label"}


def is_job_id(*, text: str) -> bool:
    """16 hex digits.

    >>> [is_job_id(text=text) for text in ("5c0e7a21d94b36f8", "5c0e", "5c0e7a21d94b36fX")]
    [True, False, False]
    """
    return len(text) == 16 and _ID.issuperset(text)


def group_of(*, job_id: str, groups: int) -> int:
    """The job group that keeps a job; groups are numbered from 1.

    >>> 1 <= group_of(job_id="5c0e7a21d94b36f8", groups=3) <= 3
    True
    """
    return 1 + int(job_id[:8], 16) % groups


def _step(*, row: Any, at: int, bad: list[Finding]) -> Step:
    place = f"stages[{at}]"
    out: dict[str, Any] = {"depends_on": []}
    if not isinstance(row, dict):
        bad.append(Finding(place=place, text="not an object"))
        row = {"task-count": 1}
    for key, (short, low, high) in _INTS.items():
        val = row.get(key, 0)
        if isinstance(val, float) and val.is_integer():
            val = int(val)
        if not isinstance(val, int) or isinstance(val, bool):
            bad.append(Finding(place=f"{place}.{key}", text="not a whole number"))
            val = low
        elif not low <= val <= high:
            bad.append(Finding(place=f"{place}.{key}", text=f"not from {low} to {high}"))
        out[short] = val
    for key, short in _FLAGS.items():
        val = row.get(key, False)
        if not isinstance(val, bool):
            bad.append(Finding(place=f"{place}.{key}", text="not true or false"))
        out[short] = bool(val)
    for key, short in _TEXTS.items():
        val = row.get(key, "") or ""
        if not isinstance(val, str):
            bad.append(Finding(place=f"{place}.{key}", text="not a text"))
        out[short] = str(val)
    deps = row.get("depends-on", []) or []
    if not isinstance(deps, list) or not all(isinstance(d, int) and not isinstance(d, bool) for d in deps):
        bad.append(Finding(place=f"{place}.depends-on", text="not a list of whole numbers"))
    elif not all(0 <= d < at for d in deps):
        bad.append(Finding(place=f"{place}.depends-on", text="names a step that is not earlier"))
    else:
        out["depends_on"] = sorted(set(deps))
    return Step(**out)


def parse(*, body: bytes) -> Submission:
    """The job that a body stands for, or every finding.

    >>> parse(body=b'{"task-spec":"x","stages":[{"task-count":2}]}').steps[0].task_count
    2
    >>> try:
    ...     parse(body=b'{"stages":[{"task-count":0,"depends-on":[0]}]}')
    ... except InvalidInputError as err:
    ...     [str(f) for f in err.findings][1]
    'stages[0].task-count: not from 1 to 20000'
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as err:
        raise InvalidInputError(text="unreadable", findings=[Finding(place="(body)", text=str(err))]) from err
    bad: list[Finding] = []
    if not isinstance(document, dict):
        raise InvalidInputError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
    spec = document.get("task-spec", "")
    if not isinstance(spec, str) or "task-spec" not in document:
        bad.append(Finding(place="task-spec", text="missing or not a text"))
    elif len(spec.encode()) > MAX_SPEC:
        bad.append(Finding(place="task-spec", text=f"longer than {MAX_SPEC} bytes"))
    rows = document.get("stages")
    if not isinstance(rows, list) or not rows or len(rows) > MAX_STEPS:
        bad.append(Finding(place="stages", text=f"not a list of 1 to {MAX_STEPS}"))
        rows = []
    steps = [_step(row=row, at=i, bad=bad) for i, row in enumerate(rows)]
    if sum(step.task_count for step in steps) > MAX_TASKS:
        bad.append(Finding(place="stages", text=f"more than {MAX_TASKS} tasks"))
    nums: dict[str, int] = {}
    for key in ("first-run-ms", "period-ms", "repeat-count"):
        val = document.get(key, 0)
        if isinstance(val, float) and val.is_integer():
            val = int(val)
        if not isinstance(val, int) or isinstance(val, bool) or val < 0:
            bad.append(Finding(place=key, text="not a whole number of 0 or more"))
            val = 0
        nums[key] = val
    if bad:
        raise InvalidInputError(text="job is malformed", findings=bad)
    return Submission(
        spec=spec,
        steps=steps,
        first_run_ms=nums["first-run-ms"],
        period_ms=nums["period-ms"],
        repeat_count=nums["repeat-count"],
    )
