"""How long a call may wait in a busy process before its caller is told that it was not admitted."""

REFUSE_AHEAD_S = 0.15  # before the caller gives up, so that the refusal arrives in time
REFUSE_SHARE = 0.6  # of the caller's time, at the earliest, where that is short


def admission_deadline_s(*, ttl_s: object, default_s: float) -> float:
    """Seconds that a call may wait here.

    Args:
        ttl_s: Seconds after which the caller gives up, as the call's message says; anything may stand there.
        default_s: The result where the message names no such time.

    >>> [admission_deadline_s(ttl_s=ttl_s, default_s=30.0) for ttl_s in (2.0, 0.25, None)]
    [1.85, 0.15, 30.0]
    """
    if isinstance(ttl_s, bool) or not isinstance(ttl_s, int | float):
        return default_s
    return max(ttl_s - REFUSE_AHEAD_S, REFUSE_SHARE * ttl_s)
