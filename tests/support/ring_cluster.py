"""The simulated cluster with the real journal: ring files on disk, which are rotated often."""

import pathlib
from typing import Any

from yarrowloom.node.core import CoreNode
from yarrowloom.node.input_scheduler import InputClass
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.machines.process import Disk, Proc
from yarrowloom.storage import SNAPSHOT_END, RingJournal

FILE_BYTES = 256 << 10
MAX_FILE_BYTES = 1 << 20
ROTATION_CHANCE = 0.1  # share of batches that begin a new file, as if the one before were full
ROTATION_CHANCE_QUEUED = 0.6  # the same, of batches written while events wait for the next one


class RingSim(Sim):
    """Records are written as a node's disk writer does.

    Invariant: a machine's journal in `rings` is that of its last process. What of a batch in progress when the process
    ends has reached the disk depends on the seed.
    """

    def __init__(self, *, folder: pathlib.Path, **kw: Any) -> None:
        self.folder = folder
        self.rings: dict[str, RingJournal] = {}
        self.under_way: dict[str, tuple[list[bytes], list[bytes]]] = {}
        self.rotations: dict[str, int] = {}
        super().__init__(**kw)

    def _ring(self, ip: str) -> RingJournal:
        return RingJournal(folder=str(self.folder / ip), file_bytes=FILE_BYTES, max_file_bytes=MAX_FILE_BYTES)

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
        has_queued_events = any(replica.pipeline.pending_events for replica in node.replicas.values())
        rotation_chance = ROTATION_CHANCE_QUEUED if has_queued_events else ROTATION_CHANCE
        full = ring.is_full(extra_bytes=ring.encoded_bytes(bodies=bodies)) or self.rng.random() < rotation_chance
        head = node.snapshot_records() if full else []
        self.under_way[ip] = (head, bodies)

        def synced() -> None:
            if not proc.up or self.procs.get(ip) is not proc:
                return
            del self.under_way[ip]
            self._put(ip=ip, head=head, bodies=bodies)
            proc.disk_busy = False
            self.post(ip, proc, lambda: node.on_synced(effects=[effect for _, effect in batch]), rank=InputClass.URGENT)
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
