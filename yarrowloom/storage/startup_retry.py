"""Disk calls at the start of a process, again until the disk takes them."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from ..common.errors import StorageError
from ..common.log import Log
from .ring_journal import Ring

RETRY_S = 0.2
_PASSING = frozenset({errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EAGAIN, errno.EINTR, errno.ETIMEDOUT})
_Result = TypeVar("_Result")


def until_taken(
    *, call: Callable[[], _Result], ring: Ring, log: Log, sleep: Callable[[float], None] = time.sleep
) -> _Result:
    """Repeat `call` while the disk refuses it for a reason that may pass; other errors are raised."""
    while True:
        try:
            return call()
        except (OSError, StorageError) as err:
            cause = err.__cause__ if isinstance(err, StorageError) else err
            ring.close()
            if not isinstance(cause, OSError) or cause.errno not in _PASSING:
                raise
            log.warn("disk-refused", why=str(err))
            sleep(RETRY_S)
