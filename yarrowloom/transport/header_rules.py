"""A list of rules says what happens to each header."""

import enum
from collections.abc import Iterable


class Act(enum.Enum):
    """What is done."""

    KEEP = "keep"
    DROP = "drop"


class Rule(enum.Enum):
    """Where a rule list applies."""

    RESPONSE = "response"


# Invariant: the first rule whose prefix fits decides; the last one fits all.
RULES: dict[Rule, tuple[tuple[str, Act], ...]] = {
    Rule.RESPONSE: (
        ("content-length", Act.DROP),
        ("transfer-encoding", Act.DROP),
        ("keep-alive", Act.DROP),
        ("", Act.KEEP),
    ),
}


def screen(*, headers: Iterable[tuple[str, str]], rule: Rule) -> list[tuple[str, str]]:
    """Apply a rule list.

    >>> screen(headers=[("content-length", "3"), ("retry-after", "1")], rule=Rule.RESPONSE)
    [('retry-after', '1')]
    """
    out = []
    for key, val in headers:
        act = next(a for p, a in RULES[rule] if key.lower().startswith(p))
        if act is Act.KEEP:
            out.append((key, val))
    return out
