"""What the code uses of a valid configuration, as typed records made once for each version."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

from msgspec import UNSET

from ..common.queue_identity import QueueAddress, QueueIdentity, normalized_host
from ..common.records import Record
from ..common.resources import NO_RESOURCES, Resources

DEFAULT_RANK = 9
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_TARGET_MS = 0.0
DEFAULT_STRETCH = 1.0
KEY_DIGEST_BYTES = 16


class Route(Record, frozen=True, kw_only=True):
    """A queue: whose jobs it takes, and how these are scheduled.

    Attributes:
        name: Unique in a configuration.
        host_name: The host of its URLs. Host, in any case, and prefix together are unique in a configuration.
        path_prefix: How the paths of its URLs begin.
        deadline_ms: How long a caller waits for a response at most; above 0.
        backend: Name of the service whose minions run its tasks.
        rank: Jobs of a lower rank are scheduled first.
        max_attempts: How many failed runs of a task end its job.
        target_ms: With `stretch`, the time within which a job earns its whole value.
        stretch: By how much the length of a job's longest chain counts in that time.
        is_public: Callers need no key.
    """

    name: str
    host_name: str
    path_prefix: str
    deadline_ms: float
    backend: str
    rank: int = DEFAULT_RANK
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    target_ms: float = DEFAULT_TARGET_MS
    stretch: float = DEFAULT_STRETCH
    is_public: bool = False

    @classmethod
    def from_document(cls, *, row: dict[str, Any]) -> "Route":
        """The route of a valid row of the published route table."""
        return cls(
            name=row["name"],
            host_name=row["host-name"],
            path_prefix=row["path-prefix"],
            deadline_ms=float(row["deadline-ms"]),
            backend=row["backend"],
            rank=int(row.get("rank", DEFAULT_RANK)),
            max_attempts=int(row.get("max-tries", DEFAULT_MAX_ATTEMPTS)),
            target_ms=float(row.get("target-ms", DEFAULT_TARGET_MS)),
            stretch=float(row.get("stretch", DEFAULT_STRETCH)),
            is_public=bool(row.get("public", False)),
        )

    @property
    def address(self) -> QueueAddress:
        """Where clients reach it."""
        return QueueAddress(host=normalized_host(self.host_name), path_prefix=self.path_prefix)


class Tenant(Record, frozen=True, kw_only=True):
    """Who submits jobs, and how much of them may run.

    Attributes:
        name: Unique in a configuration.
        share: Jobs a second that it is entitled to; 0: not said.
        upper_bound: What its running tasks may hold together over all minions; 0 in a resource: no limit.
    """

    name: str
    share: float = 0.0
    upper_bound: Resources = NO_RESOURCES

    @classmethod
    def from_document(cls, *, row: dict[str, Any]) -> "Tenant":
        """The tenant of a valid row of the published tenant table, without its keys."""
        bound = row.get("upper-bound", {})
        return cls(
            name=row["name"],
            share=float(row.get("share", 0.0)),
            upper_bound=Resources(int(bound.get("cpus", 0)), int(bound.get("mem-mb", 0)), int(bound.get("gpus", 0))),
        )


def key_digest(*, key: str) -> str:
    """What stands for a tenant's key in tables and messages: a BLAKE2b digest of 16 bytes in hex.

    Look-ups by it take a time that tells nothing of the keys that are known.

    >>> len(key_digest(key="secret")), key_digest(key="secret") == key_digest(key="Secret")
    (32, False)
    """
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


class RequestLimits(Record, frozen=True, kw_only=True):
    """Limits on requests of clients; None: the configuration says nothing of it."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: int | None = None
    idle_timeout_ms: int | None = None

    @classmethod
    def from_document(cls, *, limits: dict[str, Any]) -> "RequestLimits":
        """The limits of a valid configuration; numbers are cut to whole ones."""

        def whole_number(key: str) -> int | None:
            return int(limits[key]) if key in limits else None

        return cls(
            max_header_bytes=whole_number("max-header-bytes"),
            max_body_bytes=whole_number("max-body-bytes"),
            header_timeout_ms=whole_number("header-timeout-ms"),
            idle_timeout_ms=whole_number("idle-timeout-ms"),
        )


@dataclass(slots=True, kw_only=True)
class HostRoutes:
    """The routes of one host.

    Attributes:
        by_prefix: The routes by path prefix.
        prefix_lengths: The lengths of these prefixes, each once, the longest first.
    """

    by_prefix: dict[str, Route] = field(default_factory=dict)
    prefix_lengths: list[int] = field(default_factory=list)


class RoutingTable:
    """Routes by name, and by host and path, and the limits of one version of the configuration.

    Attributes:
        config_version: The version that it was made of.
        routes: By name, in the order of the route table.
        limits: Limits on requests of clients.
        hosts: By normalized host name, its routes.
        tenants: By name.
        tenants_by_key: By the digest of each key, the name of its tenant.
    """

    def __init__(self, *, document: dict[str, Any]) -> None:
        """Make the table of a valid configuration, which it does not keep."""
        self.config_version: int = document["config-version"]
        self.routes = {row["name"]: Route.from_document(row=row) for row in document["route-table"]}
        self.limits = RequestLimits.from_document(limits=document.get("limits", {}))
        tenant_rows = document.get("tenant-table", [])
        self.tenants = {row["name"]: Tenant.from_document(row=row) for row in tenant_rows}
        self.tenants_by_key = {key_digest(key=key): row["name"] for row in tenant_rows for key in row["api-keys"]}
        self.hosts: dict[str, HostRoutes] = {}
        for route in self.routes.values():
            host = self.hosts.setdefault(route.address.host, HostRoutes())
            host.by_prefix.setdefault(route.path_prefix, route)
        for host in self.hosts.values():
            host.prefix_lengths = sorted({len(prefix) for prefix in host.by_prefix}, reverse=True)

    def select(self, *, host: str, path: str) -> Route | None:
        """The route with the longest prefix of a path, or None: one look-up for each length of prefix there is.

        Args:
            host: The request's Host header; a port is passed over, as is case.
            path: The request's path, without its query.
        """
        host_routes = self.hosts.get(normalized_host(host))
        if host_routes is None:
            return None
        for length in host_routes.prefix_lengths:
            route = host_routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def route_of(self, *, queue: QueueIdentity) -> Route | None:
        """The route that serves a queue: the one at its address, whatever its name; else the one of its name, moved."""
        if queue.address is not UNSET:
            route = self._route_at(address=queue.address)
            if route is not None:
                return route
        return self.routes.get(queue.name)

    def _route_at(self, *, address: QueueAddress) -> Route | None:
        host_routes = self.hosts.get(address.host)
        if host_routes is None:
            return None
        bare_prefix = address.path_prefix.rstrip("/")
        for prefix in (address.path_prefix, bare_prefix + "/", bare_prefix):
            route = host_routes.by_prefix.get(prefix)
            if route is not None:
                return route
        return None
