"""What a hollow task does, written in its `task-spec`, so that minions need to know nothing else."""

from dataclasses import dataclass
from typing import Any

_HEAD = "hollow "
_ROWS = ("ms", "cpus", "mem", "gpus", "gang", "ckpt", "tight")


@dataclass(frozen=True, kw_only=True)
class Work:
    """The work of a task of one step.

    `ms` below 0 never ends by itself; `gang` above 0 is the count of its members; `near` is the rack of its data.
    """

    ms: int = 500
    cpus: int = 0
    mem: int = 0
    gpus: int = 0
    gang: int = 0
    ckpt: int = 0
    tight: int = 0
    near: str = ""


def write(*, stages: list[dict[str, Any]], ms: list[int]) -> str:
    """The task-spec that stands for the stages; `ms` gives how long a task of each takes.

    >>> write(stages=[{"task-count": 2, "cpus": 500, "gang": True}], ms=[80])
    'hollow 80/500/0/0/2/0/0/'
    """
    rows = [
        (
            t,
            s.get("cpus", 0),
            s.get("mem-mb", 0),
            s.get("gpus", 0),
            s["task-count"] if s.get("gang") else 0,
            int(s.get("checkpoints", False)),
            int(s.get("same-rack", False)),
            s.get("affinity", ""),
        )
        for s, t in zip(stages, ms, strict=True)
    ]
    return _HEAD + ";".join("/".join(map(str, row)) for row in rows)


def read(*, spec: str, step: int) -> Work:
    """The work of one step; a spec written by others stands for half a second of no room.

    >>> read(spec="hollow 80/500/0/0/2/0/0/r1-2", step=0).near
    'r1-2'
    >>> read(spec="anything", step=3).ms
    500
    """
    if not spec.startswith(_HEAD):
        return Work()
    rows = spec[len(_HEAD) :].split(";")
    if step >= len(rows):
        return Work()
    *nums, near = rows[step].split("/")
    try:
        return Work(near=near, **{k: int(v) for k, v in zip(_ROWS, nums, strict=True)})
    except ValueError:
        return Work()
