"""Entry hosts stop answering when the reader of their log output stops reading."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "standins-2"))
import fleet  # noqa: E402

STEPS = [{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 200}]
SPEC = {"ms": 200, "cpu": 1000}
RATE_PER_S = 20
STOPPED_S = 60
CHECK_S = 14  # finish_s: submissions are asked for within this time.


async def case(store, scratch, record, keep):
    store.put("op/config", fleet.make_config(1, [("tables", "/calc/", "calc", 3)], ["calc"]))
    for index in range(4):
        keep["workers"].append(fleet.Worker(store, record, "calc", "r1", 64000, f"m{index}"))
        await keep["workers"][-1].start()
    # The log collector: one process that reads the output of all entry hosts and drops it.
    read_end, write_end = os.pipe()
    collector = await asyncio.create_subprocess_exec("cat", stdin=read_end,
                                                     stdout=asyncio.subprocess.DEVNULL)
    keep["stop"].append(lambda: collector.returncode is None and collector.kill())
    os.close(read_end)
    hosts = await fleet.start_hosts(3, store, scratch, record, [write_end] * 3)
    keep["hosts"] = hosts
    os.close(write_end)
    await asyncio.sleep(4)

    accepted = []

    async def consumer(index):
        order = hosts[index % 3:] + hosts[:index % 3]
        number = await fleet.submit(order, "/calc/", STEPS, SPEC, record, tries=4)
        if number is not None:
            accepted.append(number)

    if fleet.TROUBLE:
        collector.send_signal(signal.SIGSTOP)
        record.note("the log collector stops reading")
    consumers = []
    silent_since = None
    end = time.monotonic() + STOPPED_S
    index = 0
    while time.monotonic() < end:
        consumers.append(asyncio.ensure_future(consumer(index)))
        index += 1
        await asyncio.sleep(1 / RATE_PER_S)
        if index % RATE_PER_S == 0:
            ready = [host.name for host in hosts if await host.ready()]
            record.note(f"ready: {','.join(ready) or 'none'} accepted={len(accepted)}")
            if not ready:
                silent_since = silent_since or time.monotonic()
                if time.monotonic() - silent_since > 8:
                    break
            else:
                silent_since = None
    for waiting in consumers:
        waiting.cancel()
    await asyncio.gather(*consumers, return_exceptions=True)

    async def ask(number):
        return await fleet.state(hosts, "/calc/", number, record, patience=CHECK_S)

    await asyncio.sleep(2)
    states = await asyncio.gather(*[ask(number) for number in accepted[-20:]])
    unanswered = states.count("no answer")
    running = [host.name for host in hosts if host.process.returncode is None]
    record.note(f"accepted={len(accepted)}, asked for {len(states)}, no answer for {unanswered}; "
                f"processes that run: {','.join(running)}")
    if fleet.TROUBLE:
        collector.send_signal(signal.SIGCONT)
        record.note("the log collector reads again")
        await asyncio.sleep(4)
        ready = [host.name for host in hosts if await host.ready()]
        record.note(f"ready: {','.join(ready) or 'none'}")
    if unanswered > 0:
        return (f"LOST: {unanswered} of {len(states)} accepted submissions got no answer within "
                f"{CHECK_S} s; {len(running)} processes run and answer nobody")
    return None


fleet.main(case, HERE)
