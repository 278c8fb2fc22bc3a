"""Faults that are known: tests that the full run leaves out and that are then run by themselves, and other cases.

KNOWN-RED.txt has one fault a line: NAME | COMMAND AND SEED | WHAT WAS SEEN | ISSUE. A name with `::` is a test of
pytest; any other is a case that no such test shows, which is printed and not run.

Usage: `python tests/known_red.py deselect` prints pytest's flags; `python tests/known_red.py run` runs the tests and
ends with 1 if one has turned green (it is to be taken off the list), is missing, or if more than three are listed.
"""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_TESTS = 3
FIELDS = 4
SEPARATOR = " | "


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownFault:
    """One line of the list.

    Attributes:
        name: The test or the case.
        line: The whole line.
    """

    name: str
    line: str

    @property
    def is_test(self) -> bool:
        """Whether pytest can run it."""
        return "::" in self.name


def parse(text: str) -> list[KnownFault]:
    """The faults that a list names.

    Raises:
        ValueError: A line has not all of its fields.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    for line in lines:
        if len(line.split(SEPARATOR)) != FIELDS:
            raise ValueError(f"not {FIELDS} fields: {line}")
    return [KnownFault(name=line.split(SEPARATOR)[0].strip(), line=line) for line in lines]


def listed_tests() -> list[str]:
    """The tests of pytest in the list."""
    return [fault.name for fault in parse(LIST.read_text() if LIST.exists() else "") if fault.is_test]


def main(verb: str) -> int:
    tests = listed_tests()
    if verb == "deselect":
        print(" ".join(f"--deselect={name}" for name in tests))
        return 0
    faults = parse(LIST.read_text() if LIST.exists() else "")
    for fault in faults:
        print(f"known red: {fault.line}")
    is_bad = len(tests) > MAX_TESTS
    for name in tests:
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "--no-header", "--tb=no", name],
            check=False,
            capture_output=True,
            text=True,
        )
        state = {0: "GREEN: take it off the list", 1: "red, as known"}.get(done.returncode, "NOT RUN")
        is_bad = is_bad or done.returncode != 1
        print(f"{name}: {state}")
    return int(is_bad)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
