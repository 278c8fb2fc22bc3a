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
    except KeyboardInterrupt:
        sys.exit(130)
