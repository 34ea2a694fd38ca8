"""A runner leaves for good while it holds the only label in its zone that accepted jobs need."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins

ZONES = {"east": 6, "north": 5, "west": 5}
JOBS = 9
TASKS_PER_JOB = 2
TASK_MILLICORES = 4000
TASK_MS = 4000


def needed(platform, job):
    """Returns the names of the job's tasks that have not ended done."""
    done = {run["task"] for run in platform.runs(job) if run["how"] == "done"}
    return [task for task in ("%s.0.0.%d" % (job, index) for index in range(TASKS_PER_JOB)) if task not in done]


async def play(platform, trouble):
    await platform.start_store()
    special = []
    for zone, count in ZONES.items():
        for index in range(count):
            label = "b" if index == 0 else "a"
            runner = await platform.add_runner("i-%s-%d" % (zone, index), zone, [label, "r-" + zone])
            if index == 0:
                special.append(runner)
    for index, zone in enumerate(ZONES):
        await platform.add_host("host-%d" % index, zone)
    if not await platform.wait_until_ready():
        raise RuntimeError("the hosts are not ready")
    await asyncio.sleep(1)

    jobs = ["%016x" % (0x7000 + index) for index in range(JOBS)]
    body = {"taskSpec": "ms=%d" % TASK_MS, "phases": [{
        "count": TASKS_PER_JOB, "cpu": TASK_MILLICORES, "memMb": 64, "estRuntimeMs": TASK_MS, "constraints": "b"}]}
    for index, job in enumerate(jobs):
        answer = await platform.call(platform.hosts[index % len(platform.hosts)], "POST", job, body)
        if not answer or answer[0] != 200:
            raise RuntimeError("job %s was not accepted: %r" % (job, answer))
    await asyncio.sleep(1)
    platform.record.add("traffic_ends")

    leaving = max(special, key=lambda runner: len(runner.runs))
    if trouble:
        if not leaving.runs:
            raise RuntimeError("no runner with the label has work")
        await leaving.drain()
    else:
        await asyncio.sleep(standins.BOUNDS["drainMs"] / 1000 + 0.5)

    # The jobs are asked for finish_s after the end of the traffic; then the rule looks at 3 s.
    await asyncio.sleep(standins.BOUNDS["finish_s"])
    platform.record.add("jobs_are_asked_for")
    starved = {job for job in jobs if needed(platform, job)}
    for _ in range(30):
        await asyncio.sleep(0.1)
        in_use = sum(TASK_MILLICORES * len(runner.runs) for runner in platform.runners if runner.is_up)
        total = sum(runner.capacity["cpu"] for runner in platform.runners if runner.is_up)
        free = sum(runner.capacity["cpu"] - TASK_MILLICORES * len(runner.runs)
                   for runner in special if runner.is_up and runner.state == "ready")
        for job in list(starved):
            is_running = any(run["ended"] is None for run in platform.runs(job))
            has_room = free >= 2 * TASK_MILLICORES * len(needed(platform, job))
            if is_running or not has_room or in_use * 2 >= total or not needed(platform, job):
                starved.discard(job)
    violations = []
    for job in jobs:
        answer = await platform.call(platform.hosts[0], "GET", job)
        if job in starved:
            violations.append("LOST: job %s is %s, with nothing running for 3 s and room for it twice over" % (
                job, answer[1].get("state") if answer else "without an answer"))
    return violations


standins.main(FOLDER, list(ZONES), play)
