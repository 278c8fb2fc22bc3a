"""Jobs as callers submit them: checked with all findings, and translated from the published form to records."""

from typing import Any

import orjson
from msgspec import UNSET, UnsetType

from ..common.errors import Finding, InvalidInputError
from ..common.queue_identity import QueueAddress
from ..common.records import Record

MAX_TASKS = 20_000  # of a job, over all its steps
MAX_STEPS = 256
MAX_SPEC_BYTES = 4_000
MAX_CPU_MILLICORES = MAX_MEMORY_MB = 1 << 31
MAX_GPUS = MAX_PER_MINION = 1 << 20
MAX_ESTIMATE_MS = 1 << 42
JOB_ID_LENGTH = 16
_JOB_ID_DIGITS = frozenset("0123456789abcdef")


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
    omit_defaults=True,
    rename={
        "service": "svc",
        "max_attempts": "mt",
        "queue": "q",
        "accepted_at_ms": "at",
        "tenant": "tn",
        "is_beyond_share": "over",
        "address": "ad",
    },
):
    """A submission with what the cluster adds as it accepts the job.

    Attributes:
        service: The service on whose minions its tasks run while the queue has no route.
        max_attempts: Failed runs of a task that fail the job while the queue has no route; absent in old records.
        queue: The queue it was submitted to.
        accepted_at_ms: Wall time in milliseconds at which it was accepted.
        tenant: The tenant that submitted it; empty: none.
        is_beyond_share: Its tenant had used up its share of jobs a second: it is scheduled after all others.
        address: Where the queue was reached; absent in old records.
    """

    service: str
    max_attempts: int | UnsetType = UNSET
    queue: str
    accepted_at_ms: int
    tenant: str = ""
    is_beyond_share: bool = False
    address: QueueAddress | UnsetType = UNSET


def is_job_id(*, text: str) -> bool:
    """Whether a text is a job id: 16 hex digits in lower case.

    >>> [is_job_id(text=text) for text in ("5c0e7a21d94b36f8", "5c0e", "5c0e7a21d94b36fX")]
    [True, False, False]
    """
    return len(text) == JOB_ID_LENGTH and _JOB_ID_DIGITS.issuperset(text)


def group_of(*, job_id: str, groups: int) -> int:
    """The job group that keeps a job; groups are numbered from 1.

    >>> 1 <= group_of(job_id="5c0e7a21d94b36f8", groups=3) <= 3
    True
    """
    return 1 + int(job_id[:8], 16) % groups


def _whole_number(value: object) -> int | None:
    """The number that a JSON value stands for, also where it is written as 2.0; None if it is no whole number."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value if isinstance(value, int) and not isinstance(value, bool) else None


class _FieldReader:
    """Reads the fields of one published object. What is wrong is added to `findings`, and a stand-in is returned."""

    def __init__(self, *, fields: dict[str, Any], prefix: str, findings: list[Finding]) -> None:
        self._fields = fields
        self._prefix = prefix
        self._findings = findings

    def report(self, *, key: str, text: str) -> None:
        """Add a finding about a field."""
        self._findings.append(Finding(place=f"{self._prefix}{key}", text=text))

    def number(self, key: str, *, lowest: int, highest: int) -> int:
        """A whole number within bounds; 0 if absent."""
        number = _whole_number(self._fields.get(key, 0))
        if number is None:
            self.report(key=key, text="not a whole number")
            return lowest
        if not lowest <= number <= highest:
            self.report(key=key, text=f"not from {lowest} to {highest}")
        return number

    def unbounded_number(self, key: str) -> int:
        """A whole number of 0 or more; 0 if absent."""
        number = _whole_number(self._fields.get(key, 0))
        if number is None or number < 0:
            self.report(key=key, text="not a whole number of 0 or more")
            return 0
        return number

    def flag(self, key: str) -> bool:
        """True or false; false if absent."""
        value = self._fields.get(key, False)
        if not isinstance(value, bool):
            self.report(key=key, text="not true or false")
        return bool(value)

    def text(self, key: str) -> str:
        """A text; empty if absent."""
        value = self._fields.get(key, "") or ""
        if not isinstance(value, str):
            self.report(key=key, text="not a text")
        return str(value)

    def earlier_steps(self, key: str, *, step_index: int) -> list[int]:
        """Indices of steps before the given one, sorted and each once; empty if absent."""
        value = self._fields.get(key, []) or []
        if not isinstance(value, list) or not all(isinstance(i, int) and not isinstance(i, bool) for i in value):
            self.report(key=key, text="not a list of whole numbers")
            return []
        if not all(0 <= index < step_index for index in value):
            self.report(key=key, text="names a step that is not earlier")
            return []
        return sorted(set(value))


def _read_step(*, stage: object, index: int, findings: list[Finding]) -> Step:
    place = f"stages[{index}]"
    if not isinstance(stage, dict):
        findings.append(Finding(place=place, text="not an object"))
        stage = {"task-count": 1}
    fields = _FieldReader(fields=stage, prefix=f"{place}.", findings=findings)
    return Step(
        task_count=fields.number("task-count", lowest=1, highest=MAX_TASKS),
        cpu_millicores=fields.number("cpus", lowest=0, highest=MAX_CPU_MILLICORES),
        memory_mb=fields.number("mem-mb", lowest=0, highest=MAX_MEMORY_MB),
        gpus=fields.number("gpus", lowest=0, highest=MAX_GPUS),
        estimate_ms=fields.number("estimate-ms", lowest=0, highest=MAX_ESTIMATE_MS),
        max_per_minion=fields.number("anti-affinity", lowest=0, highest=MAX_PER_MINION),
        takes_checkpoints=fields.flag("checkpoints"),
        is_gang=fields.flag("gang"),
        prefers_same_rack=fields.flag("same-rack"),
        may_be_duplicated=fields.flag("duplicate"),
        is_long_running=fields.flag("long-running"),
        required_label=fields.text("requires"),
        preferred_label=fields.text("affinity"),
        depends_on=fields.earlier_steps("depends-on", step_index=index),
    )


def _read_spec(*, document: dict[str, Any], findings: list[Finding]) -> str:
    spec = document.get("task-spec")
    if not isinstance(spec, str):
        findings.append(Finding(place="task-spec", text="missing or not a text"))
        return ""
    if len(spec.encode()) > MAX_SPEC_BYTES:
        findings.append(Finding(place="task-spec", text=f"longer than {MAX_SPEC_BYTES} bytes"))
    return spec


def _read_steps(*, document: dict[str, Any], findings: list[Finding]) -> list[Step]:
    stages = document.get("stages")
    if not isinstance(stages, list) or not stages or len(stages) > MAX_STEPS:
        findings.append(Finding(place="stages", text=f"not a list of 1 to {MAX_STEPS}"))
        return []
    steps = [_read_step(stage=stage, index=index, findings=findings) for index, stage in enumerate(stages)]
    if sum(step.task_count for step in steps) > MAX_TASKS:
        findings.append(Finding(place="stages", text=f"more than {MAX_TASKS} tasks"))
    return steps


def parse_submission(*, body: bytes) -> Submission:
    """The job that the body of a submission stands for.

    Raises:
        InvalidInputError: With a finding for each field that is wrong.

    >>> parse_submission(body=b'{"task-spec":"x","stages":[{"task-count":2}]}').steps[0].task_count
    2
    >>> try:
    ...     parse_submission(body=b'{"stages":[{"task-count":0,"depends-on":[0]}]}')
    ... except InvalidInputError as error:
    ...     [str(finding) for finding in error.findings][1]
    'stages[0].task-count: not from 1 to 20000'
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidInputError(text="unreadable", findings=[Finding(place="(body)", text=str(error))]) from error
    if not isinstance(document, dict):
        raise InvalidInputError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
    findings: list[Finding] = []
    fields = _FieldReader(fields=document, prefix="", findings=findings)
    submission = Submission(
        spec=_read_spec(document=document, findings=findings),
        steps=_read_steps(document=document, findings=findings),
        first_run_ms=fields.unbounded_number("first-run-ms"),
        period_ms=fields.unbounded_number("period-ms"),
        repeat_count=fields.unbounded_number("repeat-count"),
    )
    if findings:
        raise InvalidInputError(text="job is malformed", findings=findings)
    return submission
