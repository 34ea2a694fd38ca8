"""The store turns the holder of a zone away while a runner of the zone leaves by plan; jobs that were shown as done run
again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins

ZONES = {"east": 6, "north": 5, "west": 5}
HOSTS = ["east", "north", "west"]
JOBS = 24
TASK_MS = 3500
TURNED_AWAY_S = 7


async def play(platform, trouble):
    await platform.start_store()
    for zone, count in ZONES.items():
        for index in range(count):
            await platform.add_runner("i-%s-%d" % (zone, index), zone, ["a", "r-" + zone])
    for index, zone in enumerate(HOSTS):
        await platform.add_host("host-%d" % index, zone)
    if not await platform.wait_until_ready():
        raise RuntimeError("the hosts are not ready")
    await asyncio.sleep(standins.BOUNDS["stableWindowMs"] / 1000)

    body = {"taskSpec": "ms=%d" % TASK_MS, "phases": [
        {"count": 1, "cpu": 14000, "memMb": 64, "estRuntimeMs": TASK_MS}]}
    jobs = ["%016x" % (0x6000 + index) for index in range(JOBS)]
    for index, job in enumerate(jobs):
        answer = await platform.call(platform.hosts[index % len(HOSTS)], "POST", job, body)
        if not answer or answer[0] != 200:
            raise RuntimeError("job %s was not accepted: %r" % (job, answer))
    await asyncio.sleep(0.9)
    leaving = max((runner for runner in platform.runners if runner.zone == "east"), key=lambda one: len(one.runs))
    if not leaving.runs:
        raise RuntimeError("no runner of the zone has work")
    watched = sorted({task.split(".")[0] for task in leaving.runs})
    holder = platform.hosts[0]
    if trouble:
        platform.spawn(leaving.drain())
    # The tasks end 0.6 s after the store has begun to turn the holder away, before the runner leaves.
    await asyncio.sleep(max(0.0, max(run["began"] for run in leaving.runs.values()) + TASK_MS / 1000 - 0.6
                            - platform.record.now()))
    turned_away_at = platform.record.now()
    if trouble:
        platform.record.add("store_turns_away", host=holder.name, seconds=TURNED_AWAY_S)
        holder.gate.refuse = lambda method, path, body: 503

    # Clients ask the host that took their jobs in for the states.
    shown_at = {}
    while platform.record.now() < turned_away_at + 5:
        for job in watched:
            answer = await platform.call(holder, "GET", job)
            if answer and answer[0] == 200 and answer[1].get("state") == "done":
                shown_at.setdefault(job, platform.record.now())
        await asyncio.sleep(0.2)
    await asyncio.sleep(TURNED_AWAY_S - 5)
    holder.gate.refuse = lambda method, path, body: None
    platform.record.add("store_serves", host=holder.name)
    in_touch_from = platform.record.now() + standins.BOUNDS["stableWindowMs"] / 1000
    if not shown_at:
        raise RuntimeError("no job of the leaving runner was shown as done")
    await asyncio.sleep(20)
    violations = []
    for job, shown in shown_at.items():
        for run in platform.runs(job):
            # Earlier starts may be those of a machine that is not in touch.
            if run["began"] > max(shown + 1, in_touch_from):
                violations.append("TWICE: task %s was started %.1f s after its job was shown as done, as attempt %d"
                                  % (run["task"], run["began"] - shown, run["attempt"]))
    return violations


standins.main(FOLDER, list(ZONES), play)
