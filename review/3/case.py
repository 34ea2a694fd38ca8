"""The process that last wrote to the store under a condition is killed: the holder has just recorded two failures."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
import standin  # noqa: E402

JOB = "00000000000000c1"
MAX_ATTEMPTS = 3
KILL_AFTER_S = 0.01
DOWN_S = 3.5


async def case(fleet, has_trouble):
    killed = asyncio.Event()

    def written(host, keys, has_condition):
        is_second = has_condition and any(JOB in key for key in keys) and fleet.runs
        if has_trouble and is_second and not killed.is_set():
            killed.set()
            asyncio.get_running_loop().create_task(kill(fleet.host(host)))

    async def kill(host):
        await asyncio.sleep(KILL_AFTER_S)
        host.kill()
        await asyncio.sleep(DOWN_S)
        host.start()

    fleet.store.on_write = written
    phases = [{"count": 1, "cpu": 14000, "memMb": 64, "estRuntimeMs": 2000}]
    answer = await fleet.submit(JOB, {"failures": 2, "failMs": 100, "ms": 2000}, phases)
    if answer != 200:
        raise standin.CannotRun(f"the job was not accepted: {answer}")
    state = await fleet.wait_for_end(JOB, 40)
    if has_trouble and not killed.is_set():
        raise standin.CannotRun("no failures were recorded before the job ended")
    failures = sum(run["how"] == "failed" for _, run in fleet.runs_of_job(JOB))
    fleet.record.write("outcome", job=JOB, state=state, failed_runs=failures)
    if state == "failed" and failures < MAX_ATTEMPTS:
        return [f"LOST: job {JOB} is shown as failed after {failures} ends 'failed' of its only task; "
                f"maxAttempts is {MAX_ATTEMPTS}"]
    return []


if __name__ == "__main__":
    standin.run_case(os.path.dirname(os.path.abspath(__file__)), case, route={"maxAttempts": MAX_ATTEMPTS})
