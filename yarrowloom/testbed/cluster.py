"""A small cluster of real processes on loopback: an address for each node, generated settings, one folder."""

import errno
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

import httpcore
import orjson
import trio

from ..common.errors import Finding, UsageError

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SPAN = 16  # internal ports a machine
END_S = 3.0
TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), 3.0)


@dataclass(kw_only=True)
class Node:
    """One process. Invariant: `proc` is None exactly while it does not run."""

    name: str
    kind: str
    ip: str
    zone: str
    region: str
    folder: pathlib.Path
    binds: dict[str, str]
    proc: "subprocess.Popen[bytes] | None" = None
    frozen: bool = False
    starts: int = 0

    def tail(self, *, lines: int = 8) -> str:
        """The last lines it wrote."""
        try:
            return "\n".join((self.folder / "log").read_text(errors="replace").splitlines()[-lines:])
        except OSError:
            return ""


@dataclass(frozen=True, kw_only=True)
class Shape:
    """Sizes and addresses of a cluster.

    With `port` 0, free ports are found; otherwise `port` to `port` + 18 are used. `net` holds the first three
    numbers of the cluster's IPv4 addresses; they are drawn at random if it is empty.
    """

    cores: int = 3
    edges: int = 2
    zones: int = 3
    regions: int = 1
    port: int = 0
    net: str = ""
    beat_ms: int = 1000
    disk_mb: int = 16
    bounds: dict[str, float] = field(default_factory=dict)
    limits: dict[str, int] = field(default_factory=dict)  # in place of the shipped ones, by their published names
    level: str = "info"


def claim(*, ip: str, ports: list[int]) -> int:
    """0 if all ports of an address are free, else the first that is not; raises if the address cannot be used."""
    for port in ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError as err:
                if err.errno == errno.EADDRINUSE:
                    return port
                raise UsageError(
                    text=f"{ip}: not usable ({err.strerror}); all of 127.0.0.0/8 must be loopback, as Linux has it"
                ) from err
    return 0


class Cluster:
    """Owns its processes and its folder: both are gone when the block ends, however it ends."""

    def __init__(self, *, shape: Shape, keep: bool = False) -> None:
        self.shape = shape
        self.keep = keep
        self.nodes: list[Node] = []
        self.folder = pathlib.Path()

    def __enter__(self) -> "Cluster":
        self._tmp = tempfile.TemporaryDirectory(prefix="yarrowloom-rig-", ignore_cleanup_errors=True)
        self.folder = pathlib.Path(self._tmp.name)
        try:
            self._lay_out()
        except BaseException:
            self._tmp.cleanup()
            raise
        return self

    def __exit__(
        self, _kind: type[BaseException] | None, _err: BaseException | None, _trace: TracebackType | None
    ) -> None:
        try:
            self.stop()
        finally:
            if self.keep:
                self._tmp._finalizer.detach()  # type: ignore[attr-defined]
            else:
                self._tmp.cleanup()

    # -- layout

    def _lay_out(self) -> None:
        shape = self.shape
        if shape.cores < 1 or shape.edges < 1 or shape.cores + shape.edges > 250:
            raise UsageError(text="a cluster has at least one core and one edge, and at most 250 nodes")
        for _ in range(20):
            net = shape.net or f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
            base = shape.port or 20000 + secrets.randbelow(10000)
            ips = [f"{net}.{i + 1}" for i in range(shape.cores + shape.edges)]
            taken = [
                Finding(place=f"{ip}:{port}", text="in use")
                for ip in ips
                if (port := claim(ip=ip, ports=list(range(base, base + SPAN + 3))))
            ]
            if not taken:
                break
            if shape.port:
                raise UsageError(
                    text=f"port {shape.port} and the {SPAN + 2} after it must be free; leave --port out "
                    "to have free ones found",
                    findings=taken,
                )
        else:
            raise UsageError(text="no free ports found", findings=taken)
        self.ports = (base + 3, base + 2 + SPAN)
        for i, ip in enumerate(ips):
            core = i < shape.cores
            num = i if core else i - shape.cores
            zone = num % shape.zones
            name = f"{'core' if core else 'edge'}-{num}"
            folder = self.folder / name
            folder.mkdir()
            binds = {"control": f"{ip}:{base}"} if core else {"front": f"{ip}:{base + 1}", "ready": f"{ip}:{base + 2}"}
            self.nodes.append(
                Node(
                    name=name,
                    kind="core" if core else "edge",
                    ip=ip,
                    zone=f"hall-{zone}",
                    region=f"region-{zone % shape.regions}",
                    folder=folder,
                    binds=binds,
                )
            )

    @property
    def cores(self) -> list[Node]:
        """Nodes that keep records."""
        return [n for n in self.nodes if n.kind == "core"]

    @property
    def edges(self) -> list[Node]:
        """Nodes that callers reach."""
        return [n for n in self.nodes if n.kind == "edge"]

    @property
    def zones(self) -> list[str]:
        """Names of the sites that hold cores."""
        return sorted({n.zone for n in self.cores})

    def controls(self) -> list[str]:
        """Control addresses."""
        return [n.binds["control"] for n in self.cores]

    def fronts(self) -> list[str]:
        """Front addresses."""
        return [n.binds["front"] for n in self.edges]

    def find(self, *, name: str) -> Node:
        """A node by name."""
        return next(n for n in self.nodes if n.name == name)

    def settings(self, *, node: Node) -> dict[str, Any]:
        """The settings file of a node; `bootstrap` only before its first start."""
        return {
            "node-name": node.name,
            "role": node.kind,
            "ip": node.ip,
            "zone": node.zone,
            "region": node.region,
            "zones": {n.zone: n.region for n in self.nodes},
            "bind-addrs": node.binds,
            "internal-ports": list(self.ports),
            "seed-nodes": self.controls()[:3],
            "bootstrap": node.starts == 0,
            "data-dir": str(node.folder / "data") if node.kind == "core" else None,
            "limits": {"disk-mb": self.shape.disk_mb, "memory-mb": 300, **self.shape.limits},
            "commands": "heartbeat",
            "beat-interval-ms": self.shape.beat_ms,
            "bounds": {"grace-s": 2, **self.shape.bounds},
        }

    # -- processes

    def start(self, *, node: Node) -> None:
        """Start a node's process in a session of its own, so that a key press ends the rig and not its nodes."""
        (node.folder / "local.json").write_bytes(orjson.dumps(self.settings(node=node)))
        node.starts += 1
        env = {
            **os.environ,
            "YARROWLOOM_NODE_FILE": str(node.folder / "local.json"),
            "MPLBACKEND": "Agg",
            "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
        }
        with open(node.folder / "log", "ab") as log:
            args = [node.kind] if self.shape.level == "info" else [node.kind, f"--level={self.shape.level}"]
            node.proc = subprocess.Popen(
                [sys.executable, str(ROOT / "yarrowloom.py"), *args],
                env=env,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def start_all(self) -> None:
        """All nodes."""
        for node in self.nodes:
            self.start(node=node)

    def kill(self, *, node: Node) -> None:
        """As a crash would."""
        if node.proc is not None:
            node.proc.kill()
            node.proc.wait()
            node.proc, node.frozen = None, False

    def freeze(self, *, node: Node, on: bool) -> None:
        """Stand still, or go on."""
        if node.proc is not None:
            node.proc.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
            node.frozen = on

    def stop(self) -> None:
        """End all processes that this cluster started, by their ids."""
        up = [n for n in self.nodes if n.proc is not None]
        for node in up:
            assert node.proc is not None
            if node.frozen:
                node.proc.send_signal(signal.SIGCONT)
            node.proc.terminate()
        for node in up:
            assert node.proc is not None
            try:
                node.proc.wait(timeout=END_S if node is up[0] else 0.2)
            except subprocess.TimeoutExpired:
                node.proc.kill()
                node.proc.wait()
            node.proc = None

    def watch(self) -> None:
        """Raise if a process ended by itself."""
        dead = [n for n in self.nodes if n.proc is not None and n.proc.poll() is not None]
        if dead:
            raise UsageError(
                text=f"ended by itself: {', '.join(n.name for n in dead)}",
                findings=[Finding(place=n.name, text=line) for n in dead for line in n.tail().splitlines()],
            )

    # -- calls

    async def call(
        self, *, method: str, address: str, path: str, document: object = None, **heads: str
    ) -> tuple[int, Any]:
        """One call; status 0: not reached."""
        try:
            with trio.fail_after(5):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method,
                        f"http://{address}{path}",
                        extensions={"timeout": TIMEOUT},
                        content=orjson.dumps(document) if document is not None else b"",
                        headers={k.replace("_", "-"): v for k, v in heads.items()},
                    )
                    return response.status, orjson.loads(response.content) if response.content else None
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            trio.TooSlowError,
            OSError,
            orjson.JSONDecodeError,
        ):
            return 0, None

    async def configure(
        self, *, document: dict[str, Any], base: int = 0, method: str = "PUT", limit_s: float = 30.0
    ) -> float:
        """Hand a configuration in, again until it is accepted; return the seconds that took."""
        begun = trio.current_time()
        at = 0
        while trio.current_time() - begun < limit_s:
            self.watch()
            address = self.controls()[at % len(self.cores)]
            status, got = await self.call(
                method=method, address=address, path="/config", document=document, If_Match=str(base)
            )
            if status == 200:
                return trio.current_time() - begun
            if status in (400, 409, 412, 422):
                raise UsageError(text=f"configuration refused with {status}: {got}")
            at += 1
            await trio.sleep(0.1)
        raise UsageError(
            text=f"no core node accepted the configuration within {limit_s} s",
            findings=[Finding(place=n.name, text=n.tail(lines=1)) for n in self.cores],
        )

    async def ready(self, *, limit_s: float = 30.0) -> None:
        """Wait until all edges call themselves ready."""
        begun = trio.current_time()
        while trio.current_time() - begun < limit_s:
            self.watch()
            rows = [await self.call(method="GET", address=n.binds["ready"], path="/readiness") for n in self.edges]
            if all(status == 200 for status, _ in rows):
                return
            await trio.sleep(0.1)
        raise UsageError(
            text=f"not all edges became ready within {limit_s} s",
            findings=[Finding(place=n.name, text=n.tail(lines=1)) for n in self.nodes],
        )
