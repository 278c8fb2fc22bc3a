"""One simulated run: a cluster under load and faults, checked until all accepted jobs have ended."""

from dataclasses import dataclass, field
from typing import Any

from ..jobs.debits import debit_findings
from .digest import RunDigest
from .errors import SimulationError
from .events import Check, Story
from .faults.generator import Shape, generate_faults, generate_more_faults
from .faults.injector import Injector
from .faults.model import Fault
from .faulty_cluster import FaultyCluster
from .observers import Operator, ReportingJudge, ServingCheck
from .tenants import SimTenant
from .workload import Day, task

SITES = 3
MINIONS_EACH = 3  # minions by core
JOB_GAP_S = 0.5  # a cluster of three gets a job this often; larger ones in proportion more
WORK_S = 1.2  # a usual task's length
SETUP_S = 6.0  # the load begins so long after the start; events before it have negative times
LOOK_S = 0.2  # interval at which a run is checked for broken rules
SETTLE_S = 45.0  # accepted jobs end within this time after the load
CANCEL_SHARE = 0.08
BOUND_BY_CORE = 2400  # millicores that the bounded tenant may hold, for each core machine
OPEN_TENANT = SimTenant(name="open", key="key-of-open")


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSettings:
    """The settings that determine a run.

    Attributes:
        seed: Seed of all random numbers.
        seconds: Simulated seconds of load.
        size: Number of core machines.
        faults: The faults to inject; None to generate them from the seed.
        more_faults: Whether generated faults include the kinds that are generated only on request.
    """

    seed: int = 1
    seconds: float = 30.0
    size: int = 3
    faults: tuple[Fault, ...] | None = None
    more_faults: bool = False

    @property
    def shape(self) -> Shape:
        """The deployment."""
        return Shape(
            cores=self.size,
            edges=max(1, self.size // 3),
            minions=MINIONS_EACH * self.size,
            losses=1 if self.size < 7 else 2,
            seconds=self.seconds,
        )

    @property
    def tenants(self) -> tuple[SimTenant, ...]:
        """A tenant whose tasks often wait for its bound, and one that has none."""
        bound = (BOUND_BY_CORE * self.size, 0, 0)
        return SimTenant(name="bounded", key="key-of-bounded", upper_bound=bound), OPEN_TENANT

    def planned(self) -> tuple[Fault, ...]:
        """The faults of the run."""
        if self.faults is not None:
            return self.faults
        return (generate_more_faults if self.more_faults else generate_faults)(seed=self.seed, shape=self.shape)


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The result of a run.

    Attributes:
        settings: The settings of the run.
        faults: The faults that were injected.
        jobs: Number of submitted jobs.
        finished: Number of jobs that were shown as ended.
        changes: Number of confirmed configuration changes.
        elections: Number of times that a group changed its primary.
        simulated_s: Simulated seconds from the start of the load.
        breaches: Descriptions of broken rules; each begins with the rule's name.
        story: The events of the run, without calls.
    """

    settings: RunSettings
    faults: tuple[Fault, ...]
    jobs: int
    finished: int
    changes: int
    elections: int
    simulated_s: float
    breaches: tuple[str, ...]
    story: Story = field(default_factory=Story)

    @property
    def rules(self) -> frozenset[str]:
        """Names of the rules that were broken."""
        return frozenset(breach.split(" ", 1)[0] for breach in self.breaches)

    def lines(self) -> list[str]:
        """The report for a reader."""
        run = self.settings
        return [
            f"seed {run.seed}, {run.size} cores, {run.seconds:g} s of load, {self.simulated_s:.1f} s simulated, "
            f"{len(self.faults)} faults",
            f"jobs {self.jobs}, finished {self.finished}; configuration changes {self.changes}; elections "
            f"{self.elections}; breaches {len(self.breaches)}",
            *self.breaches,
        ]


class Run:
    """A cluster with load generators, fault injector and checks for one run."""

    def __init__(
        self, *, settings: RunSettings, checks: tuple[Check, ...] = (), digest: RunDigest | None = None
    ) -> None:
        self.settings = settings
        self.story = Story()
        self.checks = checks
        shape = settings.shape
        self.sim = FaultyCluster(
            seed=settings.seed,
            zones=min(SITES, shape.cores),
            cores=shape.cores,
            edges=shape.edges,
            losses=shape.losses,
            checks=(self.story, *checks),
            digest=digest,
        )
        self.sim.started_s = self.sim.now + SETUP_S
        self.judge = ReportingJudge(sim=self.sim)
        self.day = Day(
            seed=settings.seed,
            minions=shape.minions,
            work=WORK_S,
            sim=self.sim,
            judge=self.judge,
            tenants=settings.tenants,
        )
        if self.sim.now > self.sim.started_s:
            raise SimulationError(text=f"the cluster was not ready {SETUP_S:g} s after its start")
        self.sim.run(seconds=self.sim.started_s - self.sim.now)
        self.serving = ServingCheck(sim=self.sim)
        self.operator = Operator(sim=self.sim)
        self.faults = settings.planned()
        self.problems: list[str] = []

    def breaches(self) -> tuple[str, ...]:
        """All that is broken so far."""
        own = [*self.judge.broken, *self.sim.ended, *self.serving.broken, *self.operator.broken, *self.problems]
        return (*own, *(text for check in self.checks for text in check.breaches()))

    def execute(self) -> Report:
        """Play the run until its end or its first breach."""
        try:
            Injector(day=self.day, sim=self.sim).plan(faults=self.faults)
            self._load()
            if not self.breaches():
                self._rest()
        except SimulationError as err:
            if not self.sim.now > self.sim.started_s:
                raise
            self.problems.append(f"ENDLESS {err.text}")
        finished = sum(job_id in self.judge.over for job_id in self.day.job_ids)
        return Report(
            settings=self.settings,
            faults=self.faults,
            jobs=len(self.day.job_ids),
            finished=finished,
            changes=self.operator.changes,
            elections=self.serving.elections,
            simulated_s=self.sim.now - self.sim.started_s,
            breaches=self.breaches(),
            story=self.story,
        )

    def _load(self) -> None:
        end_s = self.sim.now + self.settings.seconds
        next_job_s, number = self.sim.now, 0
        while self.sim.now < end_s and not self.breaches():
            while next_job_s <= self.sim.now:
                next_job_s += JOB_GAP_S * 3 / self.settings.size
                number += 1
                self._job(number=number)
            self.sim.run(seconds=min(LOOK_S, max(0.01, next_job_s - self.sim.now)))

    def _job(self, *, number: int) -> None:
        """Submit the next job of the mix; some are cancelled soon after."""
        rng = self.sim.rng
        mix: list[list[dict[str, Any]]] = [
            [task(n=4), task(n=2, depends_on=[0])],
            [task(n=3, cpus=2000, gang=True, checkpoints=number % 2 == 0, same_rack=number % 3 == 0)],
            [task(n=2, cpus=1500, checkpoints=True, weight=4)],
            [task(n=3, cpus=500, anti_affinity=1)],
            [task(n=3, cpus=500, affinity=f"r{number % 3}")],
            [task(n=2, cpus=500)],
        ]
        stages = mix[number % len(mix)]
        queue, tenant = rng.choice(["fast", "slow"]), rng.choice(self.settings.tenants)
        if number % 7 == 0:
            self.day.timed(task(n=2), first=rng.uniform(0.5, 3.0), period=1.5, count=3, queue=queue, tenant=tenant)
            return
        job_id = self.day.job(*stages, queue=queue, tenant=tenant)
        if rng.random() < CANCEL_SHARE:
            self.sim.at(delay=rng.uniform(0.1, 2.0), fn=lambda: self.day.client.drop(job_id=job_id))

    def _rest(self) -> None:
        """After the load: check that accepted jobs end and that confirmed configuration is still there."""
        self.operator.working = False
        left = self.day.settle(limit=SETTLE_S)
        if left and not self.breaches():
            states = ", ".join(f"{job_id} {self.judge.shows.get(job_id, 'never shown')}" for job_id in left[:4])
            self.problems.append(f"UNFINISHED {states}; {len(left)} jobs {SETTLE_S:g} s after the load")
        if not self.breaches():
            self.operator.read_back()
        if not self.breaches():
            self._check_debits()

    def _check_debits(self) -> None:
        """What tenants' debits say is what the place entries hold; nothing is left where nothing runs."""
        for ip in self.sim.serving(group_id=1):
            jobs = self.sim.core(ip).jobs[1]
            self.problems += [f"DEBIT {text}" for text in debit_findings(jobs)]


def run_simulation(*, settings: RunSettings, checks: tuple[Check, ...] = (), digest: RunDigest | None = None) -> Report:
    """Play one run; `digest` takes all that its processes send, write and answer."""
    return Run(settings=settings, checks=checks, digest=digest).execute()
