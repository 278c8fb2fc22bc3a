"""Kinds of job: what is alike enough to share a history. All sizes go into buckets of a power of two."""

import enum
import zlib
from collections.abc import Sequence
from typing import NamedTuple

from ..jobs.submission import Step

SIGNED = 16  # steps past this many count only by their number


class Form(NamedTuple):
    """What one task asks for: thousandths of a core, MB, GPUs, and a label that its minion must have."""

    cpu: int
    mem: int
    gpu: int
    req: str

    @property
    def cores(self) -> float:
        """Price in cores; a GPU counts as `GPU_CORES`.

        >>> Form(cpu=500, mem=1, gpu=2, req="").cores
        16.5
        """
        return self.cpu / 1000 + GPU_CORES * self.gpu


GPU_CORES = 8
RunKey = tuple[str, int, int, int, bool]


class Why(str, enum.Enum):
    """What a prediction rests on."""

    TIMED = "timed"  # the caller said so: first-run-ms, period-ms
    PERIOD = "period"  # calls at a learned period and phase
    GAPS = "gaps"  # quantiles of the time between calls
    FOLLOW = "follow"  # calls some time after another kind's call or end


class Prediction(NamedTuple):
    """A call that is expected. Times are wall milliseconds; `confidence` is the learned chance, from 0 to 1, that the
    call comes within the horizon asked for; `jobs` how many jobs are expected by then; `n` tasks of one job that can
    start at its arrival (its largest first step).
    """

    kind: str
    why: Why
    early: int
    likely: int
    late: int
    queue: str
    service: str
    form: Form
    gang: bool
    tight: bool
    n: int
    near: str
    confidence: float
    jobs: float


def root(*, steps: Sequence[Step]) -> Step:
    """The step that counts most among those that can start at once."""
    return max(
        (step for step in steps if not step.depends_on),
        key=lambda step: (step.task_count * (step.cpu_millicores + 8000 * step.gpus), step.task_count),
    )


def kind_key(*, q: str, steps: Sequence[Step], period: int = 0) -> str:
    """Name of a job's kind: queue, shape of the step it starts with, signature of all steps, repeat pattern.

    >>> from msgspec.structs import replace
    >>> from ..jobs.submission import parse_submission
    >>> steps = parse_submission(body=b'{"task-spec":"x","stages":[{"task-count":2,"cpus":500,"affinity":"r1"}]}').steps
    >>> alike = replace(steps[0], cpu_millicores=400, preferred_label="r2")
    >>> kind_key(q="a", steps=steps) == kind_key(q="a", steps=[alike])
    True
    >>> kind_key(q="a", steps=steps) == kind_key(q="a", steps=[replace(steps[0], cpu_millicores=5000)])
    False
    """
    sig = [len(steps)]
    for s in steps[:SIGNED]:
        sig += (
            s.cpu_millicores.bit_length(),
            s.memory_mb.bit_length(),
            s.gpus.bit_length(),
            s.task_count.bit_length(),
            s.is_gang + 2 * s.prefers_same_rack + 4 * s.is_long_running + 8 * bool(s.depends_on),
        )
    return (
        f"{q}/{zlib.crc32(repr((sig, [s.required_label for s in steps[:SIGNED]], period.bit_length())).encode()):08x}"
    )


def queue_key(*, q: str) -> str:
    """The kind that stands for all jobs of a queue, whatever their sizes.

    >>> queue_key(q="a")
    'a/*'
    """
    return f"{q}/*"


def related(*, one: str, two: str) -> bool:
    """Two kinds of which one contains the other.

    >>> related(one="a/*", two="a/01"), related(one="a/02", two="a/01"), related(one="a/*", two="b/*")
    (True, False, False)
    """
    q, _, rest = one.rpartition("/")
    p, _, other = two.rpartition("/")
    return q == p and (rest == other or "*" in (rest, other))


def run_key(*, q: str, step: Step) -> RunKey:
    """What run times are kept by: queue, shape, and whether the caller gave an estimate at all."""
    return (
        q,
        step.cpu_millicores.bit_length(),
        step.memory_mb.bit_length(),
        step.gpus.bit_length(),
        step.estimate_ms > 0,
    )
