"""The simulated cluster with the product's own journal: real ring files, which move on often."""

import pathlib
from typing import Any

from yarrowloom.node.core import CoreNode
from yarrowloom.node.input_scheduler import InputClass
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.machines.process import Disk, Proc
from yarrowloom.storage import SNAPSHOT_END, RingJournal

SIZE_BYTES = 256 << 10
MOST_BYTES = 1 << 20
MOVES_ON = 0.1  # of the batches begin a new file, as if the one before were full,
MOVES_ON_QUEUED = 0.6  # more of those that are written while events wait for the next batch


class RingSim(Sim):
    """Records are written as the shell's writer does. Invariant: `ring` of a machine is that of its last process; what
    a batch under way when the process ends has brought to the disk is there or not, as the seed says."""

    def __init__(self, *, folder: pathlib.Path, **kw: Any) -> None:
        self.folder = folder
        self.rings: dict[str, RingJournal] = {}
        self.under_way: dict[str, tuple[list[bytes], list[bytes]]] = {}
        self.rotations: dict[str, int] = {}
        super().__init__(**kw)

    def _ring(self, ip: str) -> RingJournal:
        return RingJournal(folder=str(self.folder / ip), file_bytes=SIZE_BYTES, max_file_bytes=MOST_BYTES)

    def boot(self, *, ip: str, first: bool = False) -> None:
        if ip.split(".")[2] == "1":
            super().boot(ip=ip, first=first)
            return
        ring = self._ring(ip)
        disk = self.disks.setdefault(ip, Disk())
        disk.synced, disk.pending = ring.load(), []
        super().boot(ip=ip, first=first)
        self.rings[ip] = ring
        self._put(ip=ip, head=list(disk.synced[:-1]), bodies=[])

    def _put(self, *, ip: str, head: list[bytes], bodies: list[bytes]) -> None:
        ring = self.rings[ip]
        if head:
            head = [*head, SNAPSHOT_END]
            ring.rotate(snapshot_bytes=ring.encoded_bytes(bodies=head))
            self.rotations[ip] = self.rotations.get(ip, 0) + 1
        ring.append(bodies=head + bodies)

    def _sync(self, ip: str, proc: Proc) -> None:
        if proc.disk_busy or not proc.disk:
            return
        proc.disk_busy = True
        batch, proc.disk = proc.disk, []
        bodies = [body for body, _ in batch]
        node = proc.node
        assert isinstance(node, CoreNode)
        ring = self.rings[ip]
        moves_on = (
            MOVES_ON_QUEUED if any(replica.pipeline.pending_events for replica in node.replicas.values()) else MOVES_ON
        )
        full = ring.is_full(extra_bytes=ring.encoded_bytes(bodies=bodies)) or self.rng.random() < moves_on
        head = node.checkpoint() if full else []
        self.under_way[ip] = (head, bodies)

        def synced() -> None:
            if not proc.up or self.procs.get(ip) is not proc:
                return
            del self.under_way[ip]
            self._put(ip=ip, head=head, bodies=bodies)
            proc.disk_busy = False
            self.post(ip, proc, lambda: node.done(effects=[effect for _, effect in batch]), rank=InputClass.URGENT)
            self._sync(ip, proc)

        self.at(delay=self.sync_s * (0.5 + self.rng.random()), fn=synced)

    def kill(self, *, ip: str, power: bool = False) -> None:
        head, bodies = self.under_way.pop(ip, ([], []))
        if (head or bodies) and self.rng.random() < 0.5:
            self._put(ip=ip, head=head, bodies=bodies[: self.rng.randint(0, len(bodies))] if power else bodies)
        super().kill(ip=ip, power=power)
        ring = self.rings.pop(ip, None)
        if ring is not None:
            ring.close()
