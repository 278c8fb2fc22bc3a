#!/bin/bash
# Builds what the scripts start besides the project itself: the stand-ins are plain Python without dependencies, so they
# are only compiled, without files. The project's own programs come from the build of the deploy file, in target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
for file in review/rig.py review/[0-9]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
