#!/usr/bin/env bash
# Builds and runs the measurement of response ratio and wasted messages on a virtual clock.
#   scripts/measure.sh [--quick] [--json] [--seed N] [--only KEY]
# --quick ends within 45 s on ten cores; --json prints one flat object. See docs/notes/measure.md.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh "${RATTANROAD_BUILD:-build}" >&2
exec "${RATTANROAD_BUILD:-build}/benchmarks/measure/rattanroad_measure" "$@"
