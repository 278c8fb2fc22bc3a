"""The list of known faults: what is run of it, and what is only printed."""

import pytest

from tests.known_red import LIST, MAX_TESTS, parse

CASE = "review/2 | review/2/run.sh, no seed | the state fits into no frame | issue 33"
TEST = "tests/a.py::test_b[1] | the test itself | it fails | issue 1"


def test_a_case_that_is_no_test_is_told_apart() -> None:
    assert [(fault.name, fault.is_test) for fault in parse(f"{TEST}\n\n{CASE}\n")] == [
        ("tests/a.py::test_b[1]", True),
        ("review/2", False),
    ]


@pytest.mark.parametrize("line", ["tests/a.py::test_b", "a | b | c", "a | b | c | d | e"])
def test_a_line_without_all_its_fields_is_refused(line: str) -> None:
    with pytest.raises(ValueError, match="4 fields"):
        parse(line)


def test_the_list_can_be_read_and_is_short() -> None:
    faults = parse(LIST.read_text()) if LIST.exists() else []
    assert sum(fault.is_test for fault in faults) <= MAX_TESTS
