"""The deploy file: what a clean build needs is listed, and what the build and the roles call exists."""

import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).parents[2]
DEBIAN_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")
# What a program of the build or of a role is, and the system package that brings it.
BROUGHT_BY = {"python3": "python3", "pip": "python3-pip"}


def deploy_file() -> dict[str, object]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def test_packages_are_names_of_system_packages_each_listed_once() -> None:
    packages = deploy_file()["packages"]
    assert isinstance(packages, list)
    assert packages
    assert all(isinstance(name, str) and DEBIAN_NAME.fullmatch(name) for name in packages)
    assert len(set(packages)) == len(packages)


def test_every_program_of_the_build_and_of_the_roles_comes_with_a_listed_package() -> None:
    deploy = deploy_file()
    build, roles, packages = deploy["build"], deploy["roles"], deploy["packages"]
    assert isinstance(build, str)
    assert isinstance(roles, dict)
    assert isinstance(packages, list)
    commands = [part.strip() for part in re.split(r"\|\||&&|;", build)]
    programs = {words[0] for words in map(str.split, commands) if words[0] != "["}  # the shell's own test
    programs |= {role["run"].split()[0] for role in roles.values()}
    programs |= set(re.findall(r"-m (\w+)", build))
    assert programs <= BROUGHT_BY.keys(), programs
    assert {BROUGHT_BY[program] for program in programs} <= set(packages)


def test_what_the_build_installs_is_pinned() -> None:
    lines = (ROOT / "requirements.txt").read_text().split()
    assert lines
    assert all(re.fullmatch(r"[A-Za-z0-9_.-]+==[0-9][0-9A-Za-z.]*", line) for line in lines), lines
