"""Simulated operators that change the cluster's configuration and record their calls.

They send configurations, changes, invalid requests, evacuations and reads to nodes of their choice, retry requests
without a clear response, race on one version, and repeat requests that were accepted long ago.

An operator is a state machine over a `Network`, which tells the time and carries requests. A seed determines a run.
"""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

import orjson

from .judges.history import (
    NEVER_S,
    Argument,
    Evacuate,
    History,
    Operation,
    Order,
    Outcome,
    ReadConfig,
    Seen,
    outcome_of,
)

MARK = "x-order"  # among the limits: which order made a configuration
ROUTES = "route-table"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP answer."""

    status: int
    body: bytes = b""


class Network(Protocol):
    """What operators need of the world."""

    @property
    def now(self) -> float:
        """Seconds."""

    def at(self, *, delay: float, fn: Callable[[], None]) -> None:
        """Do something later."""

    def request(
        self,
        *,
        source: str,
        node: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        answer: Callable[[Answer], None],
    ) -> None:
        """Send an HTTP request to a node; `answer` is called at most once, perhaps late, perhaps never."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Habits:
    """How an operator works. Times are in seconds, the rest are shares of what it does."""

    pause_s: float = 0.4  # between two things that it begins, on average
    patience_s: float = 1.0  # silence after which a call is given up
    retry_s: float = 0.1  # pause before a call is sent again; doubles with each, up to
    retry_most_s: float = 0.8
    evacuation_s: float = 4.0  # how long an evacuation order is sent again
    most_under_way: int = 4
    race: float = 0.15
    bad: float = 0.12
    read: float = 0.15
    repeat: float = 0.12
    evacuation: float = 0.06
    whole: float = 0.3  # of its changes: PUT in place of PATCH


class Bad(enum.Enum):
    """Kinds of orders that are to be refused whatever the state is."""

    CUT_SHORT = "cut_short"
    UNKNOWN_SERVICE = "unknown_service"
    SAME_PLACE = "same_place"
    NO_TIMEOUT = "no_timeout"
    OLD_VERSION = "old_version"
    SAME_VERSION = "same_version"


@dataclass(slots=True)
class Recorder:
    """Numbers the calls of all operators of a run and keeps their history."""

    history: History = field(default_factory=History)
    _last: int = 0

    def number(self) -> int:
        """A number for a call that begins."""
        self._last += 1
        return self._last


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """A request as it is sent, and sent again, with what it means."""

    argument: Argument
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True, kw_only=True)
class Task:
    """A message that an operator wants to have answered. `until_s`: not sent again later than that."""

    message: Message
    until_s: float = NEVER_S
    tries: int = 0
    node: str = ""


class Operator:
    """An operator who carries out several tasks at the same time.

    Invariants: at most `most_under_way` tasks are in progress; each call is recorded exactly once, by its response,
    when it is given up, or by `close`; a response to a call that was given up is ignored.
    """

    def __init__(
        self,
        *,
        name: str,
        network: Network,
        nodes: list[str],
        zones: list[str],
        template: dict[str, Any],
        recorder: Recorder,
        rng: random.Random,
        habits: Habits | None = None,
    ) -> None:
        self.name = name
        self.network = network
        self.nodes = nodes
        self.zones = zones
        self.template = template
        self.recorder = recorder
        self.rng = rng
        self.habits = habits or Habits()
        self.known: dict[str, Any] | None = None  # the newest configuration that was read
        self.version = 0  # the newest version that was confirmed or read
        self.taken: list[Message] = []  # orders that were confirmed
        self.under_way = 0
        self.working = False
        self._made = 0
        self._open: dict[int, tuple[Message, float]] = {}

    # -- what it does

    def start(self) -> None:
        """Begin to work."""
        self.working = True
        self._next()

    def stop(self) -> None:
        """Begin nothing more, and send nothing again."""
        self.working = False

    def close(self) -> None:
        """The run ends: what is still under way never had an answer."""
        for number, (message, invoked_s) in list(self._open.items()):
            self._record(number=number, message=message, invoked_s=invoked_s, returned_s=NEVER_S, answer=None)

    def read(self, *, node: str = "") -> None:
        """Ask for the configuration, at a node of its choice if none is named; asked once."""
        message = Message(argument=ReadConfig(), method="GET", path="/config")
        self._send(task=Task(message=message, node=node, until_s=self.network.now))

    def _next(self) -> None:
        if not self.working:
            return
        if self.under_way < self.habits.most_under_way:
            self._act()
        self.network.at(delay=self.rng.expovariate(1.0 / self.habits.pause_s), fn=self._next)

    def _act(self) -> None:
        habits, pick = self.habits, self.rng.random()
        for share, act in (
            (habits.read, self.read),
            (habits.bad, self._send_bad),
            (habits.repeat, self._repeat),
            (habits.evacuation, self._evacuate),
            (habits.race, self._race),
        ):
            if pick < share:
                act()
                return
            pick -= share
        self._begin(message=self._change(step=self.rng.randint(1, 3)))

    def _race(self) -> None:
        """Several orders at once on one version, some of them under one number."""
        for _ in range(self.rng.randint(2, 3)):
            self._begin(message=self._change(step=self.rng.randint(1, 2)))

    def _repeat(self) -> None:
        """Send an order again that was confirmed, the last one or an old one."""
        if self.taken:
            self._begin(message=self.taken[-1] if self.rng.random() < 0.5 else self.rng.choice(self.taken))

    def _evacuate(self) -> None:
        on = self.rng.random() < 0.5
        zone = self.rng.choice(self.zones)
        message = Message(
            argument=Evacuate(zone=zone, on=on), method="POST" if on else "DELETE", path=f"/evacuation/{zone}"
        )
        self._begin(message=message, until_s=self.network.now + self.habits.evacuation_s)

    # -- what it sends

    def _identity(self) -> str:
        self._made += 1
        return f"{self.name}-{self._made}"

    def _message(self, *, method: str, document: dict[str, Any], identity: str, base: int) -> Message:
        order = Order(identity=identity, base=base, version=document["config-version"])
        return Message(
            argument=order,
            method=method,
            path="/config",
            headers={"if-match": f'"{base}"'},
            body=orjson.dumps(document),
        )

    def _change(self, *, step: int) -> Message:
        """A valid order on top of what it knows."""
        identity, base, known = self._identity(), self.version, self.known
        if known is None or known["config-version"] != base:
            known = None
        version = base + step
        route = {**self.template[ROUTES][0], "name": f"r{self.rng.randint(0, 9)}"}
        route.update({"path-prefix": f"/{route['name']}/", "max-tries": self.rng.randint(1, 5)})
        limits = {**self.template["limits"], MARK: identity}
        if base == 0 or (known is not None and self.rng.random() < self.habits.whole):
            whole = known or self.template
            rows = [row for row in whole[ROUTES] if row["name"] != route["name"]]
            document = {**whole, "config-version": version, ROUTES: [*rows, route], "limits": limits}
            return self._message(method="PUT", document=document, identity=identity, base=base)
        document = {
            "config-version": version,
            "upserts": {ROUTES: [route]},
            "limits": limits,
            "removals": {ROUTES: [f"r{self.rng.randint(10, 19)}"]},
        }
        return self._message(method="PATCH", document=document, identity=identity, base=base)

    def _send_bad(self) -> None:
        """An order that is wrong in itself, on top of the newest version known."""
        if self.version == 0:
            return
        kind, base, identity = self.rng.choice(list(Bad)), self.version, self._identity()
        whole = {**self.template, "config-version": base + 1}
        route = whole[ROUTES][0]
        if kind is Bad.UNKNOWN_SERVICE:
            whole[ROUTES] = [{**route, "backend": "none"}]
        elif kind is Bad.SAME_PLACE:
            whole[ROUTES] = [route, {**route, "name": "other"}]
        elif kind is Bad.NO_TIMEOUT:
            whole[ROUTES] = [{**route, "deadline-ms": 0}]
        elif kind is Bad.OLD_VERSION:
            whole["config-version"] = max(1, base - 1)
        elif kind is Bad.SAME_VERSION:
            whole["config-version"] = base
        body = orjson.dumps(whole)
        order = Order(identity=identity, base=base, version=whole["config-version"], valid=False)
        self._begin(
            message=Message(
                argument=order,
                method="PUT",
                path="/config",
                headers={"if-match": str(base)},
                body=body[:-7] if kind is Bad.CUT_SHORT else body,
            )
        )

    # -- calls

    def _begin(self, *, message: Message, until_s: float = NEVER_S) -> None:
        if self.under_way < self.habits.most_under_way:
            self.under_way += 1
            self._send(task=Task(message=message, until_s=until_s))

    def _send(self, *, task: Task) -> None:
        network, message = self.network, task.message
        task.node = self.rng.choice(
            [node for node in self.nodes if node != task.node] if task.tries or not task.node else [task.node]
        )
        task.tries += 1
        number, invoked_s = self.recorder.number(), network.now
        self._open[number] = (message, invoked_s)

        def ended(answer: Answer | None) -> None:
            if number not in self._open:
                return
            outcome = self._record(
                number=number, message=message, invoked_s=invoked_s, returned_s=network.now, answer=answer
            )
            self._ended(task=task, outcome=outcome, answer=answer)

        network.at(delay=self.habits.patience_s, fn=partial(ended, None))
        network.request(
            source=self.name,
            node=task.node,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=message.body,
            answer=ended,
        )

    def _record(
        self, *, number: int, message: Message, invoked_s: float, returned_s: float, answer: Answer | None
    ) -> Outcome:
        del self._open[number]
        status = answer.status if answer is not None else 0
        outcome = outcome_of(status=status)
        seen = None
        if isinstance(message.argument, ReadConfig) and answer is not None and status in (200, 404):
            seen = seen_in(document=orjson.loads(answer.body) if status == 200 else None)
        operation: Operation[Any] = Operation(
            number=number,
            process=self.name,
            argument=message.argument,
            invoked_s=invoked_s,
            returned_s=returned_s,
            outcome=outcome,
            status=status,
            seen=seen,
        )
        self.recorder.history.add(operation=operation)
        return outcome

    def _ended(self, *, task: Task, outcome: Outcome, answer: Answer | None) -> None:
        message = task.message
        if isinstance(message.argument, ReadConfig):
            if outcome is Outcome.CONFIRMED and answer is not None:
                self._learn(document=orjson.loads(answer.body))
            return
        if outcome is Outcome.UNCLEAR and self.working and self.network.now < task.until_s:
            pause = min(self.habits.retry_s * 2 ** (task.tries - 1), self.habits.retry_most_s)
            self.network.at(delay=pause, fn=partial(self._again, task))
            return
        self.under_way -= 1
        if isinstance(message.argument, Order) and outcome is Outcome.CONFIRMED:
            self.version = max(self.version, message.argument.version)
            self.taken.append(message)
        elif isinstance(message.argument, Order) and outcome is Outcome.REFUSED and self.working:
            self.read()

    def _again(self, task: Task) -> None:
        if self.working:
            self._send(task=task)
        else:
            self.under_way -= 1

    def _learn(self, *, document: dict[str, Any]) -> None:
        if document["config-version"] >= self.version:
            self.known, self.version = document, document["config-version"]


def seen_in(*, document: dict[str, Any] | None) -> Seen:
    """What a configuration that was read shows; None: there was none.

    >>> seen_in(document={"config-version": 3, "limits": {"x-order": "a-1"}}), seen_in(document=None)
    (Seen(version=3, identity='a-1'), Seen(version=0, identity=None))
    """
    if document is None:
        return Seen(version=0)
    return Seen(version=document["config-version"], identity=document.get("limits", {}).get(MARK))
