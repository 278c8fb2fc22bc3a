"""One budget for all that callers who are no nodes can make a process hold, in bytes and connections.

Clients, probes, minions and operators hold connections, bytes that wait unread, heads, bodies, parsers, the documents
made of bodies, and responses that have not left. Each connection has an account, charged as these arrive. Where the
budget is used up, the connection that holds most without an end is closed first: one whose request is incomplete or
whose response is not read. A whole request that is being answered always gets its response.
"""

import enum
import math
from collections.abc import Callable

WINDOW_BYTES = 32 * 1024  # most that waits unread in a caller's socket
CONNECTION_BYTES = 8 * 1024 + WINDOW_BYTES  # a connection with its task and reader
PARSER_BYTES = 8 * 1024
FIELD_BYTES = 256  # a header field once it is read, beside its text
SMALL_REQUEST_BYTES = 64 * 1024  # a whole request with all that is made of it, beside its connection
LARGE_REQUESTS_SHARE = 0.75  # of the budget, for whole requests that are not small
CONNECTIONS_SHARE = 0.5  # of the budget, for the connections themselves


class CallerClosedError(Exception):
    """The connection was closed to make room for others; its task is to end."""


class Phase(enum.Enum):
    """Whose turn it is on a connection."""

    READING = "reading"  # the caller's: a request is awaited, or is incomplete
    ANSWERING = "answering"  # this process's: a whole request is being answered
    SENDING = "sending"  # the caller's: a response waits until it is read


class Admission(enum.Enum):
    """Whether a whole request may be answered."""

    ADMITTED = "admitted"
    FULL = "full"  # not now
    TOO_LARGE = "too-large"  # never: it alone would need more than the budget


class CallerAccount:
    """What one connection holds.

    Attributes:
        phase: Whose turn it is.
        turn: Rises with each turn, and each request, that begins on any connection: a low one has lasted long.
        held_bytes: All that it holds, with the connection itself.
        is_open: Not closed, by its end or to make room.
    """

    __slots__ = ("_budget", "_on_evicted", "held_bytes", "is_open", "phase", "turn")

    def __init__(self, *, budget: "CallerBudget", on_evicted: Callable[[], None], turn: int) -> None:
        self._budget = budget
        self._on_evicted = on_evicted
        self.phase = Phase.READING
        self.turn = turn
        self.held_bytes = CONNECTION_BYTES
        self.is_open = True

    @property
    def is_answering(self) -> bool:
        """Whether a whole request is being answered."""
        return self.phase is Phase.ANSWERING

    def hold(self, size_bytes: int) -> None:
        """Take note of what it holds beside the connection while it reads or sends, and make room for that.

        Raises:
            CallerClosedError: It was closed, for this or before.
        """
        self._check_open()
        if self.held_bytes == CONNECTION_BYTES:  # a request begins
            self.turn = self._budget.next_turn()
        if self._set(size_bytes) > 0:
            self._budget.make_room()
            self._check_open()

    def admit(self, *, request_bytes: int) -> Admission:
        """A whole request has arrived: it is answered if there is room for it.

        Args:
            request_bytes: Of the request, with what will be made of its body.

        Raises:
            CallerClosedError: The connection was closed before.
        """
        self._check_open()
        admission = self._budget.admit(account=self, request_bytes=request_bytes)
        self._set(request_bytes if admission is Admission.ADMITTED else 0)
        self.phase = Phase.ANSWERING
        self._budget.answering_bytes += self.held_bytes
        return admission

    def send(self, *, response_bytes: int) -> None:
        """The response is there and begins to leave.

        Raises:
            CallerClosedError: There is no room for it.
        """
        self._check_open()
        self._end_answer(Phase.SENDING)
        self.turn = self._budget.next_turn()
        self.hold(response_bytes)

    def read(self, *, received_bytes: int) -> None:
        """The response has left: the next request is awaited, of which some bytes may be there.

        Raises:
            CallerClosedError: The connection was closed before.
        """
        self._check_open()
        self._end_answer(Phase.READING)
        self.turn = self._budget.next_turn()
        self.hold(received_bytes)

    def close(self) -> None:
        """The connection has ended; nothing is held for it any more."""
        if self.is_open:
            self._end_answer(Phase.READING)
            self.is_open = False
            self._budget.remove(account=self)

    def evict(self) -> None:
        """End the connection to make room for others."""
        self.close()
        self._on_evicted()

    def _check_open(self) -> None:
        if not self.is_open:
            raise CallerClosedError

    def _end_answer(self, phase: Phase) -> None:
        if self.phase is Phase.ANSWERING:
            self._budget.answering_bytes -= self.held_bytes
        self.phase = phase

    def _set(self, size_bytes: int) -> int:
        """Hold so much beside the connection; by how much that is more than before."""
        grown_bytes = CONNECTION_BYTES + size_bytes - self.held_bytes
        self.held_bytes += grown_bytes
        self._budget.held_bytes += grown_bytes
        return grown_bytes


Rank = Callable[[CallerAccount], tuple[int, ...]]


def _holds_most(account: CallerAccount) -> tuple[int, int]:
    """Where bytes are short, the one that holds most is closed first; of equals, the one that has for longest."""
    return account.held_bytes, -account.turn


def _held_longest(account: CallerAccount) -> tuple[int]:
    """Where connections are short, of which each holds one, the one whose turn has lasted longest is closed first."""
    return (-account.turn,)


class CallerBudget:
    """The accounts of all callers' connections of a process.

    Invariants: the accounts hold no more than the limit, but for whole requests that were admitted and that grew by
    their responses; there are at most `most_connections`; an account in the phase ANSWERING is never closed.

    Attributes:
        limit_bytes: What all accounts may hold together.
        most_connections: How many accounts there may be.
        held_bytes: What they hold.
        answering_bytes: What those of them hold whose requests are being answered.
        closed_count: Connections closed to make room, since the last `take_counts`.
        refused_count: Whole requests refused, since then.
    """

    def __init__(self, *, limit_bytes: float = math.inf, most_connections: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.most_connections = most_connections
        self.held_bytes = 0
        self.answering_bytes = 0
        self.closed_count = 0
        self.refused_count = 0
        self._accounts: dict[CallerAccount, None] = {}
        self._last_turn = 0

    def __len__(self) -> int:
        return len(self._accounts)

    def resize(self, *, limit_bytes: float, descriptors: float) -> None:
        """Other limits hold from now on; connections beyond them are closed as new ones come.

        Args:
            limit_bytes: What all accounts may hold together.
            descriptors: Of which each connection takes one.
        """
        self.limit_bytes = limit_bytes
        self.most_connections = min(descriptors, CONNECTIONS_SHARE * limit_bytes // CONNECTION_BYTES)

    def open(self, *, on_evicted: Callable[[], None]) -> CallerAccount:
        """Open the account of a connection that was accepted.

        Args:
            on_evicted: Is called when the connection is to end. What it has received must be let go at once.

        Raises:
            CallerClosedError: The others are all being answered, and leave no room for one more.
        """
        while (rank := self._rank_for_one_more()) is not None:
            if not self._close_one(by=rank):
                self.closed_count += 1
                raise CallerClosedError
        account = CallerAccount(budget=self, on_evicted=on_evicted, turn=self.next_turn())
        self._accounts[account] = None
        self.held_bytes += CONNECTION_BYTES
        return account

    def next_turn(self) -> int:
        """The number of a turn that begins now."""
        self._last_turn += 1
        return self._last_turn

    def make_room(self) -> None:
        """Close connections until the others are within the limit; those that are being answered stay."""
        while self.held_bytes > self.limit_bytes and self._close_one(by=_holds_most):
            pass

    def admit(self, *, account: CallerAccount, request_bytes: int) -> Admission:
        """Whether a whole request of an account that reads may be answered; room is made for it.

        Large requests leave a share of the budget to small ones.
        """
        needed_bytes = CONNECTION_BYTES + request_bytes
        if needed_bytes > self.limit_bytes:
            return self._refuse(Admission.TOO_LARGE)
        is_alone = self.answering_bytes == 0
        share = 1.0 if is_alone or request_bytes <= SMALL_REQUEST_BYTES else LARGE_REQUESTS_SHARE
        if self.answering_bytes + needed_bytes > share * self.limit_bytes:
            return self._refuse(Admission.FULL)
        while self.held_bytes - account.held_bytes + needed_bytes > self.limit_bytes:
            if not self._close_one(by=_holds_most, but=account):
                return self._refuse(Admission.FULL)
        return Admission.ADMITTED

    def remove(self, *, account: CallerAccount) -> None:
        """An account is closed."""
        del self._accounts[account]
        self.held_bytes -= account.held_bytes

    def take_counts(self) -> tuple[int, int]:
        """How many connections were closed to make room and whole requests refused since this was last asked."""
        counts = self.closed_count, self.refused_count
        self.closed_count = self.refused_count = 0
        return counts

    def _rank_for_one_more(self) -> Rank | None:
        """By what rank a connection is to be closed before one more is opened; None: there is room for it."""
        if len(self._accounts) >= self.most_connections:
            return _held_longest
        return _holds_most if self.held_bytes + CONNECTION_BYTES > self.limit_bytes else None

    def _refuse(self, admission: Admission) -> Admission:
        self.refused_count += 1
        return admission

    def _close_one(self, *, by: Rank, but: CallerAccount | None = None) -> bool:
        """Close the connection of the highest rank that is not being answered; false: each of the others is."""
        waiting = [account for account in self._accounts if not account.is_answering and account is not but]
        if not waiting:
            return False
        max(waiting, key=by).evict()
        self.closed_count += 1
        return True
