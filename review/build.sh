#!/bin/bash
# Builds what the scripts start besides the project itself: the stand-ins are plain Python without dependencies, so they
# are only compiled. The project's own programs come from the build of the deploy file, in target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m py_compile review/lib/rig.py review/[0-9]/*.py
