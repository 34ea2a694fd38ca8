"""A holder is killed while stored jobs run. Its successor has a link of 2 Mbit/s and reads the jobs' records."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import standin  # noqa: E402

ZONES = ["nyamirambo", "kimironko", "remera"]
FINISH_S = 14
JOBS = 80
LINK_MBPS = 2.0
CPU = 500


async def case(platform, trouble):
    record = platform.record
    for zone, short in zip(ZONES, "nkr"):
        for number in range(1, 4):
            await platform.add_runner("i-%s%d" % (short, number), zone, 32000, ["a", "r-%s" % short])
    await platform.configure()
    for name, zone in [("front-nyamirambo-1", "nyamirambo"), ("front-nyamirambo-2", "nyamirambo"),
                       ("front-kimironko-3", "kimironko"), ("front-remera-4", "remera")]:
        (await platform.add_host(name, zone, mbps=LINK_MBPS, cpu_share=0.12)).start()
    assert await platform.wait_until_ready(), "the hosts are not ready"

    # Eighty plans with a text of 2,000 bytes (up to 4,000 are allowed), ten a second, from the clients of all zones.
    jobs = [standin.job_id() for _ in range(JOBS)]
    body = {"taskSpec": "ms=70000 " + "p" * 1991,
            "phases": [{"count": 1, "cpu": CPU, "memMb": 64, "estRuntimeMs": 70000}]}
    hosts = ["front-nyamirambo-1", "front-kimironko-3", "front-remera-4"]

    async def hand_in(number, job):
        await asyncio.sleep(number / 10)
        return await platform.submit(hosts[number % 3], job, body)

    accepted = await asyncio.gather(*(hand_in(number, job) for number, job in enumerate(jobs)))
    assert all(accepted), "%d of %d jobs were accepted" % (sum(accepted), JOBS)
    await asyncio.sleep(2)
    traffic_ended = record.now()
    working = sum(platform.at_work(job) for job in jobs)
    record.write(working, "of", JOBS, "jobs are at work")
    if working < JOBS:
        return 2
    if trouble:
        # The process that holds the shard of nyamirambo; it is started again after a second.
        holder = holder_of(platform, "nyamirambo")
        platform.hosts[holder].kill()
        await asyncio.sleep(1)
        platform.hosts[holder].start()

    broken = 0
    idle_since = {}
    while record.now() < traffic_ended + FINISH_S + 20:
        await asyncio.sleep(0.1)
        if record.now() < traffic_ended + FINISH_S:
            continue
        for job in jobs:
            if platform.at_work(job) or any(run[4] == "done" for run in platform.runs_of(job)):
                idle_since.pop(job, None)
            else:
                idle_since.setdefault(job, record.now())
                broken = max(broken, record.now() - idle_since[job])
    pages = [page for page in platform.store.pages if page[1] == "rattanroad/job/" and page[2] > 0]
    record.write("pages of job records that were read:", len(pages), "of up to",
                 max((page[2] for page in pages), default=0), "bytes")
    record.write(len(idle_since), "of", JOBS, "jobs have nothing running at the end; capacity in use:",
                 sum(CPU for runner in platform.runners.values() for _ in runner.running), "of",
                 sum(runner.cpu for runner in platform.runners.values()))
    record.write("longest time with nothing of a job running: %.1f s" % broken)
    return 1 if broken >= 3 else 0


def holder_of(platform, zone):
    value = platform.store.items["rattanroad/fleet/shard/" + zone][0]
    return next(name for name in platform.hosts if name.encode() in value)


sys.exit(standin.run_case(case, HERE, ZONES))
