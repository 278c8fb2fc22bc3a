"""Faults of several machines at once, and the processor quota.

The faults of several machines are lost disks during a power failure, a core partitioned into two halves, and crashes
that overlap beyond the budget of failures.

Each function begins a fault and returns the callback that ends it. What a fault leaves open (which disk, which half,
when each machine goes and returns) comes from the cluster's own random numbers, so a seed fixes it.
"""

from collections.abc import Callable
from functools import partial

from ..faulty_cluster import FaultyCluster
from ..machines.network import Cut
from ..machines.processor import QUOTA_PERIOD_S, Quota
from .model import Fault, Role

RETURN_JITTER_S = 0.3  # machines that lost power together return within this long of each other
TIMER_DELAY_S = 2e-6  # a timer that came due during a pause fires right after it

EndFault = Callable[[], None]


def lose_disks(fault: Fault, *, sim: FaultyCluster) -> EndFault:
    """Cut the power of all machines and lose as many disks of core machines as the failure budget allows.

    The fault hits the core machines, with `all-machines` the edge machines too. All restart when the fault ends.
    """
    with_edges = fault.where == Role.ALL_MACHINES
    hit = _running(sim=sim, addresses=[*sim.core_ips, *(sim.edge_ips if with_edges else ())])
    disks_lost = _disks_to_lose(sim=sim)
    for ip in hit:
        sim.kill(ip=ip, power=True)
    for ip in disks_lost:
        _lose_disk(sim=sim, ip=ip)

    def end() -> None:
        for ip in hit:
            sim.at(delay=sim.rng.random() * RETURN_JITTER_S, fn=partial(sim.start, ip=ip))

    return end


def split_core(fault: Fault, *, sim: FaultyCluster) -> EndFault:
    """Partition the core machines into two halves.

    All other machines, minions, callers and operators reach both halves.
    """
    half = frozenset(sim.rng.sample(sim.core_ips, len(sim.core_ips) // 2))
    sim.note(who="fault", text=f"one half: {', '.join(sorted(half))}")
    return sim.isolate(cut=Cut(inside=half, others=frozenset(sim.core_ips) - half))


def overlapping_losses(fault: Fault, *, sim: FaultyCluster) -> EndFault:
    """Stop every core machine in the first half of the fault and restart it in the second half.

    All are down in the middle of the fault. As many as the failure budget allows lose their disks; the others are
    killed or lose power.
    """
    running = _running(sim=sim, addresses=sim.core_ips)
    disks_lost = _disks_to_lose(sim=sim)
    middle_s = fault.for_s / 2
    for ip in running:
        power = sim.rng.random() < 0.5
        down_s, up_s = sim.rng.uniform(0.0, middle_s), sim.rng.uniform(middle_s, fault.for_s)
        sim.at(delay=down_s, fn=partial(_take_down, sim=sim, ip=ip, power=power, lose_disk=ip in disks_lost))
        sim.at(delay=up_s, fn=partial(sim.start, ip=ip))
    return lambda: None


def limit_processor(fault: Fault, *, sim: FaultyCluster) -> EndFault:
    """Limit the processor time of core machines to the share `strength` of each period of `QUOTA_PERIOD_S`.

    A process runs at full speed until it has spent its share of a period, then not at all. Where the simulation charges
    no processor time, a process is assumed to spend its share at the beginning of each period.
    """
    ips = list(sim.core_ips) if fault.where == Role.ALL_CORES else [_address(sim=sim, name=fault.where)]
    if sim.speed:
        return _charge_quota(sim=sim, ips=ips, share=fault.strength)
    until_s = sim.now + fault.for_s
    for ip in ips:
        _begin_period(sim=sim, ip=ip, share=fault.strength, until_s=until_s)
    return lambda: None


def _charge_quota(*, sim: FaultyCluster, ips: list[str], share: float) -> EndFault:
    """Apply a quota to the processor time that the cluster charges for steps."""
    quotas = {ip: Quota(share=share) for ip in ips}
    sim.quotas.update(quotas)

    def end() -> None:
        for ip, quota in quotas.items():
            if sim.quotas.get(ip) is quota:
                del sim.quotas[ip]

    return end


def _begin_period(*, sim: FaultyCluster, ip: str, share: float, until_s: float) -> None:
    """Begin a period of a quota and schedule the next one."""
    if sim.now >= until_s:
        return
    running_s = share * QUOTA_PERIOD_S
    sim.at(delay=running_s, fn=partial(_pause, sim=sim, ip=ip, seconds=QUOTA_PERIOD_S - running_s))
    sim.at(delay=QUOTA_PERIOD_S, fn=partial(_begin_period, sim=sim, ip=ip, share=share, until_s=until_s))


def _pause(*, sim: FaultyCluster, ip: str, seconds: float) -> None:
    """The quota is spent: the process stands still, unless it does so already."""
    process = sim.procs[ip]
    if seconds <= 0.0 or not process.up or sim.now < process.frozen_until:
        return
    sim.freeze(ip=ip, seconds=seconds)
    sim.at(delay=seconds + TIMER_DELAY_S, fn=lambda: sim.step(ip, process, process.node.tick))


def _running(*, sim: FaultyCluster, addresses: list[str]) -> list[str]:
    return [ip for ip in addresses if sim.procs[ip].up]


def _disks_to_lose(*, sim: FaultyCluster) -> list[str]:
    """Return random running core machines, as many as may lose their disks at the same time."""
    running = _running(sim=sim, addresses=sim.core_ips)
    return sim.rng.sample(running, min(sim.losses, len(running)))


def _take_down(*, sim: FaultyCluster, ip: str, power: bool, lose_disk: bool) -> None:
    if sim.procs[ip].up:
        sim.kill(ip=ip, power=power or lose_disk)
    if lose_disk:
        _lose_disk(sim=sim, ip=ip)


def _lose_disk(*, sim: FaultyCluster, ip: str) -> None:
    sim.wipe(ip=ip)
    sim.note(who=ip, text="the disk is lost")


def _address(*, sim: FaultyCluster, name: str) -> str:
    """The address of the node that stands at a name, `core-1` or `edge-0`."""
    role, _, number = name.partition("-")
    return (sim.core_ips if role == Role.CORE else sim.edge_ips)[int(number)]
