"""A check of the records of a job group: tenants' debits are the sums of the place entries of their jobs' tasks."""

from ..common.resources import NO_RESOURCES
from ..kv import PlaceEntry, TenantDebit
from .placements import size_of
from .record_keys import TENANT_PREFIX, parse_place_key
from .state_machine import Jobs


def debit_findings(jobs: Jobs) -> list[str]:
    """What does not add up; empty if all does."""
    held: dict[str, TenantDebit] = {}
    findings: list[str] = []
    running = 0
    for key, record in jobs.store.records.items():
        address = parse_place_key(key)
        if address is None or not isinstance(record.value, PlaceEntry):
            continue
        running += 1
        job = jobs.jobs.get(address.job_id)
        if job is None or job.is_trimmed:
            findings.append(f"{key} is of a job without tasks")
            continue
        size = size_of(job.step_of(unit_key=address.unit_key))
        held[job.tenant] = held.get(job.tenant, TenantDebit()).plus(size, 1)
    for key, record in jobs.store.records.items():
        if isinstance(record.value, TenantDebit):
            expected = held.get(key.removeprefix(TENANT_PREFIX), TenantDebit(used=NO_RESOURCES))
            if record.value != expected:
                findings.append(f"{key} is {record.value}, its tasks hold {expected}")
    shown = sum(map(len, jobs.running_by_minion.values()))
    if running != shown:
        findings.append(f"{running} place entries, {shown} tasks shown running")
    return findings
