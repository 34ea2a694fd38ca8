"""The configuration grows, and then all processes are killed. On links of 2 Mbit/s no host ever reads it again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import standin  # noqa: E402

ZONES = ["qld-bne", "qld-tsv", "qld-mky"]
RECOVERY_S = 15
LINK_MBPS = 2.0
ROUTES = 700


def more_routes(count):
    """Routes like those in the example of `fleetbench wire`."""
    return [{"name": "r-%07x" % (number * 9176543 % 0xfffffff), "host": "node%d.example" % number,
             "prefix": "/rou%d/" % number, "kind": "unsafe", "timeoutMs": 1500, "targetDurationMs": 60, "priority": 2,
             "service": "order-desk", "maxAttempts": 3, "stretch": 1.6} for number in range(count)]


async def case(platform, trouble):
    record = platform.record
    for zone, short in zip(ZONES, "btm"):
        for number in (1, 2):
            await platform.add_runner("i-%s%d" % (short, number), zone, 32000, ["a", "r-%s" % short])
    await platform.configure()
    for number, zone in enumerate(ZONES):
        (await platform.add_host("front-%s-%d" % (zone, number + 1), zone, mbps=LINK_MBPS, cpu_share=0.12)).start()
    assert await platform.wait_until_ready(), "the hosts are not ready"
    # Calls of the usual kind: best-effort jobs of two tasks of 60 ms, ten a second.
    served = {"before": [0, 0], "after": [0, 0]}
    body = {"taskSpec": "ms=60 quote", "bestEffort": True,
            "phases": [{"count": 2, "cpu": 14000, "memMb": 64, "estRuntimeMs": 60}]}

    async def ask(when, seconds):
        end = record.now() + seconds
        number = 0
        while record.now() < end:
            number += 1
            status, _ = await platform.client(list(platform.hosts)[number % 3], "POST", standin.job_id(), body)
            served[when][0] += 1
            served[when][1] += status == 200
            await asyncio.sleep(0.1)

    await ask("before", 3)
    if trouble:
        await platform.configure(version=9, extra=more_routes(ROUTES))
    record.write("the configuration has", len(platform.store.items["op/config"][0]), "bytes")
    await ask("before", 5)
    if trouble:
        # The final fault: all processes are killed, and are started again after 1.5 s.
        for host in platform.hosts.values():
            host.kill()
        await asyncio.sleep(1.5)
        for host in platform.hosts.values():
            host.start()
    await asyncio.sleep(RECOVERY_S)
    await ask("after", 15)
    record.write("served before:", served["before"][1], "of", served["before"][0], "- after:", served["after"][1], "of",
                 served["after"][0])
    if served["before"][1] * 4 < served["before"][0]:
        return 2
    return 1 if served["after"][1] * 4 < served["after"][0] else 0


sys.exit(standin.run_case(case, HERE, ZONES))
