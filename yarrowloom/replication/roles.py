"""The roles of a member of a group, and which follows which."""

import enum


class Role(enum.Enum):
    """What a member does in the epoch that it knows. The values are shown to operators."""

    IDLE = "idle"  # holds no state; takes part as a witness at most
    BACKUP = "backup"
    LAPSED = "lapsed"  # has the state of an epoch that it must not go on with, so it is to stand for election
    CANDIDATE = "taking"  # its election is under way
    PRIMARY = "primary"


ROLE_TRANSITIONS: dict[Role, frozenset[Role]] = {
    Role.IDLE: frozenset({Role.BACKUP, Role.LAPSED}),
    Role.BACKUP: frozenset({Role.CANDIDATE, Role.IDLE, Role.LAPSED, Role.BACKUP}),
    Role.LAPSED: frozenset({Role.CANDIDATE, Role.IDLE, Role.BACKUP, Role.LAPSED}),
    Role.CANDIDATE: frozenset({Role.PRIMARY, Role.IDLE, Role.BACKUP, Role.LAPSED, Role.CANDIDATE}),
    Role.PRIMARY: frozenset({Role.CANDIDATE, Role.IDLE, Role.BACKUP, Role.LAPSED}),
}
