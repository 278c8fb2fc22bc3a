"""How a core node starts: its identity and state from the journal, or a new identity and no state.

The journal counts from its last whole snapshot on, which names the node. If there is none, nothing was ever said in
the node's name: it is one of the first members where the settings say so, else a new one. If it cannot be replayed,
the node abstains: what it promised under its old identity is void, as after the loss of the disk, and the members
that are left admit and refill it under the new one.
"""

from ..common.defaults import Defaults
from ..common.log import Log
from ..common.settings import NodeSettings
from ..replication.log_replay import ReplayError
from ..storage import END
from .core import CoreNode
from .identity import FIRST, last_life

_IDENTITY = b'{"k":"id",'  # how the first record of each snapshot begins


def last_snapshot(*, records: list[bytes]) -> int:
    """Where the last whole snapshot begins; -1 if there is none.

    >>> last_snapshot(records=[b'{"k":"id","uid":"a"}', b"state", END, b"batch"])
    0
    >>> last_snapshot(records=[b'{"k":"id","uid":"a"}', b"state"])
    -1
    """
    ends = [number for number, raw in enumerate(records) if raw == END]
    if not ends:
        return -1
    begins = [number for number in range(ends[-1]) if records[number].startswith(_IDENTITY)]
    if not begins:
        raise ReplayError(text="a snapshot without an identity", number=ends[-1])
    return begins[-1]


def counted(*, records: list[bytes], begin: int) -> list[bytes]:
    """The records from a whole snapshot on; another one that was cut off ends them, as nothing was said after it."""
    for number in range(begin + 1, len(records)):
        if records[number].startswith(_IDENTITY):
            return records[begin:number]
    return records[begin:]


def recover(
    *,
    settings: NodeSettings,
    records: list[bytes],
    log: Log,
    now: float,
    rand: float,
    token: str,
    blank: bool = True,
    defaults: Defaults | None = None,
) -> CoreNode:
    """A core node with what its journal tells. `blank`: nothing was ever confirmed from this disk, else a node without
    records does not start as one of the first. `token` is random: it makes a new identity unlike all before it.
    """

    def build(*, node_id: str, first: bool, incarnation: int = FIRST) -> CoreNode:
        return CoreNode(
            settings=settings,
            node_id=node_id,
            incarnation=incarnation,
            log=log,
            first=first,
            now=now,
            rand=rand,
            defaults=defaults,
        )

    address = f"{settings.ip}:{settings.ports[0]}"
    begin = 0
    try:
        begin = last_snapshot(records=records)
        if begin >= 0:
            life = last_life(records=[raw for raw in records if raw.startswith(_IDENTITY)])
            if life is None or "#" not in life.node_id:
                raise ReplayError(text="not the identity of a node", number=0)
            node = build(node_id=life.node_id, first=False, incarnation=life.next)
            node.restore(records=counted(records=records, begin=begin))
            return node
    except (ReplayError, ValueError, KeyError, TypeError) as err:
        number = begin + err.number if isinstance(err, ReplayError) else begin
        log.warn("journal-unusable", cause=str(err), record=number, records=len(records))
        return build(node_id=f"{address}#{token}", first=False)
    first = blank and settings.bootstrap
    return build(node_id=f"{address}#0" if first else f"{address}#{token}", first=first)
