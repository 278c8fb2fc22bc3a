"""The pages name only modules, tests and files that exist. Incidents and the journal keep the names of their day."""

import ast
import functools
import pathlib
import re
from collections.abc import Iterator

import pytest

ROOT = pathlib.Path(__file__).parents[2]
BASES = (ROOT, ROOT / "yarrowloom", ROOT / "tests")  # paths on the pages are relative to one of these, or to the page
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
CODE_SPAN = re.compile(r"`([^`\n]+)`")
MODULE = re.compile(r"(?<![\w./-])(?:[\w-]+/)*\w+\.py(?![\w.])")
FOLDER = re.compile(r"(?:[\w-]+/)+")
TEST_IN_MODULE = re.compile(r"(tests/[\w/]+\.py)::(\w+)")
TEST_NAME = re.compile(r"(?<!\w)test_\w+")
LINK = re.compile(r"\]\(([^)#:]+)\)")
OUTSIDE = {"journal/"}  # folders that a checkout need not have


def page_id(page: pathlib.Path) -> str:
    return page.name


def spans(page: pathlib.Path) -> Iterator[str]:
    yield from CODE_SPAN.findall(page.read_text())


@functools.cache
def sources() -> dict[pathlib.Path, str]:
    folders = ("yarrowloom", "tests", "docs")
    paths = [path for folder in folders for path in (ROOT / folder).rglob("*.py")]
    return {path: path.read_text() for path in [*paths, ROOT / "yarrowloom.py"]}


@functools.cache
def functions_of(path: pathlib.Path) -> frozenset[str]:
    functions = (ast.FunctionDef, ast.AsyncFunctionDef)
    return frozenset(node.name for node in ast.walk(ast.parse(sources()[path])) if isinstance(node, functions))


@functools.cache
def names_of_tests() -> frozenset[str]:
    """All test functions, and the modules that hold them."""
    modules = [path for path in sources() if path.is_relative_to(ROOT / "tests")]
    return frozenset(path.stem for path in modules).union(*(functions_of(path) for path in modules))


def exists(*, page: pathlib.Path, name: str) -> bool:
    """Whether a path exists; a module without a folder may be anywhere."""
    if "/" not in name:
        return any(path.name == name for path in sources())
    return any((base / name).exists() for base in (*BASES, page.parent))


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_every_module_that_a_page_names_exists(page: pathlib.Path) -> None:
    modules = {name for span in spans(page) for name in MODULE.findall(span)}
    assert sorted(name for name in modules if not exists(page=page, name=name)) == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_every_folder_that_a_page_names_exists(page: pathlib.Path) -> None:
    folders = {span for span in spans(page) if FOLDER.fullmatch(span)} - OUTSIDE
    assert sorted(name for name in folders if not exists(page=page, name=name)) == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_every_test_that_a_page_names_with_its_module_stands_there(page: pathlib.Path) -> None:
    named = {match for span in spans(page) for match in TEST_IN_MODULE.findall(span)}
    missing = [f"{path}::{name}" for path, name in named if name not in functions_of(ROOT / path)]
    assert sorted(missing) == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_every_test_that_a_page_names_exists(page: pathlib.Path) -> None:
    named = {name for span in spans(page) for name in TEST_NAME.findall(span)}
    assert sorted(named - names_of_tests()) == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_every_file_that_a_page_links_exists(page: pathlib.Path) -> None:
    links = LINK.findall(page.read_text())
    assert sorted(link for link in links if not (page.parent / link).exists()) == []


def test_names_that_do_not_exist_are_found() -> None:
    page = ROOT / "docs" / "design.md"
    assert not exists(page=page, name="scheduling/no_such_module.py")
    assert not exists(page=page, name="no_such_module.py")
    assert exists(page=page, name="scheduling/scheduler.py")
    assert "test_no_such_test" not in names_of_tests()
