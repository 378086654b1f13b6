"""A late end of an old run of a long-running task starts a third run beside the second one."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "standins-2"))
import fleet  # noqa: E402

WORKERS = 8
STOP_MS = 300  # stop-ms is 400.
FIRST_RUN_MS = 4500  # The first run of the task ends as `done`, all later ones last.
CUT_AFTER_S = 3.0
CUT_S = 5.3


async def watch(workers, record, doubled):
    """Notes the subtasks that have two runs at the same time on workers that are up."""
    while True:
        places = {}
        for worker in workers:
            for task, run in (worker.runs.items() if worker.alive else ()):
                places.setdefault(task, []).append((run["run"], worker.id))
        for task, runs in places.items():
            if len(runs) > 1:
                if task not in doubled:
                    record.note(f"two runs of {task}: {sorted(runs)}")
                doubled.setdefault(task, [time.monotonic(), 0.0])
                doubled[task][1] = time.monotonic() - doubled[task][0]
        await asyncio.sleep(0.005)


async def case(store, scratch, record, keep):
    store.put("op/config", fleet.make_config(1, [("serving", "/serve/", "calc", 3)], ["calc"]))
    workers = keep["workers"]
    for index in range(WORKERS):
        workers.append(fleet.Worker(store, record, "calc", f"r{1 + index // 4}", 64000, f"m{index}",
                                    stop_ms=STOP_MS))
        await workers[-1].start()
    hosts = await fleet.start_hosts(3, store, scratch, record, [asyncio.subprocess.DEVNULL] * 3)
    keep["hosts"] = hosts
    await asyncio.sleep(4)

    doubled = {}
    watcher = asyncio.ensure_future(watch(workers, record, doubled))
    keep["stop"].append(watcher.cancel)
    step = {"count": 1, "cpu": 8000, "mem-mb": 1000, "estimate-ms": 900, "long-running": True}
    number = await fleet.submit(hosts, "/serve/", [step], {"cpu": 8000, "ends": [FIRST_RUN_MS]},
                                record)
    if number is None:
        raise fleet.CannotRun("the submission was not accepted")
    task = number + ".0.0.0"
    for _ in range(200):
        if any(task in worker.runs for worker in workers):
            break
        await asyncio.sleep(0.01)
    else:
        raise fleet.CannotRun("the task was not started")
    first = next(worker for worker in workers if task in worker.runs)
    await asyncio.sleep(CUT_AFTER_S)
    if fleet.TROUBLE:
        first.cut = True
        record.note(f"worker {first.id} is cut off")
    await asyncio.sleep(CUT_S)
    first.cut = False
    record.note(f"worker {first.id} can be reached")
    await asyncio.sleep(6)
    attempts = fleet.Worker.attempts[task]
    record.note(f"{task}: {attempts} runs; two at the same time: "
                f"{', '.join(f'{name} for {held[1]:.2f} s' for name, held in doubled.items())}")
    if doubled:
        return (f"TWICE: two runs of {task} at the same time for {doubled[task][1]:.2f} s, "
                f"{attempts} runs in all")
    return None


fleet.main(case, HERE)
