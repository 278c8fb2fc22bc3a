"""The rig over real loopback sockets: bounded runs that leave nothing behind; nothing here sleeps."""

import os
import pathlib
import re
import signal
import socket
import subprocess
import sys

import pytest

from tests.support.loopback import NETWORK
from yarrowloom.common.errors import UsageError
from yarrowloom.testbed.cluster import Cluster, Shape

ROOT = pathlib.Path(__file__).resolve().parents[2]
SMALL = ["--cores=1", "--edges=1", "--minions=3", "--rate=50"]
BOUND_S = 180


def rig(*args: str) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, "yarrowloom.py", *args],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": ":".join(sys.path)},
    )


def left_behind(err: str) -> list[str]:
    """Processes and folders of a rig, as its progress told them, that are still there."""
    pids = re.findall(r"pids=(\S+)", err)[0].split(",")
    folder = re.findall(r"folder=(\S+)", err)[0]
    return [p for p in pids if pathlib.Path(f"/proc/{p}").exists()] + [folder] * pathlib.Path(folder).exists()


def test_local_runs_a_mix_to_its_end() -> None:
    with rig("local", "--jobs=6", *SMALL) as proc:
        out, err = proc.communicate(timeout=BOUND_S)
    rows = dict(line.split("=", 1) for line in out.splitlines())
    assert proc.returncode == 0, err
    assert (rows["jobs"], rows["complete"], rows["lost"], rows["rules-broken"]) == ("6", "6", "0", "0")
    assert left_behind(err) == []


@pytest.mark.parametrize("sig", [signal.SIGINT, signal.SIGTERM])
def test_interrupt_leaves_nothing(sig: signal.Signals) -> None:
    with rig("local", "--jobs=5000", *SMALL) as proc:
        assert proc.stderr is not None
        err = ""
        for line in proc.stderr:
            err += line
            if "event=ready" in line:
                break
        proc.send_signal(sig)
        _, rest = proc.communicate(timeout=BOUND_S)
    assert proc.returncode == 128 + sig
    assert sig.name in rest
    assert left_behind(err) == []


def test_port_in_use_is_told_with_its_place() -> None:
    with socket.create_server((f"{NETWORK}.1", 0)) as other:
        port = other.getsockname()[1]
        with pytest.raises(UsageError) as got, Cluster(shape=Shape(cores=1, edges=1, port=port, net=NETWORK)):
            pass
    assert [f.place for f in got.value.findings] == [f"{NETWORK}.1:{port}"]


def test_a_node_that_ends_by_itself_is_told_with_its_last_words() -> None:
    with Cluster(shape=Shape(cores=1, edges=1)) as cluster:
        node = cluster.nodes[0]
        node.binds = {"control": "nonsense"}
        cluster.start(node=node)
        assert node.proc is not None
        node.proc.wait(timeout=BOUND_S)
        with pytest.raises(UsageError) as got:
            cluster.watch()
        node.proc = None
    assert any("bind-addrs.control" in f.text for f in got.value.findings)
    assert not cluster.folder.exists()


@pytest.mark.parametrize("args", [["--cores=0"], ["--minions=0"], ["--rate=0"], ["--jobs=0"], ["--edges=500"]])
def test_sizes_out_of_bounds_are_wrong_use(args: list[str]) -> None:
    with rig("local", *args) as proc:
        _, err = proc.communicate(timeout=BOUND_S)
    assert proc.returncode == 64
    assert "event=starting" not in err


def test_help_lists_every_subcommand_with_its_flags() -> None:
    with rig("--help") as proc:
        out, _ = proc.communicate(timeout=BOUND_S)
    assert proc.returncode == 0
    for words in (
        "edge [--level=info]",
        "core [--level=info]",
        "check PATH",
        "state ADDR",
        "load ADDRS... --host=HOST",
        "local [--cores=3] [--edges=2]",
    ):
        assert words in out


def test_missing_dependency_is_named() -> None:
    response = subprocess.run(
        [sys.executable, "-S", "-c", "import sys; sys.argv = ['y', 'local']; from yarrowloom.cli import main; main()"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=BOUND_S,
        env={"PATH": os.environ["PATH"]},
    )
    assert response.returncode == 64
    assert "missing dependency fire" in response.stderr
