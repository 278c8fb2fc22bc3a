"""A list of rules says what happens to each header."""

import enum
from collections.abc import Iterable


class Action(enum.Enum):
    """What is done."""

    KEEP = "keep"
    DROP = "drop"


class Rule(enum.Enum):
    """Where a rule list applies."""

    RESPONSE = "response"


# Invariant: the first rule whose prefix fits decides; the last one fits all.
RULES: dict[Rule, tuple[tuple[str, Action], ...]] = {
    Rule.RESPONSE: (
        ("content-length", Action.DROP),
        ("transfer-encoding", Action.DROP),
        ("keep-alive", Action.DROP),
        ("", Action.KEEP),
    ),
}


def screen(*, headers: Iterable[tuple[str, str]], rule: Rule) -> list[tuple[str, str]]:
    """Apply a rule list.

    >>> screen(headers=[("content-length", "3"), ("retry-after", "1")], rule=Rule.RESPONSE)
    [('retry-after', '1')]
    """
    out = []
    for key, value in headers:
        act = next(a for p, a in RULES[rule] if key.lower().startswith(p))
        if act is Action.KEEP:
            out.append((key, value))
    return out
