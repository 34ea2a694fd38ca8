"""Two hosts freeze for less than a second each, one after the other. Best-effort jobs that their clients send again then
run in two shards at the same time."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import standin  # noqa: E402

ZONES = ["nyamirambo", "kimironko", "remera"]
HOSTS = [("front-nyamirambo-1", "nyamirambo"), ("front-nyamirambo-2", "nyamirambo"),
         ("front-nyamirambo-3", "nyamirambo"), ("front-kimironko-1", "kimironko"),
         ("front-kimironko-2", "kimironko"), ("front-remera-1", "remera")]
JOBS = 200
RUN_MS = 2000
DEADLINE_MS = 1500
RESEND_S = 1.3
ROUNDS = 6


def weight(key, candidate):
    """The order of the homes of a job (modules/rattanroad_shards/types/RendezvousHash.h)."""
    value = 1469598103934665603
    for byte in key.encode() + b"/" + candidate.encode():
        value = ((value ^ byte) * 1099511628211) % 2 ** 64
    return value ^ (value >> 29)


def job_with_homes(homes):
    while True:
        job = standin.job_id()
        if sorted(ZONES, key=lambda zone: weight(job, zone), reverse=True) == homes:
            return job


async def case(platform, trouble):
    record = platform.record
    for zone, short in zip(ZONES, "nkr"):
        for number in (1, 2, 3):
            await platform.add_runner("i-%s%d" % (short, number), zone, 32000, ["a", "r-%s" % short])
    await platform.configure()
    for name, zone in HOSTS:
        (await platform.add_host(name, zone)).start()
    assert await platform.wait_until_ready(), "the hosts are not ready"

    def holder(zone):
        value = platform.store.items["rattanroad/fleet/shard/" + zone][0]
        return next(name for name in platform.hosts if name.encode() in value)

    overlaps = []
    began = platform.run_began

    def run_began(task, attempt, runner):
        began(task, attempt, runner)
        for other in platform.began[task][:-1]:
            if other[3] is None:
                overlaps.append(task)
                record.write("TWICE: run", task, attempt, "on", runner, "begins while attempt", other[0], "runs on",
                             other[1])

    platform.run_began = run_began
    body = {"taskSpec": "ms=%d quote" % RUN_MS, "bestEffort": True,
            "phases": [{"count": 1, "cpu": 50, "memMb": 64, "estRuntimeMs": 1000}]}

    async def client(delay, job, hosts):
        await asyncio.sleep(delay)
        for host in hosts:
            status, _ = await platform.client(host, "POST", job, body, timeout=DEADLINE_MS / 1000,
                                              deadline_ms=DEADLINE_MS)
            if status not in (None, 502, 504):
                return
            await asyncio.sleep(RESEND_S)

    async def freeze(name, after, seconds):
        await asyncio.sleep(after)
        platform.hosts[name].kill(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        platform.hosts[name].kill(signal.SIGCONT)

    # Each round: jobs whose tasks take longer than their clients wait; each client sends its job again once. The holder
    # of nyamirambo freezes before the clients come back, that of remera when about half of them are back.
    for turn in range(ROUNDS):
        first, second = holder("nyamirambo"), holder("remera")
        entrances = [name for name, zone in HOSTS if zone == "nyamirambo" and name != first]
        work = [client(0.3 * number / JOBS, job_with_homes(["nyamirambo", "remera", "kimironko"]),
                       [entrances[number % 2], entrances[(number + 1) % 2]]) for number in range(JOBS)]
        if trouble:
            work.append(freeze(first, 2.3, 0.72))
            work.append(freeze(second, 2.92 + 0.03 * (turn % 3), 0.6))
        await asyncio.gather(*work)
        await asyncio.sleep(3)
        record.write("jobs with two runs at the same time so far:", len(set(overlaps)))
    return 1 if overlaps else 0


sys.exit(standin.run_case(case, HERE, ZONES))
