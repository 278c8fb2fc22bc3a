"""Kinds of job: what is alike enough to share a history. All sizes go into buckets of a power of two."""

import enum
import zlib
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
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


def root(*, steps: "Sequence[Step]") -> "Step":
    """The step that counts most among those that can start at once."""
    return max((s for s in steps if not s["deps"]), key=lambda s: (s["n"] * (s["cpu"] + 8000 * s["gpu"]), s["n"]))


def kind_key(*, q: str, steps: "Sequence[Step]", period: int = 0) -> str:
    """Name of a job's kind: queue, shape of the step it starts with, signature of all steps, repeat pattern.

    >>> step = {"n": 2, "cpu": 500, "mem": 64, "gpu": 0, "est": 9, "deps": [], "ck": False, "gang": False,
    ...         "tight": False, "req": "", "near": "r1", "apart": 0, "dup": False, "last": False}
    >>> kind_key(q="a", steps=[step]) == kind_key(q="a", steps=[{**step, "cpu": 400, "near": "r2"}])
    True
    >>> kind_key(q="a", steps=[step]) == kind_key(q="a", steps=[{**step, "cpu": 5000}])
    False
    """
    sig = [len(steps)]
    for s in steps[:SIGNED]:
        sig += (
            s["cpu"].bit_length(),
            s["mem"].bit_length(),
            s["gpu"].bit_length(),
            s["n"].bit_length(),
            s["gang"] + 2 * s["tight"] + 4 * s["last"] + 8 * bool(s["deps"]),
        )
    return f"{q}/{zlib.crc32(repr((sig, [s['req'] for s in steps[:SIGNED]], period.bit_length())).encode()):08x}"


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


def run_key(*, q: str, step: "Step") -> RunKey:
    """What run times are kept by: queue, shape, and whether the caller gave an estimate at all."""
    return q, step["cpu"].bit_length(), step["mem"].bit_length(), step["gpu"].bit_length(), step["est"] > 0
