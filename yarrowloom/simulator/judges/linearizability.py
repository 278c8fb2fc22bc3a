"""Checks that orders and reads of the configuration are those of one linearizable register with compare-and-set.

The register holds a version and the order that made it. An order takes effect at one moment between its invocation
and its answer: if its base is the current version, it makes its own the current one; if this very order was taken
before, it is confirmed again without effect; else it is refused. A read shows the register at one moment between its
invocation and its answer. An unclear call of an order may take effect at any moment after its invocation, or never.

Versions rise and each names one moment, so no search over permutations is needed. What was taken forms a chain of
orders, each on the version of the one before. For every order that may be in the chain, in the order of versions, the
checker keeps the set of moments at which it can have taken effect, as disjoint intervals, over all chains that lead
to it. All other constraints touch neighbours in the chain alone:

- taken not before its first call that wasn't refused was invoked, nor before its predecessor;
- taken before the answer of each of its confirmed calls, and of each read that shows it;
- followed only after each read that shows it was invoked;
- a refusal of an order on version b says that b was not current at some moment of the call: either b was taken after
  the call was invoked, or followed before its answer (for the order that did follow b, only the first can be: later
  it would have been known as taken);
- a valid order that is refused as invalid (400, not 412) says that a version not below its own was current before
  its answer;
- a version that was confirmed or shown is in the chain.

The refusals on one version cut its moments into as many pieces, and of each piece only the earliest moment counts for
what follows. So the cost is O(n log n) for n calls, and O(n * r) where r orders contend for one version.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from .history import NEVER_S, Breach, History, Operation, Order, Outcome, ReadConfig

BEFORE_ALL_S = -NEVER_S
STALE_BASE = 412

Interval = tuple[float, float]


@dataclass(slots=True, kw_only=True)
class _Candidate:
    """An order that may have been taken. Moments as in the module's text."""

    identity: str
    base: int
    version: int
    invoked_s: float = NEVER_S  # first call that wasn't refused
    confirmed_s: float = NEVER_S  # first confirmation's answer
    refused_s: list[float] = field(default_factory=list)  # invocations of its calls that met another version
    invalid: bool = False  # a valid order was refused as invalid
    moments: list[Interval] = field(default_factory=list)


@dataclass(slots=True)
class _Version:
    """What is known of one version. `refusals`: (invoked, returned, identity) of orders that build on it."""

    shown_s: float = NEVER_S  # first answer of a read that shows it
    kept_s: float = BEFORE_ALL_S  # last invocation of a read that shows it
    makers: set[str] = field(default_factory=set)  # identities that must have made it
    required: bool = False
    refusals: list[tuple[float, float, str]] = field(default_factory=list)


class _Register:
    """The constraints of one history, and whether any chain meets them."""

    def __init__(self, *, orders: Sequence[Operation[Order]], reads: Sequence[Operation[ReadConfig]]) -> None:
        self.candidates: dict[str, _Candidate] = {}
        self.versions: dict[int, _Version] = defaultdict(_Version)
        self.reached: list[tuple[int, float, str]] = []  # a version not below it was current before a moment
        self.sound = True
        for operation in orders:
            self._add_order(operation)
        for read in reads:
            self._add_read(read)

    def _add_order(self, operation: Operation[Order]) -> None:
        order = operation.argument
        able = order.valid and order.version > order.base
        if operation.outcome is Outcome.CONFIRMED and not able:
            self.sound = False
        if not able:
            return
        candidate = self.candidates.setdefault(
            order.identity, _Candidate(identity=order.identity, base=order.base, version=order.version)
        )
        if operation.outcome is not Outcome.REFUSED:
            candidate.invoked_s = min(candidate.invoked_s, operation.invoked_s)
        if operation.outcome is Outcome.CONFIRMED:
            candidate.confirmed_s = min(candidate.confirmed_s, operation.returned_s)
            self.versions[order.version].makers.add(order.identity)
            self.versions[order.version].required = True
        elif operation.outcome is Outcome.REFUSED and operation.status == STALE_BASE:
            candidate.refused_s.append(operation.invoked_s)
            self.versions[order.base].refusals.append((operation.invoked_s, operation.returned_s, order.identity))
        elif operation.outcome is Outcome.REFUSED:
            candidate.invalid = True
            self.reached.append((order.version, operation.returned_s, order.identity))

    def _add_read(self, operation: Operation[ReadConfig]) -> None:
        if operation.seen is None:
            return
        version = self.versions[operation.seen.version]
        version.shown_s = min(version.shown_s, operation.returned_s)
        version.kept_s = max(version.kept_s, operation.invoked_s)
        version.required = True
        if operation.seen.identity is not None:
            version.makers.add(operation.seen.identity)

    def consistent(self) -> bool:
        """Whether some chain of orders explains every answer."""
        if not self.sound:
            return False
        root = _Candidate(identity="", base=-1, version=0, invoked_s=BEFORE_ALL_S)
        root.moments = [(BEFORE_ALL_S, BEFORE_ALL_S)]
        required = sorted(number for number, version in self.versions.items() if version.required)
        self.reached.sort()
        followers: dict[int, list[_Candidate]] = defaultdict(list)
        for candidate in sorted(self.candidates.values(), key=lambda c: c.version):
            followers[candidate.base].append(candidate)
        done: list[_Candidate] = [root]
        by_version: dict[int, list[_Candidate]] = defaultdict(list)
        by_version[0].append(root)
        for candidate in sorted(self.candidates.values(), key=lambda c: c.version):
            # No version that must be in the chain may lie between its base and itself.
            if bisect_left(required, candidate.version) > bisect_left(required, candidate.base + 1):
                continue
            pieces: list[Interval] = []
            for before in by_version[candidate.base]:
                pieces += self._follow(before=before, after=candidate)
            candidate.moments = _merged(pieces=pieces)
            if candidate.moments:
                by_version[candidate.version].append(candidate)
                done.append(candidate)
        last = required[-1] if required else 0
        return any(self._may_end(at=candidate) for candidate in done if candidate.version >= last)

    def _latest(self, *, before: _Candidate, after: _Candidate) -> float:
        """Until when `after` must have been taken if it follows `before`; -inf if it can't be."""
        version = self.versions[after.version] if after.version in self.versions else _Version()
        if after.invalid or version.makers - {after.identity}:
            return BEFORE_ALL_S
        latest = min(after.confirmed_s, version.shown_s)
        first = bisect_left(self.reached, (before.version + 1, BEFORE_ALL_S, ""))
        stop = bisect_left(self.reached, (after.version + 1, BEFORE_ALL_S, ""))
        return min([latest, *(until for _, until, _ in self.reached[first:stop])])

    def _follow(self, *, before: _Candidate, after: _Candidate) -> list[Interval]:
        """The moments at which `after` can have been taken as the next after `before`."""
        at = self.versions[before.version] if before.version in self.versions else _Version()
        earliest = max(after.invoked_s, at.kept_s)
        latest = self._latest(before=before, after=after)
        if earliest > latest or after.invoked_s == NEVER_S:
            return []
        floor = max(after.refused_s, default=BEFORE_ALL_S)
        rivals = sorted((invoked, returned) for invoked, returned, who in at.refusals if who != after.identity)
        # Behind the k-th cut, `before` was taken after the first k rivals had been invoked: the others' answers bound
        # the moment at which it was followed.
        bounds = [NEVER_S]
        for _, returned in reversed(rivals):
            bounds.append(min(bounds[-1], returned))
        bounds.reverse()
        pieces: list[Interval] = []
        for cut, bound in zip([BEFORE_ALL_S, *(invoked for invoked, _ in rivals)], bounds, strict=True):
            moment = _first_from(moments=before.moments, since=max(floor, cut))
            if moment is not None and max(moment, earliest) <= min(latest, bound):
                pieces.append((max(moment, earliest), min(latest, bound)))
        return pieces

    def _may_end(self, *, at: _Candidate) -> bool:
        """Whether nothing needs to have followed."""
        if any(version > at.version for version, _, _ in self.reached[-1:]):
            return False
        refusals = self.versions[at.version].refusals if at.version in self.versions else []
        since = max((invoked for invoked, _, _ in refusals), default=BEFORE_ALL_S)
        return _first_from(moments=at.moments, since=since) is not None


def _merged(*, pieces: list[Interval]) -> list[Interval]:
    """Disjoint intervals in order that cover the same moments.

    >>> _merged(pieces=[(5, 6), (1, 3), (2, 4)])
    [(1, 4), (5, 6)]
    """
    out: list[Interval] = []
    for low, high in sorted(pieces):
        if out and low <= out[-1][1]:
            out[-1] = (out[-1][0], max(high, out[-1][1]))
        else:
            out.append((low, high))
    return out


def _first_from(*, moments: list[Interval], since: float) -> float | None:
    """The first moment of the intervals that isn't before `since`.

    >>> [_first_from(moments=[(1, 3), (5, 6)], since=s) for s in (0, 2, 4, 7)]
    [1, 2, 5, None]
    """
    at = bisect_left(moments, since, key=lambda interval: interval[1])
    return max(since, moments[at][0]) if at < len(moments) else None


Clear = Operation[Order] | Operation[ReadConfig]


def _consistent(*, history: History, clear: Sequence[Clear]) -> bool:
    """Whether the history is one of the register's if only the answers of `clear` are taken for what they say."""
    numbers = {operation.number for operation in clear}
    orders = [op if op.number in numbers or op.outcome is Outcome.UNCLEAR else _unclear(op) for op in history.orders]
    reads = [op for op in history.reads if op.number in numbers]
    return _Register(orders=orders, reads=reads).consistent()


def _unclear(operation: Operation[Order]) -> Operation[Order]:
    return Operation(
        number=operation.number, process=operation.process, argument=operation.argument, invoked_s=operation.invoked_s
    )


def check_configuration(*, history: History) -> Breach | None:
    """The first contradiction in a history of orders and reads, or None.

    The answers are taken up in the order in which they came. The first that can't be explained is in the breach, and
    with it as few others as are needed; all others may be doubted without making it right.
    """
    clear: list[Clear] = [op for op in history.orders if op.outcome is not Outcome.UNCLEAR]
    clear += [op for op in history.reads if op.seen is not None]
    clear.sort(key=lambda op: (op.returned_s, op.number))
    if _consistent(history=history, clear=clear):
        return None
    core: list[Clear] = []
    rest = clear
    while _consistent(history=history, clear=core):
        low, high = 0, len(rest)  # rest[:low] is consistent with the core, rest[:high] isn't
        while high - low > 1:
            middle = (low + high) // 2
            if _consistent(history=history, clear=[*core, *rest[:middle]]):
                low = middle
            else:
                high = middle
        core.append(rest[high - 1])
        rest = rest[: high - 1]
        if len(core) == 1 and _consistent(history=history, clear=core):
            core += _confirmed_before(operation=core[0], among=rest)
    core.sort(key=lambda op: op.invoked_s)
    rule, text = _named(core=core, orders=history.orders)
    return Breach(rule=rule, text=text, operations=tuple(core))


def _confirmed_before(*, operation: Clear, among: Sequence[Clear]) -> Sequence[Clear]:
    """The confirmation that a refused repeat contradicts by itself: the plainest thing to tell of it."""
    order = operation.argument
    if not isinstance(order, Order) or operation.outcome is not Outcome.REFUSED or not order.valid:
        return []
    return [
        op
        for op in among
        if op.argument == order and op.outcome is Outcome.CONFIRMED and op.returned_s < operation.invoked_s
    ][:1]


def _sent_before(*, operation: Clear, orders: Sequence[Operation[Order]]) -> int | None:
    """The number of an earlier call of an order that was refused now, confirmed or without a clear answer."""
    if operation.outcome is not Outcome.REFUSED or isinstance(operation.argument, ReadConfig):
        return None
    return next(
        (
            op.number
            for op in orders
            if op.argument == operation.argument
            and op.outcome is not Outcome.REFUSED
            and op.invoked_s < operation.invoked_s
        ),
        None,
    )


def _named(*, core: Sequence[Clear], orders: Sequence[Operation[Order]]) -> tuple[str, str]:
    """The rule that a smallest contradiction breaks, and what happened."""
    confirmed = {
        op.argument.identity: op.argument
        for op in core
        if op.outcome is Outcome.CONFIRMED and isinstance(op.argument, Order)
    }
    refused = any(op.outcome is Outcome.REFUSED and isinstance(op.argument, Order) for op in core)
    if any(not order.valid or order.version <= order.base for order in confirmed.values()):
        return "invalid-confirmed", "an order that is invalid in any state was confirmed"
    if len({order.version for order in confirmed.values()}) < len(confirmed):
        return "number-confirmed-twice", "two different orders were confirmed under one version"
    if len({order.base for order in confirmed.values()}) < len(confirmed):
        return "base-confirmed-twice", "two different orders were confirmed on top of one version"
    for op in core:
        before = _sent_before(operation=op, orders=orders)
        if before is not None:
            return "repeat-refused", f"an order was refused when it was sent again, though #{before} was taken"
    if any(isinstance(op.argument, ReadConfig) for op in core):
        return "read-contradicted", "a read shows what can't have been current during it"
    if refused:
        return "refused-without-cause", "an order was refused though it could have been taken all through its call"
    return "not-linearizable", "no sequence of the orders explains these answers"
