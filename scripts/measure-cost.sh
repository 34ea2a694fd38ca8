#!/usr/bin/env bash
# Measures what the dispatcher costs: task starts per second per core of one daemon, and the time that it adds to a task
# against direct requests to the target. Prints one JSON line per run. Usage: scripts/measure-cost.sh [seconds per run]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-5}
build=${RATTANROAD_BUILD:-build}
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT
start() { "$@" 2>>"$work/errors" & pids+=($!); }

hosts=${RATTANROAD_HOSTS:-2} # with 2, each start waits for the journal of the other host
targets=8
start "$build/tests/standins/store_standin" --port 12379 --control-port 12380
start "$build/tests/standins/target_standin" --first-port 19101 --count $((targets / 2)) --slots 64
start "$build/tests/standins/target_standin" --first-port $((19101 + targets / 2)) --count $((targets / 2)) --slots 64
for ((i = 1; i <= hosts; i++)); do
    cat >"$work/host$i.json" <<JSON
{"host":{"id":"entry-$i","failure_domain":"nyamirambo","region":"kigali","rack":"rack-$i"},
 "listen":{"callers":"127.0.0.1:$((18100 + i))","peers":"127.0.0.1:$((17100 + i))"},
 "seeds":["127.0.0.1:17101","127.0.0.1:17102"],"store":{"address":"127.0.0.1:12379"},
 "logs":{"file":"$work/log$i"}}
JSON
    start "$build/apps/rattanroadd/rattanroadd" --settings "$work/host$i.json"
    [ "$i" = 1 ] && daemon=${pids[-1]}
done
python3 - "$targets" "$hosts" >"$work/inventory.json" <<'PY'
import json, sys
targets, hosts = int(sys.argv[1]), int(sys.argv[2])
print(json.dumps({
    "failure_domains": [{"id": "nyamirambo", "region": "kigali"}],
    "workers": [{"id": f"w{i}", "failure_domain": "nyamirambo", "rack": f"r{i}", "cores": 32, "memory_mb": 131072,
                 "accelerators": 0} for i in range(targets)],
    "targets": [{"id": f"t{i}", "worker": f"w{i}", "address": f"127.0.0.1:{19101 + i}", "path": "/run",
                 "kinds": ["quote"], "slots": 64, "connections": 512, "state": "active", "not_run_statuses": []}
                for i in range(targets)],
    "teams": [{"id": "load", "quota_slots": 0, "weight": 1}], "rules": [],
    "entry_hosts": [{"id": f"entry-{i + 1}", "failure_domain": "nyamirambo"} for i in range(hosts)]}))
PY
sleep 1
curl -sf -o /dev/null -X PUT --data @"$work/inventory.json" -H 'If-Match: 0' -H 'Change-Id: measure' \
    -H 'Author: measure' http://127.0.0.1:18101/v1/configuration
for _ in $(seq 50); do curl -sf -o /dev/null http://127.0.0.1:18101/readyz && break; sleep 0.1; done
sleep 2.5 # new keepers treat slots as busy for one lease

ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
direct=()
for ((i = 0; i < targets; i++)); do direct+=(--address "127.0.0.1:$((19101 + i))"); done
# Prints the tool's line with the daemon's CPU time and the starts per second of one fully used core.
jobs() {
    local before after line
    before=$(ticks)
    line=$("$build/benchmarks/load_tool" --address 127.0.0.1:18101 --seconds "$seconds" --warm-up 0 "$@")
    after=$(ticks)
    python3 - "$line" "$before" "$after" "$(getconf CLK_TCK)" <<'PY'
import json, sys
line = json.loads(sys.argv[1])
cpu = (int(sys.argv[3]) - int(sys.argv[2])) / int(sys.argv[4])
tasks = line["requests"] * line["tasks_per_request"]
line["daemon_cpu_s"] = cpu
line["starts_per_s_per_core"] = round(tasks / cpu) if cpu else None
print(json.dumps(line))
PY
}
echo "direct requests to the targets:"
"$build/benchmarks/load_tool" "${direct[@]}" --direct --connections 1 --seconds "$seconds"
"$build/benchmarks/load_tool" "${direct[@]}" --direct --connections 100 --seconds "$seconds"
echo "jobs of 100 tasks through one daemon:"
jobs --connections 8 --tasks 100
echo "jobs of one task through one daemon:"
jobs --connections 1 --tasks 1
