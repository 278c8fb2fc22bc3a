"""A bounded memory of the version that each of many keys had last."""

from collections import OrderedDict
from collections.abc import Iterable

NOTHING_FORGOTTEN = -1


class LastVersions:
    """By key, a version that only rises.

    What was dropped is not taken for "never seen": `last_version` then gives one that is certainly not older.

    Attributes:
        forgotten_up_to: The newest version that was dropped. Invariant: those held are above it.
    """

    def __init__(
        self, *, most: int, forgotten_up_to: int = NOTHING_FORGOTTEN, rows: Iterable[tuple[str, int]] = ()
    ) -> None:
        """A memory of at most `most` keys; `rows` are what `rows()` gave."""
        self.forgotten_up_to = forgotten_up_to
        self._most = most
        self._versions: OrderedDict[str, int] = OrderedDict(rows)

    def add(self, *, key: str, version: int) -> None:
        """Remember a key's version, in place of the oldest if there are too many.

        >>> zones = LastVersions(most=2)
        >>> for version, key in enumerate("aba", start=1):
        ...     zones.add(key=key, version=version)
        >>> zones.rows(), zones.last_version(key="c")
        ([('b', 2), ('a', 3)], -1)
        >>> zones.add(key="d", version=4)
        >>> zones.rows(), zones.last_version(key="c")
        ([('a', 3), ('d', 4)], 2)
        """
        self._versions[key] = version
        self._versions.move_to_end(key)
        while len(self._versions) > self._most:
            _, self.forgotten_up_to = self._versions.popitem(last=False)

    def last_version(self, *, key: str) -> int:
        """The key's version, or one that is certainly not older."""
        return self._versions.get(key, self.forgotten_up_to)

    def rows(self) -> list[tuple[str, int]]:
        """All keys with their versions, the newest last."""
        return list(self._versions.items())
