"""Disk calls at the start of a process, repeated until the disk takes them."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from ..common.errors import StorageError
from ..common.log import Log
from .ring_journal import RingJournal

RETRY_S = 0.2  # between two attempts
_TRANSIENT_ERRNOS = frozenset({errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EAGAIN, errno.EINTR, errno.ETIMEDOUT})
_Result = TypeVar("_Result")


def retry_disk_call(
    *, call: Callable[[], _Result], journal: RingJournal, log: Log, sleep: Callable[[float], None] = time.sleep
) -> _Result:
    """Repeat `call` while the disk refuses it for a reason that may pass.

    Args:
        call: Loads the journal or writes to it.
        journal: Closed after each failure, as the state of its file isn't known then.
        log: Told of each failure that is followed by another attempt.
        sleep: Waits for a number of seconds.

    Raises:
        OSError: The disk refused a write for a reason that lasts.
        StorageError: The disk refused to be read for a reason that lasts.
    """
    while True:
        try:
            return call()
        except (OSError, StorageError) as err:
            cause = err.__cause__ if isinstance(err, StorageError) else err
            journal.close()
            if not isinstance(cause, OSError) or cause.errno not in _TRANSIENT_ERRNOS:
                raise
            log.warn("disk-refused", why=str(err))
            sleep(RETRY_S)
