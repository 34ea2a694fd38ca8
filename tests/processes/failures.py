#!/usr/bin/env python3
"""Runs six daemons with the stand-ins under load, injects failures, and has the history judged by the checker.

Guards against broken guarantees in the real processes: sockets, timers and the store client included. The failures are a
killed and restarted entry host, one frozen past its takeover, a store outage with a change in progress, a store reply lost
after the write took effect, two operators racing, a leaving target, a failure domain cut off from the others, and a
graceful shutdown under load. Exit status 0 only if the checker accepts the history and every failure took place.
"""
import argparse
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

DOMAINS = ["nyamirambo", "kimironko", "remera"]
HOSTS, TARGETS = 6, 12
STORE, CONTROL, FIRST_TARGET = 22479, 22480, 22501


def call(port, method, path, body=None, headers=None, timeout=20):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body), headers or {})
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text[:1] in (b"{", b"[") else {}
    finally:
        connection.close()


class Fleet:
    def __init__(self, build, folder, seed):
        self.build, self.folder, self.random = build, folder, random.Random(seed)
        self.events, self.lock = [], threading.Lock()
        self.processes, self.starts, self.helpers = {}, {}, []
        self.revision, self.stopping, self.next_name = 0, False, 0
        self.leaving = set()

    def record(self, kind, **fields):
        with self.lock:
            self.events.append({"kind": kind, "time_us": time.time_ns() // 1000, **fields})

    def spawn(self, name, *arguments):
        log = open(f"{self.folder}/{name}.log", "ab")
        return subprocess.Popen(arguments, stdout=log, stderr=log)

    def port(self, host):
        return 22200 + host

    def name(self, host):
        return f"entry-{host}#{self.starts[host]}"

    def start(self, host):
        settings = {
            "host": {"id": f"entry-{host}", "failure_domain": DOMAINS[host % 3], "region": "kigali", "rack": f"r{host}"},
            "listen": {"callers": f"127.0.0.1:{self.port(host)}", "peers": f"127.0.0.1:{22100 + host}"},
            "seeds": [f"127.0.0.1:{22100 + other}" for other in range(3)],
            "store": {"address": f"127.0.0.1:{STORE}"}, "testing": {"allow_link_cuts": True}}
        path = f"{self.folder}/entry-{host}.json"
        with open(path, "w") as file:
            json.dump(settings, file)
        self.starts[host] = self.starts.get(host, 0) + 1
        self.processes[host] = self.spawn(f"entry-{host}", f"{self.build}/apps/rattanroadd/rattanroadd", "--settings", path)
        self.record("process_started", host=self.name(host))

    def ended(self, host):
        self.processes[host].wait(30)
        self.record("process_ended", host=self.name(host))
        return self.processes.pop(host).returncode

    def start_all(self):
        self.helpers = [
            self.spawn("store", f"{self.build}/tests/standins/store_standin", "--port", str(STORE), "--control-port", str(CONTROL)),
            self.spawn("targets", f"{self.build}/tests/standins/target_standin", "--first-port", str(FIRST_TARGET), "--count",
                       str(TARGETS), "--slots", "8", "--history", f"{self.folder}/targets.jsonl")]
        time.sleep(0.5)
        for host in range(HOSTS):
            self.start(host)
        time.sleep(3)

    def inventory(self):
        return {
            "failure_domains": [{"id": domain, "region": "kigali"} for domain in DOMAINS],
            "workers": [{"id": f"w{i}", "failure_domain": DOMAINS[i % 3], "rack": f"r{i}", "cores": 32, "memory_mb": 1024,
                         "accelerators": 0} for i in range(TARGETS)],
            "targets": [{"id": f"t{i}", "worker": f"w{i}", "address": f"127.0.0.1:{FIRST_TARGET + i}", "path": "/run",
                         "kinds": ["quote"], "slots": 8, "connections": 64,
                         "state": "leaving" if f"t{i}" in self.leaving else "active", "not_run_statuses": [503]}
                        for i in range(TARGETS)],
            "teams": [{"id": "desk", "quota_slots": 0, "weight": 1}], "rules": [],
            "entry_hosts": [{"id": f"entry-{i}", "failure_domain": DOMAINS[i % 3]} for i in range(HOSTS)]}

    def apply(self, host, change, base=None):
        headers = {"If-Match": str(self.revision if base is None else base), "Change-Id": change, "Author": "operator"}
        for _ in range(20):
            try:
                status, body = call(self.port(host), "PUT", "/v1/configuration", self.inventory(), headers)
            except OSError:
                status, body = 0, {}
            if status == 200:
                with self.lock:
                    is_new = body["revision"] > self.revision
                    self.revision = max(self.revision, body["revision"])
                if is_new:
                    self.record("revision_accepted", revision=body["revision"])
            if status in (200, 409):
                return status
            time.sleep(0.3)
        return status

    def watch(self):
        seen = {}
        while not self.stopping:
            for host in list(self.processes):
                name = self.name(host)
                try:
                    revision = call(self.port(host), "GET", "/v1/status", timeout=0.5)[1]["configuration_revision"]
                except (OSError, KeyError, ValueError, http.client.HTTPException):
                    continue
                if seen.get(name) != revision:
                    seen[name] = revision
                    self.record("revision_seen", host=name, revision=revision)
            time.sleep(0.1)

    def live(self):
        return self.random.choice(list(self.processes) or [0])

    def caller(self, number):
        while not self.stopping:
            with self.lock:
                self.next_name += 1
                name = f"s{self.next_name}"
            count = self.random.choice([1, 1, 2, 5, 20])
            try:
                identity = call(self.port(self.live()), "POST", "/v1/submission-ids", {"count": 1}, timeout=3)[1]["ids"][0]
            except (OSError, KeyError, ValueError, http.client.HTTPException):
                time.sleep(0.05)
                continue
            self.run_job(name, identity, count)

    def run_job(self, name, identity, count):
        job = {"submission_id": identity, "team": "desk", "deadline_ms": 6000, "tasks": [
            {"kind": "quote", "repeat": "if-not-started", "declared_ms": 40,
             "payload": {"name": f"{name}/{index}", "result": f"{name}/{index}", "run_ms": self.random.randint(10, 80)}}
            for index in range(count)]}
        for attempt in range(6):
            host = self.live()
            request = f"{name}.{attempt}"
            if host not in self.processes:
                continue
            self.record("invoked", request=request, submission=name, host=self.name(host), task_count=count,
                        repeat="if-not-started")
            try:
                status, body = call(self.port(host), "POST", "/v1/jobs", job, timeout=20)
            except (OSError, ValueError, http.client.HTTPException):
                self.record("connection_lost", request=request, submission=name)
                time.sleep(0.2)
                continue
            complete = status == 200
            self.record("answered", request=request, submission=name, complete=complete, results=body.get("results", []),
                        run_state=body.get("run_state", ""), code=body.get("type", "").rsplit("/", 1)[-1])
            if status not in (503,):
                return
            time.sleep(0.2)

    def write_history(self):
        with open(f"{self.folder}/targets.jsonl") as file:
            for line in file:
                event = json.loads(line)
                if event["event"] not in ("start", "end", "fail") or "/" not in event["name"]:
                    continue
                name, index = event["name"].split("/")
                fields = {"time_us": event["time_us"], "submission": name, "task": int(index),
                          "target": f"t{event['target'] - FIRST_TARGET}"}
                if event["event"] == "start":
                    self.events.append({"kind": "started", **fields})
                else:
                    success = event["event"] == "end"
                    self.events.append({"kind": "ended", "success": success, "result": event["name"] if success else "", **fields})
        self.events.sort(key=lambda event: event["time_us"])
        path = f"{self.folder}/history.jsonl"
        with open(path, "w") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")
        return path


def kill_and_restart(fleet):
    fleet.processes[1].send_signal(signal.SIGKILL)
    fleet.ended(1)
    time.sleep(3)
    fleet.start(1)
    time.sleep(2)


def freeze(fleet):
    fleet.record("host_unreachable", host=fleet.name(2))
    fleet.processes[2].send_signal(signal.SIGSTOP)
    time.sleep(5)
    fleet.processes[2].send_signal(signal.SIGCONT)
    fleet.record("host_reachable", host=fleet.name(2))
    time.sleep(2)


def store_outage(fleet):
    call(CONTROL, "POST", "/testing/mode", {"down": True})
    change = threading.Thread(target=fleet.apply, args=(0, "during-outage"))
    change.start()
    time.sleep(3)
    call(CONTROL, "POST", "/testing/mode", {"down": False})
    change.join()
    call(CONTROL, "POST", "/testing/mode", {"lose_next_reply": True})
    assert fleet.apply(3, "lost-reply") == 200, "the change with the lost reply was not settled"


def race(fleet):
    base, results = fleet.revision, []
    operators = [threading.Thread(target=lambda host=host: results.append(fleet.apply(host, f"race-{host}", base)))
                 for host in (0, 4)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    assert sorted(results) == [200, 409], f"two racing operators got {results}"


def leave(fleet):
    fleet.leaving.add("t3")
    assert fleet.apply(0, "t3-leaves") == 200
    fleet.record("target_leaving", target="t3")
    time.sleep(4)


def cut(fleet):
    inside = [0, 3]
    outside = [host for host in fleet.processes if host not in inside]
    for side, others in ((inside, outside), (outside, inside)):
        for host in side:
            call(fleet.port(host), "POST", "/testing/links", {
                "addresses": [f"127.0.0.1:{22100 + other}" for other in others], "hosts": [f"entry-{other}" for other in others]})
    time.sleep(6)
    for host in inside + outside:
        call(fleet.port(host), "POST", "/testing/links", {"addresses": [], "hosts": []})
    time.sleep(2)


def shut_down(fleet):
    fleet.record("shutdown_requested", host=fleet.name(5))
    process = fleet.processes[5]
    process.send_signal(signal.SIGTERM)
    assert fleet.ended(5) == 0, "a graceful shutdown did not end with status 0"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="keep the history in this folder")
    options = parser.parse_args()
    folder = options.keep or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    fleet = Fleet(options.build, folder, options.seed)
    try:
        fleet.start_all()
        assert fleet.apply(0, "first") == 200, "the first configuration was not accepted"
        time.sleep(1)
        threads = [threading.Thread(target=fleet.watch)]
        threads += [threading.Thread(target=fleet.caller, args=(number,)) for number in range(8)]
        for thread in threads:
            thread.start()
        try:
            time.sleep(1)
            for failure in (kill_and_restart, freeze, store_outage, race, leave, cut, shut_down):
                print(f"{failure.__name__}: {len(fleet.events)} events so far", flush=True)
                failure(fleet)
            time.sleep(1)
        finally:
            fleet.stopping = True
            for thread in threads:
                thread.join()
    finally:
        for process in list(fleet.processes.values()) + fleet.helpers:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in list(fleet.processes.values()) + fleet.helpers:
            process.wait(30)
    path = fleet.write_history()
    answers = [event for event in fleet.events if event["kind"] == "answered"]
    complete = sum(event["complete"] for event in answers)
    lost = sum(event["kind"] == "connection_lost" for event in fleet.events)
    print(f"{len(answers)} answers, {complete} complete, {lost} broken connections; history in {path}")
    assert complete > 100, "the load was too low to show anything"
    return subprocess.run([f"{options.build}/tests/history/rattanroad_check_history", path]).returncode


if __name__ == "__main__":
    sys.exit(main())
