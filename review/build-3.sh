#!/usr/bin/env bash
# The stand-ins of review/11 to review/15 are Python programs of this folder and need no build; this checks that they
# can be read. The program under test is built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/standin.py 1[1-5]/case.py; do
    PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
