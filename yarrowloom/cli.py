"""The command line: one program, the role is the subcommand."""

import inspect
import sys
from typing import Any

from .common.errors import YarrowError

EXITS = """Exit codes: 0 done, 1 something was lost or a rule broken, 2 flags that cannot be read, 64 wrong use,
unreachable target, port in use or missing dependency, 70 internal, 74 disk unusable, 78 settings, experiment or faults
unusable, 130 interrupted."""


class Commands:
    """yarrowloom: a cluster scheduler for jobs."""

    def edge(self, level: str = "info") -> None:
        """Serve clients; settings from the file named by YARROWLOOM_NODE_FILE."""
        from .node.startup import serve

        serve(kind="edge", level=level)

    def core(self, level: str = "info") -> None:
        """Serve minions and operators: replicated state, agent, scheduler."""
        from .node.startup import serve

        serve(kind="core", level=level)

    def check(self, path: str) -> str:
        """Check a settings file and report all findings."""
        from .common.settings import load

        settings = load(path=path)
        return f"{path}: fit for use by {settings.name}"

    def defaults(self) -> str:
        """Check the project's own settings (deploy/defaults.toml) and show them."""
        import orjson

        from .common.defaults import load

        return orjson.dumps(load(), option=orjson.OPT_INDENT_2).decode()

    def state(self, addr: str) -> str:
        """Show what the core node at a control address (HOST:PORT) knows."""
        return _show(_fetch(url=f"http://{addr}/state"))

    def explain(self, addr: str, job: str) -> str:
        """Say why a job waits: ask the core node at a control address (HOST:PORT) about a job's ID."""
        return _show(_fetch(url=f"http://{addr}/jobs/{job}"))

    def warm(self, addr: str) -> str:
        """Show hits, misses and core-seconds of warm capacity by job group, for the schedulers of one core node."""
        state = _fetch(url=f"http://{addr}/state")
        return _show({group_id: row["warm"] for group_id, row in state["placing"].items()})

    def load(
        self,
        *addrs: str,
        host: str,
        prefix: str,
        jobs: int = 50,
        rate: float = 5.0,
        seed: int = 1,
        key_file: str = "",
    ) -> str:
        """Send a seeded mix of jobs to front addresses and report latencies, losses and repeats.

        KEY_FILE holds the tenant's key, which so stands in no list of processes.
        """
        import trio

        from .common.errors import UsageError
        from .common.log import pair
        from .loadgen import Load, read_key, report

        if not addrs or jobs < 1 or rate <= 0 or not str(prefix).startswith("/"):
            raise UsageError(text="give front addresses, --host, a --prefix that begins with /, jobs and rate above 0")
        load = Load(
            addresses=tuple(map(str, addrs)),
            host=str(host),
            prefix=str(prefix),
            jobs=jobs,
            rate=rate,
            seed=seed,
            key=read_key(path=str(key_file)) if key_file else "",
        )
        trio.run(load.run)
        return " ".join(pair(key=k, value=v) for k, v in report(load=load).items())

    def local(
        self,
        cores: int = 3,
        edges: int = 2,
        minions: int = 20,
        jobs: int = 100,
        seed: int = 1,
        rate: float = 20.0,
        port: int = 0,
        keep: bool = False,
    ) -> None:
        """Start a small cluster on loopback, run a mix of jobs to its end, clean up; exits 0 if nothing was lost."""
        from .testbed.local import lines, local

        out, good = local(
            cores=cores, edges=edges, minions=minions, jobs=jobs, seed=seed, rate=rate, port=port, keep=keep
        )
        print("\n".join(lines(out=out)))
        sys.exit(0 if good else 1)

    def experiment(self, path: str, out: str = "target/experiments") -> None:
        """Run the experiment that a file (TOML) describes; the report and its raw figures go to a folder of OUT."""
        from .testbed.experiment import experiment
        from .testbed.local import lines

        figs, good = experiment(path=str(path), out=str(out))
        print("\n".join(lines(out=figs)))
        sys.exit(0 if good else 1)

    def simulate(
        self,
        seed: int | None = None,
        seconds: float | None = None,
        size: int | None = None,
        faults: str = "",
        digest: bool = False,
        more_faults: bool = False,
    ) -> None:
        """Play one simulated run of SIZE core nodes with faults from a file (TOML) or drawn from the seed.

        Exits 1 if a rule was broken. --digest also prints, as the last line, a SHA-256 over all frames, disk records
        and HTTP responses of the run; --more-faults also draws kinds of faults that are not drawn as a rule.
        """
        from .simulator.command import simulate

        sys.exit(simulate(seed=seed, seconds=seconds, size=size, faults=faults, digest=digest, more_faults=more_faults))

    def hunt(
        self,
        runs: int = 100,
        jobs: int = 2,
        seed: int = 1,
        seconds: float = 30.0,
        size: int = 3,
        most: int = 1,
        out: str = "",
        replay: str = "",
        more_faults: bool = False,
    ) -> None:
        """Play many simulated runs until MOST of them broke a rule, or REPLAY a recorded run step by step.

        The runs that broke a rule are shrunk, reported and kept as files in OUT, which REPLAY reads. --more-faults
        as with `simulate`. Exits 1 if a rule was broken.
        """
        from .simulator.command import hunting
        from .simulator.command import replay as again

        sys.exit(
            again(path=str(replay))
            if replay
            else hunting(
                runs=runs,
                jobs=jobs,
                seed=seed,
                seconds=seconds,
                size=size,
                most=most,
                out=str(out),
                more_faults=more_faults,
            )
        )

    def slopes(self, *runs: str, reps: int = 5, out: str = "") -> None:
        """Measure on this machine what a heartbeat, a start, a change, a snapshot and a job cost; all runs, or some."""
        from .testbed.local import lines
        from .testbed.slopes import slopes

        print("\n".join(lines(out=slopes(repetitions=reps, out=str(out), only=tuple(map(str, runs))))))


def _show(document: object) -> str:
    import orjson

    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()


def _fetch(*, url: str) -> dict[str, Any]:
    """GET a JSON object from a core node, following redirects to the node that has it.

    Raises:
        UsageError: The node cannot be reached, or answers with another status than 200.
    """
    import httpcore
    import orjson

    from .common.errors import UsageError

    try:
        for _ in range(3):
            response = httpcore.request(
                "GET", url, extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), 3.0)}
            )
            if response.status != 307:
                break
            url = dict(response.headers)[b"location"].decode()
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.UnsupportedProtocol) as err:
        raise UsageError(text=f"{url}: not reached ({type(err).__name__})") from err
    if response.status != 200:
        answer = response.content.decode(errors="replace")[:200]
        raise UsageError(text=f"{url}: answered {response.status}: {answer}; is it a control address?")
    document: dict[str, Any] = orjson.loads(response.content)
    return document


def usage() -> str:
    """Every subcommand with its flags.

    >>> [row.split()[0] for row in usage().splitlines() if row.startswith("  ") and row[2] != " "][:2]
    ['edge', 'core']
    """
    rows = [str(Commands.__doc__), "", "usage: yarrowloom.py COMMAND [ARGUMENTS] [--FLAG=VALUE ...]", ""]
    for name, fn in vars(Commands).items():
        if name.startswith("_"):
            continue
        words = [name]
        for arg in list(inspect.signature(fn).parameters.values())[1:]:
            must = arg.default is inspect.Parameter.empty
            if arg.kind is inspect.Parameter.VAR_POSITIONAL:
                words.append(f"{arg.name.upper()}...")
            elif arg.kind is inspect.Parameter.KEYWORD_ONLY or not must:
                flag = f"--{arg.name}=" + (arg.name.upper() if must else str(arg.default) or "''")
                words.append(flag if must else f"[{flag}]")
            else:
                words.append(arg.name.upper())
        rows += ["  " + " ".join(words), f"      {fn.__doc__}"]
    return "\n".join([*rows, "", EXITS])


def main() -> None:
    """Entry."""
    args = sys.argv[1:]
    try:
        if not args or args[0] in ("-h", "--help", "help"):
            print(usage())
            return
        if args[:1] in (["edge"], ["core"]) and len(args) == 1:
            getattr(Commands(), args[0])()
            return
        import fire

        fire.Fire(Commands, name="yarrowloom")
    except YarrowError as err:
        print(f"yarrowloom: {err.code}: {err.text}", file=sys.stderr)
        for item in err.findings:
            print(f"  {item}", file=sys.stderr)
        sys.exit(err.exit_code)
    except ModuleNotFoundError as err:
        if str(err.name).startswith("yarrowloom"):
            raise
        file = "requirements-rig.txt" if args[:1] in (["experiment"], ["hunt"]) else "requirements.txt"
        print(f"yarrowloom: missing dependency {err.name}: python3 -m pip install -r {file}", file=sys.stderr)
        sys.exit(64)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(0)
    except KeyboardInterrupt:
        sys.exit(130)
