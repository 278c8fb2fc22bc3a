"""A signal that comes while a program still loads its modules does what it does later, and kills nothing by default.

The child sends the signals to itself as the first slow import begins: so they come early, whatever the machine.
"""

import errno
import json
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest

from tests.support.loopback import HOST, reserved_ports, settings
from yarrowloom.common import early_signals
from yarrowloom.common.log import Log
from yarrowloom.common.settings import SETTINGS_FILE_VARIABLE, check
from yarrowloom.node.startup import open_core
from yarrowloom.storage import RingJournal

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIMIT_S = 60.0


@pytest.fixture
def ports() -> Iterator[list[int]]:
    with reserved_ports(2) as held:
        yield held


def child_of(*, folder: pathlib.Path, ports: list[int], signals: list[int]) -> "subprocess.Popen[str]":
    """A core that gets these signals as it imports its command line."""
    control, inner = ports
    document = settings(
        binds={"control": f"{HOST}:{control}"}, inner=inner, seed=f"{HOST}:{control}", data=str(folder / "data")
    )
    (folder / "data").mkdir()
    file = folder / "local.json"
    file.write_text(json.dumps(document))
    script = f"""
import importlib.abc, os, runpy, sys

class SignalAtImport(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "yarrowloom.cli":
            for number in {signals}:
                os.kill(os.getpid(), number)
        return None

sys.meta_path.insert(0, SignalAtImport())
sys.argv = ["yarrowloom.py", "core"]
runpy.run_path("yarrowloom.py", run_name="__main__")
"""
    return subprocess.Popen(
        [sys.executable, "-c", script],
        cwd=ROOT,
        env={SETTINGS_FILE_VARIABLE: str(file), "PATH": ""},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


@pytest.mark.parametrize("before", [[], [int(signal.SIGHUP)]])
def test_an_early_sigterm_ends_the_process_in_order_once_it_has_started(
    before: list[int], tmp_path: pathlib.Path, ports: list[int]
) -> None:
    child = child_of(folder=tmp_path, ports=ports, signals=[*before, int(signal.SIGTERM)])
    output, _ = child.communicate(timeout=LIMIT_S)
    assert child.returncode == 0, output
    assert "drain-completed" in output


# Guards against the SIGHUP of an operator's tool that ended a process which had just been started (issue 33).
def test_a_process_serves_after_an_early_sighup(tmp_path: pathlib.Path, ports: list[int]) -> None:
    child = child_of(folder=tmp_path, ports=ports, signals=[int(signal.SIGHUP)])
    assert child.stdout is not None
    lines: list[str] = []
    for line in child.stdout:
        lines.append(line)
        if "process-started" in line:
            child.send_signal(signal.SIGTERM)
    assert child.wait(timeout=LIMIT_S) == 0, lines
    assert any("drain-started" in line for line in lines)


def test_an_early_sigint_ends_the_process_with_its_own_code(tmp_path: pathlib.Path, ports: list[int]) -> None:
    child = child_of(folder=tmp_path, ports=ports, signals=[int(signal.SIGINT)])
    output, _ = child.communicate(timeout=LIMIT_S)
    assert child.returncode == 130, output
    assert "Traceback" not in output


# Guards against a process that cannot be ended in order while its disk refuses to be read: the signal was kept for a
# runtime that never came.
def test_a_sigterm_ends_a_process_that_waits_for_its_disk(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(_: RingJournal) -> list[bytes]:
        early_signals._keep(signal.SIGTERM, None)
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(RingJournal, "load", refuse)
    document = settings(binds={"control": f"{HOST}:1"}, inner=7000, seed=f"{HOST}:1", data=str(tmp_path))
    with pytest.raises(SystemExit) as ended:
        open_core(settings=check(document=document), log=Log(name="t", level="error"))
    assert ended.value.code == 0
    assert early_signals.take() == [signal.SIGTERM]
