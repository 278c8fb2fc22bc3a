"""The identity of a core node on its disk: its node id, and the incarnation that wrote the journal last."""

from collections.abc import Iterable

import orjson
from msgspec import UNSET, UnsetType

from ..common.records import Record, decode

FIRST_INCARNATION = 1
IDENTITY_KIND = "id"
IDENTITY_PREFIX = b'{"k":"id",'  # how the first record of each snapshot begins


class IdentityRecord(Record, frozen=True, kw_only=True, rename={"kind": "k", "node_id": "uid", "incarnation": "inc"}):
    """The first record of a snapshot: which node wrote it, and in which incarnation.

    Attributes:
        kind: "id".
        node_id: The node.
        incarnation: Rises with each start of the process; 0 where the record names none.
    """

    kind: str
    node_id: str
    incarnation: int = 0

    @property
    def next_incarnation(self) -> int:
        """The incarnation of the process that goes on from this journal.

        It counts only once it is on disk: whoever starts a node writes a snapshot with it, and syncs that, before any
        frame leaves.
        """
        return self.incarnation + 1


class _AnyRecord(Record, frozen=True, kw_only=True, rename={"kind": "k"}):
    """Any record of the journal."""

    kind: str | UnsetType = UNSET


def last_identity(*, records: Iterable[bytes]) -> IdentityRecord | None:
    """The newest identity that a journal's records tell; None: they tell none.

    Raises:
        MalformedRecordError: A record is no object, or an identity without the fields of one.

    >>> last_identity(records=[b'{"k":"id","uid":"a#0","inc":3}', b'{"k":"none"}', b'{"k":"id","uid":"a#0","inc":4}'])
    IdentityRecord(kind='id', node_id='a#0', incarnation=4)
    >>> last_identity(records=[b'{"k":"id","uid":"a#0"}']).next_incarnation
    1
    >>> last_identity(records=[]) is None
    True
    """
    newest: IdentityRecord | None = None
    for raw in records:
        document = orjson.loads(raw)
        if decode(document, into=_AnyRecord).kind != IDENTITY_KIND:
            continue
        identity = decode(document, into=IdentityRecord)
        if newest is None or newest.node_id != identity.node_id or newest.incarnation <= identity.incarnation:
            newest = identity
    return newest
