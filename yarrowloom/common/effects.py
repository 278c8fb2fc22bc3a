"""Effects: what a state machine wants done once an event is durable, as data."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """Base of all effects. Each class names one action with its arguments; the node carries it out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoEffect(Effect):
    """Nothing is to be done."""


AnyEffect = Effect | tuple[Any, ...]  # a tuple: the name of an action that has no class yet, and its arguments
