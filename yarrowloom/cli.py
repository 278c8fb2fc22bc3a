"""The command line: one program, the role is the subcommand."""

import sys

from .base.errs import YarrowError


class Commands:
    """yarrowloom: a cluster scheduler for jobs.

    Exit codes: 0 done, 64 wrong use or unreachable target, 70 internal, 74 disk unusable, 78 settings unusable.
    """

    def edge(self, level: str = "info") -> None:
        """Serve callers; settings from the file named by YARROWLOOM_NODE_FILE."""
        from .node.shell import serve
        serve(kind="edge", level=level)

    def core(self, level: str = "info") -> None:
        """Serve control: records, agent, placing."""
        from .node.shell import serve
        serve(kind="core", level=level)

    def check(self, path: str) -> str:
        """Check a settings file and report all findings."""
        from .base.startup import load
        startup = load(path=path)
        return f"{path}: fit for use by {startup.name}"

    def state(self, addr: str) -> str:
        """Show what the core node at a control address (HOST:PORT) knows."""
        import httpcore
        import orjson

        from .base.errs import UsageError
        try:
            res = httpcore.request("GET", f"http://{addr}/state", extensions={
                "timeout": dict.fromkeys(("connect", "read", "write", "pool"), 3.0)})
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.UnsupportedProtocol) as err:
            raise UsageError(text=f"{addr}: not reached ({type(err).__name__})") from err
        if res.status != 200:
            raise UsageError(text=f"{addr}: answered {res.status}; is it a control address?")
        return orjson.dumps(orjson.loads(res.content), option=orjson.OPT_INDENT_2).decode()

    def explain(self, addr: str, job: str) -> str:
        """Say why a job waits: ask the core node at a control address (HOST:PORT) about a job's ID."""
        import httpcore
        import orjson

        from .base.errs import UsageError
        url = f"http://{addr}/jobs/{job}"
        try:
            for _ in range(3):
                res = httpcore.request("GET", url, extensions={
                    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), 3.0)})
                if res.status != 307:
                    break
                url = dict(res.headers)[b"location"].decode()
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.UnsupportedProtocol) as err:
            raise UsageError(text=f"{url}: not reached ({type(err).__name__})") from err
        if res.status != 200:
            raise UsageError(text=f"{url}: answered {res.status}: {res.content.decode(errors='replace')[:200]}")
        return orjson.dumps(orjson.loads(res.content), option=orjson.OPT_INDENT_2).decode()

    def load(self, *addrs: str, host: str, prefix: str, jobs: int = 50, rate: float = 5.0, seed: int = 1) -> str:
        """Send a seeded mix of jobs to front addresses and report latencies, losses and repeats."""
        import trio

        from .base.errs import UsageError
        from .base.log import pair
        from .load import Load, report
        if not addrs or jobs < 1 or rate <= 0 or not str(prefix).startswith("/"):
            raise UsageError(text="give front addresses, --host, a --prefix that begins with /, jobs and rate above 0")
        load = Load(addrs=tuple(map(str, addrs)), host=str(host), prefix=str(prefix), jobs=jobs, rate=rate, seed=seed)
        trio.run(load.run)
        return " ".join(pair(key=k, val=v) for k, v in report(load=load).items())


def main() -> None:
    """Entry."""
    args = sys.argv[1:]
    try:
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
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(0)
    except KeyboardInterrupt:
        sys.exit(130)
