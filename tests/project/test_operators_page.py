"""The operators' page: every log event of the code stands in its table, and every event of the table is in the code."""

import ast
import pathlib
import re
from collections.abc import Iterator

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / "yarrowloom"
PAGE = ROOT / "docs" / "operators.md"
NO_PRODUCT_CODE = {"simulator", "testbed"}  # their methods of these names tell of a run, not to an operator
LOG_METHODS = {"note", "trace", "info", "warn", "debug"}
EVENT_NAME = re.compile(r"[a-z]+(-[a-z]+)+")
TABLE_HEADER = "| event | name before"


def functions_of(tree: ast.Module) -> Iterator[ast.FunctionDef | ast.AsyncFunctionDef]:
    return (node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef))


def event_argument(call: ast.Call) -> ast.expr | None:
    """What a call gives as the event's name; None: it is no call of a log method."""
    if not isinstance(call.func, ast.Attribute) or call.func.attr not in LOG_METHODS:
        return None
    return next(
        (keyword.value for keyword in call.keywords if keyword.arg == "event"), call.args[0] if call.args else None
    )


def string_constants(expression: ast.expr) -> set[str]:
    """The strings that an expression may be: a constant, or one of the two of a conditional."""
    if isinstance(expression, ast.Constant) and isinstance(expression.value, str):
        return {expression.value}
    if isinstance(expression, ast.IfExp):
        return string_constants(expression.body) | string_constants(expression.orelse)
    return set()


def events_of_source(source: str) -> set[str]:
    """The events that a module logs, also those given by a local variable."""
    events: set[str] = set()
    for function in functions_of(ast.parse(source)):
        parameters = {argument.arg for argument in [*function.args.args, *function.args.kwonlyargs]}
        assigned: dict[str, set[str]] = {}
        for node in ast.walk(function):
            if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
                assigned.setdefault(node.targets[0].id, set()).update(string_constants(node.value))
        for node in ast.walk(function):
            argument = event_argument(node) if isinstance(node, ast.Call) else None
            if argument is None or (isinstance(argument, ast.Name) and argument.id in parameters):
                continue  # a method that hands on the event of its caller
            names = assigned.get(argument.id, set()) if isinstance(argument, ast.Name) else string_constants(argument)
            assert names, f"line {argument.lineno}: the name of an event must be a constant: {ast.unparse(argument)}"
            events |= names
    return events


def events_of_code() -> set[str]:
    modules = [path for path in PACKAGE.rglob("*.py") if not NO_PRODUCT_CODE & set(path.relative_to(PACKAGE).parts)]
    return set().union(*(events_of_source(path.read_text()) for path in modules))


def table_rows() -> list[list[str]]:
    lines = PAGE.read_text().splitlines()
    first = next(number for number, line in enumerate(lines) if line.startswith(TABLE_HEADER)) + 2
    rows: list[list[str]] = []
    for line in lines[first:]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.split("|")])
    return rows


def events_of_page() -> list[str]:
    """The first word of each code span in the first column: fields may follow it there."""
    return [span.split()[0] for row in table_rows() for span in re.findall(r"`([^`]+)`", row[1])]


def test_every_event_of_the_code_stands_in_the_table() -> None:
    assert sorted(events_of_code() - set(events_of_page())) == []


def test_every_event_of_the_table_is_in_the_code() -> None:
    assert sorted(set(events_of_page()) - events_of_code()) == []


def test_every_event_stands_in_the_table_once() -> None:
    events = events_of_page()
    assert sorted({event for event in events if events.count(event) > 1}) == []


def test_every_event_is_two_words_or_more_in_kebab_case() -> None:
    assert [event for event in sorted(events_of_code()) if not EVENT_NAME.fullmatch(event)] == []


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        ("self.note(event='a-b', n=1)", {"a-b"}),
        ("self.log.warn('a-b', n=1)", {"a-b"}),
        ("self.note(event='a-b' if n else 'c-d')", {"a-b", "c-d"}),
        ("event = 'a-b' if n else 'c-d'\n    self.note(event=event)", {"a-b", "c-d"}),
        ("self.log.info(n, x=1)", set()),
        ("self.other(event='a-b')", set()),
    ],
)
def test_events_are_found_however_their_name_is_given(body: str, expected: set[str]) -> None:
    assert events_of_source(f"def function(self, n):\n    {body}\n") == expected


def test_an_event_whose_name_is_computed_is_refused() -> None:
    with pytest.raises(AssertionError, match="must be a constant"):
        events_of_source("def function(self):\n    self.note(event=self.name())\n")
