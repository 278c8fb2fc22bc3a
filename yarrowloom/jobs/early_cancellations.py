"""Cancellations of jobs that were not known.

A caller that got no answer to a submission may cancel the job at another edge, and is told that there is none. The
submission may still wait somewhere: it must not be admitted after that.
"""

from ..common.last_versions import LastVersions
from ..common.records import Record

MAX_JOBS = 4096  # cancelled before they were known, and remembered: 110 KB in a snapshot
NONE_YET = 0


class EarlyCancellationsSnapshot(Record, frozen=True, kw_only=True, rename={"forgotten_up_to": "forgotten"}):
    """The stored form of `EarlyCancellations`; `numbers` are (job id, number), the newest last."""

    newest: int
    forgotten_up_to: int
    numbers: list[tuple[str, int]]


class EarlyCancellations:
    """By job id, the number of the last cancellation that came while the job was not known.

    A request that was sent when its edge knew of a cancellation's number was sent after that one.

    Attributes:
        newest: The number of the newest; each has the next number.
    """

    def __init__(self) -> None:
        self.newest = NONE_YET
        self._numbers = LastVersions(most=MAX_JOBS)

    def add(self, *, job_id: str) -> None:
        """A job that is not known was cancelled."""
        self.newest += 1
        self._numbers.add(key=job_id, version=self.newest)

    def may_precede(self, *, job_id: str, known: int) -> bool:
        """Whether a request about a job may have been sent before the job's last early cancellation was answered.

        Args:
            job_id: The job.
            known: The newest number that the request's edge knew before the request was sent.

        >>> cancellations = EarlyCancellations()
        >>> cancellations.add(job_id="a")
        >>> [cancellations.may_precede(job_id=job_id, known=known) for job_id, known in (("a", 0), ("a", 1), ("b", 0))]
        [True, False, False]
        """
        return known < self._numbers.last_version(key=job_id)

    def snapshot(self) -> EarlyCancellationsSnapshot:
        """All of it."""
        return EarlyCancellationsSnapshot(
            newest=self.newest, forgotten_up_to=self._numbers.forgotten_up_to, numbers=self._numbers.rows()
        )

    @classmethod
    def from_snapshot(cls, *, snapshot: EarlyCancellationsSnapshot) -> "EarlyCancellations":
        """The inverse of `snapshot`."""
        cancellations = cls()
        cancellations.newest = snapshot.newest
        cancellations._numbers = LastVersions(
            most=MAX_JOBS, forgotten_up_to=snapshot.forgotten_up_to, rows=snapshot.numbers
        )
        return cancellations
