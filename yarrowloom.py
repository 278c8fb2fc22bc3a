"""Entry point: one program, the role is the subcommand."""

import sys

from yarrowloom.common import early_signals

if __name__ == "__main__":
    if sys.argv[1:2] in (["core"], ["edge"]):
        early_signals.install()  # before the imports that take time
    from yarrowloom.cli import main

    main()
