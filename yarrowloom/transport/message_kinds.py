"""Kinds of messages between nodes, and the lanes that carry them."""

import enum


class Kind(enum.IntEnum):
    """Kinds of messages. The numbers are those on the wire and never change.

    1 to 3 keep the nodes of a cluster in touch, 10 to 22 replicate a group's state, 30 and 31 carry calls to the node
    that serves a group, 40 to 55 go between agents and schedulers.
    """

    HEARTBEAT = 1
    HEARTBEAT_ACK = 2
    CLUSTER_UPDATE = 3
    PREPARE = 10
    PROMISE = 11
    ACCEPT = 12
    ACCEPTED = 13
    INSTALL_EPOCH = 14
    EPOCH_INSTALLED = 15
    SNAPSHOT = 16
    SNAPSHOT_STORED = 17
    APPEND_BATCH = 18
    BATCH_APPENDED = 19
    LEADER_LEASE_REQUEST = 20
    LEADER_LEASE_GRANTED = 21
    YIELD = 22
    CALL = 30
    REPLY = 31
    CLAIM_MINIONS = 40
    ATTACH_MINION = 41
    ATTACHMENT_VERDICT = 42
    LEASE_REQUEST = 43
    LEASE_GRANT = 44
    LEASE_RETURN = 45
    TASK_ORDERS = 46
    STOP_TASKS = 47
    TASK_ENDS = 48
    TASK_ENDS_ACK = 49
    MINION_LOST = 50
    MINION_LOST_ACK = 51
    CAPACITY_REPORT = 52
    ORDERS_REJECTED = 53
    CAPACITY_REPORT_REQUEST = 54
    TASKS_BEGUN = 55


class Lane(enum.IntEnum):
    """Streams between two nodes, each with a connection and a sequence of its own.

    With a single stream, a request to renew the leader's lease would wait behind megabytes of a snapshot, and if it
    overtook them within one sequence, the overtaken frames would count as lost. Splitting is safe, as no message of
    one lane depends on a message of another:

    - URGENT: heartbeats, cluster updates and replication messages. They are repeated until answered and checked by
      epoch and number, so a lost frame needs no report.
    - WORK: leases, orders, task ends and attachments. They depend on each other, so a gap in the sequence makes both
      sides attach anew.
    - COPY: snapshots, which are requested and acknowledged by their id.
    """

    URGENT = 1
    WORK = 2
    COPY = 3


LANE_NUMBERS = frozenset(int(lane) for lane in Lane)
_URGENT = frozenset(
    {
        Kind.HEARTBEAT,
        Kind.HEARTBEAT_ACK,
        Kind.CLUSTER_UPDATE,
        Kind.PREPARE,
        Kind.PROMISE,
        Kind.ACCEPT,
        Kind.ACCEPTED,
        Kind.INSTALL_EPOCH,
        Kind.EPOCH_INSTALLED,
        Kind.SNAPSHOT_STORED,
        Kind.APPEND_BATCH,
        Kind.BATCH_APPENDED,
        Kind.LEADER_LEASE_REQUEST,
        Kind.LEADER_LEASE_GRANTED,
        Kind.YIELD,
    }
)
LANES: dict[Kind, Lane] = {
    kind: Lane.COPY if kind is Kind.SNAPSHOT else Lane.URGENT if kind in _URGENT else Lane.WORK for kind in Kind
}
