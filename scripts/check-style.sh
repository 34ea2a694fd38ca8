#!/usr/bin/env bash
# Checks formatting of all sources and lints them. Lints only units of which the file, a header or the
# settings changed since the last clean run. --fix formats instead of checking.
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
lint() {
    [ -e "$cache/$1" ] && return 0
    clang-tidy --quiet -p build "$2" 2>/dev/null && touch "$cache/$1"
}
export -f lint
python3 scripts/lint-keys.py "${units[@]}" \
    | xargs -P "${RATTANROAD_LINT_JOBS:-$(nproc)}" -L1 bash -c 'lint "$1" "$2" || { echo "lint: $2" >&2; exit 1; }' lint
echo "style: ${#sources[@]} files clean"
