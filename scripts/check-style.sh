#!/usr/bin/env bash
# Checks formatting of all sources and lints them. Lints only files that changed since the last clean run, as the
# result of an unchanged preprocessed file does not change. --fix formats instead of checking.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
[ "${1:-}" = --format-only ] && exit 0
[ -f build/compile_commands.json ] || { echo "run scripts/build.sh first" >&2; exit 2; }
cache=${RATTANROAD_LINT_CACHE:-$HOME/.cache/rattanroad-lint}
mkdir -p "$cache"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
export cache
# The key covers the unit, all headers of the tree and the linter's settings.
headers=$(printf '%s\n' "${sources[@]}" | grep '\.h$' | sort | xargs cat .clang-tidy | sha256sum | cut -c1-32)
export headers
lint() {
    key=$( (echo "$headers"; cat "$1") | sha256sum | cut -c1-48)
    [ -e "$cache/$key" ] && return 0
    clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$cache/$key"
}
export -f lint
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint {} || { echo "lint: {}" >&2; exit 1; }'
echo "style: ${#sources[@]} files clean"
