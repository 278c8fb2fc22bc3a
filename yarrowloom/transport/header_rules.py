"""Which headers of a response are passed on, as a table of rules."""

import enum
from collections.abc import Iterable


class Action(enum.Enum):
    """What is done with a header."""

    KEEP = "keep"
    DROP = "drop"


class Rule(enum.Enum):
    """Where a list of rules applies."""

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
    kept = []
    for name, value in headers:
        action = next(action for prefix, action in RULES[rule] if name.lower().startswith(prefix))
        if action is Action.KEEP:
            kept.append((name, value))
    return kept
