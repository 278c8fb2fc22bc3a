"""Effects: what a state machine wants done once an event is durable, as data."""

import msgspec


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all effects. Each class names one action with its arguments; the node carries it out."""


class NoEffect(Effect, frozen=True, kw_only=True):
    """Nothing is to be done."""
