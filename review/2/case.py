"""A runner crashes right after it has confirmed the starts of tasks, and is back half a second later."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
import standin  # noqa: E402

JOB = "00000000000000b1"
CRASH_AFTER_S = 0.05
BACK_AFTER_S = 0.5


async def case(fleet, has_trouble):
    crashed = asyncio.Event()

    def crash_soon(runner):
        if has_trouble and not crashed.is_set():
            crashed.set()
            asyncio.get_running_loop().create_task(crash(runner))

    async def crash(runner):
        await asyncio.sleep(CRASH_AFTER_S)
        await runner.crash()
        await asyncio.sleep(BACK_AFTER_S)
        await runner.start()

    for runner in fleet.runners:
        runner.on_start = lambda key, runner=runner: crash_soon(runner)
    phases = [{"count": 4, "cpu": 14000, "memMb": 64, "estRuntimeMs": 900}]
    answer = await fleet.submit(JOB, {"ms": 900}, phases)
    if answer != 200:
        raise standin.CannotRun(f"the job was not accepted: {answer}")
    # The traffic ends here; finish_s later the job is asked for.
    await asyncio.sleep(standin.FINISH_S)
    status, state = await fleet.state(JOB)
    before = starts(fleet)
    is_idle = not any(runner.running for runner in fleet.runners)
    await asyncio.sleep(3.2)
    was_idle = is_idle and not any(runner.running for runner in fleet.runners) and starts(fleet) == before
    status, state = await fleet.state(JOB)
    done = {task for task, run in fleet.runs_of_job(JOB) if run["how"] == "done"}
    if was_idle and state not in ("done", "failed", "cancelled") and len(done) < 4:
        return [f"LOST: {standin.FINISH_S} s after the end of the traffic job {JOB} is {state} ({status}); "
                f"{4 - len(done)} of its 4 tasks are not done, nothing of it ran for 3 s, and all runners are idle"]
    return []


def starts(fleet):
    return sum(len(runs) for runs in fleet.runs.values())


if __name__ == "__main__":
    standin.run_case(os.path.dirname(os.path.abspath(__file__)), case, runners_per_zone=3)
