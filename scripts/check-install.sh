#!/usr/bin/env bash
# Installs the build into a temporary prefix, builds the example against it with find_package, and runs it.
#   scripts/check-install.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install "$build" --prefix "$prefix/usr" >/dev/null
"$prefix/usr/bin/rattanroad" --help >/dev/null
"$prefix/usr/bin/rattanroadd" --help >/dev/null
cmake -S examples/lend_slots -B "$prefix/build" -G Ninja -DCMAKE_PREFIX_PATH="$prefix/usr" >/dev/null
cmake --build "$prefix/build" >/dev/null
"$prefix/build/lend_slots"
