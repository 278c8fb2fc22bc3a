"""Changes between two configurations: what news and the journal carry in place of the whole."""

import hashlib
from typing import Any, TypedDict

import orjson

TABLES = ("route-table", "service-table")
Doc = dict[str, Any]


class Part(TypedDict):
    """One table's change. `rows`: (place in the new table, row), places rise; `drop`: names that are no more."""

    drop: list[str]
    rows: list[tuple[int, Doc]]


class Delta(TypedDict):
    """A change from version `base` to version `to`; `sum` is the digest of the whole that must come of it."""

    base: int
    to: int
    sum: str
    top: Doc
    gone: list[str]
    tables: dict[str, Part]


def _raw(val: Any) -> bytes:
    return orjson.dumps(val, option=orjson.OPT_SORT_KEYS)


def same(a: Any, b: Any) -> bool:
    """Equal as JSON: 1, 1.0 and true differ.

    >>> same({"a": 1, "b": 2}, {"b": 2, "a": 1}), same({"a": 1}, {"a": True})
    (True, False)
    """
    return a is b or (a == b and _raw(a) == _raw(b))


def digest(*, document: Doc) -> str:
    """Names a whole configuration; the order of keys does not count, that of rows does."""
    return hashlib.blake2b(_raw(document), digest_size=12).hexdigest()


def _part(*, old: list[Doc], new: list[Doc]) -> Part:
    was = {r["name"]: r for r in old}
    kept = [r["name"] for r in new if r["name"] in was and same(was[r["name"]], r)]
    keep = set(kept)
    if [r["name"] for r in old if r["name"] in keep] != kept:
        keep = set()  # rows changed places: all of the table is sent
    names = {r["name"] for r in new}
    return {
        "drop": [n for n in was if n not in names],
        "rows": [(i, r) for i, r in enumerate(new) if r["name"] not in keep],
    }


def diff(*, old: Doc, new: Doc) -> Delta:
    """The change that makes `new` of `old`; both are valid configurations.

    >>> old = {"config-version": 1, "route-table": [{"name": "a"}, {"name": "b"}], "service-table": []}
    >>> new = {"config-version": 4, "route-table": [{"name": "b"}, {"name": "c"}], "service-table": []}
    >>> diff(old=old, new=new)["tables"]
    {'route-table': {'drop': ['a'], 'rows': [(1, {'name': 'c'})]}}
    >>> merge(document=old, delta=diff(old=old, new=new)) == new
    True
    """
    tables: dict[str, Part] = {}
    for key in TABLES:
        part = _part(old=old[key], new=new[key])
        if part["drop"] or part["rows"]:
            tables[key] = part
    rest = [k for k in new if k not in TABLES]
    return {
        "base": old["config-version"],
        "to": new["config-version"],
        "sum": digest(document=new),
        "top": {k: new[k] for k in rest if k not in old or not same(old[k], new[k])},
        "gone": [k for k in old if k not in new],
        "tables": tables,
    }


def merge(*, document: Doc, delta: Delta) -> Doc:
    """The configuration that a change makes of `doc`; rows that stay are shared with it. The digest is unchecked."""
    out = {k: v for k, v in document.items() if k not in delta["gone"]}
    out.update(delta["top"])
    for key, part in delta["tables"].items():
        away = {*part["drop"], *(r["name"] for _, r in part["rows"])}
        rows = [r for r in out[key] if r["name"] not in away]
        for i, row in part["rows"]:
            rows.insert(i, row)
        out[key] = rows
    return out


def small(*, delta: Delta, document: Doc) -> bool:
    """Whether a change carries less than half of the rows of the whole."""
    return 2 * sum(len(p["rows"]) for p in delta["tables"].values()) <= sum(len(document[k]) for k in TABLES)


class History:
    """The last configurations of a node, for changes from versions that others still have.

    Invariants: versions rise; at most `STAMPS` of them and, beside the newest, at most `ROWS` rows not shared with
    the version after (memory: about 1 KB a row); the newest is always there.
    """

    STAMPS = 64
    ROWS = 4096

    def __init__(self) -> None:
        self.docs: dict[int, Doc] = {}
        self._own: dict[int, int] = {}  # by version: rows that its successor replaced or dropped
        self._made: dict[int, Delta | None] = {}
        self.bytes = 0  # of the newest as JSON

    def add(self, *, document: Doc) -> Doc:
        """Keep a newer configuration; returns it with equal rows shared with the one before."""
        if self.docs:
            last, old = next(reversed(self.docs.items()))
            document = dict(document)
            for key in TABLES:
                was = {r["name"]: r for r in old[key]}
                document[key] = [
                    was[r["name"]] if r["name"] in was and same(was[r["name"]], r) else r for r in document[key]
                ]
                held = {id(r) for r in document[key]}
                self._own[last] = self._own.get(last, 0) + sum(id(r) not in held for r in old[key])
        self.docs[document["config-version"]] = document
        while len(self.docs) > self.STAMPS or (len(self.docs) > 1 and sum(self._own.values()) > self.ROWS):
            first = next(iter(self.docs))
            del self.docs[first]
            self._own.pop(first, None)
        self._made.clear()
        self.bytes = len(orjson.dumps(document))
        return document

    def since(self, *, config_version: int) -> Delta | None:
        """The change from a version to the newest; None: not known any more, or not small."""
        if config_version not in self.docs:
            return None
        if config_version not in self._made:
            new = next(reversed(self.docs.values()))
            made = diff(old=self.docs[config_version], new=new)
            self._made[config_version] = made if small(delta=made, document=new) else None
        return self._made[config_version]

    def taken(self, *, delta: Delta) -> Doc | None:
        """The configuration that a change makes of a version held here; None: none is held, or the digest differs."""
        base = self.docs.get(delta["base"])
        if base is None:
            return None
        document = merge(document=base, delta=delta)
        return document if digest(document=document) == delta["sum"] else None
