"""Work of an accepted submission never starts while long-running tasks find no room."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import fleet  # noqa: E402

CORES = 64000  # Thousandths of a core of a worker.
WORKERS_PER_RACK = 3
BIG = 50000
SMALL = 20000

# The rule counts from 3 s with nothing running, after 4 s without a disturbance.
CALM_S = 4.0
STILL_S = 3.0


async def case(store, scratch, record, keep):
    store.put("op/config", fleet.make_config(
        1, [("serving", "/serve/", "calc", 3), ("tables", "/calc/", "calc", 3)], ["calc"]))
    workers = keep["workers"]

    async def add_rack(rack):
        for index in range(WORKERS_PER_RACK):
            workers.append(fleet.Worker(store, record, "calc", rack, CORES, f"m-{rack}-{index}"))
            await workers[-1].start()

    await add_rack("r1")
    outputs = [asyncio.subprocess.DEVNULL] * 3
    hosts = await fleet.start_hosts(3, store, scratch, record, outputs)
    keep["hosts"] = hosts
    await asyncio.sleep(2.5)

    # Three submissions with one long-running task each, which fill a worker for the most part.
    for _ in range(3):
        step = {"count": 1, "cpu": BIG, "mem-mb": 1000, "estimate-ms": 900, "long-running": True}
        if await fleet.submit(hosts, "/serve/", [step], {"cpu": BIG}, record) is None:
            raise fleet.CannotRun("a long-running submission was not accepted")
    await asyncio.sleep(1)
    await add_rack("r2")
    await asyncio.sleep(2)
    step = {"count": 3, "cpu": SMALL, "mem-mb": 1000, "estimate-ms": 900, "long-running": True,
            "anti-affinity": 1}
    if await fleet.submit(hosts, "/serve/", [step], {"cpu": SMALL}, record) is None:
        raise fleet.CannotRun("a long-running submission was not accepted")
    await asyncio.sleep(2)
    if [worker.used_cpu() for worker in workers] != [BIG] * 3 + [SMALL] * 3:
        raise fleet.CannotRun("the long-running tasks are not placed as the case needs")

    if fleet.TROUBLE:
        await asyncio.gather(*[worker.crash() for worker in workers if worker.rack == "r1"])
    # Leases, the entries of lost workers and the 4 s before are over by then.
    await asyncio.sleep(8 + CALM_S)

    number = await fleet.submit(hosts, "/calc/", [
        {"count": 2, "cpu": 1000, "mem-mb": 100, "estimate-ms": 300}], {"ms": 300, "cpu": 1000},
        record)
    if number is None:
        raise fleet.CannotRun("the submission was not accepted")
    waited = 0.0
    step_s = 0.25
    while waited < 20:
        await asyncio.sleep(step_s)
        if any(task.startswith(number) for task in fleet.Worker.attempts):
            break
        waited += step_s
    alive = [worker for worker in workers if worker.alive]
    capacity = sum(worker.cpu for worker in alive)
    used = sum(worker.used_cpu() for worker in alive)
    shown = await fleet.state(hosts, "/calc/", number, record)
    record.note(f"{number}: first start after {waited:.1f} s, shown as {shown}; the pool of "
                f"{len(alive)} workers has {capacity} of which {used} are in use, the most on one "
                f"worker is {max(worker.used_cpu() for worker in alive)}")
    if waited > STILL_S and used * 2 < capacity:
        return (f"LOST: nothing of {number} ran for {waited:.1f} s, {used} of {capacity} "
                f"thousandths of a core in use")
    return None


fleet.main(case, HERE)
