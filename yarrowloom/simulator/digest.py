"""A digest of a simulated run: versions of the product that send, store and answer the same have the same digest."""

import hashlib

import orjson

NO_KIND = 0  # of a frame without a message, which only tells its lane's sequence
_TEXT_OF_OBJECT = b'"{'  # how a string that holds a JSON object begins in encoded form


def decoded(*, body: bytes) -> object:
    """What a body says, whatever the order of its keys. What is not JSON stands for itself, byte by byte.

    >>> decoded(body=b'{"a":[1.5]}'), decoded(body=b""), decoded(body=b"no")
    ({'a': [1.5]}, {'raw': ''}, {'raw': '6e6f'})
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {"raw": body.hex()}
    return _with_texts_decoded(value) if _TEXT_OF_OBJECT in body else value


def _with_texts_decoded(value: object) -> object:
    """Decode the strings that hold a JSON object, such as the state inside a checkpoint."""
    if isinstance(value, dict):
        return {key: _with_texts_decoded(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_with_texts_decoded(item) for item in value]
    if isinstance(value, str) and value.startswith("{"):
        return {"text": decoded(body=value.encode())}
    return value


class RunDigest:
    """A SHA-256 over all frames, disk records and HTTP responses of a run.

    They are hashed in the order in which they are sent or written, each as one line of JSON with sorted keys.
    Simulated times are hashed in full precision.
    """

    def __init__(self) -> None:
        self._hash = hashlib.sha256()

    def frame(self, *, at_s: float, source: str, destination: str, kind: int, body: bytes) -> None:
        """Add a frame that a process sends, whether or not the network loses it."""
        self._add("frame", repr(at_s), source, destination, int(kind), decoded(body=body))

    def record(self, *, at_s: float, machine: str, body: bytes) -> None:
        """Add a record that a process writes to its machine's disk."""
        self._add("record", repr(at_s), machine, decoded(body=body))

    def response(
        self,
        *,
        at_s: float,
        source: str,
        destination: str,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Add an HTTP response that a process gives to a client, a minion or an operator."""
        self._add("response", repr(at_s), source, destination, int(status), sorted(headers), decoded(body=body))

    def hexdigest(self) -> str:
        """The digest of all that was added so far: 64 hexadecimal digits."""
        return self._hash.hexdigest()

    def _add(self, *fields: object) -> None:
        self._hash.update(orjson.dumps(fields, option=orjson.OPT_SORT_KEYS | orjson.OPT_APPEND_NEWLINE))
