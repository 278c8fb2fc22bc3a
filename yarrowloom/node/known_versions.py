"""Which version of something a node knew at an earlier time.

A request that waited in a socket must be judged by what its sender may have known, not by what this node has learned
since.
"""

from bisect import bisect_right

UNKNOWN_VERSION = -1
ROWS_KEPT = 256


class KnownVersions:
    """The versions of something whose version only rises, with the times at which they were learned here.

    Invariant: a version was in force, or an even newer one, from the time on at which it was learned.
    """

    def __init__(self) -> None:
        self._learned_at: list[float] = []  # monotonic seconds, rising
        self._versions: list[int] = []  # rising

    def learn(self, *, version: int, now: float) -> None:
        """Take note that a version is in force; one that is no newer than the newest changes nothing."""
        if self._versions and version <= self._versions[-1]:
            return
        self._learned_at.append(now)
        self._versions.append(version)
        del self._learned_at[:-ROWS_KEPT], self._versions[:-ROWS_KEPT]

    def known_at(self, *, at: float) -> int:
        """The newest version that was known at a time, or an older one; `UNKNOWN_VERSION`: none is known to have been.

        >>> versions = KnownVersions()
        >>> versions.learn(version=3, now=10.0)
        >>> versions.learn(version=7, now=12.0)
        >>> [versions.known_at(at=at) for at in (9.9, 10.0, 11.9, 12.0)]
        [-1, 3, 3, 7]
        """
        index = bisect_right(self._learned_at, at)
        return self._versions[index - 1] if index else UNKNOWN_VERSION
