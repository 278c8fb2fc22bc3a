"""What the reducer of jobs asks of a history: it tells of accepted jobs and of runs, and stores what is learned."""

from collections.abc import Sequence
from typing import Any, Protocol

from .submission import Step


class JobHistory(Protocol):
    """State that is learned from the events of a job group. The same events give the same state."""

    def note_job(
        self,
        *,
        at_ms: int,
        job_id: str,
        queue: str,
        service: str,
        steps: Sequence[Step],
        first_run_ms: int,
        period_ms: int,
        repeat_count: int,
    ) -> None:
        """A job was accepted."""

    def note_end(
        self,
        *,
        queue: str,
        step: Step,
        task: str,
        run_id: int,
        outcome: str,
        ran_ms: float,
        began_afresh: bool,
        minion_id: str,
    ) -> None:
        """A run of a task ended."""

    def note_over(self, *, at_ms: int, job_id: str, queue: str, steps: Sequence[Step], is_complete: bool) -> None:
        """A job ended."""

    def dump(self) -> dict[str, Any]:
        """All of it, as plain data that shares nothing with the state."""

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it by what `dump` gave; empty: by the state that nothing was learned."""
