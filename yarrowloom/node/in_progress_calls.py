"""Calls of other nodes that this node has taken: a repeat is carried out once, a refusal stays one."""

from typing import NamedTuple

import msgspec

IN_PROGRESS_MOST_S = 35.0  # longer than any call lives
REFUSAL_KEPT_S = 10.0  # longer than the repeats of a refused call are on their way


class CallId(NamedTuple):
    """What identifies a call: its caller, and the caller's number of it."""

    node_id: str
    request_id: int


class _InProgressCall(msgspec.Struct, frozen=True, kw_only=True):
    group_id: int
    taken_at: float


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a call that was not admitted; it is kept until `expires_at`, by the monotonic clock."""

    status: int
    document: object
    expires_at: float


class InProgressCalls:
    """Calls that were taken and have no response yet, and calls that were refused.

    Invariants: a call is taken again only once its response has left, or this node no longer serves its group; so a
    response that got lost is made again. A call that was refused is refused again: its caller may have been told so,
    while a repeat was still on its way.
    """

    def __init__(self) -> None:
        self._in_progress: dict[CallId, _InProgressCall] = {}
        self._refusals: dict[CallId, Refusal] = {}
        self._swept_at = 0.0

    def take(self, *, call_id: CallId, group_id: int, now: float) -> bool:
        """Take a call; False: it is in progress already.

        >>> calls, call_id = InProgressCalls(), CallId("a", 1)
        >>> calls.take(call_id=call_id, group_id=1, now=0.0)
        True
        >>> calls.take(call_id=call_id, group_id=1, now=0.4)
        False
        >>> calls.finish(call_id=call_id)
        1
        >>> calls.take(call_id=call_id, group_id=1, now=0.8), calls.abandon_group(group_id=1)
        (True, [CallId(node_id='a', request_id=1)])
        """
        if call_id in self._in_progress:
            return False
        self._in_progress[call_id] = _InProgressCall(group_id=group_id, taken_at=now)
        return True

    def is_in_progress(self, *, call_id: CallId) -> bool:
        """Whether a call was taken and has no response yet."""
        return call_id in self._in_progress

    def finish(self, *, call_id: CallId) -> int | None:
        """The response to a call leaves; the group that the call was for, None if it was not in progress."""
        call = self._in_progress.pop(call_id, None)
        return call.group_id if call is not None else None

    def refuse(self, *, call_id: CallId, status: int, document: object, now: float) -> None:
        """A call is refused for good."""
        self._refusals[call_id] = Refusal(status=status, document=document, expires_at=now + REFUSAL_KEPT_S)

    def refusal(self, *, call_id: CallId) -> Refusal | None:
        """How a call was refused before."""
        return self._refusals.get(call_id)

    def abandon_group(self, *, group_id: int) -> list[CallId]:
        """Forget all calls in progress for a group; they are."""
        abandoned = [call_id for call_id, call in self._in_progress.items() if call.group_id == group_id]
        for call_id in abandoned:
            del self._in_progress[call_id]
        return abandoned

    def sweep(self, *, now: float) -> None:
        """Forget calls and refusals whose callers wait no longer."""
        if now - self._swept_at > IN_PROGRESS_MOST_S / 2:
            self._swept_at = now
            self._in_progress = {
                call_id: call for call_id, call in self._in_progress.items() if now - call.taken_at < IN_PROGRESS_MOST_S
            }
        while self._refusals:
            oldest = next(iter(self._refusals))
            if self._refusals[oldest].expires_at > now:
                return
            del self._refusals[oldest]
