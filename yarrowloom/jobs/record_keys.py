"""Keys of the records that a job group keeps in the key-value tier.

The part up to the last colon is what stores are sharded by: all place entries of a job lie with its submission entry.
"""

from .task_name import TaskAddress

SUBMISSION_PREFIX = "job:"
PLACE_PREFIX = "place:"
TENANT_PREFIX = "tenant:"


def submission_key(*, job_id: str) -> str:
    """The key of a job's submission entry.

    >>> submission_key(job_id="5c0e7a21d94b36f8")
    'job:5c0e7a21d94b36f8'
    """
    return SUBMISSION_PREFIX + job_id


def debit_key(*, tenant: str) -> str:
    """The key of a tenant's debit."""
    return TENANT_PREFIX + tenant


def place_key(*, job_id: str, unit_key: str, index: int) -> str:
    """The key of a task's place entry.

    >>> place_key(job_id="5c0e7a21d94b36f8", unit_key="0.1", index=3)
    'place:5c0e7a21d94b36f8:0.1.3'
    """
    return f"{PLACE_PREFIX}{job_id}:{unit_key}.{index}"


def parse_place_key(key: str) -> TaskAddress | None:
    """The task whose place entry has this key; None: it is no such key.

    >>> parse_place_key("place:5c0e7a21d94b36f8:0.1.3")
    TaskAddress(job_id='5c0e7a21d94b36f8', unit_key='0.1', task_index=3)
    >>> parse_place_key("tenant:5c0e:0.1.3") is None
    True
    """
    if not key.startswith(PLACE_PREFIX):
        return None
    job_id, _, task = key[len(PLACE_PREFIX) :].rpartition(":")
    unit_key, _, index = task.rpartition(".")
    return TaskAddress(job_id=job_id, unit_key=unit_key, task_index=int(index))
