"""Subcommands and their flags are an interface: renames of the code must not reach them."""

import inspect

from yarrowloom.cli import Commands

FLAGS = {
    "check": ["path"],
    "core": ["level"],
    "defaults": [],
    "edge": ["level"],
    "experiment": ["path", "out"],
    "explain": ["addr", "job"],
    "hunt": ["runs", "jobs", "seed", "seconds", "size", "most", "out", "replay"],
    "load": ["addrs", "host", "prefix", "jobs", "rate", "seed"],
    "local": ["cores", "edges", "minions", "jobs", "seed", "rate", "port", "keep"],
    "simulate": ["seed", "seconds", "size", "faults", "digest"],
    "slopes": ["runs", "reps", "out"],
    "state": ["addr"],
    "warm": ["addr"],
}


def test_every_subcommand_keeps_its_flags() -> None:
    commands = {name: method for name, method in vars(Commands).items() if not name.startswith("_")}
    flags = {
        name: [flag for flag in inspect.signature(method).parameters if flag != "self"]
        for name, method in commands.items()
    }
    for name, expected in FLAGS.items():
        assert [flag for flag in flags[name] if flag in expected] == expected, name
