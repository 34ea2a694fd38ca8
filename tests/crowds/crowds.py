#!/usr/bin/env python3
"""Sends one crowd of abusive callers to a real process and checks that it stays within its memory and descriptors.

Guards against callers that make a process run out of memory or descriptors: with many bodies that stop short of their
end, bodies and heads over the limits, many short fields, requests that are pipelined without reading the answers, and
connections that are slow, stop half-way or stay idle. Checks only what does not depend on the speed of the machine: the
process is alive, its peak memory with the bytes in its kernel socket buffers and its open descriptors stay under a
bound, a job that is submitted meanwhile runs, and an ordinary request is answered afterwards. The cases named
"ordinary" check that callers within the limits meet no refusal.
"""
import argparse
import errno
import http.client
import json
import os
import resource
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST_HEADER = "quotes.example"
CALLERS, READINESS, METRICS, PEERS = 8001, 8002, 8003, 7001
ROUTE, NO_ROUTE = "/q/00000000000000c1", "/elsewhere/00000000000000c1"
BODY = 262144
# What the settings name in the crowd cases; the memory is also the bound that is checked.
MEMORY_MB, DESCRIPTORS = 64, 1024
# Kept back for targets, the store and other hosts.
DESCRIPTORS_OF_CALLERS = 0.75
CROWD_TIME = 3.0


class Host:
    def __init__(self, build, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
        self.memory_mb, self.descriptors = memory_mb, descriptors
        self.ip = f"127.79.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
        self.folder = tempfile.mkdtemp()
        self.program = f"{build}/apps/rattanroadd/rattanroadd"
        self.platform = subprocess.Popen([f"{build}/tests/crowds/platform_standin"], stdout=subprocess.PIPE, text=True)
        self.store = self.platform.stdout.readline().strip()
        self.peak_descriptors, self.peak_receive_queue, self.peak_send_queue = 0, 0, 0
        self.stopping, self.jobs_done, self.next_job = False, 0, 0
        self.start()

    def start(self):
        settings = {
            "host": {"id": "entry-1", "failure_domain": "remera", "region": "kigali"},
            "listen": {"callers": f"{self.ip}:{CALLERS}", "readiness": f"{self.ip}:{READINESS}",
                       "metrics": f"{self.ip}:{METRICS}", "peers": f"{self.ip}:{PEERS}"},
            "failure_domains": ["remera"], "store": {"kind": "platform", "address": self.store}, "logs": {"file": "-"}}
        schema = subprocess.run([self.program, "--print-schema"], capture_output=True, text=True, check=True).stdout
        if "process_limits" in json.loads(schema)["properties"]:
            settings["process_limits"] = {"memory_mb": self.memory_mb, "descriptors": self.descriptors}
        path = f"{self.folder}/settings.json"
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log = f"{self.folder}/log"
        limit = self.descriptors
        with open(self.log, "w") as log:
            self.process = subprocess.Popen(
                [self.program, "--settings", path], stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and not self.submit():
            time.sleep(0.1)
        self.base_mb, self.base_descriptors = self.peak_mb(), self.open_descriptors()
        self.jobs_done = 0
        self.observers = [threading.Thread(target=self.observe), threading.Thread(target=self.caller)]
        for observer in self.observers:
            observer.start()

    def stop(self):
        self.stopping = True
        for observer in self.observers:
            observer.join()
        for process in (self.process, self.platform):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait(10)

    def peak_mb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def kernel_queues(self):
        """Bytes in the receive and send queues of the host's open caller sockets."""
        numbers = self.ip.split(".")
        own = "".join(f"{int(number):02X}" for number in reversed(numbers))
        ports = {f"{port:04X}" for port in (CALLERS, READINESS, METRICS)}
        received = sent = 0
        with open("/proc/net/tcp") as table:
            for line in table:
                fields = line.split()
                address, _, port = fields[1].partition(":")
                if address == own and port in ports and fields[3] != "0A":
                    send_queue, _, receive_queue = fields[4].partition(":")
                    received += int(receive_queue, 16)
                    sent += int(send_queue, 16)
        return received, sent

    def observe(self):
        while not self.stopping and self.process.poll() is None:
            try:
                self.peak_descriptors = max(self.peak_descriptors, self.open_descriptors())
            except OSError:
                return
            received, sent = self.kernel_queues()
            self.peak_receive_queue = max(self.peak_receive_queue, received)
            self.peak_send_queue = max(self.peak_send_queue, sent)
            time.sleep(0.05)

    def submit(self):
        """Submits one best-effort job and returns whether it ended as done."""
        self.next_job += 1
        phase = {"count": 1, "cpu": 1000, "memMb": 64, "estRuntimeMs": 10}
        body = json.dumps({"taskSpec": "10 1000 64 0", "phases": [phase], "bestEffort": True})
        connection = http.client.HTTPConnection(self.ip, CALLERS, timeout=3)
        try:
            connection.request("POST", f"/q/{self.next_job:016x}", body, {"Host": HOST_HEADER, "X-Deadline-Ms": "2000"})
            response = connection.getresponse()
            return response.status == 200 and json.loads(response.read()).get("state") == "done"
        except (OSError, ValueError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def caller(self):
        while not self.stopping and self.process.poll() is None:
            self.jobs_done += self.submit()
            time.sleep(0.1)


class Caller:
    """One connection of a crowd: sends its pieces as fast as they are taken, or one per interval, and then stays open."""

    def __init__(self, address, pieces, interval=0.0):
        self.pieces, self.interval = iter(pieces), interval
        self.left, self.due, self.open, self.ended = memoryview(b""), 0.0, True, False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self, now):
        """Returns whether it may be called again as soon as the socket takes more."""
        while self.open and not self.ended and now >= self.due:
            if not self.left:
                piece = next(self.pieces, None)
                self.ended = piece is None
                self.left = memoryview(piece or b"")
                self.due = now + self.interval if self.interval else 0.0
                if self.ended:
                    return
            try:
                sent = self.socket.send(self.left)
                self.left = self.left[sent:]
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.ENOTCONN, errno.EINPROGRESS):
                    return
                self.open = False

    def receive(self):
        """Reads what the host has sent and returns it, or None when the connection is closed."""
        try:
            return self.socket.recv(65536) or None
        except BlockingIOError:
            return b""
        except OSError:
            return None


def run_crowd(host, port, number, pieces, interval=0.0, reconnects=True, crowd_time=CROWD_TIME):
    """Keeps @p number callers connected that send what pieces() returns. A caller whose connection is closed connects
    again, as a client in a loop does, at most twice the number of callers in all."""
    address = (host.ip, port)
    callers = [Caller(address, pieces(), interval) for _ in range(number)]
    spare = 2 * number if reconnects else 0
    end = time.monotonic() + crowd_time
    while time.monotonic() < end and host.process.poll() is None:
        for index, caller in enumerate(callers):
            caller.send(time.monotonic())
            if not caller.open and spare > 0:
                spare -= 1
                caller.socket.close()
                callers[index] = Caller(address, pieces(), interval)
        time.sleep(0.002)
    return callers


def head(path, *fields, method="POST"):
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}", *fields, "", ""]).encode()


def short_of_end(path, size):
    request = head(path, f"Content-Length: {size}") + b"x" * (size - 1)
    return lambda: [request]


def in_pieces(path, size, piece):
    text = head(path, f"Content-Length: {size}") + b"x" * (size - 1)
    pieces = [text[begin:begin + piece] for begin in range(0, len(text), piece)]
    return lambda: pieces


def chunked(path, size, chunk):
    # The last chunk lacks its last byte.
    piece = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    text = head(path, "Transfer-Encoding: chunked") + piece * (size // chunk)
    return lambda: [text[:-3]]


def after_continue(path, size):
    return lambda: [head(path, "Expect: 100-continue", f"Content-Length: {size}"), b"x" * (size - 1)]


def many_fields():
    fields = b",".join(b'"%x":[]' % number for number in range(29000))
    text = (b"{" + fields)[:BODY - 2] + b"}"
    text = text if len(text) <= BODY else text[:BODY]
    return lambda: [head(ROUTE, f"Content-Length: {len(text)}") + text] * 10


def pipelined(path, method="GET"):
    text = head(path, method=method) * 1000
    return lambda: [text] * 100


CASES = {
    "bodies-short-of-end-route": lambda host: run_crowd(host, CALLERS, 300, short_of_end(ROUTE, BODY)),
    "bodies-short-of-end-no-route": lambda host: run_crowd(host, CALLERS, 60, short_of_end(NO_ROUTE, 4 << 20)),
    "bodies-short-of-end-readiness": lambda host: run_crowd(host, READINESS, 60, short_of_end("/", 4 << 20)),
    "bodies-short-of-end-metrics": lambda host: run_crowd(host, METRICS, 60, short_of_end("/metrics", 4 << 20)),
    "bodies-in-pieces": lambda host: run_crowd(host, CALLERS, 300, in_pieces(ROUTE, BODY, 2000), 0.004),
    "bodies-chunked": lambda host: run_crowd(host, CALLERS, 300, chunked(ROUTE, BODY, 1000)),
    "bodies-after-continue": lambda host: run_crowd(host, CALLERS, 300, after_continue(ROUTE, BODY), 0.2),
    "bodies-over-limit-length": lambda host: run_crowd(host, CALLERS, 30, short_of_end(ROUTE, 12 << 20)),
    "bodies-over-limit-chunked": lambda host: run_crowd(host, CALLERS, 30, chunked(ROUTE, 12 << 20, 60000)),
    "bodies-over-limit-readiness": lambda host: run_crowd(host, READINESS, 30, chunked("/", 12 << 20, 60000)),
    "heads-without-end": lambda host: run_crowd(
        host, CALLERS, 300, lambda: [b"GET /" + b"x" * 400000]),
    "heads-of-many-fields": lambda host: run_crowd(
        host, CALLERS, 300, lambda: [head(ROUTE, *(f"{number:x}: {'x' * 4000}" for number in range(90)))[:-1]]),
    "heads-many-connections": lambda host: run_crowd(
        host, CALLERS, 900, lambda: [head(ROUTE, *(f"{number:x}: " for number in range(1600)))[:16000]]),
    "bodies-of-many-fields": lambda host: run_crowd(host, CALLERS, 100, many_fields()),
    "pipelined-route": lambda host: run_crowd(host, CALLERS, 30, pipelined(ROUTE)),
    "pipelined-no-route": lambda host: run_crowd(host, CALLERS, 30, pipelined(NO_ROUTE)),
    "pipelined-readiness": lambda host: run_crowd(host, READINESS, 30, pipelined("/")),
    "pipelined-metrics": lambda host: run_crowd(host, METRICS, 30, pipelined("/metrics")),
    "slow-senders": lambda host: run_crowd(host, CALLERS, 900, in_pieces(ROUTE, BODY, 100), 0.3),
    "slow-readers": lambda host: run_crowd(host, METRICS, 300, lambda: [head("/metrics", method="GET")] * 20, 0.1),
    "half-way-stops": lambda host: run_crowd(host, CALLERS, 900, lambda: [head(ROUTE, "Content-Length: 90000") + b"x" * 45000]),
    "idle-beyond-descriptors": lambda host: run_crowd(host, CALLERS, 1500, lambda: []),
}


def answered(host, number, rounds):
    """Sends requests on @p number connections that stay open and returns how many answers came in all."""
    request = head("/q/00000000000000ff", method="GET")
    callers = [Caller((host.ip, CALLERS), []) for _ in range(number)]
    answers = 0
    for _ in range(rounds):
        for caller in callers:
            caller.ended, caller.pieces = False, iter([request])
        waiting, end = set(callers), time.monotonic() + 15
        while waiting and time.monotonic() < end:
            for caller in list(waiting):
                caller.send(time.monotonic())
                received = caller.receive()
                if received:
                    answers += received.startswith(b"HTTP/1.1 410")
                if received != b"":
                    waiting.discard(caller)
            time.sleep(0.002)
        time.sleep(0.5)
    return answers


def ordinary(name, host):
    number, rounds = (1000, 3) if name == "ordinary-idle-connections" else (400, 4)
    answers = answered(host, number, rounds)
    print(f"{name}: {answers} of {number * rounds} requests answered")
    return [] if answers == number * rounds else [f"{answers} of {number * rounds} requests were answered"]


def check(name, host, is_ordinary):
    failures = []
    if host.process.poll() is not None:
        return [f"the process has ended with status {host.process.returncode}"]
    peak, kernel = host.peak_mb(), (host.peak_receive_queue + host.peak_send_queue) / (1 << 20)
    print(f"{name}: peak memory {peak:.1f} MB before {host.base_mb:.1f} MB, kernel receive queues "
          f"{host.peak_receive_queue / (1 << 20):.1f} MB, send queues {host.peak_send_queue / (1 << 20):.1f} MB, descriptors {host.peak_descriptors} before {host.base_descriptors}, "
          f"jobs run meanwhile {host.jobs_done}")
    if peak + kernel > host.memory_mb:
        failures.append(f"memory {peak + kernel:.1f} MB is over {host.memory_mb} MB")
    if host.peak_descriptors > host.descriptors * DESCRIPTORS_OF_CALLERS and not is_ordinary:
        failures.append(f"{host.peak_descriptors} open descriptors, of {host.descriptors}")
    if host.jobs_done == 0:
        failures.append("no job ran meanwhile")
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("case", choices=[*CASES, "ordinary-idle-connections", "ordinary-bursts"])
    options = parser.parse_args()
    is_ordinary = options.case.startswith("ordinary")
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    host = Host(options.build, 120, 3075) if is_ordinary else Host(options.build)
    failures = []
    try:
        if is_ordinary:
            failures += ordinary(options.case, host)
        else:
            callers = CASES[options.case](host)
            failures += check(options.case, host, is_ordinary)
            for caller in callers:
                caller.socket.close()
        if is_ordinary:
            failures += check(options.case, host, is_ordinary)
        end = time.monotonic() + 10
        while not host.submit():
            if time.monotonic() > end:
                failures.append("no ordinary request is answered after the crowd")
                break
            time.sleep(0.1)
    finally:
        host.stop()
    with open(host.log) as log:
        refusals = [line for line in log if '"http_' in line]
    print("".join(refusals[:5]), end="")
    for failure in failures:
        print(f"{options.case}: {failure}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
