"""Jobs as they are handed in: checked with all findings, brought to the short form that records keep."""

from typing import Any, TypedDict

import orjson

from ..common.errors import Finding, InvalidError

MAX_TASKS = 20_000
MAX_STEPS = 256
MAX_SPEC = 4_000
_ID = frozenset("0123456789abcdef")


class Step(TypedDict):
    """One stage. Invariant: `deps` name earlier steps only, so steps are in a working order."""

    n: int
    cpu: int
    mem: int
    gpu: int
    est: int
    deps: list[int]
    ck: bool
    gang: bool
    tight: bool
    req: str
    near: str
    apart: int
    dup: bool
    last: bool


_INTS = {
    "task-count": ("n", 1, MAX_TASKS),
    "cpus": ("cpu", 0, 1 << 31),
    "mem-mb": ("mem", 0, 1 << 31),
    "gpus": ("gpu", 0, 1 << 20),
    "estimate-ms": ("est", 0, 1 << 42),
    "anti-affinity": ("apart", 0, 1 << 20),
}
_FLAGS = {"checkpoints": "ck", "gang": "gang", "same-rack": "tight", "duplicate": "dup", "long-running": "last"}
_TEXTS = {"requires": "req", "affinity": "near"}


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
    out: dict[str, Any] = {"deps": []}
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
        out["deps"] = sorted(set(deps))
    return out  # type: ignore[return-value]


def parse(*, body: bytes) -> dict[str, Any]:
    """The short form of a job's body, or every finding.

    >>> parse(body=b'{"task-spec":"x","stages":[{"task-count":2}]}')["steps"][0]["n"]
    2
    >>> try:
    ...     parse(body=b'{"stages":[{"task-count":0,"depends-on":[0]}]}')
    ... except InvalidError as err:
    ...     [str(f) for f in err.findings][1]
    'stages[0].task-count: not from 1 to 20000'
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as err:
        raise InvalidError(text="unreadable", findings=[Finding(place="(body)", text=str(err))]) from err
    bad: list[Finding] = []
    if not isinstance(document, dict):
        raise InvalidError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
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
    if sum(s["n"] for s in steps) > MAX_TASKS:
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
        raise InvalidError(text="job is malformed", findings=bad)
    return {
        "spec": spec,
        "steps": steps,
        "first": nums["first-run-ms"],
        "period": nums["period-ms"],
        "times": nums["repeat-count"],
    }
