"""Changes between two configurations: what nodes and the log carry in place of the whole."""

import hashlib
from typing import Any

import orjson

from ..common.records import Record

TABLES = ("route-table", "service-table", "tenant-table")  # a configuration may lack the last of these
ConfigDocument = dict[str, Any]  # a configuration as published


class TableDelta(Record, frozen=True, kw_only=True, rename={"removed_names": "drop"}):
    """One table's change.

    Attributes:
        removed_names: Names of rows that are no more.
        rows: Rows that are new or changed, each with its index in the new table; the indexes rise.
    """

    removed_names: list[str]
    rows: list[tuple[int, dict[str, Any]]]


class ConfigDelta(
    Record,
    frozen=True,
    kw_only=True,
    rename={
        "base_version": "base",
        "new_version": "to",
        "new_digest": "sum",
        "changed_fields": "top",
        "removed_fields": "gone",
    },
):
    """A change from one version of the configuration to another.

    Attributes:
        base_version: The version that it applies to.
        new_version: The version that it makes.
        new_digest: `config_digest` of the configuration that must come of it.
        changed_fields: Fields of the configuration beside the tables that are new or changed.
        removed_fields: Names of fields that are no more.
        tables: By table, its change; tables that are equal in both are left out.
    """

    base_version: int
    new_version: int
    new_digest: str
    changed_fields: dict[str, Any]
    removed_fields: list[str]
    tables: dict[str, TableDelta]


def _canonical_json(value: object) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def equal_as_json(a: object, b: object) -> bool:
    """Whether two values have the same JSON: 1, 1.0 and true differ.

    >>> equal_as_json({"a": 1, "b": 2}, {"b": 2, "a": 1}), equal_as_json({"a": 1}, {"a": True})
    (True, False)
    """
    return a is b or (a == b and _canonical_json(a) == _canonical_json(b))


def config_digest(*, document: ConfigDocument) -> str:
    """Names a whole configuration; the order of keys doesn't count, that of rows does."""
    return hashlib.blake2b(_canonical_json(document), digest_size=12).hexdigest()


def _table_delta(*, old: list[ConfigDocument], new: list[ConfigDocument]) -> TableDelta:
    old_rows = {row["name"]: row for row in old}
    unchanged = [row["name"] for row in new if row["name"] in old_rows and equal_as_json(old_rows[row["name"]], row)]
    kept = set(unchanged)
    if [row["name"] for row in old if row["name"] in kept] != unchanged:
        kept = set()  # rows are in another order: all of the table is sent
    new_names = {row["name"] for row in new}
    return TableDelta(
        removed_names=[name for name in old_rows if name not in new_names],
        rows=[(index, row) for index, row in enumerate(new) if row["name"] not in kept],
    )


def diff(*, old: ConfigDocument, new: ConfigDocument) -> ConfigDelta:
    """The change that makes `new` of `old`; both are valid configurations.

    >>> old = {"config-version": 1, "route-table": [{"name": "a"}, {"name": "b"}], "service-table": []}
    >>> new = {"config-version": 4, "route-table": [{"name": "b"}, {"name": "c"}], "service-table": []}
    >>> diff(old=old, new=new).tables
    {'route-table': TableDelta(removed_names=['a'], rows=[(1, {'name': 'c'})])}
    >>> apply_delta(document=old, delta=diff(old=old, new=new)) == new
    True
    """
    tables: dict[str, TableDelta] = {}
    for table in TABLES:
        table_delta = _table_delta(old=old.get(table, []), new=new.get(table, []))
        is_new = table in new and table not in old
        if is_new or table_delta.removed_names or table_delta.rows:
            tables[table] = table_delta
    changed = [key for key in new if key not in TABLES and (key not in old or not equal_as_json(old[key], new[key]))]
    return ConfigDelta(
        base_version=old["config-version"],
        new_version=new["config-version"],
        new_digest=config_digest(document=new),
        changed_fields={key: new[key] for key in changed},
        removed_fields=[key for key in old if key not in new],
        tables=tables,
    )


def apply_delta(*, document: ConfigDocument, delta: ConfigDelta) -> ConfigDocument:
    """The configuration that a change makes of `document`, which stays as it is; unchanged rows are shared with it.

    The digest isn't checked here.
    """
    result = {key: value for key, value in document.items() if key not in delta.removed_fields}
    result.update(delta.changed_fields)
    for table, table_delta in delta.tables.items():
        if table in delta.removed_fields:
            continue
        replaced = {*table_delta.removed_names, *(row["name"] for _, row in table_delta.rows)}
        rows = [row for row in result.get(table, []) if row["name"] not in replaced]
        for index, row in table_delta.rows:
            rows.insert(index, row)
        result[table] = rows
    return result


def is_small(*, delta: ConfigDelta, document: ConfigDocument) -> bool:
    """Whether a change carries at most half of the rows of the whole configuration."""
    changed_rows = sum(len(table_delta.rows) for table_delta in delta.tables.values())
    return 2 * changed_rows <= sum(len(document.get(table, ())) for table in TABLES)


class ConfigHistory:
    """The last configurations of a node, to make changes from the versions that other nodes still have.

    Attributes:
        documents: By version, the configurations; versions rise, and the newest is always there. Invariant: at most
            `MAX_VERSIONS`, and beside the newest at most `MAX_UNSHARED_ROWS` rows that the version after does not
            share (about 1 KB of memory a row).
        newest_bytes: Length of the newest configuration as JSON.
    """

    MAX_VERSIONS = 64
    MAX_UNSHARED_ROWS = 4096

    def __init__(self) -> None:
        self.documents: dict[int, ConfigDocument] = {}
        self.newest_bytes = 0
        self._unshared_rows: dict[int, int] = {}  # by version: rows that its successor replaced or removed
        self._deltas: dict[int, ConfigDelta | None] = {}  # by base version: what `delta_since` gave

    def add(self, *, document: ConfigDocument) -> ConfigDocument:
        """Keep a newer configuration; returns it with equal rows shared with the one before."""
        if self.documents:
            document = self._share_rows(document=document)
        self.documents[document["config-version"]] = document
        while len(self.documents) > self.MAX_VERSIONS or (
            len(self.documents) > 1 and sum(self._unshared_rows.values()) > self.MAX_UNSHARED_ROWS
        ):
            oldest = next(iter(self.documents))
            del self.documents[oldest]
            self._unshared_rows.pop(oldest, None)
        self._deltas.clear()
        self.newest_bytes = len(orjson.dumps(document))
        return document

    def _share_rows(self, *, document: ConfigDocument) -> ConfigDocument:
        """A copy of `document` whose rows are those of the newest version where they are equal."""
        newest_version, newest = next(reversed(self.documents.items()))
        shared = dict(document)
        for table in TABLES:
            if table not in document:
                continue
            known = {row["name"]: row for row in newest.get(table, ())}
            shared[table] = [
                known[row["name"]] if row["name"] in known and equal_as_json(known[row["name"]], row) else row
                for row in document[table]
            ]
            row_ids = {id(row) for row in shared[table]}
            unshared = sum(id(row) not in row_ids for row in newest.get(table, ()))
            self._unshared_rows[newest_version] = self._unshared_rows.get(newest_version, 0) + unshared
        return shared

    def delta_since(self, *, config_version: int) -> ConfigDelta | None:
        """The change from a version to the newest; None: the version isn't held any more, or the change isn't small."""
        if config_version not in self.documents:
            return None
        if config_version not in self._deltas:
            newest = next(reversed(self.documents.values()))
            delta = diff(old=self.documents[config_version], new=newest)
            self._deltas[config_version] = delta if is_small(delta=delta, document=newest) else None
        return self._deltas[config_version]

    def apply_delta(self, *, delta: ConfigDelta) -> ConfigDocument | None:
        """The configuration that a change makes of a version held here.

        Returns:
            None if that version isn't held, or the digest of the result isn't the expected one.
        """
        base = self.documents.get(delta.base_version)
        if base is None:
            return None
        document = apply_delta(document=base, delta=delta)
        return document if config_digest(document=document) == delta.new_digest else None
