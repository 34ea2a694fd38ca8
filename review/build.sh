#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs without dependencies, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py */case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
