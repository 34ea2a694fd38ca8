#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are Python programs without dependencies, so that nothing is compiled: this
# checks that Python is there and can read them, and that the daemon of the deploy build is in place.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else "Python 3.8 or later is needed")' || exit 2
for file in lib-2/standins.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 2
done
if [ ! -x ../target/apps/rattanroadd/rattanroadd ]; then
    echo "build the deploy file first: target/apps/rattanroadd/rattanroadd is missing" >&2
    exit 2
fi
