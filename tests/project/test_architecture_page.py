"""docs/architecture.md and docs/glossary.md name only modules that exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = "|".join(path.name for path in (ROOT / "yarrowloom").iterdir() if (path / "__init__.py").exists())
MODULE = re.compile(rf"`((?:{PACKAGES})/[\w/]+\.py)`")


@pytest.mark.parametrize("page", ["architecture.md", "glossary.md"])
def test_page_names_only_modules_that_exist(page: str) -> None:
    named = set(MODULE.findall((ROOT / "docs" / page).read_text()))
    assert len(named) > 20
    assert [module for module in sorted(named) if not (ROOT / "yarrowloom" / module).exists()] == []


def test_architecture_page_names_every_package() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text()
    assert [package for package in PACKAGES.split("|") if f"| {package} |" not in text] == []
