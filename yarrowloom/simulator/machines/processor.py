"""Processor time in the simulated cluster: what a step would take, counted and not timed, so that a seed fixes it."""

import math
import sys
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType

# Measured on the development machine, as thread time: 760 ms for 699,000 and 799 ms for 760,000 counted calls of two
# runs of this cluster (JSON of all messages with it); 12 us for frames and sockets of a message, both sides, with
# eight in a frame; 223 us for a beat over a kept-alive connection, about 60 of which are the minion's.
STEP_S = 6e-6  # taking a turn: queue, closure, clocks, outputs
MESSAGE_S = 6e-6  # a message in or out, its share of a frame and of the sockets
KB_S = 8e-6  # a KB of messages copied, sent, received
HTTP_S = 170e-6  # an HTTP call: parsing, tasks, answer
CALL_S = 1.05e-6  # a Python or C function called by the node's code, with what it does between calls

QUOTA_PERIOD_S = 0.1  # a processor quota is granted anew this often


class Meter:
    """Counts the calls that a step makes."""

    def __init__(self) -> None:
        self.calls = 0

    def _note(self, _frame: FrameType, event: str, _arg: object) -> None:
        if event == "call" or event == "c_call":
            self.calls += 1

    def run(self, fn: Callable[[], None]) -> int:
        """Run a step, return how many calls it made."""
        self.calls = 0
        old = sys.getprofile()
        sys.setprofile(self._note)
        try:
            fn()
        finally:
            sys.setprofile(old)
        return self.calls


def cost(*, calls: int, messages: int, size: int, http: int) -> float:
    """Seconds of a step. `size` in bytes, in and out; `http` calls that begin or end with it."""
    return STEP_S + CALL_S * calls + MESSAGE_S * messages + KB_S * size / 1024 + HTTP_S / 2 * http


@dataclass(slots=True, kw_only=True)
class Quota:
    """A processor quota: full speed until `share` of a period is spent, then nothing for the rest of the period.

    `period` is the number of the period that was last used, `used_s` the processor time spent in it.
    """

    share: float
    period: int = -1
    used_s: float = 0.0

    def delay(self, *, now: float, work_s: float) -> float:
        """Spend `work_s` of processor time from `now` on; return after how many seconds it is done.

        >>> quota = Quota(share=0.5)
        >>> [round(quota.delay(now=now, work_s=0.04), 6) for now in (1.0, 1.04, 1.2)]
        [0.04, 0.09, 0.04]
        """
        current = math.floor(now / QUOTA_PERIOD_S)
        if current > self.period:
            self.period, self.used_s = current, 0.0
        end = now
        while True:
            period_end = (self.period + 1) * QUOTA_PERIOD_S
            run_s = max(0.0, min(work_s, self.share * QUOTA_PERIOD_S - self.used_s, period_end - end))
            self.used_s += run_s
            work_s -= run_s
            end += run_s
            if work_s <= 0.0:
                return end - now
            end = max(end, period_end)
            self.period, self.used_s = self.period + 1, 0.0
