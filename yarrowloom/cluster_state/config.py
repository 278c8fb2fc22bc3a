"""The operator's configuration as published JSON: the check of a whole one, and what a PATCH makes of it.

All findings are reported together, each with its place in the document.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TypeGuard

from ..common.errors import Finding, InvalidInputError
from ..common.queue_identity import normalized_host

MAX_NUMBER = 2**53 - 1  # every JSON reader takes it for the same whole number, and every writer writes it
MIN_TIME_MS = 0.001  # the clocks of a process tell no shorter times apart
MAX_NESTING_DEPTH = 64  # of lists and objects: what can be read can be written again
_TABLES = frozenset({"route-table", "service-table", "tenant-table"})
_CHANGE_FIELDS = frozenset({"config-version", "upserts", "removals", "limits"})


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldCheck:
    """One rule for one field of an object.

    Attributes:
        key: The field's name.
        is_valid: Whether a value keeps the rule; a field that is missing though required counts as None.
        text: The finding if it doesn't.
        is_required: If not, the rule holds only where the field is present.
    """

    key: str
    is_valid: Callable[[object], bool]
    text: str
    is_required: bool = False

    def finding(self, *, row: dict[str, Any], place: str) -> Finding | None:
        """What is wrong with the field of an object that stands at `place`, if anything is."""
        if not self.is_required and self.key not in row:
            return None
        if self.is_valid(row.get(self.key)):
            return None
        return Finding(place=f"{place}.{self.key}" if place else self.key, text=self.text)


def _findings(*, checks: Iterable[FieldCheck], row: dict[str, Any], place: str) -> list[Finding]:
    findings = (check.finding(row=row, place=place) for check in checks)
    return [finding for finding in findings if finding is not None]


def _is_number(value: object) -> TypeGuard[int | float]:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _is_whole_number(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_text(value: object) -> bool:
    return isinstance(value, str) and value != ""


def _starts_with_slash(value: object) -> bool:
    return not isinstance(value, str) or value.startswith("/")


def _is_positive(value: object) -> bool:
    return _is_number(value) and 0 < value <= MAX_NUMBER


def _is_no_tiny_time(value: object) -> bool:
    return not _is_number(value) or not 0 < value < MIN_TIME_MS


def _is_not_negative(value: object) -> bool:
    return _is_number(value) and 0 <= value <= MAX_NUMBER


def _is_at_least_one(value: object) -> bool:
    return _is_number(value) and 1 <= value <= MAX_NUMBER


def _are_keys(value: object) -> bool:
    return isinstance(value, list) and all(_is_text(key) for key in value)


def _is_version(value: object) -> bool:
    return _is_whole_number(value) and 1 <= value <= MAX_NUMBER


_VERSION_CHECK = FieldCheck(
    key="config-version",
    is_valid=_is_version,
    text=f"missing or not a whole number from 1 to {MAX_NUMBER}",
    is_required=True,
)
_ROUTE_CHECKS = (
    *(
        FieldCheck(key=key, is_valid=_is_text, text="missing or not a text", is_required=True)
        for key in ("host-name", "path-prefix", "backend")
    ),
    FieldCheck(key="path-prefix", is_valid=_starts_with_slash, text="does not begin with /"),
)
_ROUTE_NUMBER_CHECKS = (
    FieldCheck(key="deadline-ms", is_valid=_is_positive, text="must be above 0, and at most 2^53", is_required=True),
    *(
        FieldCheck(key=key, is_valid=_is_not_negative, text="not a number from 0 to 2^53")
        for key in ("target-ms", "rank", "max-tries", "stretch")
    ),
    *(
        FieldCheck(key=key, is_valid=_is_no_tiny_time, text=f"above 0 and below {MIN_TIME_MS}")
        for key in ("deadline-ms", "target-ms")
    ),
)
_ROUTE_FLAG_CHECKS = (
    FieldCheck(key="public", is_valid=lambda value: isinstance(value, bool), text="not true or false"),
)
_TENANT_CHECKS = (
    FieldCheck(key="api-keys", is_valid=_are_keys, text="missing or not a list of texts", is_required=True),
    *(FieldCheck(key=key, is_valid=_is_not_negative, text="not a number from 0 to 2^53") for key in ("rank", "share")),
)
_UPPER_BOUND_CHECKS = tuple(
    FieldCheck(key=key, is_valid=_is_not_negative, text="not a number from 0 to 2^53")
    for key in ("cpus", "mem-mb", "gpus")
)
_LIMIT_CHECKS = tuple(
    FieldCheck(key=key, is_valid=_is_at_least_one, text="not a number from 1 to 2^53")
    for key in ("max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms")
)


def _is_deeper(*, value: object, depth: int) -> bool:
    """Whether lists and objects are nested in more than `depth` levels.

    >>> _is_deeper(value={"a": [[1]]}, depth=3), _is_deeper(value={"a": [[1]]}, depth=2)
    (False, True)
    """
    level = [value]
    for _ in range(depth + 1):
        containers = [item for item in level if isinstance(item, (dict, list))]
        if not containers:
            return False
        level = [
            item
            for container in containers
            for item in (container.values() if isinstance(container, dict) else container)
        ]
    return True


def _table_rows(*, document: dict[str, Any], table: str, findings: list[Finding]) -> list[dict[str, Any]]:
    """The objects in a table; adds what is wrong with the table and with the names of its rows to `findings`."""
    rows = document.get(table)
    if not isinstance(rows, list):
        findings.append(Finding(place=table, text="missing or not a list"))
        return []
    objects: list[dict[str, Any]] = []
    names: set[str] = set()
    for index, row in enumerate(rows):
        place = f"{table}[{index}]"
        if not isinstance(row, dict):
            findings.append(Finding(place=place, text="not an object"))
            continue
        objects.append(row)
        name = row.get("name")
        if not isinstance(name, str) or not name:
            findings.append(Finding(place=f"{place}.name", text="missing or not a text"))
        elif name in names:
            findings.append(Finding(place=f"{place}.name", text=f"{name!r} stands twice"))
        else:
            names.add(name)
    return objects


def _route_findings(*, row: dict[str, Any], place: str, services: set[str]) -> list[Finding]:
    """What is wrong with a route, its name apart. `services`: the names that it may give as its backend."""

    def is_known_service(backend: object) -> bool:
        return not isinstance(backend, str) or backend in services

    unknown_service = FieldCheck(
        key="backend", is_valid=is_known_service, text=f"unknown service {row.get('backend')!r}"
    )
    checks = (*_ROUTE_CHECKS, unknown_service, *_ROUTE_NUMBER_CHECKS, *_ROUTE_FLAG_CHECKS)
    return _findings(checks=checks, row=row, place=place)


def _routes_findings(*, routes: list[dict[str, Any]], services: set[str]) -> Iterator[Finding]:
    """What is wrong with the routes, each by itself and together."""
    first_indexes: dict[tuple[str, str], int] = {}
    for index, row in enumerate(routes):
        place = f"route-table[{index}]"
        yield from _route_findings(row=row, place=place, services=services)
        # A request's host counts without its port and in any case.
        host_and_prefix = (normalized_host(str(row.get("host-name"))), str(row.get("path-prefix")))
        first_index = first_indexes.setdefault(host_and_prefix, index)
        if first_index != index:
            yield Finding(place=place, text=f"shares host and prefix with [{first_index}]")


def _tenants_findings(*, tenants: list[dict[str, Any]]) -> Iterator[Finding]:
    """What is wrong with the tenants, each by itself and together; no finding shows a key."""
    owners: dict[str, str] = {}
    for index, row in enumerate(tenants):
        place = f"tenant-table[{index}]"
        yield from _findings(checks=_TENANT_CHECKS, row=row, place=place)
        upper_bound = row.get("upper-bound", {})
        if isinstance(upper_bound, dict):
            yield from _findings(checks=_UPPER_BOUND_CHECKS, row=upper_bound, place=f"{place}.upper-bound")
        else:
            yield Finding(place=f"{place}.upper-bound", text="not an object")
        name, keys = str(row.get("name")), row.get("api-keys")
        for key_index, key in enumerate(keys if isinstance(keys, list) else ()):
            owner = owners.setdefault(key, name) if isinstance(key, str) else name
            if owner != name:
                text = f"tenants {owner!r} and {name!r} share a key"
                yield Finding(place=f"{place}.api-keys[{key_index}]", text=text)


def _limits_findings(*, limits: object) -> list[Finding]:
    if not isinstance(limits, dict):
        return [Finding(place="limits", text="not an object")]
    return _findings(checks=_LIMIT_CHECKS, row=limits, place="limits")


def check(*, document: object) -> dict[str, Any]:
    """Return the document if it is a valid configuration.

    Raises:
        InvalidInputError: It isn't; with all findings.

    >>> try:
    ...     check(document={"config-version": 1, "route-table": [{"name": "r"}], "service-table": []})
    ... except InvalidInputError as err:
    ...     [f.place for f in err.findings][:2]
    ['route-table[0].host-name', 'route-table[0].path-prefix']
    """
    if not isinstance(document, dict):
        raise InvalidInputError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
    if _is_deeper(value=document, depth=MAX_NESTING_DEPTH):
        text = f"more than {MAX_NESTING_DEPTH} levels of lists and objects"
        raise InvalidInputError(text="nested too deeply", findings=[Finding(place="(body)", text=text)])
    findings = _findings(checks=(_VERSION_CHECK,), row=document, place="")
    services = _table_rows(document=document, table="service-table", findings=findings)
    routes = _table_rows(document=document, table="route-table", findings=findings)
    service_names = {str(service.get("name")) for service in services}
    findings += _routes_findings(routes=routes, services=service_names)
    if "tenant-table" in document:
        tenants = _table_rows(document=document, table="tenant-table", findings=findings)
        findings += _tenants_findings(tenants=tenants)
    findings += _limits_findings(limits=document.get("limits", {}))
    if findings:
        raise InvalidInputError(text="configuration is invalid", findings=findings)
    return document


def patch(*, base: dict[str, Any], change: object) -> dict[str, Any]:
    """The configuration that a PATCH makes of `base`, which stays as it is; not yet checked as a whole.

    Raises:
        InvalidInputError: The change is malformed; with all findings.

    >>> old = {"config-version": 1, "route-table": [{"name": "a", "x": 1}, {"name": "b"}], "service-table": []}
    >>> patch(base=old, change={"config-version": 2, "upserts": {"route-table": [{"name": "a", "x": 2}]},
    ...       "removals": {"route-table": ["b"]}})["route-table"]
    [{'name': 'a', 'x': 2}]
    """
    if not isinstance(change, dict):
        raise InvalidInputError(text="not an object", findings=[Finding(place="(body)", text="not an object")])
    result = {**base, "config-version": change.get("config-version")}
    findings = _apply_part(result=result, part="upserts", tables=change.get("upserts", {}), apply_items=_upsert)
    findings += _apply_part(result=result, part="removals", tables=change.get("removals", {}), apply_items=_remove)
    findings += [Finding(place=key, text="not part of a change") for key in sorted(set(change) - _CHANGE_FIELDS)]
    if "limits" in change:
        result["limits"] = change["limits"]
    if findings:
        raise InvalidInputError(text="change is invalid", findings=findings)
    return result


_Rows = dict[str, Any]  # the rows of a table by name, in order


def _apply_part(
    *, result: dict[str, Any], part: str, tables: object, apply_items: Callable[[_Rows, list[Any]], list[int]]
) -> list[Finding]:
    """Change the tables of `result` by one part of a PATCH; returns what is wrong with that part."""
    if not isinstance(tables, dict):
        return [Finding(place=part, text="not an object")]
    findings: list[Finding] = []
    for table, items in tables.items():
        if table not in _TABLES or not isinstance(items, list):
            findings.append(Finding(place=f"{part}.{table}", text="unknown table or not a list"))
            continue
        rows = {row["name"]: row for row in result.get(table, [])}
        nameless = apply_items(rows, items)
        findings += [Finding(place=f"{part}.{table}[{index}]", text="no name") for index in nameless]
        result[table] = list(rows.values())
    return findings


def _upsert(rows: _Rows, items: list[Any]) -> list[int]:
    """Add rows or replace them where they stand; returns the indexes of items without a name."""
    nameless: list[int] = []
    for index, item in enumerate(items):
        name = item.get("name") if isinstance(item, dict) else None
        if isinstance(name, str):
            rows[name] = item
        else:
            nameless.append(index)
    return nameless


def _remove(rows: _Rows, items: list[Any]) -> list[int]:
    """Remove the rows of these names; returns the indexes of items that aren't names."""
    for name in items:
        if isinstance(name, str):
            rows.pop(name, None)
    return [index for index, name in enumerate(items) if not isinstance(name, str)]
