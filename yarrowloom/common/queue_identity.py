"""What a queue is known by: the URLs under which clients reach it, and the name of its route.

Clients know a job by host, path prefix and id. An operator may give the route at these URLs another name, or take it
away and add it again, and the jobs there stay the same jobs.
"""

from typing import NamedTuple

from msgspec import UNSET, UnsetType

from .records import Record


def normalized_host(host: str) -> str:
    """A host as routes are looked up by it: in lower case, without a port.

    >>> normalized_host("Shop.Example:8080")
    'shop.example'
    """
    return host.partition(":")[0].lower()


class QueueAddress(Record, frozen=True, kw_only=True, array_like=True):
    """Where clients reach a queue. Encoded as an array.

    Attributes:
        host: Normalized by `normalized_host`.
        path_prefix: How the paths of its URLs begin.
    """

    host: str
    path_prefix: str

    def has_same_urls(self, other: "QueueAddress") -> bool:
        """Whether a job has the same URL at both: a slash between prefix and id may belong to the prefix or not.

        >>> orders, order = (QueueAddress(host="shop.example", path_prefix=prefix) for prefix in ("/orders", "/order"))
        >>> here = QueueAddress(host="shop.example", path_prefix="/orders/")
        >>> here.has_same_urls(orders), here.has_same_urls(order)
        (True, False)
        """
        return self.host == other.host and self.path_prefix.rstrip("/") == other.path_prefix.rstrip("/")


class QueueIdentity(NamedTuple):
    """A queue as a job or a call names it.

    Attributes:
        name: Of its route, when the job was accepted or the call was routed.
        address: Where it was reached; unset in records and calls of releases that knew queues by their names alone.
    """

    name: str
    address: QueueAddress | UnsetType = UNSET
