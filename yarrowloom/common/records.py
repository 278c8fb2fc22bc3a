"""Typed records: messages, events, effects and stored state, with whole field names in the code.

The encoded keys are the short ones that nodes exchange and disks hold; `rename={...}` on a class maps between them.
"""

from typing import Any, TypeVar

import msgspec

from .errors import YarrowError


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records. Unknown encoded keys are passed over, so that newer versions may add fields.

    Subclasses repeat `frozen=True, kw_only=True`, as type checkers ask for it.
    """

    def document(self) -> dict[str, Any]:
        """The record as plain data, with the encoded keys."""
        document: dict[str, Any] = msgspec.to_builtins(self, str_keys=True)
        return document

    def encoded(self) -> bytes:
        """The record as JSON, with the encoded keys."""
        return msgspec.json.encode(self)


class MalformedRecordError(YarrowError, ValueError):
    """Encoded data does not fit the record's type; the text names the type and the field."""

    code = "record-malformed"
    status = 400


RecordType = TypeVar("RecordType")


def decode(document: object, *, into: type[RecordType]) -> RecordType:
    """The record that parsed JSON stands for.

    Args:
        document: Plain data with the encoded keys, as `orjson.loads` gives it.
        into: The record's class, or a tagged union of classes.

    Raises:
        MalformedRecordError: A field is missing or of another type.

    >>> class Probe(Record, frozen=True, kw_only=True, rename={"group_id": "g"}):
    ...     group_id: int
    >>> decode({"g": 1}, into=Probe)
    Probe(group_id=1)
    >>> decode({"g": "x"}, into=Probe)
    Traceback (most recent call last):
    ...
    yarrowloom.common.records.MalformedRecordError: Probe: Expected `int`, got `str` - at `$.g`
    """
    try:
        return msgspec.convert(document, into, str_keys=True)
    except msgspec.ValidationError as error:
        name = getattr(into, "__name__", str(into))
        raise MalformedRecordError(text=f"{name}: {error}") from error
