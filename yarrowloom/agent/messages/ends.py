"""Ends of runs and of minions. See the package for what all messages have in common."""

from typing import ClassVar

from ...common.records import Record
from ...transport.message import Message
from ...transport.message_kinds import Kind
from .numbers import MinionInt


class TaskEnd(Record, frozen=True, kw_only=True, array_like=True):
    """The end of one run, as its minion listed it.

    Attributes:
        number: The minion's number of this end; rises.
        outcome: How it ended, in the published words: `done`, `failed`, ...
        checkpoint: What the run's last checkpoint left; empty: nothing.
    """

    number: MinionInt
    task: str
    run: MinionInt
    outcome: str
    checkpoint: str = ""


class TaskEndsReport(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f", "ends": "x"}
):
    """Agent to scheduler: these runs have ended. Repeated until the ends are acknowledged."""

    KIND: ClassVar[Kind] = Kind.TASK_ENDS

    group_id: int
    minion_id: str
    fence: int
    ends: list[TaskEnd]


class AcknowledgedEnd(Record, frozen=True, kw_only=True, array_like=True):
    """An end that is durable in the group's record; `number` is the minion's."""

    number: int
    task: str
    run: int


class TaskEndsAcknowledged(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f", "ends": "x"}
):
    """Scheduler to agent: these ends are durable."""

    KIND: ClassVar[Kind] = Kind.TASK_ENDS_ACK

    group_id: int
    minion_id: str
    fence: int
    ends: list[AcknowledgedEnd]


class MinionLostReport(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f", "checkpoints": "v"}
):
    """Agent to scheduler: a minion is gone, with all that ran there. Repeated until it is acknowledged.

    Attributes:
        checkpoints: What the last checkpoint of each run left, by task, as far as the minion told.
    """

    KIND: ClassVar[Kind] = Kind.MINION_LOST

    group_id: int
    minion_id: str
    fence: int
    checkpoints: dict[str, str]


class MinionLostAcknowledged(
    Message, frozen=True, kw_only=True, rename={"group_id": "g", "minion_id": "m", "fence": "f"}
):
    """Scheduler to agent: the loss of the minion is durable."""

    KIND: ClassVar[Kind] = Kind.MINION_LOST_ACK

    group_id: int
    minion_id: str
    fence: int
