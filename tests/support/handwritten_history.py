"""Histories written by hand, for the tests of the checkers."""

from typing import Any

from yarrowloom.simulator.judges.history import History, Operation, Order, ReadConfig, Seen, outcome_of
from yarrowloom.simulator.judges.linearizability import check_configuration


class Book:
    """Writes histories by hand: each call one line, times in seconds."""

    def __init__(self) -> None:
        self.history = History()
        self.number = 0

    def add(self, argument: Any, start: float, end: float, status: int, **more: Any) -> None:
        self.number += 1
        self.history.add(
            operation=Operation(
                number=self.number,
                process="op",
                argument=argument,
                invoked_s=start,
                returned_s=end,
                status=status,
                outcome=outcome_of(status=status),
                **more,
            )
        )

    def order(
        self, name: str, base: int, version: int, start: float, end: float, status: int, *, valid: bool = True
    ) -> None:
        self.add(Order(identity=name, base=base, version=version, valid=valid), start, end, status)

    def read(self, version: int, start: float, end: float, name: str | None = None) -> None:
        self.add(ReadConfig(), start, end, 200 if version else 404, seen=Seen(version=version, identity=name))

    def rule(self) -> str:
        breach = check_configuration(history=self.history)
        return "" if breach is None else breach.rule

    def guilty(self) -> list[int]:
        breach = check_configuration(history=self.history)
        assert breach is not None
        assert str(breach).count("\n") == len(breach.operations)
        return [op.number for op in breach.operations]
