"""How a core node starts: its identity and state from the journal, or a new identity and no state.

The journal counts from its last whole snapshot on, which names the node. If there is none, no message was ever sent in
the node's name: it is one of the first members where the settings say so, else a new one. If the journal cannot be
replayed, the node abstains: what it promised under its old identity is void, as after the loss of the disk, and the
members that are left admit it and give it the state under the new one.
"""

from ..common.defaults import Defaults
from ..common.log import Log
from ..common.settings import NodeSettings
from ..replication.log_replay import ReplayError
from ..storage import SNAPSHOT_END
from .core import CoreNode
from .identity import FIRST_INCARNATION, IDENTITY_PREFIX, last_identity

FIRST_MEMBER = "0"  # the part of the node id after "#" of each of the first members


def last_snapshot(*, records: list[bytes]) -> int:
    """The index of the record that begins the last whole snapshot; -1: there is none.

    Raises:
        ReplayError: A snapshot ends that did not begin with an identity.

    >>> last_snapshot(records=[b'{"k":"id","uid":"a"}', b"state", SNAPSHOT_END, b"batch"])
    0
    >>> last_snapshot(records=[b'{"k":"id","uid":"a"}', b"state"])
    -1
    """
    ends = [index for index, raw in enumerate(records) if raw == SNAPSHOT_END]
    if not ends:
        return -1
    begins = [index for index in range(ends[-1]) if records[index].startswith(IDENTITY_PREFIX)]
    if not begins:
        raise ReplayError(text="a snapshot without an identity", number=ends[-1])
    return begins[-1]


def records_since(*, records: list[bytes], begin: int) -> list[bytes]:
    """The records from a whole snapshot on.

    The begin of another one, which was cut off, ends them, as no message was sent after it.
    """
    for index in range(begin + 1, len(records)):
        if records[index].startswith(IDENTITY_PREFIX):
            return records[begin:index]
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
    """A core node with what its journal tells.

    Args:
        settings: The settings of the process.
        records: The journal.
        log: Where the node logs.
        now: Monotonic time in seconds.
        rand: A random number from 0 to 1.
        token: Random text that makes a new identity unlike all before it.
        blank: Whether nothing was ever confirmed from this disk; else a node without records does not start as one of
            the first members.
        defaults: Values that operators may tune by a file.
    """

    def build(*, node_id: str, first: bool, incarnation: int = FIRST_INCARNATION) -> CoreNode:
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
    new_node_id = f"{address}#{token}"
    begin = 0
    try:
        begin = last_snapshot(records=records)
        if begin >= 0:
            identity = last_identity(records=[raw for raw in records if raw.startswith(IDENTITY_PREFIX)])
            if identity is None or "#" not in identity.node_id:
                raise ReplayError(text="not the identity of a node", number=0)
            node = build(node_id=identity.node_id, first=False, incarnation=identity.next_incarnation)
            node.restore(records=records_since(records=records, begin=begin))
            return node
    except (ReplayError, ValueError, KeyError, TypeError) as error:
        index = begin + error.number if isinstance(error, ReplayError) else begin
        log.warn("journal-unusable", cause=str(error), record=index, records=len(records))
        return build(node_id=new_node_id, first=False)
    first = blank and settings.bootstrap
    return build(node_id=f"{address}#{FIRST_MEMBER}" if first else new_node_id, first=first)
