"""How long a call may wait in a busy process before its caller is told that it was not taken."""

from typing import Any

REFUSE_AHEAD_S = 0.15  # before the caller gives up, so that the refusal arrives in time
REFUSE_SHARE = 0.6  # of a short time left, at the earliest


def patience_s(*, ttl: Any, default: float) -> float:
    """Seconds that a call may wait here; `ttl`: seconds after which its caller gives up, as the call tells.

    >>> patience_s(ttl=2.0, default=30.0), patience_s(ttl=0.25, default=30.0), patience_s(ttl=None, default=30.0)
    (1.85, 0.15, 30.0)
    """
    if isinstance(ttl, bool) or not isinstance(ttl, int | float):
        return default
    return max(ttl - REFUSE_AHEAD_S, REFUSE_SHARE * ttl)
