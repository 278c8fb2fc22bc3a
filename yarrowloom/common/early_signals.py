"""Signals that come while a process still starts: they are kept, and do later what they would have done then.

It imports nothing that takes time, as it is the first thing that a process does.
"""

import signal
import sys
from types import FrameType

INTERRUPTED_EXIT_CODE = 130
_KEPT = (signal.SIGTERM, signal.SIGHUP)
_pending: list[int] = []


def _keep(number: int, _frame: FrameType | None) -> None:
    _pending.append(number)


def _interrupt(_number: int, _frame: FrameType | None) -> None:
    sys.exit(INTERRUPTED_EXIT_CODE)


def install() -> None:
    """Keep SIGTERM and SIGHUP from now on; SIGINT ends the process at once, without a traceback."""
    for number in _KEPT:
        signal.signal(number, _keep)
    signal.signal(signal.SIGINT, _interrupt)


def restore_interrupt() -> None:
    """Have SIGINT raise KeyboardInterrupt again, as trio expects it."""
    signal.signal(signal.SIGINT, signal.default_int_handler)


def exit_if_terminated() -> None:
    """End the process in order if SIGTERM has come. For a start that waits: there is nothing to hand over yet."""
    if signal.SIGTERM in _pending:
        sys.exit(0)


def take() -> list[int]:
    """The signals that came so far, in order; they are not kept any more."""
    taken = list(_pending)
    del _pending[: len(taken)]
    return taken
