#!/usr/bin/env bash
# Installs, builds, starts six entry hosts in three failure domains with stand-ins for targets and store, applies an
# inventory, runs a job of 260 tasks through one host and submits it again through another. Stops by itself; exit status
# 0 only if the answer was complete twice and the targets saw each task start once.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${RATTANROAD_BUILD:-build}
if [ "${RATTANROAD_DEMO_SKIP_BUILD:-0}" != 1 ]; then
    scripts/install-dependencies.sh
    scripts/build.sh "$build"
fi
work=$(mktemp -d)
pids=()
finish() {
    status=$?
    # Entry hosts first, so that they can drain.
    for pid in "${pids[@]:2}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]:2}"; do wait "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]:0:2}"; do kill -TERM "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    [ "$status" = 0 ] || tail -n 3 "$work"/*.log >&2 || true
    rm -rf "$work"
}
trap finish EXIT
fail() { echo "demo failed: $*" >&2; exit 1; }
start() { local log=$1; shift; "$@" >>"$work/$log.log" 2>&1 & pids+=($!); }
await() { # await <what> <command...>: up to 10 s
    local what=$1 i
    shift
    for ((i = 0; i < 100; i++)); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
    fail "$what"
}

start store "$build/tests/standins/store_standin" --port 12479 --control-port 12480
start targets "$build/tests/standins/target_standin" --first-port 19201 --count 12 --slots 8 --speeds 1 --speeds 0.8 \
    --speeds 1.25 --history "$work/history.jsonl"
domains=(nyamirambo kimironko remera)
for i in 1 2 3 4 5 6; do
    cat >"$work/entry-$i.json" <<JSON
{"host": {"id": "entry-$i", "failure_domain": "${domains[$(((i - 1) % 3))]}", "region": "kigali", "rack": "rack-$i"},
 "listen": {"callers": "127.0.0.1:$((18200 + i))", "peers": "127.0.0.1:$((17200 + i))"},
 "seeds": ["127.0.0.1:17201", "127.0.0.1:17202", "127.0.0.1:17203"],
 "store": {"address": "127.0.0.1:12479"},
 "traces": {"sample_share": 1, "file": "$work/traces-$i.jsonl"}}
JSON
    "$build/apps/rattanroadd/rattanroadd" --check-settings --settings "$work/entry-$i.json"
    start "entry-$i" "$build/apps/rattanroadd/rattanroadd" --settings "$work/entry-$i.json"
done
sees_all() { # sees_all <host number>: the host knows the five others
    curl -sf "http://127.0.0.1:$((18200 + $1))/v1/status" |
        python3 -c 'import json,sys; sys.exit(len(json.load(sys.stdin)["members"]) != 5)'
}
for i in 1 2 3 4 5 6; do await "entry-$i does not see the other entry hosts" sees_all "$i"; done
echo "six entry hosts in three failure domains see each other"

python3 - "$work" <<'PY'
import csv, json, sys
work = sys.argv[1]
domains = ["nyamirambo", "kimironko", "remera"]
with open(f"{work}/workers.csv", "w", newline="") as file:
    rows = csv.writer(file)
    rows.writerow(["id", "failure_domain", "rack", "cores", "memory_mb", "accelerators"])
    rows.writerows([f"worker-{i}", domains[i % 3], f"{domains[i % 3]}-{i // 6}", 32, 131072, 0] for i in range(12))
with open(f"{work}/targets.csv", "w", newline="") as file:
    rows = csv.writer(file)
    rows.writerow(["id", "worker", "address", "path", "kinds", "slots", "connections"])
    rows.writerows([f"runner-{i}", f"worker-{i}", f"127.0.0.1:{19201 + i}", "/run", "quote", 8, 64] for i in range(12))
json.dump({
    "failure_domains": [{"id": d, "region": "kigali"} for d in domains],
    "teams": [{"id": "millinery", "quota_slots": 0, "weight": 1}],
    "rules": [{"id": "quotes-once", "kind": "quote", "never_repeat": True}],
    "entry_hosts": [{"id": f"entry-{i + 1}", "failure_domain": domains[i % 3]} for i in range(6)],
}, open(f"{work}/rules.json", "w"))
PY
command=$build/apps/rattanroad/rattanroad
echo "importing the asset register (CSV) and the rules, applying them through entry-1"
"$command" import --workers "$work/workers.csv" --targets "$work/targets.csv" --rules "$work/rules.json" \
    --output "$work/inventory.json" || fail "the register was not imported"
"$command" --server http://127.0.0.1:18201 apply "$work/inventory.json" --author demo --wait 7 ||
    fail "the inventory was not accepted"
for i in 1 2 3 4 5 6; do await "entry-$i is not ready" curl -sf "http://127.0.0.1:$((18200 + i))/readyz"; done
echo "in force on all six entry hosts"

id=$(curl -sf --data '{"count":1}' http://127.0.0.1:18202/v1/submission-ids |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["ids"][0])')
python3 - "$work" "$id" <<'PY'
import json, sys
json.dump({"submission_id": sys.argv[2], "team": "millinery", "deadline_ms": 20000, "tasks": [
    {"kind": "quote", "payload": {"run_ms": 50, "result": f"quote {i}"}, "repeat": "never", "declared_ms": 50}
    for i in range(260)]}, open(f"{sys.argv[1]}/job.json", "w"))
PY
submit() { # submit <host number> <answer file>
    curl -s -o "$work/$2" -w '%{http_code} %{time_total} s\n' --data @"$work/job.json" \
        "http://127.0.0.1:$((18200 + $1))/v1/jobs"
}
echo "submission $id"
echo "  through entry-2: $(submit 2 first.json)"
echo "  again, entry-6:  $(submit 6 second.json)"
python3 - "$work" <<'PY' || fail "the answers are not complete and equal"
import json, sys
first, second = (json.load(open(f"{sys.argv[1]}/{name}.json")) for name in ("first", "second"))
wanted = [f"quote {i}" for i in range(260)]
for answer in (first, second):
    if answer.get("state") != "complete" or answer.get("results") != wanted:
        sys.exit(f"unexpected answer: {str(answer)[:500]}")
print(f"complete answer: {len(first['results'])} results, {len(open(sys.argv[1] + '/first.json').read())} bytes, twice")
PY
curl -sf 'http://127.0.0.1:19201/standin/counts?total' >"$work/counts.json"
started=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["started"])' "$work/counts.json")
distinct=$(grep '"event":"start"' "$work/history.jsonl" | sed 's/.*"task"://' | sort -u | wc -l)
echo "starts seen by the targets: $started, of $distinct different tasks"
[ "$started" = 260 ] && [ "$distinct" = 260 ] || fail "expected 260 starts of 260 tasks"

echo "metrics, from GET /metrics of entry-2:"
curl -sf http://127.0.0.1:18202/metrics | grep -E '^rattanroad_(tasks_total|jobs_total|peer_messages_total)' | sed 's/^/  /'
sleep 0.7 # spans are written every 0.5 s
cat "$work"/traces-*.jsonl 2>/dev/null | python3 -c '
import collections, json, sys
spans = [s for line in sys.stdin for r in json.loads(line)["resourceSpans"] for c in r["scopeSpans"] for s in c["spans"]]
names = collections.Counter(s["name"] for s in spans)
trace = collections.Counter(s["traceId"] for s in spans).most_common(1)
print(f"trace {trace[0][0]}: {trace[0][1]} spans" if trace else "no trace")
print("  spans by hop:", dict(names), "(settings key traces.file)")
sys.exit(0 if trace else 1)' || fail "no trace was written"

echo "stopping the entry hosts with SIGTERM"
for pid in "${pids[@]:2}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:2}"; do wait "$pid" || fail "an entry host ended with status $?"; done
pids=("${pids[@]:0:2}")
echo "demo passed"
