#!/usr/bin/env bash
# Configures and builds into build/ (or $1). Extra arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
