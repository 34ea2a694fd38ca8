#!/usr/bin/env bash
# Model checks the protocol with spin. Exits non-zero on a violation, on a search that did not finish, or when a state
# that must be reachable is not. --mutations removes one guard at a time and succeeds only if the checker finds a
# counterexample for each.
set -euo pipefail
cd "$(dirname "$0")/.."
model=$PWD/model
# Two minutes for everything; a single search takes a few seconds.
search_seconds=60
memory_mb=2048
depth=200000
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export model search_seconds memory_mb depth folder

# search <model> <macro or "-"> <optimization>: prints "clean", "violation" or "incomplete", then the number of states.
search() {
    local work=$folder/$1-$2 define=()
    [ "$2" = - ] || define=("-D$2")
    mkdir "$work" && cd "$work"
    spin -a "${define[@]}" "$model/$1.pml" >spin.log 2>&1 || { cat spin.log >&2; echo "incomplete 0"; return; }
    gcc "$3" -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DMEMLIM="$memory_mb" -o pan pan.c
    timeout "$search_seconds" ./pan -m"$depth" >pan.log 2>&1 || true
    local states
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    if grep -q 'errors: [1-9]' pan.log; then
        echo "violation ${states:-0}"
    elif grep -q 'errors: 0' pan.log && ! grep -Eq 'max search depth too small|Search not completed' pan.log; then
        echo "clean ${states:-0}"
    else
        echo "incomplete ${states:-0}"
    fi
}
export -f search

# expect <result> <model> <macro or "-">
expect() {
    local result optimization=-O1
    # Most of the time goes to compilation: a search that ends at a violation visits few states.
    [ "$1" = clean ] || optimization=-O0
    result=$(search "$2" "$3" "$optimization")
    echo "$2 $3: $result states (expected: $1)"
    [ "${result%% *}" = "$1" ] && return 0
    tail -n 5 "$folder/$2-$3/pan.log" >&2 || true
    return 1
}
export -f expect

# macros <prefix>: the macros of each model with the prefix, one "model macro" a line.
macros() {
    local name
    for name in segment configuration shard; do
        grep -Eo "#ifn?def $1_[A-Z_]+" "$model/$name.pml" | sed "s/.* /$name /" | sort -u
    done
}

if [ "${1:-}" = --mutations ]; then
    macros NO | sed 's/^/violation /'
else
    printf 'clean segment -\nclean configuration -\nclean shard -\n'
    macros REACH | sed 's/^/violation /'
fi >"$folder/list"
xargs -P 3 -L 1 bash -c 'expect "$@" || exit 1' _ <"$folder/list"
echo "model: $(wc -l <"$folder/list") searches as expected"
