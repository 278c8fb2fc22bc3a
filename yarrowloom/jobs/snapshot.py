"""Snapshots of a job group: what the records in its store say is left out of its jobs, and filled in again.

The store's records are the truth; jobs hold copies of them for quick access. A snapshot of a release that had no store
is read as ever, and its records are made from the jobs.
"""

from typing import Any

import msgspec

from ..common.records import decode
from ..kv import ABSENT, KeyValueStore, PlaceEntry, SubmissionEntry, VersionedRecord
from ..transactions import wall_ms
from ..transactions.clock import TICKS_PER_MS
from .model import RUNNING, TRIMMED_KEYS, WAITING, Job, Unit
from .record_keys import SUBMISSION_PREFIX, parse_place_key, place_key, submission_key
from .task_name import TaskAddress

QUEUE_KEY, TENANT_KEY, ACCEPTED_AT_KEY = "q", "tn", "at"  # encoded fields of a job that its submission entry holds
UNITS_KEY, TASK_STATES_KEY, MINION_IDS_KEY, STARTED_AT_KEY = "u", "s", "m", "t"  # encoded fields of units


def dump_jobs(*, jobs: dict[str, Job], running: dict[str, set[TaskAddress]]) -> dict[str, Any]:
    """Jobs as plain data, without what their records say.

    Args:
        jobs: By job id.
        running: By minion id, the RUNNING tasks.
    """
    document: dict[str, Any] = msgspec.to_builtins(jobs, str_keys=True)
    for addresses in running.values():
        for address in addresses:
            unit = document[address.job_id][UNITS_KEY][address.unit_key]
            unit[TASK_STATES_KEY][address.task_index] = int(WAITING)
            unit[MINION_IDS_KEY][address.task_index] = ""
            unit[STARTED_AT_KEY].pop(str(address.task_index), None)
    for job_id, row in document.items():
        for key in (QUEUE_KEY, TENANT_KEY, ACCEPTED_AT_KEY, *(TRIMMED_KEYS if jobs[job_id].is_trimmed else ())):
            del row[key]
    return document


def load_jobs(document: dict[str, Any], *, store: KeyValueStore) -> dict[str, Job]:
    """The jobs that `dump_jobs` gave, with the copies of their records filled in.

    Raises:
        MalformedRecordError: A field is missing or of another type.
    """
    rows = {
        job_id: {**row, **_submission_fields(store.read(key=submission_key(job_id=job_id)))}
        for job_id, row in document.items()
    }
    jobs = decode(rows, into=dict[str, Job])
    for key, record in store.records.items():
        address = parse_place_key(key)
        if address is not None and isinstance(record.value, PlaceEntry) and address.job_id in jobs:
            unit = jobs[address.job_id].units[address.unit_key]
            show_running(
                unit, index=address.task_index, entry=record.value, started_at_ms=wall_ms(time=record.valid_from)
            )
    return jobs


def _submission_fields(record: VersionedRecord | None) -> dict[str, Any]:
    entry = record.value if record is not None else None
    if not isinstance(entry, SubmissionEntry):
        return {}  # decoding names the field that is missing
    return {QUEUE_KEY: entry.queue, TENANT_KEY: entry.tenant, ACCEPTED_AT_KEY: entry.accepted_at_ms}


def show_running(unit: Unit, *, index: int, entry: PlaceEntry, started_at_ms: int) -> None:
    """Copy a place entry to its task."""
    if unit.started_at_ms is msgspec.UNSET:
        unit.started_at_ms = {}
    unit.task_states[index] = RUNNING
    unit.run_ids[index] = entry.run_id
    unit.minion_ids[index] = entry.minion_id
    unit.started_at_ms[index] = started_at_ms


def store_of_jobs(jobs: dict[str, Job]) -> KeyValueStore:
    """The records of jobs of a release without a store. Such jobs have no tenant, so there are no debits."""
    store = KeyValueStore()
    for job_id, job in jobs.items():
        time = max(job.accepted_at_ms, 1) * TICKS_PER_MS
        entry = SubmissionEntry(queue=job.queue, tenant=job.tenant, accepted_at_ms=job.accepted_at_ms)
        record = VersionedRecord(value=entry, valid_from=time, updated_at=time)
        store.put_if_match(key=submission_key(job_id=job_id), etag=ABSENT, record=record)
        for unit_key, unit in job.units.items():
            _store_places(store, job_id=job_id, unit_key=unit_key, unit=unit)
    return store


def _store_places(store: KeyValueStore, *, job_id: str, unit_key: str, unit: Unit) -> None:
    started_at_ms = unit.started_at_ms if unit.started_at_ms is not msgspec.UNSET else {}
    for index in unit.indices(state=RUNNING):
        time = started_at_ms.get(index, 0) * TICKS_PER_MS
        entry = PlaceEntry(minion_id=unit.minion_ids[index], run_id=unit.run_ids[index])
        record = VersionedRecord(value=entry, valid_from=time, updated_at=time)
        store.put_if_match(key=place_key(job_id=job_id, unit_key=unit_key, index=index), etag=ABSENT, record=record)


def job_ids_of(store: KeyValueStore) -> list[str]:
    """The jobs that have a submission entry."""
    return [key.removeprefix(SUBMISSION_PREFIX) for key in store.records if key.startswith(SUBMISSION_PREFIX)]
