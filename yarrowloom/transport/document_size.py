"""How much memory the document takes that is made of a JSON text, from the text alone, before it is parsed.

A text of many small parts takes far more memory as a document: an empty object is two bytes there and 72 here.
"""

# Memory of CPython's objects, each with the place that refers to it.
_LIST_BYTES = 96  # with one number in it
_OBJECT_BYTES = 264  # with one number in it
_EMPTY_OBJECT_BYTES = 72
_NEXT_VALUE_BYTES = 72  # a place in a list or an object, and a number
_STRING_BYTES = 64  # beside its characters
_WIDEST_CHARACTER_BYTES = 4  # of each character in a text that is not ASCII throughout
_COPIES = 6  # of the text: as it came, as text, as messages to another node, and as read and kept there


def document_bytes(text: bytes) -> int:
    """An upper bound of the memory of the document and of copies of the text, in bytes.

    The text need not be JSON.

    >>> document_bytes(b""), document_bytes(b"{}"), document_bytes(b'{"cpus":500}')
    (0, 84, 400)
    """
    if not text:
        return 0
    is_narrow = text.isascii() and b"\\u" not in text
    empty_objects = text.count(b"{}")
    return (
        len(text) * (_COPIES if is_narrow else _COPIES * _WIDEST_CHARACTER_BYTES)
        + (text.count(b"{") - empty_objects) * _OBJECT_BYTES
        + empty_objects * _EMPTY_OBJECT_BYTES
        + text.count(b"[") * _LIST_BYTES
        + text.count(b",") * _NEXT_VALUE_BYTES
        + text.count(b'"') // 2 * _STRING_BYTES
    )
