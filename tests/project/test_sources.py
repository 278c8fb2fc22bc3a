"""Rules on the sources themselves that no linter knows."""

from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SOURCES = sorted([*ROOT.glob("*.py"), *ROOT.glob("yarrowloom/**/*.py"), *ROOT.glob("deploy/*")])
FORBIDDEN = ("fleetbench", "given/kit", "/kit/")


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_source_does_not_name_the_kit(path: Path) -> None:
    text = path.read_text()
    assert [word for word in FORBIDDEN if word in text] == []
