"""Stand-ins for the users' platform, as PROTOCOL.md describes it: the store, runners and clients, on loopback addresses.

A case starts `rattanroadd` of the deploy build as separate processes, one per machine, and talks to them over HTTP only.
Needs Python 3.8 or later and its standard library.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(REPOSITORY, "target", "apps", "rattanroadd", "rattanroadd")

# Bounds of sites/ingofero-blockworks.toml.
BOUNDS = {"drainMs": 2000, "graceS": 6, "holdMaxMs": 1000, "retransmitMs": 1300, "recoveryS": 12, "finish_s": 14,
          "stopTimeoutMs": 50, "heartbeatMs": 1500, "visible_ms": 3000, "stableWindowMs": 3000, "cancel_ms": 3000}
HEARTBEATS_BEFORE_REMOVAL = 3
ENDS_PER_REPLY = 500


class Record:
    """Writes one line for each event, with the seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        line = "%8.3f %s" % (self.now(), what)
        for name, value in fields.items():
            line += " %s=%s" % (name, value)
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class HttpServer:
    """Serves HTTP/1.1 with kept-alive connections. The handler returns (status, JSON value), or None to leave the
    request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()
        self.port = 0

    async def start(self, port=0):
        self.port = port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def stop(self):
        """Closes the listener and all connections, as a process that has ended."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                answer = await self.handler(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store: keys with revisions, conditional transactions, leases and watches."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.changes = []
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        # Decides about a call before it is carried out: returns a status to refuse it with, or None.
        self.refuse = lambda method, path, body: None

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.changes.append(item)
        self.notify()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.changes.append({"key": key, "revision": self.revision, "removed": True})
        self.notify()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def run(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        self.expire()
        refused = self.refuse(method, path, body)
        if refused:
            return refused, {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, atRev=self.revision)) if item else (404, {"atRev": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.items[key] for key in page], "hasMore": len(keys) > len(page),
                         "atRev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            events = [change for change in self.changes if change["revision"] > after
                      and change["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        current = {row["key"]: self.items.get(row["key"]) for row in body["expected"]}
        if any((item["revision"] if item else 0) != row["revision"]
               for row, item in zip(body["expected"], [current[row["key"]] for row in body["expected"]])):
            return 412, {"items": [item for item in current.values() if item]}
        for write in body["writes"]:
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        # All changes of a transaction have one revision.
        revision = self.revision + 1
        for write in body["writes"]:
            self.revision = revision - 1
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["remove"]:
            if key in self.items:
                self.revision = revision - 1
                self.remove(key)
        return 200, {"revision": self.revision}


class StoreGate:
    """The way of one host to the store. `refuse` decides about the host's calls before they reach the store: it returns
    a status to refuse a call with, or None."""

    def __init__(self, store):
        self.store = store
        self.refuse = lambda method, path, body: None
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        refused = self.refuse(method, path, body)
        return (refused, {}) if refused else await self.store.handle(method, path, query, headers, body)


class Runner:
    """A runner that starts whatever it is told to (`admissionCheck` is false). A task runs for the milliseconds in its
    `taskSpec`, "ms=N", and ends `done`, or `failed` with "ms=N fail"."""

    def __init__(self, store, record, name, zone, labels, cpu=32000, service="desk"):
        self.store, self.record, self.name, self.zone, self.labels = store, record, name, zone, labels
        self.capacity = {"cpu": cpu, "memMb": 65536, "gpus": 0}
        self.service = service
        self.state = "ready"
        self.http = HttpServer(self.handle)
        self.beats = None
        self.born = 0
        self.seq = 0
        self.is_up = False
        # All runs of all lives, in order: dicts with task, attempt, began, ended, how.
        self.history = []
        # The times at which its lease has lapsed.
        self.lapses_at = []
        # Decides about a call: returns "drop" to leave it unanswered, or None.
        self.fault = lambda path, body: None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.has_lease = False
        self.runs = {}
        self.highest_ended = {}
        self.ends = []
        self.last_end = 0
        self.state = "ready"
        self.ended = asyncio.Event()
        self.is_up = True
        # A runner that is back is registered before it answers its first call.
        if self.http.port:
            self.register()
            await asyncio.sleep(0.02)
        await self.http.start(self.http.port)
        self.register()
        self.beats = asyncio.ensure_future(self.beat())
        self.lapses = asyncio.ensure_future(self.watch_lease())

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def register(self):
        self.seq += 1
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.http.port, "zone": self.zone,
                 "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0, "capacity": self.capacity,
                 "labels": self.labels, "clockMs": self.clock_ms(), "seq": self.seq, "born": self.born}
        if self.state == "draining":
            entry["remainingMs"] = max(0, int((self.drains_until - time.monotonic()) * 1000))
        self.store.put("servers/" + self.name, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(BOUNDS["heartbeatMs"] / 1000)
            self.register()

    async def watch_lease(self):
        while True:
            if self.has_lease and self.clock_ms() >= self.lease_end:
                self.has_lease = False
                self.lapses_at.append(self.record.now())
                for task in list(self.runs):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.005)

    def shut_down(self):
        self.is_up = False
        for task in list(self.runs):
            self.end(task, "died")
        self.beats.cancel()
        self.lapses.cancel()
        self.http.stop()

    async def crash(self):
        """Ends at once. The entry stays until it has been silent for three heartbeats."""
        self.record.add("runner_crashes", runner=self.name, runs=len(self.runs))
        self.shut_down()
        seq = self.seq
        await asyncio.sleep(HEARTBEATS_BEFORE_REMOVAL * BOUNDS["heartbeatMs"] / 1000)
        if self.seq == seq:
            self.store.remove("servers/" + self.name)

    async def drain(self):
        """Reports that it drains, serves for `drainMs` and a little longer, and leaves."""
        self.state = "draining"
        self.drains_until = time.monotonic() + BOUNDS["drainMs"] / 1000
        self.register()
        self.record.add("runner_drains", runner=self.name, runs=len(self.runs))
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 0.5)
        self.record.add("runner_leaves", runner=self.name, runs=len(self.runs))
        self.shut_down()
        self.store.remove("servers/" + self.name)

    def begin(self, task, attempt, spec):
        run = {"runner": self.name, "born": self.born, "task": task, "attempt": attempt, "began": self.record.now(),
               "ended": None, "how": None, "spec": spec, "number": 0, "acked": None}
        self.history.append(run)
        self.runs[task] = run
        self.record.add("run_begins", runner=self.name, task=task, attempt=attempt)
        words = spec.split()
        how = "failed" if "fail" in words else "done"
        asyncio.get_event_loop().call_later(int(words[0][3:]) / 1000, self.finish, run, how)

    def finish(self, run, how):
        if run["ended"] is None and self.runs.get(run["task"]) is run:
            self.end(run["task"], how)

    def end(self, task, how):
        run = self.runs.pop(task)
        run["ended"], run["how"] = self.record.now(), how
        self.record.add("run_ends", runner=self.name, task=task, attempt=run["attempt"], how=how)
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run["attempt"])
        if how == "died":
            return
        self.last_end += 1
        run["number"] = self.last_end
        self.ends.append([self.last_end, task, run["attempt"], how, "", run])
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        fields = json.loads(body) if body else {}
        if self.fault(path, fields) == "drop":
            return None
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance") != self.name:
            return 421, {}
        token = fields.get("fenceToken", 0)
        if token < self.fence:
            return 409, self.reply(reason="fence")
        self.fence = token
        if path == "/hold":
            return await self.hold(fields)
        task, attempt = fields["task"], fields["attempt"]
        if path == "/run-stop":
            self.highest_ended[task] = max(self.highest_ended.get(task, 0), attempt)
            if task in self.runs and self.runs[task]["attempt"] == attempt:
                await asyncio.sleep(BOUNDS["stopTimeoutMs"] / 2000)
                if task in self.runs and self.runs[task]["attempt"] == attempt:
                    self.end(task, "stopped")
            return 200, self.reply()
        if fields["deadlineMs"] <= self.clock_ms():
            return 409, self.reply(reason="late")
        self.extend(fields["deadlineMs"])
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            return 200, self.reply()
        if attempt <= self.highest_ended.get(task, 0) or task in self.runs:
            return 409, self.reply(reason="old")
        self.begin(task, attempt, fields["taskSpec"])
        return 200, self.reply()

    def extend(self, deadline_ms):
        self.lease_end = max(self.lease_end, min(deadline_ms, self.clock_ms() + BOUNDS["holdMaxMs"]))
        self.has_lease = self.clock_ms() < self.lease_end

    def reply(self, **fields):
        return dict(fields, clockMs=self.clock_ms())

    async def hold(self, fields):
        if "deadlineMs" in fields:
            self.extend(fields["deadlineMs"])
        for end in self.ends:
            if end[0] <= fields.get("ackCursor", 0) and end[5]["acked"] is None:
                end[5]["acked"] = self.record.now()
        self.ends = [end for end in self.ends if end[0] > fields.get("ackCursor", 0)]
        until = time.monotonic() + fields.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        # Lists of runs name the life of the runner, replies to starts and stops don't.
        return 200, self.reply(born=self.born, running=[[run["task"], run["attempt"], "", 50] for run in self.runs.values()],
                               finished=[end[:5] for end in self.ends[:ENDS_PER_REPLY]])


class Host:
    """A machine of the system: one process of the deploy build."""

    def __init__(self, platform, name, zone):
        self.platform, self.name, self.zone = platform, name, zone
        self.callers, self.ready, self.peers, self.metrics = ("127.0.0.1:%d" % free_port() for _ in range(4))
        self.process = None
        self.gate = StoreGate(platform.store)
        self.settings = os.path.join(platform.folder, name + ".json")

    def make_settings(self):
        """Returns what the platform makes of deploy/settings.json."""
        return {
            "host": {"id": self.name, "failure_domain": self.zone, "region": "north"},
            "processor": {"share": 0.25, "cores": 1},
            "platform_limits": {"target_drain_ms": BOUNDS["drainMs"], "target_lease_ms": BOUNDS["holdMaxMs"],
                                "resubmission_ms": BOUNDS["retransmitMs"], "shutdown_s": BOUNDS["graceS"]},
            "listen": {"callers": self.callers, "readiness": self.ready, "peers": self.peers,
                       "metrics": self.metrics},
            "failure_domains": self.platform.zones,
            "store": {"kind": "platform", "address": "127.0.0.1:%d" % self.gate.http.port},
            "logs": {"file": "-"},
        }

    async def start(self):
        if not self.gate.http.port:
            await self.gate.http.start()
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.make_settings(), file)
        log = open(os.path.join(self.platform.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "RATTANROAD_CONFIG": self.settings}
        self.process = await asyncio.create_subprocess_exec(DAEMON, cwd=REPOSITORY, env=environment, stdout=log,
                                                            stderr=log)
        log.close()
        self.platform.record.add("host_starts", host=self.name, pid=self.process.pid)

    def signal(self, number):
        self.platform.record.add("host_signal", host=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        answer = await request(self.ready, "GET", "/ready", {}, b"", 1)
        return answer is not None and answer[0] == 200

    def log_text(self):
        with open(os.path.join(self.platform.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


def free_port():
    """Returns a free port that was not returned before. It is below the range from which the kernel takes the ports of
    outgoing connections, so that it is still free when a process starts again."""
    global next_port
    while True:
        next_port = next_port + 1 if next_port < 31999 else 20000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", next_port))
            except OSError:
                continue
        return next_port


# Cases that are played side by side begin at different ports.
next_port = 20000 + os.getpid() * 97 % 12000


async def request(address, method, path, headers, body, timeout):
    """Sends one request on a connection of its own. Returns (status, body), or None without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address.split(":"))
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            for name, value in dict(headers, **{"Content-Length": str(len(body))}).items():
                head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n" + body)
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = 0
            for line in lines[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            return int(lines[0].split(" ")[1]), await reader.readexactly(length)
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None


class Platform:
    """The store, the runners and the hosts of one case."""

    HOST_NAME = "desk.example"
    PREFIX = "/jobs/"

    def __init__(self, case_folder, zones):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="rattanroad-review-")
        self.zones = zones
        self.store = None
        self.runners = []
        self.hosts = []
        self.tasks = []

    async def start_store(self, maximum_attempts=3):
        self.store = Store()
        self.spawn(self.store.run())
        self.configure(7, maximum_attempts)

    def configure(self, version, maximum_attempts=3):
        """Writes a configuration as the operator does. All versions allow the same."""
        self.record.add("configuration_is_acknowledged", version=version)
        self.store.put("op/config", json.dumps({
            "version": version,
            "routes": [{"name": "r-desk", "host": self.HOST_NAME, "prefix": self.PREFIX, "kind": "unsafe",
                        "timeoutMs": 60000, "targetDurationMs": 5000, "priority": 0, "service": "desk",
                        "maxAttempts": maximum_attempts, "stretch": 10}],
            "services": [{"name": "desk", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}).encode())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def add_runner(self, name, zone, labels, **more):
        runner = Runner(self.store, self.record, name, zone, labels, **more)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def add_host(self, name, zone):
        host = Host(self, name, zone)
        self.hosts.append(host)
        await host.start()
        return host

    async def wait_until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await host.is_ready() for host in self.hosts]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(self, host, method, job, body=None, timeout=5, deadline_ms=3000):
        """Sends a client's request about a job and records it with its answer. Returns (status, JSON) or None."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": self.HOST_NAME, "Content-Type": "application/json", "X-Deadline-Ms": str(deadline_ms)}
        self.record.add("client_sends", method=method, job=job or "-", host=host.name)
        answer = await request(host.callers, method, self.PREFIX + job, headers, data, timeout)
        if answer is None:
            self.record.add("client_no_answer", method=method, job=job or "-", host=host.name)
            return None
        try:
            value = json.loads(answer[1]) if answer[1] else {}
        except ValueError:
            value = {}
        self.record.add("client_answer", method=method, job=job or "-", host=host.name, status=answer[0],
                        body=json.dumps(value, separators=(",", ":")))
        return answer[0], value

    def runs(self, job):
        """Returns all runs of the tasks of a job, in the order in which they began."""
        return sorted((run for runner in self.runners for run in runner.history
                       if run["task"].startswith(job + ".")), key=lambda run: run["began"])

    async def stop(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                try:
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                except ProcessLookupError:
                    pass
                await host.process.wait()
        for runner in self.runners:
            if runner.is_up:
                runner.shut_down()
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.gate.http.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            sys.stderr.write("logs of the hosts: %s\n" % self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, zones, play, seconds=115):
    """Plays a case. `play(platform, trouble)` returns a list of violations of the rule. Exits with 1 if there is one, 0
    if there is none, and 2 if the case could not run."""
    async def run():
        platform = Platform(case_folder, zones)
        # A case that is told to stop ends what it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        platform.record.add("case_begins", trouble=int(trouble))
        try:
            if not os.access(DAEMON, os.X_OK):
                raise RuntimeError("no build of the deploy file at " + DAEMON)
            violations = await asyncio.wait_for(play(platform, trouble), seconds)
            for violation in violations:
                platform.record.add("VIOLATION", rule=violation)
                print("violation: " + violation)
            platform.record.add("case_ends", violations=len(violations))
            return 1 if violations else 0
        except (Exception, asyncio.CancelledError) as error:  # The case could not run; not a verdict.
            platform.record.add("case_could_not_run", error=repr(error))
            print("could not run: %r" % error)
            return 2
        finally:
            await platform.stop()
    sys.exit(asyncio.run(run()))
