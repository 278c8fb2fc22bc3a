"""Kinds of jobs: what is alike enough to share a history. All sizes go into buckets of a power of two."""

import enum
import zlib
from collections.abc import Sequence
from typing import NamedTuple

from ..common.resources import Resources
from ..jobs.submission import Step

# What run times are kept by: queue, buckets of cores, memory and GPUs, and whether the caller gave an estimate at all.
# A plain tuple, as one is made at each end of a run.
RunTimeKey = tuple[str, int, int, int, bool]
MAX_SIGNED_STEPS = 16  # steps past this many count only by their number
CORES_PER_GPU = 8  # what a GPU counts as where work is weighed in cores


class TaskShape(NamedTuple):
    """What one task asks for.

    Attributes:
        required_label: A label that its minion must have; empty: none.
    """

    cpu_millicores: int
    memory_mb: int
    gpus: int
    required_label: str

    @classmethod
    def of(cls, step: Step) -> "TaskShape":
        """What a task of this step asks for."""
        return cls(step.cpu_millicores, step.memory_mb, step.gpus, step.required_label)

    @property
    def resources(self) -> Resources:
        """The amounts alone."""
        return Resources(self.cpu_millicores, self.memory_mb, self.gpus)

    @property
    def cores(self) -> float:
        """Its weight in cores; a GPU counts as CORES_PER_GPU.

        >>> TaskShape(cpu_millicores=500, memory_mb=1, gpus=2, required_label="").cores
        16.5
        """
        return self.cpu_millicores / 1000 + CORES_PER_GPU * self.gpus


class Basis(str, enum.Enum):
    """What a prediction rests on."""

    TIMED = "timed"  # the caller said so: first-run-ms, period-ms
    PERIOD = "period"  # calls at a learned period and phase
    GAPS = "gaps"  # quantiles of the time between calls
    SUCCESSOR = "follow"  # calls some time after another kind's call or end


class Prediction(NamedTuple):
    """A call that is expected. Times are wall time in milliseconds.

    Attributes:
        kind: The kind of job, see `kind_key` and `queue_key`.
        task_count: Tasks of one job that can start at its arrival: its largest first step.
        preferred_label: A label of minions near the data; empty: none.
        confidence: The learned chance, from 0 to 1, that the call comes within the horizon asked for.
        job_count: How many jobs are expected by then.
    """

    kind: str
    basis: Basis
    earliest_ms: int
    likely_ms: int
    latest_ms: int
    queue: str
    service: str
    shape: TaskShape
    is_gang: bool
    prefers_same_rack: bool
    task_count: int
    preferred_label: str
    confidence: float
    job_count: float


def main_first_step(*, steps: Sequence[Step]) -> Step:
    """The heaviest among the steps that can start at once."""

    def weight(step: Step) -> tuple[int, int]:
        return step.task_count * (step.cpu_millicores + 1000 * CORES_PER_GPU * step.gpus), step.task_count

    return max((step for step in steps if not step.depends_on), key=weight)


def kind_key(*, queue: str, steps: Sequence[Step], period_ms: int = 0) -> str:
    """Name of a job's kind: its queue, and a checksum over buckets of all steps and of the period.

    >>> from msgspec.structs import replace
    >>> from ..jobs.submission import parse_submission
    >>> body = b'{"task-spec":"x","stages":[{"task-count":2,"cpus":500,"affinity":"r1"}]}'
    >>> steps = parse_submission(body=body).steps
    >>> alike = replace(steps[0], cpu_millicores=400, preferred_label="r2")
    >>> kind_key(queue="a", steps=steps) == kind_key(queue="a", steps=[alike])
    True
    >>> kind_key(queue="a", steps=steps) == kind_key(queue="a", steps=[replace(steps[0], cpu_millicores=5000)])
    False
    """
    signature = [len(steps)]
    for step in steps[:MAX_SIGNED_STEPS]:
        signature += (
            step.cpu_millicores.bit_length(),
            step.memory_mb.bit_length(),
            step.gpus.bit_length(),
            step.task_count.bit_length(),
            step.is_gang + 2 * step.prefers_same_rack + 4 * step.is_long_running + 8 * bool(step.depends_on),
        )
    labels = [step.required_label for step in steps[:MAX_SIGNED_STEPS]]
    checksum = zlib.crc32(repr((signature, labels, period_ms.bit_length())).encode())
    return f"{queue}/{checksum:08x}"


def queue_key(*, queue: str) -> str:
    """The kind that stands for all jobs of a queue, whatever their sizes.

    >>> queue_key(queue="a")
    'a/*'
    """
    return f"{queue}/*"


def is_queue_key(kind: str) -> bool:
    """Whether a kind stands for all jobs of its queue."""
    return kind.endswith("/*")


def are_related(one: str, other: str) -> bool:
    """Whether two kinds are the same, or one of them contains the other.

    >>> are_related("a/*", "a/01"), are_related("a/02", "a/01"), are_related("a/*", "b/*")
    (True, False, False)
    """
    one_queue, _, one_rest = one.rpartition("/")
    other_queue, _, other_rest = other.rpartition("/")
    return one_queue == other_queue and (one_rest == other_rest or "*" in (one_rest, other_rest))


def run_time_key(*, queue: str, step: Step) -> RunTimeKey:
    """What the run times of a step's tasks are kept by."""
    return (
        queue,
        step.cpu_millicores.bit_length(),
        step.memory_mb.bit_length(),
        step.gpus.bit_length(),
        step.estimate_ms > 0,
    )
