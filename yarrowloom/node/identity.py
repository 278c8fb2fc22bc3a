"""Which life of which node a process is: what its disk says of the lives before, and the next one."""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

FIRST = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class LastLife:
    """The life that wrote a journal last."""

    node_id: str
    incarnation: int

    @property
    def next(self) -> int:
        """The incarnation of the life that goes on from that journal. It counts only once it is on disk: whoever
        starts a node writes a snapshot with it, and syncs that, before any frame leaves.
        """
        return self.incarnation + 1


def last_life(*, records: Iterable[bytes]) -> LastLife | None:
    """What the journal's `id` records say; None: there is no life before.

    >>> last_life(records=[b'{"k":"id","uid":"a#0","inc":3}', b'{"k":"none"}', b'{"k":"id","uid":"a#0","inc":4}'])
    LastLife(node_id='a#0', incarnation=4)
    >>> last_life(records=[b'{"k":"id","uid":"a#0"}']).next
    1
    >>> last_life(records=[]) is None
    True
    """
    found: LastLife | None = None
    for raw in records:
        record = orjson.loads(raw)
        if record.get("k") == "id":
            known = found.incarnation if found is not None and found.node_id == record["uid"] else 0
            found = LastLife(node_id=record["uid"], incarnation=max(known, int(record.get("inc", 0))))
    return found
