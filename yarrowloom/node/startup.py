"""The start of a process: settings, identity and state from the disk, then the runtime."""

import secrets
import time
from functools import partial

import trio

from ..common import early_signals
from ..common.defaults import load as load_defaults
from ..common.errors import SettingsError
from ..common.log import Log
from ..common.settings import NodeSettings
from ..common.settings import load as load_settings
from ..storage import SNAPSHOT_END, FileSystem, JournalState, RingJournal, file_sizes, retry_disk_call
from .edge import EdgeNode
from .identity import FIRST_INCARNATION
from .recovery import recover
from .runtime import Runtime

TOKEN_BYTES = 4
_RANDOM_BITS = 30


def _sleep_unless_terminated(seconds: float) -> None:
    """Wait before the disk is tried again; SIGTERM ends the process meanwhile."""
    early_signals.exit_if_terminated()
    time.sleep(seconds)


def open_core(*, settings: NodeSettings, log: Log, file_system: FileSystem | None = None) -> Runtime:
    """A core process, with the identity and state that its disk holds, or new ones.

    Raises:
        SettingsError: The settings name no data directory.
        StorageError: The disk can't be used.
    """
    if settings.data_dir is None:
        raise SettingsError(text="a core needs data-dir")
    size, most = file_sizes(disk_mb=settings.disk_mb)
    ring = RingJournal(folder=settings.data_dir, file_bytes=size, max_file_bytes=most, file_system=file_system)
    records = retry_disk_call(call=ring.load, journal=ring, log=log, sleep=_sleep_unless_terminated)
    if ring.state is JournalState.LOST:  # what is left may be old: join as after the loss of the disk
        log.warn("journal-lost", folder=settings.data_dir)
        records = []
    node = recover(
        settings=settings,
        records=records,
        blank=ring.state is JournalState.EMPTY,
        log=log,
        now=time.monotonic(),
        rand=secrets.randbelow(1 << _RANDOM_BITS) / (1 << _RANDOM_BITS),
        token=secrets.token_hex(TOKEN_BYTES),
        defaults=load_defaults(),
    )
    snapshot = [*node.snapshot_records(), SNAPSHOT_END]
    begin = partial(ring.begin_file, snapshot=snapshot)
    retry_disk_call(call=begin, journal=ring, log=log, sleep=_sleep_unless_terminated)
    return Runtime(node=node, log=log, ring=ring, port=settings.ports[0])


def open_edge(*, settings: NodeSettings, log: Log) -> Runtime:
    """An edge process, under a node ID of this life alone."""
    port = settings.ports[0] + 1
    node_id = f"{settings.ip}:{port}#{secrets.token_hex(TOKEN_BYTES)}"
    node = EdgeNode(settings=settings, node_id=node_id, incarnation=FIRST_INCARNATION, log=log)
    return Runtime(node=node, log=log, ring=None, port=port)


def serve(*, kind: str, level: str = "info") -> None:
    """Run a process of a role, "core" or "edge", until it is told to end."""
    settings = load_settings()
    log = Log(name=kind, level=level)
    runtime = open_core(settings=settings, log=log) if kind == "core" else open_edge(settings=settings, log=log)
    early_signals.restore_interrupt()
    trio.run(runtime.run)
