"""The simulated cluster with the hooks that faults need.

These are blocked links, slow disks, drifting clocks, crashed processes, and events for observers.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Unpack

import orjson

from ..common.effects import NoEffect
from ..storage import SNAPSHOT_END
from ..transport.http_messages import Response
from ..transport.message_kinds import LANES, Kind, Lane
from .cluster import Sim
from .errors import SimulationError
from .events import Answer, Check, Event, Invocation
from .machines.machine_set import ClusterOptions
from .machines.network import Cut, Cuts, Hold
from .machines.process import Proc

JOURNAL_RECORDS = 120  # a journal begins its next file after so many, as one on a small disk does under load
RESTART_S = 1.0  # a crashed process is started again after this long


def _reason(err: Exception) -> str:
    """An exception, and where it was raised."""
    trace = err.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = "" if trace is None else f" in {trace.tb_frame.f_code.co_name} (line {trace.tb_lineno})"
    return f"{type(err).__name__} {err}{place}"


@dataclass(slots=True, kw_only=True)
class SteadyClock:
    """A monotonic clock: `value` at the true time `since`, and `drift`, its rate above that of true time."""

    since: float
    value: float
    drift: float = 0.0

    def read(self, *, now: float) -> float:
        """Return what the clock shows at the true time `now`."""
        return self.value + (now - self.since) * (1.0 + self.drift)


class FaultyCluster(Sim):
    """A simulated cluster in which faults can be injected.

    Invariants: frames held on a blocked link keep their order and overtake no frame that was sent before them; a
    machine's steady clock never goes back, whatever its drift.
    """

    def __init__(self, *, seed: int, checks: tuple[Check, ...] = (), **kw: Unpack[ClusterOptions]) -> None:
        self.checks = checks
        self.started_s = 0.0  # simulated time from which the times of events count
        self.clocks: dict[str, SteadyClock] = {}
        self.holds: list[Hold] = []
        self.link_delay: dict[str, float] = {}
        self.disk_factor: dict[str, float] = {}
        self.failing_disks: set[str] = set()
        self.journal: dict[tuple[str, int], int] = {}  # by process: records since its current journal file began
        self.pause_after_step: dict[str, float] = {}  # seconds to stop between the next step and its effects
        self.ended: list[str] = []  # processes that crashed, and why
        super().__init__(seed=seed, **kw)
        self.cuts = Cuts()

    # -- events

    def tell(self, event: Event) -> None:
        """Pass an event to all checks."""
        for check in self.checks:
            check.observe(event)

    def note(self, *, who: str, text: str) -> None:
        """Record that something happened now."""
        self.tell(Event(at_s=self.now - self.started_s, who=who, text=text))

    # -- clocks

    def clock(self, ip: str) -> float:
        """A machine's steady clock."""
        clock = self.clocks.get(ip)
        return self.now if clock is None else clock.read(now=self.now)

    def drift(self, *, ip: str, rate: float) -> None:
        """Let a machine's monotonic clock run faster or slower from now on."""
        self.clocks[ip] = SteadyClock(since=self.now, value=self.clock(ip), drift=rate)

    # -- processes

    def step(self, ip: str, proc: Proc, fn: Callable[[], None]) -> None:
        """Handle one input; a process that raises has crashed and is started again later."""
        live = proc.up and self.procs.get(ip) is proc and self.now >= proc.frozen_until
        if live and ip in self.pause_after_step:
            self._pause_before_output(ip, proc, fn)
            return
        try:
            super().step(ip, proc, fn)
        except Exception as err:  # the product's fault, whatever it is
            self._ended(ip, proc, err)

    def _pause_before_output(self, ip: str, proc: Proc, fn: Callable[[], None]) -> None:
        """Handle an input now and carry out its effects only when the process continues."""
        seconds = self.pause_after_step.pop(ip)
        node = proc.node
        node.now, node.wall_now = self.clock(ip), self.wall0 + self.now + self.skew.get(ip, 0.0)
        try:
            fn()
        except Exception as err:
            self._ended(ip, proc, err)
            return
        self.freeze(ip=ip, seconds=seconds)
        super().step(ip, proc, lambda: None)  # frozen: the first thing to be done afterwards

    def _ended(self, ip: str, proc: Proc, err: Exception) -> None:
        self.ended.append(f"ENDED {ip} by itself: {_reason(err)}")
        self.note(who=ip, text=self.ended[-1])
        proc.node.out.sends.clear()
        self.kill(ip=ip)
        self.at(delay=RESTART_S, fn=lambda: self.start(ip=ip))

    def start(self, *, ip: str) -> None:
        """Start a machine's process, unless it runs or the machine is gone."""
        if ip in (*self.core_ips, *self.edge_ips) and not self.procs[ip].up:
            try:
                self.boot(ip=ip)
            except Exception as err:
                self.ended.append(f"ENDED {ip} at its start: {_reason(err)}")
                self.note(who=ip, text=self.ended[-1])
                return
            self.note(who=ip, text="process started")

    def kill(self, *, ip: str, power: bool = False) -> None:
        """End a process; a disk that fails writes keeps no unsynced record."""
        if ip in self.failing_disks and ip in self.disks:
            self.disks[ip].pending = []
        super().kill(ip=ip, power=power)

    # -- disks

    def _sync(self, ip: str, proc: Proc) -> None:
        if proc.disk and not proc.disk_busy:
            self._move_journal(ip, proc)
        usual = self.sync_s
        self.sync_s = usual * self.disk_factor.get(ip, 1.0)
        super()._sync(ip, proc)
        self.sync_s = usual

    def _move_journal(self, ip: str, proc: Proc) -> None:
        """Begin a new journal file with a snapshot of the node after every `JOURNAL_RECORDS` records."""
        written = self.journal.get((ip, proc.process_number), 0) + len(proc.disk)
        if written > JOURNAL_RECORDS:
            written = 0
            head = [*self.core(ip).snapshot_records(), SNAPSHOT_END]
            self._digest_records(ip=ip, bodies=head)
            proc.disk = [(body, NoEffect()) for body in head] + proc.disk
            self.disks[ip].pending[:0] = head
        self.journal[ip, proc.process_number] = written

    # -- links

    def _send(self, ip: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
        for hold in self.holds:
            if ip != dst and hold.cut.covers(src=ip, dst=dst):
                hold.sends.append(lambda: self._send(ip, proc, dst, kind, body))
                return
        delay = max(self.link_delay.get(ip, 0.0), self.link_delay.get(dst, 0.0)) if ip != dst else 0.0
        if delay:
            lane = LANES[kind] if kind is not None else Lane.WORK
            self.last[ip, dst, lane] = max(self.last.get((ip, dst, lane), 0.0), self.now + delay)
        super()._send(ip, proc, dst, kind, body)

    def isolate(self, *, cut: Cut) -> Callable[[], None]:
        """Begin a network partition; the returned function ends it."""
        whole = self._cuts().whole
        whole.append(cut)
        return lambda: whole.remove(cut)

    def hold(self, *, cut: Cut, deliver: bool) -> Callable[[], None]:
        """Block links; the returned function ends it and delivers the held frames, or drops them."""
        hold = Hold(cut=cut)
        self.holds.append(hold)

        def release() -> None:
            self.holds.remove(hold)
            self._cuts().everything = not deliver
            try:
                for send in hold.sends:
                    send()
            finally:
                self._cuts().everything = False

        return release

    def _cuts(self) -> Cuts:
        if not isinstance(self.cuts, Cuts):
            raise SimulationError(text="the cluster's cuts were replaced")
        return self.cuts

    # -- calls

    def http(
        self,
        *,
        ip: str,
        src: str,
        method: str,
        path: str,
        document: object = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        back: Callable[[Response], None],
    ) -> None:
        """Send an HTTP request; the request and its response are passed to all checks."""
        number = self.call_count + 1
        if not src.startswith("i-"):
            raw = body if body is not None else b"" if document is None else orjson.dumps(document)
            self.tell(
                Invocation(
                    at_s=self.now - self.started_s,
                    who=src,
                    text=f"{method} {path} to {ip}",
                    number=number,
                    to=ip,
                    method=method,
                    path=path,
                    headers=headers or {},
                    body=raw,
                )
            )

        def answered(response: Response) -> None:
            if not src.startswith("i-"):
                self.tell(
                    Answer(
                        at_s=self.now - self.started_s,
                        who=src,
                        text=f"{method} {path}: {response.status}",
                        number=number,
                        response=response,
                    )
                )
            back(response)

        super().http(
            ip=ip, src=src, method=method, path=path, document=document, body=body, headers=headers, back=answered
        )
