"""Stand-ins for the users' platform, in one process on loopback addresses and the real clock: the store, runners, a
proxy for the link between a host and the store, and clients. They follow PROTOCOL.md and DEPLOY.md."""
import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT = 1.5


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        self.file.write("%8.3f %s\n" % (self.now(), " ".join(str(word) for word in words)))
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with kept-alive connections. The handler returns (status, body) or None for no answer."""

    def __init__(self, handler, ip="127.0.0.1"):
        self.handler = handler
        self.ip = ip
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.address = "%s:%d" % (self.ip, self.server.sockets[0].getsockname()[1])
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                if answer == "reset":
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """As a process that is killed: the port has no listener, and open channels end."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store. `down` is None or "silent", "busy" or "reset"; leases pause while it is down."""

    LATENCY = 0.004
    PAGE_ITEMS = 500
    PAGE_BYTES = 1000000

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> [value bytes, revision, created, lease]
        self.revision = 10
        self.history = []  # (revision, key) of each change
        self.removed_at = {}
        self.leases = {}  # id -> [ttl, end]
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.down = None
        self.server = HttpServer(self.handle)
        self.pages = []  # (time, prefix, bytes) of each page that was answered

    async def start(self):
        self.address = await self.server.start()
        asyncio.ensure_future(self.expire())

    async def expire(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in self.leases.values():
                if self.down:
                    lease[1] += now - last
            last = now
            for lease in [name for name, entry in self.leases.items() if entry[1] <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            await self.remove(key)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        self._put(key, value, lease)
        await self.notify()

    def _put(self, key, value, lease, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items[key][2] if key in self.items else revision
        self.items[key] = [value, revision, created, lease]
        self.history.append((revision, key))

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key, self.revision)
            await self.notify()

    def _remove(self, key, revision):
        self.items.pop(key, None)
        self.removed_at[key] = revision
        self.history.append((revision, key))

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": lease}

    async def handle(self, method, target, headers, body):
        if self.down == "silent":
            return None
        if self.down == "reset":
            return "reset"
        await asyncio.sleep(self.LATENCY)
        if self.down == "busy":
            return 503, {}
        if self.down:
            return None
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {"atRev": self.revision}
            return 200, dict(self.item(query["key"]), atRev=self.revision)
        if url.path == "/kv-range":
            return 200, self.page(query["prefix"], query.get("after", ""))
        if url.path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if url.path == "/kv-txn":
            return await self.transact(json.loads(body))
        if url.path == "/kv-lease":
            self.last_lease += 1
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        match = re.fullmatch(r"/kv-(keep|lease-end)/(\d+)", url.path)
        if match:
            lease = int(match.group(2))
            if lease not in self.leases:
                return 404, {}
            if match.group(1) == "lease-end":
                await self.end_lease(lease)
                return 200, {}
            entry = self.leases[lease]
            entry[1] = time.monotonic() + entry[0] / 1000
            return 200, {"lease": lease, "ttlMs": entry[0]}
        return 404, {}

    def page(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = []
        size = 0
        for key in keys:
            item = self.item(key)
            length = len(item["value"]) + len(key) + 70
            if items and (len(items) == self.PAGE_ITEMS or size + length > self.PAGE_BYTES):
                break
            items.append(item)
            size += length
        self.pages.append((self.record.now(), prefix, size))
        return {"items": items, "hasMore": len(items) < len(keys), "atRev": self.revision}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if self.down:
                return None if self.down == "silent" else "reset"
            latest = {}
            for revision, key in self.history:
                if revision > after and key.startswith(prefix):
                    latest[(revision, key)] = True
            if latest:
                events = []
                for revision, key in sorted(latest):
                    if key in self.items and self.items[key][1] == revision:
                        events.append(self.item(key))
                    elif self.removed_at.get(key) == revision:
                        events.append({"key": key, "revision": revision, "removed": True})
                return 200, {"events": events, "atRev": self.revision}
            rest = end - time.monotonic()
            if rest <= 0:
                return 200, {"events": [], "atRev": self.revision}
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), min(rest, 0.25))

    async def transact(self, body):
        expected = body.get("expected", [])
        for row in expected:
            present = self.items[row["key"]][1] if row["key"] in self.items else 0
            if present != row["revision"]:
                return 412, {"items": [self.item(row["key"]) for row in expected if row["key"] in self.items]}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("writes", []):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0), self.revision)
        for key in body.get("remove", []):
            if key in self.items:
                self._remove(key, self.revision)
        await self.notify()
        return 200, {"revision": self.revision}

    async def go_down(self, how):
        """Calls are left unanswered, refused or reset; also the watches that wait."""
        self.down = how
        await self.notify()

    def come_back(self):
        self.down = None
        # Channels on which nothing was answered are closed.
        for writer in list(self.server.writers):
            writer.transport.abort()


class Link:
    """A TCP proxy for one direction of a network path; the link has a bandwidth and can be cut silently."""

    def __init__(self, target, mbps=None):
        self.target = target
        self.mbps = mbps
        self.is_cut = False
        self.writers = set()
        self.free_at = {"up": 0.0, "down": 0.0}

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % (ip, self.server.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.is_cut:
                await asyncio.sleep(0.05)
            ip, port = self.target.split(":")
            there_reader, there_writer = await asyncio.open_connection(ip, int(port))
            self.writers.add(there_writer)
            await asyncio.gather(self.pump(reader, there_writer, "up"), self.pump(there_reader, writer, "down"))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def pump(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(4096 if self.mbps else 65536)
                if not data:
                    break
                if self.mbps:
                    # All channels of the link share its bandwidth. Late timers do not lower it.
                    start = max(time.monotonic() - 0.02, self.free_at[way])
                    self.free_at[way] = start + len(data) * 8 / (self.mbps * 1e6)
                    delay = self.free_at[way] - time.monotonic()
                    if delay > 0.002:
                        await asyncio.sleep(delay)
                while self.is_cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False


class Runner:
    """A runner. A task's run time in milliseconds stands at the start of its taskSpec: "ms=5000 ..."."""

    HOLD_MAX = 1.0
    STOP_TIME = 0.02

    def __init__(self, platform, name, zone, cpu, labels, service="order-desk"):
        self.platform = platform
        self.record = platform.record
        self.name = name
        self.zone = zone
        self.cpu = cpu
        self.labels = labels
        self.service = service
        self.state = "ready"
        self.server = None
        self.is_up = False
        self.refuses_starts = False
        self.beats = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.is_up = True
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        self.address = await self.server.start()
        self.beats = asyncio.ensure_future(self.beat())
        self.lapses = asyncio.ensure_future(self.lapse())

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def beat(self):
        seq = 0
        while True:
            seq += 1
            entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                     "state": self.state, "coldLeftMs": 0, "capacity": {"cpu": self.cpu, "memMb": 131072, "gpus": 0},
                     "labels": self.labels, "clockMs": self.clock(), "seq": seq, "born": self.born}
            if not self.platform.store.down:
                await self.platform.store.put("servers/" + self.name, json.dumps(entry).encode())
            self.platform.beats[self.name] = time.monotonic()
            await asyncio.sleep(HEARTBEAT)

    async def lapse(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() >= self.lease_end:
                for task in list(self.running):
                    await self.end(task, "lapsed")

    def crash(self):
        """The process ends; nothing that it ran goes on."""
        self.is_up = False
        self.record.write("runner", self.name, "crashes")
        self.beats.cancel()
        self.lapses.cancel()
        for task, run in list(self.running.items()):
            run["timer"].cancel()
            self.record.write("run", task, run["attempt"], "on", self.name, "ends with its runner")
            self.platform.run_ended(task, run["attempt"], self.name, "crashed")
        self.running = {}
        self.server.stop()

    async def end(self, task, how):
        run = self.running.pop(task, None)
        if not run:
            return
        if how != "done":
            run["timer"].cancel()
        self.last_end += 1
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.record.write("run", task, run["attempt"], "on", self.name, "ends", how)
        self.platform.run_ended(task, run["attempt"], self.name, how)
        async with self.changed:
            self.changed.notify_all()

    async def finish(self, task, attempt, seconds):
        await asyncio.sleep(seconds)
        if task in self.running and self.running[task]["attempt"] == attempt:
            await self.end(task, "done")

    def reply(self, status, **fields):
        return status, dict(fields, clockMs=self.clock())

    async def handle(self, method, target, headers, body):
        path = target.split("?")[0]
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.name) != self.name:
            return self.reply(421)
        fields = json.loads(body)
        token = fields.get("fenceToken", 0)
        if path == "/run-start" and self.refuses_starts:
            self.record.write("start", fields["task"], fields["attempt"], "on", self.name, "answered 503, not run")
            return 503, {}
        if token < self.token:
            return self.reply(409, reason="fence")
        self.token = token
        if path == "/run-start":
            return await self.start_run(fields)
        if path == "/run-stop":
            return await self.stop_run(fields)
        if path == "/hold":
            return await self.hold(fields)
        return 404, {}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + int(self.HOLD_MAX * 1000)))

    async def start_run(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        if task in self.running and self.running[task]["attempt"] == attempt:
            self.extend(fields["deadlineMs"])
            return self.reply(200)
        if attempt <= self.highest.get(task, 0):
            self.extend(fields["deadlineMs"])
            return self.reply(409, reason="old")
        if fields["deadlineMs"] <= self.clock():
            return self.reply(409, reason="late")
        self.extend(fields["deadlineMs"])
        self.highest[task] = attempt
        seconds = int(re.match(r"ms=(\d+)", fields["taskSpec"]).group(1)) / 1000
        self.running[task] = {"attempt": attempt,
                              "timer": asyncio.ensure_future(self.finish(task, attempt, seconds))}
        self.record.write("run", task, attempt, "on", self.name, "begins")
        self.platform.run_began(task, attempt, self.name)
        return self.reply(200)

    async def stop_run(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.running and self.running[task]["attempt"] <= attempt:
            asyncio.get_running_loop().call_later(
                self.STOP_TIME, lambda: asyncio.ensure_future(self.end(task, "stopped")))
        return self.reply(200)

    async def hold(self, fields):
        if "deadlineMs" in fields:
            self.extend(fields["deadlineMs"])
        self.ends = [end for end in self.ends if end[0] > fields.get("ackCursor", 0)]
        wait = fields.get("waitMs", 0) / 1000
        if wait > 0:
            known = self.last_end
            until = time.monotonic() + wait
            while self.last_end == known and time.monotonic() < until and not self.ends:
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
        running = [[task, run["attempt"], "", 50, 0] for task, run in self.running.items()]
        return self.reply(200, born=self.born, running=running, finished=self.ends[:500])


class Host:
    """An entry host: the program of the deploy file with settings that are filled in from its template."""

    def __init__(self, platform, name, zone, ip, link, cpu_share=0.25):
        self.platform = platform
        self.name = name
        self.zone = zone
        self.ip = ip
        self.link = link
        self.cpu_share = cpu_share
        self.process = None

    def fields(self):
        ports = {}
        # The ports are held until all are chosen, so that they differ.
        with contextlib.ExitStack() as held:
            for name in ("front", "ready", "first"):
                probe = held.enter_context(socket.socket())
                probe.bind((self.ip, 0))
                ports[name] = probe.getsockname()[1]
        first = ports["first"]
        self.front = "%s:%d" % (self.ip, ports["front"])
        self.ready = "%s:%d" % (self.ip, ports["ready"])
        return {"nodeName": self.name, "zone": self.zone, "region": "kigali", "ip": self.ip,
                "portRange": [first, first + 15], "zones": {zone: "kigali" for zone in self.platform.zones},
                "listen": {"front": self.front, "ready": self.ready},
                "limits": {"cpuShare": self.cpu_share, "cores": 1, "memoryMb": 260, "maxFds": 4100},
                "bounds": {"drainMs": 2000, "holdMaxMs": 1000, "retransmitMs": 1300, "graceS": 6, "status_s": 120},
                "platform": {"address": self.link.address}}

    def prepare(self):
        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
            template = file.read()
        self.settings = os.path.join(self.platform.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill(template, self.fields()))

    def start(self):
        command = self.platform.command
        log = open(os.path.join(self.platform.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C.UTF-8",
                                             "RATTANROAD_CONFIG": self.settings})
        log.close()
        self.platform.record.write("host", self.name, "in", self.zone, "starts, callers at", self.front)

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()
        self.platform.record.write("host", self.name, "gets", signal.Signals(number).name)


def lookup(scopes, path):
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def fill(template, fields):
    """Fills a settings template as DEPLOY.md describes it."""
    tokens = re.split(r"(\{\{.*?\}\})", template)

    def block(position, name):
        nodes = []
        while position < len(tokens):
            token = tokens[position]
            position += 1
            if not token.startswith("{{"):
                nodes.append(("text", token))
                continue
            word = token[2:-2].strip()
            if word[:1] in "#^":
                inner, position = block(position, word[1:])
                nodes.append((word[0], word[1:], inner))
            elif word[:1] == "/":
                return nodes, position
            else:
                nodes.append(("value", word))
        return nodes, position

    def render(nodes, scopes, key, is_last):
        text = ""
        for node in nodes:
            if node[0] == "text":
                text += node[1]
            elif node[0] == "value":
                if node[1] == "@":
                    text += str(key)
                elif node[1] == ",":
                    text += "" if is_last else ","
                else:
                    value = lookup(scopes, node[1])
                    text += "" if value is None else value if isinstance(value, str) else json.dumps(value)
            else:
                value = lookup(scopes, node[1])
                if node[0] == "^":
                    text += "" if value else render(node[2], scopes, key, is_last)
                elif isinstance(value, (dict, list)):
                    entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                    for number, (name, entry) in enumerate(entries):
                        scope = [entry] if isinstance(entry, dict) else []
                        text += render(node[2], scope + scopes, name, number == len(entries) - 1)
                elif value:
                    text += render(node[2], scopes, key, is_last)
        return text

    return render(block(0, "")[0], [fields], "", True)


class Platform:
    """Everything around the hosts. Zones are listed in the order of the settings."""

    def __init__(self, folder, zones):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="rattanroad-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        self.store = Store(self.record)
        self.runners = {}
        self.hosts = {}
        self.beats = {}
        self.network = "127.%d.%d" % (random.randrange(16, 250), random.randrange(1, 250))
        self.began = {}  # task -> list of [attempt, runner, began, ended, how]

    def run_began(self, task, attempt, runner):
        self.began.setdefault(task, []).append([attempt, runner, self.record.now(), None, None])

    def run_ended(self, task, attempt, runner, how):
        for run in self.began.get(task, []):
            if run[0] == attempt and run[1] == runner and run[3] is None:
                run[3], run[4] = self.record.now(), how

    def runs_of(self, job):
        return [run for task, runs in self.began.items() if task.startswith(job + ".") for run in runs]

    def at_work(self, job):
        return any(run[3] is None for run in self.runs_of(job))

    async def start(self):
        await self.store.start()
        asyncio.ensure_future(self.expire_entries())

    async def expire_entries(self):
        """The entry of a silent runner is removed after three heartbeat intervals."""
        while True:
            await asyncio.sleep(0.1)
            for name, beat in list(self.beats.items()):
                if time.monotonic() - beat >= 3 * HEARTBEAT and not self.store.down:
                    del self.beats[name]
                    self.record.write("entry of runner", name, "is removed")
                    await self.store.remove("servers/" + name)

    async def add_runner(self, name, zone, cpu, labels):
        self.runners[name] = Runner(self, name, zone, cpu, labels)
        await self.runners[name].start()

    async def add_host(self, name, zone, mbps=None, cpu_share=0.25):
        link = Link(self.store.address, mbps)
        await link.start()
        host = Host(self, name, zone, "%s.%d" % (self.network, len(self.hosts) + 1), link, cpu_share)
        host.prepare()
        self.hosts[name] = host
        return host

    async def configure(self, version=3, extra=None):
        routes = [{"name": "r-plan", "host": "nony24.example", "prefix": "/plan/", "kind": "unsafe",
                   "timeoutMs": 1500, "targetDurationMs": 60, "priority": 0, "service": "order-desk",
                   "maxAttempts": 3, "stretch": 1.6}]
        document = {"version": version, "routes": routes + (extra or []),
                    "services": [{"name": "order-desk", "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                                  "tls": False, "admissionCheck": False, "standby": False}],
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                               "idleTimeoutMs": 15000}}
        await self.store.put("op/config", json.dumps(document).encode())

    async def wait_until_ready(self, seconds=9.5):
        """Waits as long as the platform does before traffic starts, and until all hosts say that they are ready."""
        end = time.monotonic() + seconds + 10
        start = time.monotonic()
        while time.monotonic() < end:
            ready = 0
            for host in self.hosts.values():
                status, _ = await self.call(host.ready, "GET", "/ready", None, 1.0)
                ready += status == 200
            if ready == len(self.hosts) and time.monotonic() - start >= seconds:
                self.record.write("all hosts are ready")
                return True
            await asyncio.sleep(0.2)
        return False

    async def call(self, address, method, path, body, timeout, deadline_ms=None, host="nony24.example"):
        """A client's request on a channel of its own. Returns (status, body), with status None for no answer."""
        ip, port = address.split(":")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout)
            data = b"" if body is None else json.dumps(body).encode()
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % (
                method, path, host, len(data))
            if deadline_ms:
                head += "X-Deadline-Ms: %d\r\n" % deadline_ms
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)
            status = int(answer.split(b" ")[1])
            length = re.search(rb"content-length: (\d+)", answer, re.I)
            text = await asyncio.wait_for(reader.readexactly(int(length.group(1))), timeout) if length else b""
            return status, json.loads(text) if text else {}
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            return None, {}
        finally:
            if writer:
                writer.close()

    async def client(self, host, method, job, body=None, timeout=3.0, deadline_ms=1500):
        path = "/plan/" + job
        status, answer = await self.call(self.hosts[host].front, method, path, body, timeout, deadline_ms)
        self.record.write("client", method, path, "at", host, "->", status, json.dumps(answer))
        return status, answer

    async def submit(self, host, job, body, tries=5):
        """Hands a stored job in, again after no answer, 502 or 504, and later after 429 or 503."""
        for _ in range(tries):
            status, _ = await self.client(host, "POST", job, body)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(1.3)
        return False

    def stop(self):
        for host in self.hosts.values():
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for runner in self.runners.values():
            if runner.is_up:
                runner.server.stop()
        for name in self.hosts:
            with contextlib.suppress(OSError):
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    shutil.copy(os.path.join(self.folder, name + ".log"), keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return "%016x" % random.getrandbits(64)


def run_case(case, folder, zones):
    """Runs a case, which returns 1 if the rule was broken, 0 if it held and 2 if it could not run. Returns the exit
    status of the program: 3 if the rule was broken, which an error of the program cannot be taken for."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body():
        platform = Platform(folder, zones)
        platform.record.write("with the disruption" if trouble else "without the disruption")
        try:
            await platform.start()
            running = asyncio.ensure_future(asyncio.wait_for(case(platform, trouble), 116))
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
            result = await running
        except (Exception, asyncio.CancelledError) as error:
            platform.record.write("the case could not run:", repr(error))
            result = 2
        finally:
            platform.stop()
        platform.record.write("exit status", result)
        return result

    result = asyncio.run(body())
    return 3 if result == 1 else result
