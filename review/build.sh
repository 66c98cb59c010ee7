#!/bin/sh
# The stand-ins of the scripts are plain Python in review/lib and need no build. This
# checks that they compile and that the build of the deploy file has been run.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - review/lib/*.py review/*/case.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
