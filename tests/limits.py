"""No file over 400 lines; no non-test source names the kit's folder."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MOST = 400


def main() -> int:
    """Report every file over the limit."""
    bad = []
    for path in sorted([*ROOT.glob("*.py"), *ROOT.glob("yarrowloom/**/*.py"), *ROOT.glob("tests/**/*.py")]):
        n = len(path.read_text().splitlines())
        if n > MOST:
            bad.append(f"{path.relative_to(ROOT)}: {n} lines, the limit is {MOST}")
    print("\n".join(bad) or "files: all within the limit")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
