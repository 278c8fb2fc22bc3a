"""The exceptions of the project: one hierarchy, each class with a stable code. Texts may change."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One thing that is wrong in a checked document.

    Attributes:
        place: Where it stands, as a path of keys (`route-table[0].name`).
        text: What was found, or what was expected.
    """

    place: str
    text: str

    def __str__(self) -> str:
        """Place and text in one line.

        >>> str(Finding(place="route-table[0].name", text="missing"))
        'route-table[0].name: missing'
        """
        return f"{self.place}: {self.text}"


class YarrowError(Exception):
    """Base of all exceptions that this project raises on purpose.

    Attributes:
        code: Names the kind of error for programs; it never changes.
        status: The HTTP status with which a call that raised it is answered.
        exit_code: The exit code of a process that ends by it.
        text: What went wrong, for a person.
        findings: All that is wrong in a checked document, if the error is about one.
    """

    code = "internal"
    status = 500
    exit_code = 70

    def __init__(self, *, text: str, findings: list[Finding] | None = None) -> None:
        super().__init__(text)
        self.text = text
        self.findings = findings or []


class SettingsError(YarrowError):
    """The settings file, or the project's own defaults, cannot be used."""

    code = "startup-invalid"
    exit_code = 78


class InvalidInputError(YarrowError):
    """A configuration or a job is malformed; nothing of it was taken."""

    code = "invalid"
    status = 400


class StaleVersionError(YarrowError):
    """A configuration change builds on a version other than the current one."""

    code = "stale-base"
    status = 412


class UnknownOutcomeError(YarrowError):
    """Whether a request was taken, or still may be, cannot be known here: the caller is to send it again."""

    code = "unclear"
    status = 503


class StorageError(YarrowError):
    """The disk's content cannot be used."""

    code = "store-unusable"
    exit_code = 74


class StateInDoubtError(YarrowError):
    """What this member holds of a group's state can't be told any more: the process ends, and starts anew."""

    code = "state-in-doubt"


class UsageError(YarrowError):
    """A command was called wrongly, or its target cannot be reached."""

    code = "usage"
    exit_code = 64
