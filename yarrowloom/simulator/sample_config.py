"""The configuration of simulated clusters."""

from typing import Any

HOST = "h.example"


def config(*, version: int, guards: bool = False, tries: int = 3, more: int = 0) -> dict[str, Any]:
    """A configuration of two queues on one service."""

    def row(name: str, prefix: str, rank: int) -> dict[str, Any]:
        return {
            "name": name,
            "host-name": HOST,
            "path-prefix": prefix,
            "route-kind": "mutating",
            "deadline-ms": 3000,
            "target-ms": 2000,
            "rank": rank,
            "backend": "svc",
            "max-tries": tries,
            "stretch": 2.0,
        }

    routes = [row("fast", "/fast/", 0), row("slow", "/slow/", 1)]
    routes += [row(f"x{i}", f"/x{i}/", 2) for i in range(more)]
    return {
        "config-version": version,
        "route-table": routes,
        "service-table": [{"name": "svc", "conn-limit": 64, "guards": guards}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144},
    }
