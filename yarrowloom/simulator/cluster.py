"""A deterministic cluster: nodes, links, disks and clocks in one thread of simulated time."""

import math
from collections.abc import Callable
from typing import Any

import orjson

from ..node.core import CoreNode
from ..node.input_scheduler import InputClass, classify_message
from ..transport.http_messages import Request, Response
from ..transport.message_kinds import LANES, Kind, Lane
from ..transport.peer_connections import PROBE_INTERVAL_S
from ..transport.send_queue import PROBES_AFTER_LOSS
from .digest import NO_KIND
from .errors import SimulationError
from .machines.frames import Header
from .machines.machine_set import BOUNDS, BUSY, PORTS, Machines
from .machines.process import Proc

__all__ = ["BOUNDS", "BUSY", "PORTS", "Sim"]


class Sim(Machines):
    """Simulated machines connected by a network that carries frames and HTTP calls.

    Invariant: frames of one lane between two processes arrive in the order in which they were sent.
    """

    def _send(self, ip: str, proc: Proc, dst: str, kind: Kind | None, body: bytes) -> None:
        """Send one frame; without a kind, only a mark that tells the receiver the lane's sequence number."""
        lane = LANES[kind] if kind is not None else Lane.WORK
        key = (ip, dst, proc.process_number, lane)
        seq = self.seq[key] = self.seq.get(key, 0) + 1
        node = proc.node
        head = Header(
            ip=ip,
            node_id=node.node_id,
            incarnation=node.incarnation,
            connection=proc.process_number,
            lane=lane,
            seq=seq,
        )
        if ip != dst and ((ip, dst) in self.cuts or self.rng.random() < self.loss):
            if lane is Lane.WORK and dst not in proc.owing:
                proc.owing.add(dst)
                self.at(delay=PROBE_INTERVAL_S, fn=lambda: self._mark(ip, proc, dst, PROBES_AFTER_LOSS))
            return
        due = self.now if ip == dst else self.now + 0.001 + self.rng.random() * 0.002
        due = self.last[ip, dst, lane] = max(due, self.last.get((ip, dst, lane), 0.0) + 1e-7)  # in order

        self.at(delay=due - self.now, fn=lambda: self._arrive(dst, head, kind, body))

    def _arrive(self, dst: str, head: Header, kind: Kind | None, body: bytes) -> None:
        """A frame reaches its destination; it is lost if no process runs there."""
        to = self.procs.get(dst)
        if to is None or not to.up:
            return
        if to.input_scheduler is None:
            self.step(dst, to, lambda: self._take(dst, to, head, kind, body))
        else:
            self._queue(dst, to, head, kind, body)

    def _take(self, dst: str, to: Proc, head: Header, kind: Kind | None, body: bytes) -> None:
        """Give a frame to a node; frames missing before it are reported to the node first."""
        node_id = head.node_id
        fresh, lost = head.taken(seen=to.seen)
        if not fresh:
            return
        if lost and head.ip != dst:
            if head.lane is Lane.WORK:
                to.node.on_frames_lost(node_id=node_id)
            elif head.lane is Lane.URGENT:
                to.node.on_urgent_frames_lost(node_id=node_id)
        if kind is not None:
            to.node.on_message(node_id=node_id, kind=kind, body=orjson.loads(body))

    def _queue(self, dst: str, to: Proc, head: Header, kind: Kind | None, body: bytes) -> None:
        """Queue a frame for a process whose processor time is charged, as the runtime does."""
        ip, node_id, lane = head.ip, head.node_id, head.lane
        fresh, lost = head.taken(seen=to.seen)
        if lost and lane is Lane.WORK and ip != dst:
            node = self.core(dst)
            self.post(dst, to, lambda: node.on_agent_frames_lost(node_id=node_id), rank=InputClass.AGENT)
            self.post(dst, to, lambda: node.on_scheduler_frames_lost(node_id=node_id), rank=InputClass.SCHEDULING)
        if not fresh or kind is None:
            return
        m = to.duplicates.admit(node_id=node_id, kind=kind, message=orjson.loads(body))
        if m is None:
            return
        rank = classify_message(kind=kind, message=m)
        until = self.now + float(m.get("ttl", 30.0)) if rank is InputClass.CLIENT else math.inf
        self.post(
            dst,
            to,
            lambda: to.node.on_message(
                node_id=node_id, kind=kind, body=to.duplicates.release(node_id=node_id, kind=kind, message=m)
            ),
            rank=rank,
            mark=(1, len(body), 0),
            until=until,
        )

    def _mark(self, ip: str, proc: Proc, dst: str, left: int) -> None:
        proc.owing.discard(dst)
        if proc.up and self.procs.get(ip) is proc and left > 0:
            if (ip, dst) in self.cuts:
                proc.owing.add(dst)
                self.at(delay=PROBE_INTERVAL_S, fn=lambda: self._mark(ip, proc, dst, left - 1))
            else:
                self._digest_frame(ip=ip, dst=dst, kind=NO_KIND, body=b"")
                self._send(ip, proc, dst, None, b"")

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
        """Send an HTTP request from `src`; `back` gets the response and may never be called."""
        self.call_count += 1
        key = self.call_count
        raw = body if body is not None else b"" if document is None else orjson.dumps(document)
        req = Request(method=method, path=path, headers=headers or {}, body=raw)

        def answered(response: Response) -> None:
            if (ip, src) not in self.cuts:
                back(response)

        def arrive() -> None:
            proc = self.procs.get(ip)
            if proc is None or not proc.up or (src, ip) in self.cuts:
                return
            req.sent_after = proc.frozen_at if self.now < proc.frozen_until else self.clock(ip)
            self.calls[key] = answered
            self.callers[key] = src
            self.post(
                ip,
                proc,
                lambda: proc.node.on_http_request(call=key, request=req),
                rank=InputClass.AGENT,
                mark=(0, len(raw), 1),
            )

        self.at(delay=0.002, fn=arrive)

    def ask(
        self,
        *,
        ip: str,
        method: str,
        path: str,
        document: object = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        limit: float = 6.0,
    ) -> tuple[int, Any]:
        """Send an HTTP request and run until the response; return status and body, or 0 and None after `limit` s."""
        got: list[Response] = []
        self.http(
            ip=ip, src="op", method=method, path=path, document=document, body=body, headers=headers, back=got.append
        )
        self.until(cond=lambda: bool(got), limit=limit)
        if not got:
            return 0, None
        return got[0].status, orjson.loads(got[0].body) if got[0].body else None

    def core(self, ip: str) -> CoreNode:
        """Return the core node of a machine."""
        node = self.procs[ip].node
        if not isinstance(node, CoreNode):
            raise SimulationError(text=f"{ip} is no core node")
        return node

    def serving(self, *, group_id: int) -> list[str]:
        """Return the machines whose process serves a group now."""
        out = []
        for ip in self.procs:
            proc = self.procs[ip]
            if proc.up and isinstance(proc.node, CoreNode) and self.now >= proc.frozen_until:
                proc.node.now = self.clock(ip)
                if proc.node.replicas[group_id].is_serving():
                    out.append(ip)
        return out
