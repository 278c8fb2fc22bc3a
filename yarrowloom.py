"""Entry point: one program, the role is the subcommand."""

from yarrowloom.cli import main

if __name__ == "__main__":
    main()
