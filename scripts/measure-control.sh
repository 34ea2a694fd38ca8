#!/usr/bin/env bash
# Measures what an entry host spends on control without load: processor time, memory and store calls of real daemons on
# loopback, at today's size and at the planned one. Prints one row a size, for docs/CAPACITY.md.
#   scripts/measure-control.sh [seconds per size]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
build=${RATTANROAD_BUILD:-build}
measure() { # measure <hosts> <domains> <targets> <slots>
    work=$(mktemp -d)
    pids=()
    "$build/tests/standins/store_standin" --port 12579 --control-port 12580 >"$work/store.log" 2>&1 &
    pids+=($!)
    sleep 0.3
    for ((i = 0; i < $1; i++)); do
        cat >"$work/s$i.json" <<JSON
{"host": {"id": "entry-$i", "failure_domain": "domain-$((i % $2))", "region": "region-$((i % $2 % 2))", "rack": "r$i"},
 "listen": {"callers": "127.0.0.1:$((18600 + i))", "peers": "127.0.0.1:$((17600 + i))"},
 "seeds": ["127.0.0.1:17600", "127.0.0.1:17601"], "store": {"address": "127.0.0.1:12579"}}
JSON
        "$build/apps/rattanroadd/rattanroadd" --settings "$work/s$i.json" >"$work/d$i.log" 2>&1 &
        pids+=($!)
    done
    sleep 4
    python3 - "$1" "$2" "$3" "$4" >"$work/inventory.json" <<'PY'
import json, sys
hosts, domains, targets, slots = map(int, sys.argv[1:])
json.dump({
    "failure_domains": [{"id": f"domain-{i}", "region": f"region-{i % 2}"} for i in range(domains)],
    "workers": [{"id": f"worker-{i}", "failure_domain": f"domain-{i % domains}", "rack": f"rack-{i // 8}", "cores": 32,
                 "memory_mb": 131072, "accelerators": 0} for i in range(targets)],
    "targets": [{"id": f"runner-{i}", "worker": f"worker-{i}", "address": f"127.0.0.1:{20000 + i}", "path": "/run",
                 "kinds": ["quote", "plan", "size"], "slots": slots, "connections": 64, "state": "active",
                 "not_run_statuses": []} for i in range(targets)],
    "teams": [{"id": f"team-{i}", "quota_slots": 0, "weight": 1} for i in range(34)], "rules": [],
    "entry_hosts": [{"id": f"entry-{i}", "failure_domain": f"domain-{i % domains}"} for i in range(hosts)]}, sys.stdout)
PY
    curl -sf -o /dev/null -X PUT --data @"$work/inventory.json" -H 'If-Match: 0' -H 'Change-Id: c1' -H 'Author: m' \
        http://127.0.0.1:18600/v1/configuration
    sleep 6
    python3 - "$seconds" "$1" "$2" "$3" "${pids[@]:1}" <<'PY'
import json, os, sys, time, urllib.request
seconds, hosts, domains, targets = map(int, sys.argv[1:5])
pids = sys.argv[5:]
tick = os.sysconf("SC_CLK_TCK")
def cpu(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / tick
def rss(pid):
    return next(int(line.split()[1]) for line in open(f"/proc/{pid}/status") if line.startswith("VmRSS")) / 1024
def store():
    counts = json.load(urllib.request.urlopen("http://127.0.0.1:12580/testing/counts"))
    return sum(value for value in counts.values() if isinstance(value, (int, float)) and not isinstance(value, bool))
def revision(host):
    return json.load(urllib.request.urlopen(f"http://127.0.0.1:{18600 + host}/v1/status"))["configuration_revision"]
assert all(revision(host) == 1 for host in range(hosts)), "the configuration is not in force everywhere"
before, calls = [cpu(pid) for pid in pids], store()
time.sleep(seconds)
used = [(cpu(pid) - start) / seconds * 100 for pid, start in zip(pids, before)]
memory = [rss(pid) for pid in pids]
print(f"{hosts} hosts, {domains} domains, {targets} targets: CPU mean {sum(used) / hosts:.2f} % max {max(used):.2f} % of a core; "
      f"memory mean {sum(memory) / hosts:.1f} max {max(memory):.1f} MiB; store calls {(store() - calls) / seconds:.2f}/s")
PY
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
measure 6 3 50 8
measure 6 3 650 16
measure 28 7 650 16
