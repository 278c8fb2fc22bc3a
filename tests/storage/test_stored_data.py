"""Ring files that an earlier release wrote: the current code reads the same state from them."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any

import pytest

from tests.storage.stored_data import cases, expectation, known_kinds, open_folder, unpack

REGISTRY_GROUP = 0
CASES = ["cluster-0", "cluster-1", "cluster-2", "events", "lost", "older", "proposer", "snapshots", "torn", "unused"]


def canonical(value: Any) -> str:
    """JSON text that tells 1, 1.0 and true apart and is the same for any order of keys."""
    return json.dumps(value, sort_keys=True, indent=1)


def all_records() -> list[dict[str, Any]]:
    """Every record of every case."""
    return [record for case in cases() for record in expectation(case=case)["records"]]


def all_events(*, registry: bool) -> list[dict[str, Any]]:
    """Every event that stands in a log record of the registry, or of the job groups."""
    batches = [
        stored for stored in all_records() if stored["k"] == "lg" and (stored["g"] == REGISTRY_GROUP) is registry
    ]
    return [event for batch in batches for event in batch["evs"]]


def job_states() -> Iterator[dict[str, Any]]:
    """All jobs of all snapshots, as written and as recovered."""
    for case in cases():
        document = expectation(case=case)
        for record in [*document["records"], *document["snapshot"]]:
            if record["k"] == "st" and record["g"] != REGISTRY_GROUP:
                state = record["st"]
                yield from state.get("jobs", state).values()


def test_no_case_is_missing() -> None:
    assert cases() == CASES


@pytest.mark.parametrize("case", CASES)
def test_stored_data_is_read_as_ever(case: str, tmp_path: pathlib.Path) -> None:
    expected = expectation(case=case)
    unpack(case=pathlib.Path(__file__).parent / "data" / case, folder=tmp_path)
    opened = open_folder(folder=tmp_path, ip=expected["ip"], learn=expected["learn"]).document()
    assert opened["verdict"] == expected["verdict"]
    for part in ("records", "snapshot"):
        assert len(opened[part]) == len(expected[part])
        for number, (found, stored) in enumerate(zip(opened[part], expected[part], strict=True)):
            assert canonical(found) == canonical(stored), f"{part}[{number}]"


def test_data_holds_every_kind_of_record() -> None:
    assert {record["k"] for record in all_records()} == known_kinds().records


def test_data_holds_every_kind_of_registry_event() -> None:
    assert {event["t"] for event in all_events(registry=True)} == known_kinds().registry_events


def test_data_holds_every_kind_of_job_event() -> None:
    assert {event["t"] for event in all_events(registry=False)} == known_kinds().job_events


def test_data_holds_both_forms_of_a_configuration_change() -> None:
    changes = [event for event in all_events(registry=True) if event["t"] == "conf"]
    assert {("d" in event, "doc" in event) for event in changes} == {(True, False), (False, True)}


def test_data_holds_every_way_a_run_ends() -> None:
    ends = [event for event in all_events(registry=False) if event["t"] == "end"]
    assert {event["how"] for event in ends} >= {"done", "failed", "void", "stopped", "lapsed", "alone"}
    assert {"at" in event for event in ends} == {True, False}
    assert any(event["v"] for event in ends)
    lost = [event for event in all_events(registry=False) if event["t"] == "lost"]
    assert {event["x"] is None for event in lost} == {True, False}


def test_data_holds_every_state_and_form_of_a_job() -> None:
    jobs = list(job_states())
    assert {job["st"] for job in jobs} == {"pending", "active", "complete", "failed", "cancelled"}
    steps = [step for job in jobs for step in job.get("steps", [])]
    for flag in ("ck", "gang", "tight", "dup", "last", "deps", "req", "near", "apart", "gpu"):
        assert any(step[flag] for step in steps), flag
    assert any(job["times"] and job["k"] for job in jobs)
    units = [unit for job in jobs for unit in job.get("u", {}).values()]
    for field in ("f", "v", "t", "fr", "m"):
        value_seen = any(any(unit[field]) if isinstance(unit.get(field), list) else unit.get(field) for unit in units)
        assert value_seen, field
    assert any("u" not in job for job in jobs)


def test_data_holds_a_full_history_of_predictions() -> None:
    states = [stored["st"] for stored in all_records() if stored["k"] == "st" and stored["g"] != REGISTRY_GROUP]
    pasts = [state["past"] for state in states if state.get("past")]
    assert any(state.get("past") == {} for state in states)  # where no history is kept
    for part in ("fresh", "kinds", "timers", "clock"):
        assert any(past[part] for past in pasts), part
    for part in ("r", "p"):
        assert any(past["follow"][part] for past in pasts), part
    for part in ("r", "s", "m"):
        assert any(past["runs"][part] for past in pasts), part


def test_data_holds_votes_and_proposed_copies() -> None:
    witnesses = [record for record in all_records() if record["k"] == "w"]
    assert {(stored["pb"] is None, stored["ab"] is None) for stored in witnesses} == {
        (True, True),
        (False, True),
        (False, False),
    }
    assert any(record["k"] == "id" and record.get("inc", 0) > 1 for record in all_records())  # a life after the first
    for case in ("proposer", "snapshots"):
        assert any(record["k"] == "ck" for record in expectation(case=case)["snapshot"]), case
    (proposer,) = {record["uid"] for record in expectation(case="proposer")["records"] if record["k"] == "id"}
    copies = [record for record in expectation(case="proposer")["records"] if record["k"] == "ck"]
    assert any(record["tag"].startswith(f"{proposer}/") for record in copies)
