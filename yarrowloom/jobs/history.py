"""What the reducer of jobs asks of a history: it tells of accepted jobs and of runs, and stores what is learned."""

from collections.abc import Sequence
from typing import Any, Protocol

from .submission import Step


class JobHistory(Protocol):
    """State that is learned from the events of a job group. The same events give the same state."""

    def note_job(
        self,
        *,
        at: int,
        job_id: str,
        q: str,
        service: str,
        steps: Sequence[Step],
        first: int,
        period: int,
        times: int,
    ) -> None:
        """A job was accepted."""

    def note_end(
        self, *, q: str, step: Step, task: str, run: int, how: str, ms: float, whole: bool, minion_id: str
    ) -> None:
        """A run of a task ended."""

    def note_over(self, *, at: int, job_id: str, q: str, steps: Sequence[Step], done: bool) -> None:
        """A job ended."""

    def dump(self) -> dict[str, Any]:
        """All of it, as plain data that shares nothing with the state."""

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it by what `dump` gave; empty: by the state that nothing was learned."""
