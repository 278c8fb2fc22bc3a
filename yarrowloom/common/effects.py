"""Effects: what a state machine wants done once an event is durable, as data."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """Base of all effects. Each class names one action with its arguments; the node carries it out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoEffect(Effect):
    """Nothing is to be done."""
