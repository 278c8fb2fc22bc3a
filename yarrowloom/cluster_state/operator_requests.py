"""What the registry remembers of accepted operator requests, to recognise a repeat of one.

Both memories are bounded. What was dropped from one is not taken for "never seen": a number says up to where the
memory no longer knows, and a request that falls below it gets no clear answer.
"""

import hashlib
import re
from collections import OrderedDict
from collections.abc import Iterable

from ..common.errors import Finding, InvalidInputError
from ..common.last_versions import NOTHING_FORGOTTEN, LastVersions
from ..common.records import Record

MAX_ACCEPTED_CHANGES = 1024  # configuration changes: at most 45 KB in a snapshot, 220 KB in memory
MAX_ZONES = 256  # zones whose last request is remembered: at most 10 KB in a snapshot
_IF_MATCH = re.compile(r'\s*("?)([0-9]{1,40})\1\s*')


def request_digest(*, base_version: int, method: str, body: bytes) -> str:
    """Names one request, so that its repeat is recognised."""
    return hashlib.sha256(b"%d/" % base_version + method.encode() + body).hexdigest()[:32]


def parse_base_version(*, if_match: str | None) -> int:
    """The version of the configuration that a request builds on, from its If-Match header.

    Raises:
        InvalidInputError: The header is missing or not a whole number.

    >>> parse_base_version(if_match="7"), parse_base_version(if_match=' "7" ')
    (7, 7)
    """
    match = _IF_MATCH.fullmatch(if_match or "")
    if match is None:
        raise InvalidInputError(
            text="If-Match is not a version", findings=[Finding(place="If-Match", text="missing or not a whole number")]
        )
    return int(match.group(2))


def requested_version(*, document: object) -> int:
    """The version that a request wants to make; 0 if it names none that could be accepted."""
    version = document.get("config-version") if isinstance(document, dict) else None
    return version if isinstance(version, int) and not isinstance(version, bool) else 0


class AcceptedChangesSnapshot(
    Record, frozen=True, kw_only=True, rename={"forgotten_up_to": "forgotten", "digests": "taken"}
):
    """The stored form of `AcceptedChanges`; `digests` are (version, digest), versions rising."""

    forgotten_up_to: int
    digests: list[tuple[int, str]]


class AcceptedChanges:
    """The last accepted configuration changes: by version, the digest of the request that made it.

    Attributes:
        forgotten_up_to: Invariant: every accepted change with a version above this is held. Versions rise.
    """

    def __init__(self) -> None:
        self.forgotten_up_to = 0
        self._digests: OrderedDict[int, str] = OrderedDict()

    def add(self, *, version: int, digest: str) -> None:
        """Remember an accepted change, in place of the oldest if there are too many.

        >>> changes = AcceptedChanges()
        >>> for version in range(1, MAX_ACCEPTED_CHANGES + 3):
        ...     changes.add(version=version, digest=f"d{version}")
        >>> changes.forgotten_up_to, [changes.was_accepted(version=v, digest=f"d{v}") for v in (2, 3)]
        (2, [False, True])
        """
        self._digests[version] = digest
        while len(self._digests) > MAX_ACCEPTED_CHANGES:
            self.forgotten_up_to, _ = self._digests.popitem(last=False)

    def was_accepted(self, *, version: int, digest: str) -> bool:
        """Whether this very request is known to have made this version."""
        return self._digests.get(version) == digest

    def may_be_forgotten(self, *, version: int) -> bool:
        """Whether a request for this version may have been accepted and forgotten since."""
        return version <= self.forgotten_up_to

    def snapshot(self) -> AcceptedChangesSnapshot:
        """All of it."""
        return AcceptedChangesSnapshot(forgotten_up_to=self.forgotten_up_to, digests=list(self._digests.items()))

    @classmethod
    def from_snapshot(cls, *, snapshot: AcceptedChangesSnapshot) -> "AcceptedChanges":
        """The inverse of `snapshot`."""
        changes = cls()
        changes.forgotten_up_to = snapshot.forgotten_up_to
        changes._digests.update(snapshot.digests)
        return changes


class ZoneVersionsSnapshot(
    Record, frozen=True, kw_only=True, rename={"forgotten_up_to": "forgotten", "versions": "zones"}
):
    """The stored form of `ZoneVersions`; `versions` are (zone, registry version), the last request's last."""

    forgotten_up_to: int
    versions: list[tuple[str, int]]


class ZoneVersions(LastVersions):
    """By zone, the registry's version after the last accepted evacuation request."""

    def __init__(self, *, forgotten_up_to: int = NOTHING_FORGOTTEN, rows: Iterable[tuple[str, int]] = ()) -> None:
        super().__init__(most=MAX_ZONES, forgotten_up_to=forgotten_up_to, rows=rows)

    def snapshot(self) -> ZoneVersionsSnapshot:
        """All of it."""
        return ZoneVersionsSnapshot(forgotten_up_to=self.forgotten_up_to, versions=self.rows())

    @classmethod
    def from_snapshot(cls, *, snapshot: ZoneVersionsSnapshot) -> "ZoneVersions":
        """The inverse of `snapshot`."""
        return cls(forgotten_up_to=snapshot.forgotten_up_to, rows=snapshot.versions)
