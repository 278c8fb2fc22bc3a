"""The kinds of messages that members of a group exchange about its record."""

from ..transport.envelope import Kind

RECORD_KINDS = frozenset(
    {
        Kind.PREP,
        Kind.PROMISE,
        Kind.ACCEPT,
        Kind.ACCEPTED,
        Kind.INSTALL,
        Kind.INSTALLED,
        Kind.CKPT,
        Kind.CKPTOK,
        Kind.LOG,
        Kind.LOGOK,
        Kind.PING,
        Kind.PONG,
        Kind.YIELD,
    }
)
