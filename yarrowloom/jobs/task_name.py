"""Names of tasks, as agents, minions and callers use them."""

import re

import msgspec

MOST_DIGITS = 18  # of the numbers in a name
_NUMBER = f"[0-9]{{1,{MOST_DIGITS}}}"
_TASK_NAME = re.compile(rf"([^.]*)\.({_NUMBER}\.{_NUMBER})\.({_NUMBER})")


class TaskAddress(msgspec.Struct, frozen=True, order=True):
    """Where a task stands in the state of its job group.

    Attributes:
        job_id: The job's id.
        unit_key: `RUN.STEP`: the number of the job's run, and the index of the step.
        task_index: The task's index in its step.
    """

    job_id: str
    unit_key: str
    task_index: int


def task_name(*, job_id: str, unit_key: str, index: int) -> str:
    """The name of a task: JOB.RUN.STEP.INDEX.

    >>> task_name(job_id="ab", unit_key="0.1", index=3)
    'ab.0.1.3'
    """
    return f"{job_id}.{unit_key}.{index}"


def job_id_of(name: str) -> str:
    """The job that the name of a task begins with.

    >>> job_id_of("ab.0.1.3")
    'ab'
    """
    return name.partition(".")[0]


def parse_task_name(name: str) -> TaskAddress | None:
    """The task that a name stands for, None if it is no name of a task.

    >>> parse_task_name("ab.0.1.3")
    TaskAddress(job_id='ab', unit_key='0.1', task_index=3)
    >>> parse_task_name("nonsense") is None, parse_task_name("ab.0.1.\u00b3") is None
    (True, True)
    """
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        return None
    job_id, unit_key, index = match.groups()
    return TaskAddress(job_id=job_id, unit_key=unit_key, task_index=int(index))
