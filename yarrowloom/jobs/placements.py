"""The transactions of a job group: tasks are bound to minions, and bound tasks are released.

A binding writes the tenant's debit and the place entries of all tasks of a cycle; a release takes them back. Whoever
makes them is the client of `transactions`: it reads, writes to the transaction's cache, and commits.
"""

from collections.abc import Iterable
from typing import Protocol

from msgspec import structs

from ..common.resources import Resources
from ..kv import KeyValueStore, PlaceEntry, TenantDebit
from ..transactions import HybridClock, Transaction, batch_of
from .events import PlacementsChanged, RunEnd, RunOutcome, TaskEnded, TaskStart
from .model import RUNNING, Job
from .record_keys import debit_key, place_key
from .submission import Step


class PlacementState(Protocol):
    """What the transactions are made from.

    Attributes:
        jobs: By job id.
        store: The store of the job group's records.
    """

    jobs: dict[str, Job]
    store: KeyValueStore


def size_of(step: Step) -> Resources:
    """What one task of a step needs."""
    return Resources(step.cpu_millicores, step.memory_mb, step.gpus)


class PlacementClient:
    """A transaction client for bindings and releases.

    Invariant: no two clients of a store share a name, so no two transactions share an id.

    Attributes:
        name: Begins all its transaction ids.
        clock: Its hybrid clock, which follows the store's.
        last_number: Of its newest transaction.
    """

    def __init__(self, *, name: str, state: PlacementState) -> None:
        self.name = name
        self.clock = HybridClock()
        self.last_number = 0
        self._state = state

    def begin(self, *, wall_ms: float) -> Transaction:
        """A new transaction."""
        self.clock.observe(time=self._state.store.newest_time)
        self.last_number += 1
        return Transaction(
            transaction_id=f"{self.name}.{self.last_number}",
            started_at=self.clock.tick(wall_ms=wall_ms),
            reader=self._state.store,
        )

    def debit(self, *, tenant: str, wall_ms: float) -> TenantDebit:
        """What a tenant's tasks hold now."""
        return _read_debit(self.begin(wall_ms=wall_ms), tenant=tenant)

    def bind(
        self,
        *,
        job_id: str,
        unit_key: str,
        starts: Iterable[TaskStart],
        wall_ms: float,
        is_begin_reported: bool = True,
    ) -> PlacementsChanged:
        """The commit that starts tasks of one unit.

        Args:
            job_id: The unit's job.
            unit_key: The unit: "run.step".
            starts: Its tasks that start.
            wall_ms: Wall time in milliseconds.
            is_begin_reported: See `PlacementsChanged`; False: the starts make their job active.

        Raises:
            TransactionConflictError: Another transaction has prepared one of the records.
        """
        job, transaction = self._state.jobs[job_id], self.begin(wall_ms=wall_ms)
        count = 0
        for start in starts:
            key = place_key(job_id=job_id, unit_key=unit_key, index=start.index)
            transaction.write(key=key, value=PlaceEntry(minion_id=start.minion_id, run_id=start.run_id))
            count += 1
        _charge(transaction, job=job, unit_key=unit_key, tasks=count)
        bound = self._commit(transaction, ends=[], wall_ms=wall_ms)
        return structs.replace(bound, is_begin_reported=True) if is_begin_reported else bound

    def release(self, *, ends: Iterable[TaskEnded], wall_ms: float) -> PlacementsChanged | None:
        """The commit that ends runs; None: none of them is the newest run of its task and may be alive.

        The end DONE of a gang's member stands for all members: their runs end with it.

        Raises:
            TransactionConflictError: Another transaction has prepared one of the records.
        """
        transaction = self.begin(wall_ms=wall_ms)
        run_ends: dict[str, RunEnd] = {}
        charges: dict[tuple[str, str], int] = {}
        for end in ends:
            for index in self._ended_indices(end):
                key = place_key(job_id=end.job_id, unit_key=end.unit_key, index=index)
                if key in run_ends:
                    continue
                transaction.write(key=key, value=None)
                run_ends[key] = RunEnd(
                    outcome=end.outcome,
                    saved_progress=end.saved_progress if index == end.index else "",
                    max_attempts=end.max_attempts,
                    has_end_time=bool(end.ended_at_ms),
                )
                unit_id = (end.job_id, end.unit_key)
                charges[unit_id] = charges.get(unit_id, 0) - 1
        if not run_ends:
            return None
        for (job_id, unit_key), tasks in charges.items():
            _charge(transaction, job=self._state.jobs[job_id], unit_key=unit_key, tasks=tasks)
        return self._commit(transaction, ends=list(run_ends.values()), wall_ms=wall_ms)

    def _ended_indices(self, end: TaskEnded) -> list[int]:
        """The tasks whose runs end with this end, its own first; empty if it is no news."""
        job = self._state.jobs.get(end.job_id)
        unit = job.units.get(end.unit_key) if job is not None else None
        if job is None or unit is None or not unit.is_running(index=end.index, run_id=end.run_id):
            return []
        if end.outcome != RunOutcome.DONE or not job.step_of(unit_key=end.unit_key).is_gang:
            return [end.index]
        return [end.index, *(index for index in unit.indices(state=RUNNING) if index != end.index)]

    def _commit(self, transaction: Transaction, *, ends: list[RunEnd], wall_ms: float) -> PlacementsChanged:
        committed_at = self.clock.tick(wall_ms=wall_ms)
        return PlacementsChanged(batch=batch_of(transaction, committed_at=committed_at), ends=ends)


def _read_debit(transaction: Transaction, *, tenant: str) -> TenantDebit:
    debit = transaction.read(key=debit_key(tenant=tenant))
    return debit if isinstance(debit, TenantDebit) else TenantDebit()


def _charge(transaction: Transaction, *, job: Job, unit_key: str, tasks: int) -> None:
    """Write the debit of a job's tenant with so many more running tasks of a unit; jobs of no tenant have none."""
    if job.tenant:
        size = size_of(job.step_of(unit_key=unit_key))
        debit = _read_debit(transaction, tenant=job.tenant).plus(size, tasks)
        transaction.write(key=debit_key(tenant=job.tenant), value=debit)
