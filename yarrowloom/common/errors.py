"""Exceptions with codes. A code is stable; the text may change."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One thing wrong, with the place where it stands."""

    place: str
    text: str

    def __str__(self) -> str:
        """Return one line.

        >>> str(Finding(place="route-table[0].name", text="missing"))
        'route-table[0].name: missing'
        """
        return f"{self.place}: {self.text}"


class YarrowError(Exception):
    """Base of all; `code` names the kind, `status` is its HTTP shape, `exit_code` the process's."""

    code = "internal"
    status = 500
    exit_code = 70

    def __init__(self, *, text: str, findings: list[Finding] | None = None) -> None:
        super().__init__(text)
        self.text = text
        self.findings = findings or []


class StartupError(YarrowError):
    """The settings file cannot be used."""

    code = "startup-invalid"
    exit_code = 78


class InvalidError(YarrowError):
    """A configuration or job is malformed."""

    code = "invalid"
    status = 400


class StampError(YarrowError):
    """A change names a base other than the current stamp."""

    code = "stale-base"
    status = 412


class UnclearError(YarrowError):
    """Whether an order was taken, or may still be, can't be known here: it is to be sent again, not refused."""

    code = "unclear"
    status = 503


class StoreError(YarrowError):
    """The disk's content cannot be used."""

    code = "store-unusable"
    exit_code = 74


class UsageError(YarrowError):
    """A command was called wrongly, or its target cannot be reached."""

    code = "usage"
    exit_code = 64
