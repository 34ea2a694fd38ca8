"""Stand-ins for the review: the platform's store, runners, clients, and the start of the entry hosts.

They follow PROTOCOL.md and DEPLOY.md of the users' platform. All of them run in one process on an asyncio loop, on
loopback addresses. Everything that is sent, answered and run goes to record.txt, one JSON object a line.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(REPOSITORY, "target/apps/rattanroadd/rattanroadd")
ZONES = ["nyamirambo", "kimironko", "remera"]
SERVICE = "huvo11a"
ROUTE_HOST = "nony24.example"
PREFIX = "/lohu930/"

# Bounds of the site ingofero-blockworks (SYSTEM.md).
HOLD_MAX_MS = 1000
STOP_MS = 20  # A stop takes at most stopTimeoutMs = 50.
HEARTBEAT_S = 1.5
FINISH_S = 14
STORE_ANSWER_S = 0.004


def free_port():
    """Returns a free port below the range from which the kernel takes the ports of outgoing connections."""
    while True:
        # Each process begins in a range of its own, so that cases that run side by side seldom meet.
        port = 12000 + (os.getpid() % 200 * 100 + len(tried_ports)) % 20000
        if port in tried_ports or len(tried_ports) > 90:
            port = random.randrange(12000, 32000)
        if port in tried_ports:
            continue
        tried_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


tried_ports = set()


class Record:
    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return round(time.monotonic() - self.started, 4)

    def write(self, event, **fields):
        if not self.file.closed:
            self.file.write(json.dumps({"t": self.now(), "event": event, **fields}) + "\n")

    def close(self):
        self.file.close()


class HttpServer:
    """HTTP/1.1 with keep-alive. The handler returns (status, body), or None to leave the call unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.port = None

    async def listen(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self):
        if self.server:
            self.server.close()
            self.server = None
        self.reset_connections()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                parsed = urllib.parse.urlsplit(target)
                query = {name: values[0] for name, values in urllib.parse.parse_qs(parsed.query).items()}
                answer = await self.handler(method, parsed.path, query, headers, body)
                if answer is None:
                    writer.transport.abort()
                    break
                status, content = answer
                data = json.dumps(content).encode()
                head = (f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                        f"content-length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def http_call(port, method, path, headers=None, body=None, timeout=2.0):
    """Returns (status, body), or None when there was no complete response."""

    async def call():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += [f"content-length: {len(data)}", "content-type: application/json", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                return None
            first, _, content = answer
            try:
                return int(first.split(" ")[1]), json.loads(content or b"{}")
            except json.JSONDecodeError:
                return int(first.split(" ")[1]), {}
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


class Store:
    """The platform's store. Each host has a port of its own, so that its calls can be told from those of the others."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.servers = {}
        self.down = None
        self.down_since = None
        # Called with (host, written keys) when a transaction of a host has been carried out.
        self.on_write = None

    async def add_host(self, host):
        server = HttpServer(lambda *call: self.handle(host, *call))
        await server.listen(free_port())
        self.servers[host] = server
        return server.port

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self, how):
        self.down = how
        self.down_since = time.monotonic()
        if how == "reset":
            for server in self.servers.values():
                server.reset_connections()
        self.record.write("store_down", how=how)

    def come_back(self):
        # Leases pause while the store is down.
        for lease in self.leases.values():
            lease["until"] += time.monotonic() - self.down_since
        self.down = None
        self.record.write("store_back")

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            now = time.monotonic()
            for lease in [name for name, entry in self.leases.items() if entry["until"] <= now]:
                del self.leases[lease]
                keys = [key for key, item in self.items.items() if item["lease"] == lease]
                if keys:
                    self.change([], keys)

    def change(self, writes, removals):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created,
                               "lease": lease}
            self.history.append((self.revision, key, dict(self.items[key])))
        for key in removals:
            if self.items.pop(key, None):
                self.history.append((self.revision, key, {"key": key, "revision": self.revision, "removed": True}))
        self.notify()
        return self.revision

    def put(self, key, content):
        self.change([(key, base64.b64encode(json.dumps(content).encode()).decode(), 0)], [])

    async def handle(self, host, method, path, query, headers, body):
        if self.down == "busy":
            return 503, {}
        if self.down == "reset":
            return None
        if path == "/kv-watch":
            return await self.watch(query)
        answer = self.call(host, method, path, query, body)
        await asyncio.sleep(STORE_ANSWER_S)
        if self.down == "reset":
            return None
        return answer

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def call(self, host, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "atRev": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "hasMore": len(keys) > 500,
                         "atRev": self.revision}
        if path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = {"ttl": ttl, "until": time.monotonic() + ttl / 1000}
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease["until"] = time.monotonic() + lease["ttl"] / 1000
            return 200, {"ttlMs": lease["ttl"]}
        if path == "/kv-txn":
            return self.transact(host, json.loads(body))
        return 404, {}

    def transact(self, host, call):
        def current(key):
            return self.items.get(key)

        expected = call.get("expected", [])
        if any((current(row["key"]) or {"revision": 0})["revision"] != row["revision"] for row in expected):
            return 412, {"items": [current(row["key"]) for row in expected if current(row["key"])]}
        writes = [(row["key"], row["value"], row.get("lease", 0)) for row in call.get("writes", [])]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        revision = self.change(writes, call.get("remove", []))
        keys = [key for key, _, _ in writes]
        self.record.write("store_write", host=host, keys=keys, condition=bool(expected))
        if self.on_write:
            self.on_write(host, keys, bool(expected))
        return 200, {"revision": revision}


class Runner:
    """A runner of the users' platform. It runs whatever it is told to, and its runs end as their taskSpec says."""

    def __init__(self, fleet, name, zone, rack, capacity):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.rack = rack
        self.capacity = capacity
        self.port = free_port()
        self.server = None
        self.is_up = False
        self.born = 0
        self.life = 0
        self.on_start = None

    async def start(self):
        self.is_up = True
        self.life += 1
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.started = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.listed = asyncio.Event()
        self.lapses = []
        self.server = HttpServer(self.handle)
        await self.server.listen(self.port)
        self.fleet.record.write("runner_up", runner=self.name, born=self.born)
        self.fleet.store.put("servers/" + self.name, self.entry())

    def entry(self):
        return {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": self.capacity, "labels": ["a", self.rack],
                "clockMs": self.clock(), "seq": 1, "born": self.born}

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    async def crash(self):
        """The process dies: all channels break, its runs and its ends are gone."""
        self.is_up = False
        self.fleet.record.write("runner_crash", runner=self.name, running=[list(key) for key in self.running])
        for key, run in self.running.items():
            run["timer"].cancel()
            self.fleet.run_ended(self, key, "gone")
        self.running = {}
        await self.server.close()
        asyncio.get_running_loop().create_task(self.leave_list(self.life))

    async def leave_list(self, life):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.life == life and not self.is_up:
            self.fleet.store.change([], ["servers/" + self.name])

    async def keep_leases(self):
        while True:
            await asyncio.sleep(0.01)
            if self.is_up and self.deadline and self.clock() >= self.deadline:
                # A lapse counts once, also when nothing runs.
                self.deadline = 0
                self.lapses.append(time.monotonic())
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key)
        run["timer"].cancel()
        self.last_end += 1
        self.ends.append([self.last_end, key[0], key[1], how, ""])
        self.fleet.run_ended(self, key, how, self.last_end)
        self.listed.set()
        self.listed = asyncio.Event()

    def extend(self, deadline):
        if deadline > self.clock():
            self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        life = self.life
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        call = json.loads(body)
        token = call.get("fenceToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if path == "/run-start":
            answer = self.run_start(call)
        elif path == "/run-stop":
            answer = self.run_stop(call)
        elif path == "/hold":
            answer = await self.hold(call)
        else:
            answer = 404, {}
        return answer if self.is_up and self.life == life else None

    def run_start(self, call):
        key = (call["task"], call["attempt"])
        self.extend(call["deadlineMs"])
        if key in self.running:
            return 200, {"clockMs": self.clock()}
        if call["attempt"] <= self.highest.get(call["task"], 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if call["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        duration, how = self.fleet.outcome_of(call["task"], call["taskSpec"])
        loop = asyncio.get_running_loop()
        self.running[key] = {"timer": loop.call_later(duration, self.end, key, how)}
        self.highest[call["task"]] = call["attempt"]
        self.fleet.run_started(self, key)
        if self.on_start:
            self.on_start(key)
        return 200, {"clockMs": self.clock()}

    def run_stop(self, call):
        key = (call["task"], call["attempt"])
        self.highest[call["task"]] = max(self.highest.get(call["task"], 0), call["attempt"])
        if key in self.running:
            run = self.running[key]
            run["timer"].cancel()
            run["timer"] = asyncio.get_running_loop().call_later(STOP_MS / 1000, self.end, key, "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, call):
        if "deadlineMs" in call:
            self.extend(call["deadlineMs"])
        acknowledged = [end for end in self.ends if end[0] <= call["ackCursor"]]
        for end in acknowledged:
            self.fleet.end_noted(self, (end[1], end[2]), end[0])
        self.ends = self.ends[len(acknowledged):]
        if not self.ends and call.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.listed.wait(), call["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        # 500 ends at a time.
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": [[task, run, "", 50, 0] for task, run in self.running],
                     "finished": self.ends[:500]}


class Host:
    """An entry host: the deploy file's program with the settings of its template, started without arguments."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.front = free_port()
        self.ready = free_port()
        self.peers = free_port()
        self.metrics = free_port()
        self.process = None

    async def prepare(self):
        address = f"127.0.0.1:{await self.fleet.store.add_host(self.name)}"
        self.settings = os.path.join(self.fleet.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({
                "host": {"id": self.name, "failure_domain": self.zone, "region": "kigali"},
                "processor": {"share": 0.25, "cores": 1},
                "platform_limits": {"target_drain_ms": 2000, "target_lease_ms": HOLD_MAX_MS,
                                    "resubmission_ms": 1300, "shutdown_s": 6},
                "listen": {"callers": f"127.0.0.1:{self.front}", "readiness": f"127.0.0.1:{self.ready}",
                           "peers": f"127.0.0.1:{self.peers}", "metrics": f"127.0.0.1:{self.metrics}"},
                "failure_domains": ZONES,
                "store": {"kind": "platform", "address": address},
                "logs": {"file": "-"},
            }, file)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["RATTANROAD_CONFIG"] = self.settings
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([DAEMON], cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record.write("host_started", host=self.name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.fleet.record.write("host_killed", host=self.name)


class Fleet:
    """Six entry hosts in three zones, the store, and the runners of one service."""

    def __init__(self, case_folder, runners_per_zone=2, route=None, hosts_per_zone=2, zones_with_runners=None,
                 capacity=None):
        self.folder = tempfile.mkdtemp(prefix="rattanroad-review-")
        self.record = Record(case_folder)
        self.store = Store(self.record)
        self.hosts = [Host(self, f"front-{zone}-{i + 1}", zone) for zone in ZONES for i in range(hosts_per_zone)]
        capacity = capacity or {"cpu": 32000, "memMb": 131072, "gpus": 0}
        self.runners = [Runner(self, f"i-{zone[:3]}{i:04x}", zone, f"r{ZONES.index(zone)}-{i}", capacity)
                        for zone in (zones_with_runners or ZONES) for i in range(runners_per_zone)]
        self.route = {"name": "r-3hwrr6x", "host": ROUTE_HOST, "prefix": PREFIX, "kind": "unsafe", "timeoutMs": 1500,
                      "targetDurationMs": 60, "priority": 0, "service": SERVICE, "maxAttempts": 3, "stretch": 1.6,
                      **(route or {})}
        # Per task: its starts and ends in order.
        self.runs = {}
        self.tasks = []
        self.failures_left = {}

    async def start(self):
        if not os.path.exists(DAEMON):
            raise CannotRun("the build of the deploy file is missing: " + DAEMON)
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.store.expire_leases()))
        self.store.put("op/config", {
            "version": 7, "routes": [self.route],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        for runner in self.runners:
            await runner.start()
            self.tasks.append(loop.create_task(runner.keep_leases()))
        for host in self.hosts:
            await host.prepare()
        for host in self.hosts:
            host.start()
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(10)
        for host in self.hosts:
            await self.wait_until_ready(host)
        self.record.write("traffic_starts")

    async def wait_until_ready(self, host):
        for _ in range(20):
            answer = await http_call(host.ready, "GET", "/ready", {"Host": "ready"})
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(host.name + " is not ready 20 s after its start")

    async def stop(self):
        for host in self.hosts:
            host.kill()
        for task in self.tasks:
            task.cancel()
        for runner in self.runners:
            if runner.is_up:
                await runner.server.close()
        for server in self.store.servers.values():
            await server.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs of the hosts: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def host(self, name):
        return next(host for host in self.hosts if host.name == name)

    # What the runners run.

    def outcome_of(self, task, spec):
        """Returns how long a run of the task works, and how it ends."""
        fields = json.loads(spec)
        if self.failures_left.get(task, fields.get("failures", 0)) > 0:
            self.failures_left[task] = self.failures_left.get(task, fields.get("failures", 0)) - 1
            return fields["failMs"] / 1000, "failed"
        return fields["ms"] / 1000, "done"

    def run_started(self, runner, key):
        self.runs.setdefault(key[0], []).append(
            {"run": key[1], "runner": runner.name, "life": runner.life, "start": time.monotonic(), "end": None,
             "how": None, "noted": False, "lapsed_before_note": False, "number": None})
        self.record.write("run_started", runner=runner.name, task=key[0], attempt=key[1])

    def find_run(self, runner, key):
        return next(run for run in reversed(self.runs[key[0]])
                    if run["run"] == key[1] and run["runner"] == runner.name and run["life"] == runner.life)

    def run_ended(self, runner, key, how, number=None):
        run = self.find_run(runner, key)
        run.update(end=time.monotonic(), how=how, number=number)
        self.record.write("run_ended", runner=runner.name, task=key[0], attempt=key[1], how=how, number=number)

    def end_noted(self, runner, key, number):
        run = self.find_run(runner, key)
        if not run["noted"]:
            run["noted"] = True
            run["lapsed_before_note"] = any(run["end"] <= lapse for lapse in runner.lapses)
            self.record.write("end_noted", runner=runner.name, task=key[0], attempt=key[1], number=number)

    def runs_of_job(self, job):
        return [(task, run) for task, runs in self.runs.items() if task.startswith(job + ".") for run in runs]

    # Clients.

    async def submit(self, job, spec, phases, first_host=0):
        """Hands a job in as a client does: without a response, the same job goes to another node."""
        body = {"taskSpec": json.dumps(spec), "phases": phases}
        for attempt in range(6):
            host = self.hosts[(first_host + attempt) % len(self.hosts)]
            self.record.write("submit", job=job, host=host.name, body=body)
            answer = await http_call(host.front, "POST", PREFIX + job,
                                     {"Host": ROUTE_HOST, "X-Deadline-Ms": 1500}, body, 1.5)
            self.record.write("submit_answer", job=job, host=host.name, answer=answer)
            if answer and answer[0] not in (502, 504):
                return answer[0]
            await asyncio.sleep(0.3)
        return None

    async def state(self, job):
        """Asks the nodes in turn for the state of a job. Returns (status, state)."""
        for host in self.hosts:
            answer = await http_call(host.front, "GET", PREFIX + job,
                                     {"Host": ROUTE_HOST, "X-Deadline-Ms": 1500}, None, 1.5)
            if answer and answer[0] in (200, 410):
                self.record.write("state", job=job, host=host.name, answer=answer)
                return answer[0], answer[1].get("state")
        self.record.write("state", job=job, answer=None)
        return None, None

    async def wait_for_end(self, job, limit_s):
        """Polls the state until the job has ended or the time is over. Returns the last state."""
        until = time.monotonic() + limit_s
        while True:
            _, state = await self.state(job)
            if state in ("done", "failed", "cancelled") or time.monotonic() >= until:
                return state
            await asyncio.sleep(0.25)


class CannotRun(Exception):
    pass


def run_case(folder, body, **fleet_settings):
    """Runs a case. @p body gets the fleet and whether there is trouble, and returns the list of breaches of the rule.
    Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # Ends the processes also when this one is asked to stop.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(folder, **fleet_settings)
        try:
            await fleet.start()
            breaches = await body(fleet, has_trouble)
            for breach in breaches[:20]:
                fleet.record.write("breach", what=breach)
            fleet.record.write("verdict", trouble=has_trouble, breaches=len(breaches))
            return breaches
        finally:
            await fleet.stop()

    try:
        breaches = asyncio.run(asyncio.wait_for(main(), 115))
    except (Exception, asyncio.CancelledError) as problem:  # A fault of the case is no verdict.
        print("could not run: " + repr(problem))
        sys.exit(2)
    for breach in breaches[:10]:
        print("broken: " + breach)
    print(f"{len(breaches)} breaches, trouble: {'yes' if has_trouble else 'no'}")
    sys.exit(1 if breaches else 0)
