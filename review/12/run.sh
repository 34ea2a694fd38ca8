#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 case.py &
case=$!
trap 'kill "$case"' TERM INT
wait "$case"
status=$?
trap - TERM INT
wait "$case" 2>/dev/null
case $status in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
