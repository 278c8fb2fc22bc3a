"""The operator's configuration: typed dictionaries and a small checker that reports all findings together."""

from typing import Any, TypedDict

from ..common.errors import Finding, InvalidInputError


class Route(TypedDict, total=False):
    """A queue. Invariant: host and prefix together are unique in a configuration."""

    name: str
    host_name: str
    path_prefix: str
    deadline_ms: int
    target_ms: int
    rank: int
    backend: str
    max_tries: int
    stretch: float


_TABLES = {"route-table", "service-table"}
NUMBER_MOST = 2**53 - 1  # every JSON reader takes it for the same whole number, and every writer writes it
DEPTH_MOST = 64  # of nested lists and objects: what can be read can be written again
_LIMITS = ("max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms")


def _num(val: object) -> bool:
    return isinstance(val, (int, float)) and not isinstance(val, bool)


def _table(*, document: dict[str, Any], key: str, bad: list[Finding]) -> list[dict[str, Any]]:
    rows = document.get(key)
    if not isinstance(rows, list):
        bad.append(Finding(place=key, text="missing or not a list"))
        return []
    out: list[dict[str, Any]] = []
    names: set[str] = set()
    for i, row in enumerate(rows):
        place = f"{key}[{i}]"
        if not isinstance(row, dict):
            bad.append(Finding(place=place, text="not an object"))
            continue
        name = row.get("name")
        if not isinstance(name, str) or not name:
            bad.append(Finding(place=f"{place}.name", text="missing or not a text"))
        elif name in names:
            bad.append(Finding(place=f"{place}.name", text=f"{name!r} stands twice"))
        else:
            names.add(name)
        out.append(row)
    return out


def _route(*, row: dict[str, Any], place: str, backends: set[str], bad: list[Finding]) -> None:
    for key in ("host-name", "path-prefix", "backend"):
        if not isinstance(row.get(key), str) or not row[key]:
            bad.append(Finding(place=f"{place}.{key}", text="missing or not a text"))
    prefix = row.get("path-prefix")
    if isinstance(prefix, str) and not prefix.startswith("/"):
        bad.append(Finding(place=f"{place}.path-prefix", text="does not begin with /"))
    if isinstance(row.get("backend"), str) and row["backend"] not in backends:
        bad.append(Finding(place=f"{place}.backend", text=f"unknown service {row['backend']!r}"))
    if not _num(row.get("deadline-ms")) or not 0 < row["deadline-ms"] <= NUMBER_MOST:
        bad.append(Finding(place=f"{place}.deadline-ms", text="must be above 0, and at most 2^53"))
    for key in ("target-ms", "rank", "max-tries", "stretch"):
        if key in row and (not _num(row[key]) or not 0 <= row[key] <= NUMBER_MOST):
            bad.append(Finding(place=f"{place}.{key}", text="not a number from 0 to 2^53"))


def _deeper(*, value: Any, most: int) -> bool:
    """Whether lists and objects are nested in more than `most` levels.

    >>> _deeper(value={"a": [[1]]}, most=3), _deeper(value={"a": [[1]]}, most=2)
    (False, True)
    """
    level = [value]
    for _ in range(most + 1):
        holders = [item for item in level if isinstance(item, (dict, list))]
        if not holders:
            return False
        level = [item for holder in holders for item in (holder.values() if isinstance(holder, dict) else holder)]
    return True


def check(*, document: Any) -> dict[str, Any]:
    """Return the document if it is a valid configuration, else raise with every finding.

    >>> try:
    ...     check(document={"config-version": 1, "route-table": [{"name": "r"}], "service-table": []})
    ... except InvalidInputError as err:
    ...     [f.place for f in err.findings][:2]
    ['route-table[0].host-name', 'route-table[0].path-prefix']
    """
    bad: list[Finding] = []
    if not isinstance(document, dict):
        raise InvalidInputError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
    if _deeper(value=document, most=DEPTH_MOST):
        raise InvalidInputError(
            text="nested too deeply",
            findings=[Finding(place="(body)", text=f"more than {DEPTH_MOST} levels of lists and objects")],
        )
    version = document.get("config-version")
    if not isinstance(version, int) or isinstance(version, bool) or not 1 <= version <= NUMBER_MOST:
        bad.append(Finding(place="config-version", text=f"missing or not a whole number from 1 to {NUMBER_MOST}"))
    services = _table(document=document, key="service-table", bad=bad)
    routes = _table(document=document, key="route-table", bad=bad)
    backends = {str(s.get("name")) for s in services}
    places: dict[tuple[str, str], int] = {}
    for i, row in enumerate(routes):
        _route(row=row, place=f"route-table[{i}]", backends=backends, bad=bad)
        key = (str(row.get("host-name")).lower(), str(row.get("path-prefix")))
        if key in places:
            bad.append(Finding(place=f"route-table[{i}]", text=f"shares host and prefix with [{places[key]}]"))
        places.setdefault(key, i)
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        bad.append(Finding(place="limits", text="not an object"))
    else:
        bad += [
            Finding(place=f"limits.{k}", text="not a number from 1 to 2^53")
            for k in _LIMITS
            if k in limits and (not _num(limits[k]) or not 1 <= limits[k] <= NUMBER_MOST)
        ]
    if bad:
        raise InvalidInputError(text="configuration is invalid", findings=bad)
    return document


def patch(*, base: dict[str, Any], change: Any) -> dict[str, Any]:
    """The configuration that a PATCH makes of `base`; not yet checked as a whole.

    >>> old = {"config-version": 1, "route-table": [{"name": "a", "x": 1}, {"name": "b"}], "service-table": []}
    >>> patch(base=old, change={"config-version": 2, "upserts": {"route-table": [{"name": "a", "x": 2}]},
    ...       "removals": {"route-table": ["b"]}})["route-table"]
    [{'name': 'a', 'x': 2}]
    """
    bad: list[Finding] = []
    if not isinstance(change, dict):
        raise InvalidInputError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
    out = {**base, "config-version": change.get("config-version")}
    for part in ("upserts", "removals"):
        tables = change.get(part, {})
        if not isinstance(tables, dict):
            bad.append(Finding(place=part, text="not an object"))
            continue
        for key, items in tables.items():
            if key not in _TABLES or not isinstance(items, list):
                bad.append(Finding(place=f"{part}.{key}", text="unknown table or not a list"))
                continue
            rows = {r["name"]: r for r in out.get(key, [])}  # in order: what is replaced keeps its place
            for i, item in enumerate(items):
                name = item if part == "removals" else item.get("name") if isinstance(item, dict) else None
                if not isinstance(name, str):
                    bad.append(Finding(place=f"{part}.{key}[{i}]", text="no name"))
                elif part == "removals":
                    rows.pop(name, None)
                else:
                    rows[name] = item
            out[key] = list(rows.values())
    unknown = set(change) - {"config-version", "upserts", "removals", "limits"}
    bad += [Finding(place=key, text="not part of a change") for key in sorted(unknown)]
    if "limits" in change:
        out["limits"] = change["limits"]
    if bad:
        raise InvalidInputError(text="change is invalid", findings=bad)
    return out


class Table:
    """Routes by host and prefix, ready for look-ups; one is built for each configuration.

    Invariant: `hosts` holds, by host, the routes by prefix and the prefixes' lengths, longest first.
    """

    def __init__(self, *, document: dict[str, Any]) -> None:
        self.config_version: int = document["config-version"]
        self.routes: dict[str, dict[str, Any]] = {r["name"]: r for r in document["route-table"]}
        self.services: dict[str, dict[str, Any]] = {s["name"]: s for s in document["service-table"]}
        self.limits: dict[str, Any] = document.get("limits", {})
        hosts: dict[str, dict[str, dict[str, Any]]] = {}
        for row in document["route-table"]:
            hosts.setdefault(row["host-name"].lower(), {}).setdefault(row["path-prefix"], row)
        self.hosts = {h: (rows, sorted({len(p) for p in rows}, reverse=True)) for h, rows in hosts.items()}

    def select(self, *, host: str, path: str) -> dict[str, Any] | None:
        """The route of the longest prefix, or None: one look-up for each length of prefix there is."""
        rows, sizes = self.hosts.get(host.split(":", 1)[0].lower(), ({}, []))
        for size in sizes:
            row = rows.get(path[:size])
            if row is not None:
                return row
        return None
