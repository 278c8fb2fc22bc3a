"""The acceptor that each witness of a group runs.

The epochs of a group are decided one after another, each number by single-decree Paxos (Leslie Lamport, "Paxos Made
Simple", 2001). The acceptors of a number are the witnesses of the epoch before it.
"""

from typing import TypeVar

from msgspec import UNSET

from .epoch import Epoch, ProposalNumber
from .messages import AcceptRequest, AcceptResponse, PrepareRequest, PrepareResponse
from .stored_records import AcceptorRecord

ResponseType = TypeVar("ResponseType", PrepareResponse, AcceptResponse)


class Acceptor:
    """The acceptor of one group at one node.

    It must not answer before what the answer says is on its disk; that is the caller's duty.

    Attributes:
        node_id: The node.
        decided: The newest decided epoch that is known; its number never goes back.
        promised: The highest proposal number promised; like the next two it belongs to the number after `decided`.
        accepted_number: The number of the proposal accepted last; never above `promised`.
        accepted_value: The epoch that was accepted then.
    """

    def __init__(self, *, node_id: str, decided: Epoch | None = None) -> None:
        self.node_id = node_id
        self.decided = decided
        self.promised: ProposalNumber | None = None
        self.accepted_number: ProposalNumber | None = None
        self.accepted_value: Epoch | None = None

    def stored_record(self, *, group_id: int) -> AcceptorRecord:
        """What the disk keeps."""
        return AcceptorRecord(
            group_id=group_id,
            decided=self.decided,
            promised=self.promised,
            accepted_number=self.accepted_number,
            accepted_value=self.accepted_value,
        )

    def restore(self, record: AcceptorRecord) -> None:
        """Take what the disk kept."""
        self.decided = record.decided
        self.promised = record.promised
        self.accepted_number = record.accepted_number
        self.accepted_value = record.accepted_value

    def learn(self, epoch: Epoch) -> bool:
        """Take note of a decided epoch; true if it is newer than the one known."""
        if self.decided is not None and epoch.number <= self.decided.number:
            return False
        self.decided = epoch
        self.promised = self.accepted_number = self.accepted_value = None
        return True

    def prepare(self, request: PrepareRequest) -> PrepareResponse | None:
        """Answer phase 1 of a proposal; None: this acceptor has no say in it."""
        if not self._has_say(epoch_number=request.epoch_number):
            return None
        refusal = self._refusal(request, response_class=PrepareResponse)
        if refusal is not None:
            return refusal
        self.promised = request.proposal_number
        return PrepareResponse(
            group_id=request.group_id,
            epoch_number=request.epoch_number,
            proposal_number=request.proposal_number,
            is_granted=True,
            accepted_number=self.accepted_number,
            accepted_value=self.accepted_value,
        )

    def accept(self, request: AcceptRequest) -> AcceptResponse | None:
        """Answer phase 2 of a proposal; None: this acceptor has no say in it."""
        if not self._has_say(epoch_number=request.epoch_number):
            return None
        refusal = self._refusal(request, response_class=AcceptResponse)
        if refusal is not None:
            return refusal
        self.promised = self.accepted_number = request.proposal_number
        self.accepted_value = request.value
        return AcceptResponse(
            group_id=request.group_id,
            epoch_number=request.epoch_number,
            proposal_number=request.proposal_number,
            is_granted=True,
        )

    def _refusal(
        self, request: PrepareRequest | AcceptRequest, *, response_class: type[ResponseType]
    ) -> ResponseType | None:
        """Why a proposal is refused: its number is decided, or a higher proposal number is promised; None: it isn't."""
        is_decided = self._is_decided(epoch_number=request.epoch_number)
        if not is_decided and (self.promised is None or request.proposal_number >= self.promised):
            return None
        return response_class(
            group_id=request.group_id,
            epoch_number=request.epoch_number,
            proposal_number=request.proposal_number,
            is_granted=False,
            decided=self.decided if is_decided else None,
            promised=UNSET if is_decided or self.promised is None else self.promised,
        )

    def _has_say(self, *, epoch_number: int) -> bool:
        return self._is_decided(epoch_number=epoch_number) or self._is_open(epoch_number=epoch_number)

    def _is_decided(self, *, epoch_number: int) -> bool:
        return self.decided is not None and epoch_number <= self.decided.number

    def _is_open(self, *, epoch_number: int) -> bool:
        """Only a witness of the epoch before votes: one that lost its disk has a new node id and abstains."""
        decided = self.decided
        return decided is not None and epoch_number == decided.number + 1 and self.node_id in decided.witnesses
