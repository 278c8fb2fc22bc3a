"""Injects planned faults into a running simulation."""

from collections.abc import Callable
from functools import partial

from ...node.core import CoreNode
from ...node.edge import EdgeNode
from ..errors import SimulationError
from ..faulty_cluster import FaultyCluster
from ..judges.job_rules import EARLY_S, JUMPS_S
from ..machines.network import Cut
from ..machines.process import Disk
from ..worker import Worker
from ..workload import Day
from .cluster_faults import limit_processor, lose_disks, overlapping_losses, split_core
from .model import Fault, FaultKind

RESET_S = 0.01  # a reset loses the frames that are sent within this time
LEAVE_CORE_S = 0.6  # time that a core process has after SIGTERM
LEAVE_EDGE_S = 2.5
JITTER_S = 0.3  # machines that stopped together restart within this time of each other


class Injector:
    """Begins and ends faults at their times.

    Invariant: the end of a fault undoes what its beginning did, also where faults overlap.

    Attributes:
        minions: The workers in the order of the names `minion-0`, `minion-1`, ...; replacements keep the place.
        handlers: By kind of fault: the function that begins it and returns the one that ends it, if any.
    """

    def __init__(self, *, day: Day, sim: FaultyCluster) -> None:
        self.day = day
        self.sim = sim
        self.addresses = 0
        self.minions: list[Worker] = list(day.fleet)
        self.handlers: dict[FaultKind, Callable[[Fault], Callable[[], None] | None]] = {
            FaultKind.KILL: partial(self._kill, power=False),
            FaultKind.POWER_LOSS: partial(self._kill, power=True),
            FaultKind.ROLL: self._restart_gracefully,
            FaultKind.LOSE_DISK: self._lose_disk,
            FaultKind.REPLACE: self._replace,
            FaultKind.REMOVE: self._remove,
            FaultKind.FREEZE: self._freeze,
            FaultKind.CUT: partial(self._cut, outward=True, inward=True),
            FaultKind.CUT_IN: partial(self._cut, outward=False, inward=True),
            FaultKind.CUT_OUT: partial(self._cut, outward=True, inward=False),
            FaultKind.HOLD: self._hold,
            FaultKind.RESET: self._reset,
            FaultKind.LOSS: self._loss,
            FaultKind.SLOW_LINK: self._slow_link,
            FaultKind.DISK_STALL: self._disk_stall,
            FaultKind.DISK_SLOW: self._disk_slow,
            FaultKind.DISK_REFUSE: self._disk_refuse,
            FaultKind.CLOCK_STEP: self._clock_step,
            FaultKind.CLOCK_DRIFT: self._clock_drift,
            FaultKind.CRASH: self._crash,
            FaultKind.MUTE: self._mute,
            FaultKind.HANG: partial(self._set_unhealthy, symptom="hung"),
            FaultKind.GREY: partial(self._set_unhealthy, symptom="grey"),
            FaultKind.CRAWL: self._crawl,
            FaultKind.DRAIN: self._drain,
            FaultKind.LOSE_DISKS: partial(lose_disks, sim=sim),
            FaultKind.SPLIT: partial(split_core, sim=sim),
            FaultKind.OVERLAPPING_LOSSES: partial(overlapping_losses, sim=sim),
            FaultKind.CPU_QUOTA: partial(limit_processor, sim=sim),
        }

    def plan(self, *, faults: tuple[Fault, ...]) -> None:
        """Schedule faults; their times count from now.

        Raises:
            SimulationError: If a fault names a machine or minion that the cluster does not have.
        """
        for i, fault in enumerate(faults):
            for name in fault.where.split("/"):
                self._check_target(name=name, place=f"faults[{i}].where")
            if fault.kind is FaultKind.CLOCK_STEP:
                self.day.judge.early = max(self.day.judge.early, EARLY_S + max(JUMPS_S, abs(fault.strength)))
            self.sim.at(delay=fault.at_s, fn=partial(self._run, fault))

    def _check_target(self, *, name: str, place: str) -> None:
        many = {"core": len(self.sim.core_ips), "edge": len(self.sim.edge_ips), "minion": len(self.minions)}
        role, _, number = name.partition("-")
        if role in many and int(number) >= many[role]:
            raise SimulationError(text=f"{place}: there are {many[role]} of {role}, no {name}")

    def _run(self, fault: Fault) -> None:
        self.day.judge.trouble(seconds=fault.for_s)
        self.sim.note(who="fault", text=f"begins: {fault}")
        end = self.handlers[fault.kind](fault)
        if end is not None:
            self.sim.at(delay=max(fault.for_s, 1e-3), fn=partial(self._end, fault, end))

    def _end(self, fault: Fault, end: Callable[[], None]) -> None:
        end()
        self.sim.note(who="fault", text=f"ends:   {fault.kind} of {fault.where}")

    # -- names

    def address_of(self, name: str) -> str:
        """Return the address of the machine, or the ID of the minion, that has a name now."""
        role, _, number = name.partition("-")
        if role == "core":
            return self.sim.core_ips[int(number)]
        if role == "edge":
            return self.sim.edge_ips[int(number)]
        return self.minions[int(number)].minion_id

    def _side(self, fault: Fault, *, outward: bool = True, inward: bool = True) -> Cut:
        ends = [self.address_of(name) for name in fault.where.split("/")]
        return Cut(inside=frozenset(ends[:1]), others=frozenset(ends[1:]), outward=outward, inward=inward)

    def _worker(self, fault: Fault) -> Worker:
        return self.minions[int(fault.where.partition("-")[2])]

    # -- processes

    def _kill(self, fault: Fault, *, power: bool) -> Callable[[], None]:
        ips = list(self.sim.core_ips) if fault.where == "all-cores" else [self.address_of(fault.where)]
        for ip in ips:
            if self.sim.procs[ip].up:
                self.sim.kill(ip=ip, power=power)

        def back() -> None:
            for ip in ips:
                delay = self.sim.rng.random() * JITTER_S if len(ips) > 1 else 0.0
                self.sim.at(delay=delay, fn=partial(self.sim.start, ip=ip))

        return back

    def _restart_gracefully(self, fault: Fault) -> None:
        """Terminate a process as by SIGTERM: it hands over, ends, and is started again."""
        ip = self.address_of(fault.where)
        proc = self.sim.procs[ip]
        if not proc.up:
            return
        node = proc.node
        if isinstance(node, CoreNode):
            self.sim.step(ip, proc, node.leave)
            wait_s = LEAVE_CORE_S
        elif isinstance(node, EdgeNode):
            node.is_draining = True
            wait_s = LEAVE_EDGE_S

        def stop() -> None:
            if self.sim.procs[ip] is proc and proc.up:
                self.sim.kill(ip=ip)
                self.sim.note(who=ip, text="process ended in order")
            self.sim.at(delay=fault.for_s, fn=partial(self.sim.start, ip=ip))

        self.sim.at(delay=wait_s, fn=stop)

    def _lose_disk(self, fault: Fault) -> Callable[[], None]:
        ip = self.address_of(fault.where)
        if self.sim.procs[ip].up:
            self.sim.kill(ip=ip, power=True)
        self.sim.wipe(ip=ip)
        return partial(self.sim.start, ip=ip)

    def _replace(self, fault: Fault) -> Callable[[], None]:
        """Lose a machine for good; an empty one replaces it at another address."""
        old = self.address_of(fault.where)
        self._lose_machine(ip=old)
        self.addresses += 1
        new = f"{old.rsplit('.', 1)[0]}.{100 + self.addresses}"
        self.sim.core_ips[self.sim.core_ips.index(old)] = new

        def back() -> None:
            self.sim.boot(ip=new)
            self.sim.note(who=new, text=f"empty machine in place of {old}")

        return back

    def _remove(self, fault: Fault) -> None:
        self._lose_machine(ip=self.address_of(fault.where))

    def _lose_machine(self, *, ip: str) -> None:
        if self.sim.procs[ip].up:
            self.sim.kill(ip=ip, power=True)
        self.sim.disks[ip] = Disk()

    def _freeze(self, fault: Fault) -> None:
        """Stop a process for a while; with a strength above 0 between its next step and the step's effects."""
        ip = self.address_of(fault.where)
        if fault.strength:
            self.sim.pause_after_step[ip] = fault.for_s
        else:
            self.sim.freeze(ip=ip, seconds=fault.for_s)

    # -- links

    def _cut(self, fault: Fault, *, outward: bool, inward: bool) -> Callable[[], None]:
        return self.sim.isolate(cut=self._side(fault, outward=outward, inward=inward))

    def _hold(self, fault: Fault) -> Callable[[], None]:
        return self.sim.hold(cut=self._side(fault), deliver=fault.strength > 0)

    def _reset(self, fault: Fault) -> None:
        self.sim.at(delay=RESET_S, fn=self.sim.isolate(cut=self._side(fault)))

    def _loss(self, fault: Fault) -> Callable[[], None]:
        self.sim.loss += fault.strength

        def end() -> None:
            self.sim.loss = max(0.0, round(self.sim.loss - fault.strength, 6))

        return end

    def _slow_link(self, fault: Fault) -> Callable[[], None]:
        ip = self.address_of(fault.where)
        self.sim.link_delay[ip] = fault.strength

        def end() -> None:
            self.sim.link_delay.pop(ip, None)

        return end

    # -- disks and clocks

    def _disk_stall(self, fault: Fault) -> None:
        ip = self.address_of(fault.where)
        self.sim.stalls[ip] = max(self.sim.stalls.get(ip, 0.0), self.sim.now + fault.for_s)

    def _disk_slow(self, fault: Fault) -> Callable[[], None]:
        ip = self.address_of(fault.where)
        self.sim.disk_factor[ip] = fault.strength

        def end() -> None:
            self.sim.disk_factor.pop(ip, None)

        return end

    def _disk_refuse(self, fault: Fault) -> Callable[[], None]:
        ip = self.address_of(fault.where)
        self._disk_stall(fault)
        self.sim.failing_disks.add(ip)
        return lambda: self.sim.failing_disks.discard(ip)

    def _clock_step(self, fault: Fault) -> Callable[[], None]:
        ip = self.address_of(fault.where)
        self.sim.skew[ip] = self.sim.skew.get(ip, 0.0) + fault.strength

        def end() -> None:
            self.sim.skew[ip] -= fault.strength

        return end

    def _clock_drift(self, fault: Fault) -> Callable[[], None]:
        ip = self.address_of(fault.where)
        self.sim.drift(ip=ip, rate=fault.strength)
        return partial(self.sim.drift, ip=ip, rate=0.0)

    # -- minions

    def _crash(self, fault: Fault) -> Callable[[], None]:
        """Crash a minion; another one replaces it."""
        old = self._worker(fault)
        if old.up:
            old.crash()

        return partial(self._replace_minion, old)

    def _replace_minion(self, old: Worker) -> None:
        """Replace a minion that is down by another one with a new ID."""
        if old in self.minions and not old.up:
            self.minions[self.minions.index(old)] = self.day.add_minion(
                minion_id=f"{old.minion_id}x", zone=old.zone, cap=old.cap, labels=old.labels, service=old.service
            )

    def _mute(self, fault: Fault) -> None:
        self._worker(fault).mute = self.sim.now + fault.for_s

    def _set_unhealthy(self, fault: Fault, *, symptom: str) -> Callable[[], None]:
        worker = self._worker(fault)
        worker.sick = symptom

        def end() -> None:
            worker.sick = ""

        return end

    def _crawl(self, fault: Fault) -> Callable[[], None]:
        worker = self._worker(fault)
        worker.speed = fault.strength

        def end() -> None:
            worker.speed = 1.0

        return end

    def _drain(self, fault: Fault) -> Callable[[], None]:
        """Let a minion drain and leave; another one replaces it."""
        worker = self._worker(fault)
        if worker.up and not worker.drained:
            worker.drain()
        return partial(self._replace_minion, worker)
