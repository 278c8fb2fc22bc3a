"""The agent: holds minions' beats, grants their room as exclusive leases, carries orders out and ends back."""

from typing import Any

from ..jobs.state_machine import split_name
from ..jobs.submission import group_of
from ..transport.envelope import Kind
from ..transport.http_server import Response
from .capacity_reports import Share
from .environment import AgentEnvironment
from .failure_detector import care
from .heartbeat_response import LATE_S, answer, settle
from .lease_selection import fits, named, pick
from .minion import Call, Lease, Minion, Phase, Run

RETELL_S = 0.5
LEFT_S = 1.5
DRAIN_MS = 2000  # a minion that is to end serves on this long at least
OVERDUE_S = 0.3  # beyond a beat interval after the time at which a beat was expected
IDLE_S = 3.0  # a lease that its holder neither uses nor returns lapses; holders return far sooner


class Agent:
    """Invariants: room is granted by this agent alone and only for minions it owns; the leases on a minion never
    exceed its capacity; an order is taken only from the group's newest epoch, on a lease it holds; no two lives of
    its process number a lease alike.
    """

    def __init__(
        self,
        *,
        environment: AgentEnvironment,
        hold_ms: int,
        stop_ms: int,
        lag_ms: int,
        drain_ms: int = DRAIN_MS,
        first_lease: int = 1,
    ) -> None:
        self.environment = environment
        self.groups = tuple(environment.groups())
        self.hold_ms = hold_ms
        self.stop_ms = stop_ms
        self.drain_ms = drain_ms
        self.lag_ms = lag_ms
        self.minions: dict[str, Minion] = {}
        self.next = first_lease
        self.share = Share(agent=self)
        self.watch: set[str] = set()  # minions to be looked at each tick
        self.scanned = -9.0
        self.ticked = environment.now
        self.trust = True

    # -- ownership

    def own(self, *, minion_id: str, fence: int, info: dict[str, Any]) -> None:
        """Group 0 gave this agent a minion."""
        old = self.minions.get(minion_id)
        if old is not None and old.fence >= fence:
            return
        if old is not None and old.call is not None:
            self.environment.respond(call=old.call.key, response=Response(status=503))
        self.minions[minion_id] = Minion(
            minion_id=minion_id,
            fence=fence,
            heard=self.environment.now,
            service=info.get("svc", ""),
            zone=info.get("site", ""),
            labels=info.get("labels", []),
        )
        self.share.stale.add(minion_id)
        self.watch.add(minion_id)

    def disown(self, *, minion_id: str) -> None:
        """Group 0 gave it to another, or took it off the list."""
        m = self.minions.pop(minion_id, None)
        if m is not None and m.call is not None:
            self.environment.respond(call=m.call.key, response=Response(status=503))
        self.share.stale.add(minion_id)
        self.watch.discard(minion_id)

    def drop_all(self) -> None:
        """This agent is no longer counted in: what it held is void."""
        for minion_id in list(self.minions):
            self.disown(minion_id=minion_id)

    # -- beats

    def beat(self, *, minion_id: str, document: dict[str, Any], call: Any) -> None:
        """A beat of an owned minion."""
        environment, m = self.environment, self.minions[minion_id]
        if not environment.trusted() or m.phase is Phase.LOST:
            m.heard = environment.now  # it lives, though it may not hold on to what it runs
            environment.respond(call=call, response=Response(status=503))
            return
        if int(document.get("call-seq", m.seq + 1)) <= m.seq:
            environment.respond(call=call, response=Response.of(200, {"fence-no": m.fence}))
            return
        if m.call is not None:
            environment.respond(call=m.call.key, response=Response(status=503))
            m.call = None
        cap, was = m.cap, m.draining
        m.take(document=document, now=environment.now)
        if m.phase is Phase.NEW:
            m.move(Phase.FENCED)
            environment.respond(
                call=call,
                response=Response.of(
                    200, {"fence-no": m.fence, "hold-ms": self.hold_ms, "last-seen": m.seen, "retry-after-ms": 1}
                ),
            )
            return
        if m.phase is Phase.FENCED:
            m.move(Phase.KNOWN)
        if cap != m.cap or was != m.draining or minion_id not in self.share.shown:
            self.share.stale.add(minion_id)
        self.watch.add(minion_id)
        settle(agent=self, m=m, beat=True)
        self.tell(m=m)
        m.call = Call(key=call, at=environment.now, horizon=environment.now)
        answer(agent=self, m=m, fresh=True)

    def leave(self, *, minion_id: str, call: Any) -> None:
        """A minion says that it ends. One that said before that it drains ends now. For another this is the notice: it
        serves on for `drain-ms` or longer, and what it runs counts as running until an end is listed or its hold is
        over.
        """
        m = self.minions.get(minion_id)
        if m is not None and m.phase is not Phase.LOST:
            if m.warned:
                m.losing = m.losing or self.environment.now + LEFT_S
            elif not m.draining:
                m.leave = self.environment.now + self.drain_ms / 1000
            m.draining = True
            self.share.stale.add(minion_id)
        self.environment.respond(call=call, response=Response.of(200, {}))

    def tell(self, *, m: Minion) -> None:
        """Report ends that no group has acknowledged."""
        now = self.environment.now
        batch: dict[int, list[Any]] = {}
        for num, (task, run, how, saved) in sorted(m.ends.items()):
            if num <= m.seen or num in m.acked or now - m.told.get(num, -9.0) < RETELL_S:
                continue
            parts = split_name(task=task)
            if parts is None or len(parts[0]) != 16:
                m.acked.add(num)
                continue
            group_id = group_of(job_id=parts[0], groups=len(self.groups))
            if group_id not in m.att:
                continue
            m.told[num] = now
            batch.setdefault(group_id, []).append([num, task, run, how, saved])
        for group_id, rows in batch.items():
            prim = self.environment.primary(group_id=group_id)
            if prim is not None:
                self.environment.send(
                    node_id=prim[0],
                    kind=Kind.TASK_ENDS,
                    body={"g": group_id, "m": m.minion_id, "f": m.fence, "x": rows},
                )
        m.note()

    def endsok(self, *, body: dict[str, Any]) -> None:
        """A group has ends on both its disks."""
        m = self.minions.get(body["m"])
        if m is None or m.fence != body["f"]:
            return
        for num, task, run in body["x"]:
            if num in m.ends:
                m.acked.add(num)
            self._clear(m=m, task=task, run=run)
        m.note()
        if m.call is not None:
            answer(agent=self, m=m)

    def _clear(self, *, m: Minion, task: str, run: int) -> None:
        r = m.runs.get(task)
        if r is not None and r.run == run:
            del m.runs[task]
            les = m.leases.get(r.lease_id)
            if les is not None and les.own:
                m.reclaim(lease_id=r.lease_id)
                self.share.stale.add(m.minion_id)
            elif les is not None:
                les.task, les.until = "", self.environment.now + IDLE_S

    # -- groups

    def attach(self, *, node_id: str, b: dict[str, Any]) -> None:
        """A group tells what it has on a minion; answer what of it never started."""
        m, group_id = self.minions.get(b["m"]), b["g"]
        prim = self.environment.primary(group_id=group_id)
        if m is None or m.fence != b["f"] or m.phase is not Phase.KNOWN or (prim and prim[1] > b["n"]):
            return
        if group_id in m.att and m.att[group_id] >= (b["n"], b["seq"]):
            return
        m.att[group_id] = (b["n"], b["seq"])
        m.met.add(group_id)
        m.asked = 0
        want = {row[0]: row for row in b["x"]}
        for task, r in list(m.runs.items()):
            if r.group_id == group_id and (task not in want or want[task][1] != r.run):
                if r.sent or r.live:
                    r.stop = True
                else:
                    self._clear(m=m, task=task, run=r.run)
        for lease_id, les in list(m.leases.items()):
            if les.group_id == group_id and not les.task:
                m.reclaim(lease_id=lease_id)
            elif les.group_id == group_id:
                les.own = True  # the attachment lists its run, but no placing node knows the lease
        void = []
        for task, run, cpu, mem, gpu, est in b["x"]:
            have = m.runs.get(task)
            if have is not None and have.run == run:
                if have.stop or have.sent or have.live:
                    continue
                self._clear(m=m, task=task, run=run)
                m.reclaim(lease_id=have.lease_id)
                void.append([task, run])
            elif task in m.running and m.running[task][0] == run:
                les = self._lease(m=m, group_id=group_id, cpu=cpu, mem=mem, gpu=gpu)
                les.task, les.own = task, True
                m.runs[task] = Run(
                    task=task,
                    run=run,
                    group_id=group_id,
                    lease_id=les.lease_id,
                    sent=True,
                    live=True,
                    since=self.environment.now,
                    first=m.running[task][2],
                    est=est,
                )
                m.strays.pop(task, None)
            elif not m.ended(task=task, run=run):
                void.append([task, run])
        self.environment.send(
            node_id=node_id,
            kind=Kind.ATTACHMENT_VERDICT,
            body={"g": group_id, "n": b["n"], "seq": b["seq"], "m": m.minion_id, "f": m.fence, "x": void},
        )
        settle(agent=self, m=m, beat=False)
        self.tell(m=m)
        self.share.stale.add(m.minion_id)
        self.watch.add(m.minion_id)

    def _lease(self, *, m: Minion, group_id: int, cpu: int, mem: int, gpu: int, until: float = 0.0) -> Lease:
        les = Lease(
            lease_id=self.next,
            minion_id=m.minion_id,
            group_id=group_id,
            cpu=cpu,
            mem=mem,
            gpu=gpu,
            until=until or self.environment.now + IDLE_S,
        )
        self.next += 1
        m.lend(les=les)
        return les

    def attached(self, *, m: Minion) -> bool:
        """Whether every group was attached once under the minion's fence."""
        return len(m.met) == len(self.groups)

    def overdue(self, *, m: Minion) -> bool:
        """Whether a beat that should have come has not: the minion may be cut off or dead. A beat that waits for its
        answer does so for LATE_S at most.
        """
        return self.environment.now > m.heard + m.pause + max(self.lag_ms / 1000, LATE_S) + OVERDUE_S

    def open(self, *, m: Minion) -> bool:
        """Whether room of this minion may be granted."""
        return (
            m.phase is Phase.KNOWN
            and not m.draining
            and not self.overdue(m=m)
            and self.environment.now >= m.grey
            and not self.environment.evacuated(zone=m.zone)
            and self.attached(m=m)
        )

    def lease(self, *, node_id: str, b: dict[str, Any]) -> None:
        """Grant room by a task's metadata, on the minions that a cycle chose or (`on` empty) where it fits best; or
        name another agent that seems to have it. What is left on the minions asked for goes back with the answer.
        """
        grants: list[Any] = []
        if self.environment.trusted():
            for m in named(agent=self, b=b) if b.get("on") else pick(agent=self, b=b):
                until = self.environment.now + b["mark"] if b.get("mark") else 0.0
                les = self._lease(m=m, group_id=b["g"], cpu=b["cpu"], mem=b["mem"], gpu=b["gpu"], until=until)
                grants.append([les.lease_id, m.minion_id, m.att[b["g"]][1]])
                self.share.stale.add(m.minion_id)
        redir = ""
        if len(grants) < b["n"]:
            for other, (at, view) in sorted(self.share.views.items()):
                if (
                    other != self.environment.node_id
                    and other not in b["been"]
                    and self.environment.now - at < 1.5
                    and any(fits(row=row, b=b) for row in view.get(b["svc"], []))
                ):
                    redir = other
                    break
        left = [
            [minion_id, *self.minions[minion_id].free()]
            for minion_id, _ in b.get("on", ())
            if minion_id in self.share.shown and minion_id in self.minions
        ]
        self.environment.send(
            node_id=node_id,
            kind=Kind.LEASE_GRANT,
            body={
                "g": b["g"],
                "rid": b["rid"],
                "x": grants,
                "to": redir,
                "r": left,
                "size": [b["cpu"], b["mem"], b["gpu"]],
            },
        )

    def giveback(self, *, b: dict[str, Any]) -> None:
        """Leases that a group returns. One whose run has ended, by a beat's list, is free even before that end is
        durable: nothing runs there any more.
        """
        for minion_id, lease_id in b["x"]:
            m = self.minions.get(minion_id)
            les = m.leases.get(lease_id) if m is not None else None
            if m is None or les is None or les.group_id != b["g"]:
                continue
            run = m.runs.get(les.task)
            if not les.task or (run is not None and run.lease_id == lease_id and m.ended(task=run.task, run=run.run)):
                m.reclaim(lease_id=lease_id)
                self.share.stale.add(minion_id)
                if run is not None:
                    run.lease_id = 0

    def order(self, *, node_id: str, b: dict[str, Any]) -> None:
        """Orders on leases; what cannot be carried out is sent back as never started."""
        nak = []
        touched = set()
        prim = self.environment.primary(group_id=b["g"])
        for minion_id, seq, lease_id, task, run, saved, est in b["x"]:
            m = self.minions.get(minion_id)
            if m is None or m.att.get(b["g"]) != (b["n"], seq) or (prim and prim[1] > b["n"]):
                continue  # an attachment made since, or still to be made, settles it
            les = m.leases.get(lease_id)
            if les is None or les.task or task in m.runs or task in m.running or not self.open(m=m):
                nak.append([minion_id, seq, task, run])
                continue
            les.task, les.until = task, 0.0
            m.runs[task] = Run(
                task=task,
                run=run,
                group_id=b["g"],
                lease_id=lease_id,
                spec=b["sp"][task.split(".", 1)[0]],
                saved=saved,
                est=est,
            )
            touched.add(minion_id)
        if nak:
            self.environment.send(node_id=node_id, kind=Kind.ORDERS_REJECTED, body={"g": b["g"], "n": b["n"], "x": nak})
        for minion_id in sorted(touched):
            m = self.minions[minion_id]
            if m.call is not None:
                answer(agent=self, m=m)

    def refuse(self, *, m: Minion, r: Run) -> None:
        """An order that may no longer go out."""
        self._clear(m=m, task=r.task, run=r.run)
        prim = self.environment.primary(group_id=r.group_id)
        if prim is not None:
            self.environment.send(
                node_id=prim[0],
                kind=Kind.ORDERS_REJECTED,
                body={
                    "g": r.group_id,
                    "n": prim[1],
                    "x": [[m.minion_id, m.att.get(r.group_id, (0, 0))[1], r.task, r.run]],
                },
            )

    def stop(self, *, b: dict[str, Any]) -> None:
        """A group wants runs stopped."""
        for minion_id, task, run in b["x"]:
            m = self.minions.get(minion_id)
            r = m.runs.get(task) if m is not None else None
            if m is None or r is None or r.run != run:
                continue
            if not r.sent:
                self.refuse(m=m, r=r)
            else:
                r.stop = True
            if m.call is not None:
                answer(agent=self, m=m)

    def lostok(self, *, b: dict[str, Any]) -> None:
        """A group has taken note of a loss."""
        m = self.minions.get(b["m"])
        if m is not None and m.phase is Phase.LOST and m.fence == b["f"]:
            m.lostok.add(b["g"])

    def gap(self, *, node_id: str) -> None:
        """Frames from a node were lost: what its groups said last is not known."""
        for group_id in self.groups:
            prim = self.environment.primary(group_id=group_id)
            if prim is not None and prim[0] == node_id:
                for m in self.minions.values():
                    m.att.pop(group_id, None)

    # -- time

    def tick(self) -> None:
        """Called several times a second."""
        care(agent=self)
