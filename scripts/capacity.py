#!/usr/bin/env python3
"""Works out what control costs at the size to design for, from the measurements in
docs/measurements. Prints the tables of docs/CAPACITY.md."""
import re

ENTRIES, HOSTS, CONTRACTS = 64, 23000, 220
CHANGES = 44000 / 86400
EVENTS = (270 + 2100) * 2 / 86400
WAVE = HOSTS * 3 / (28 * 86400)
CORE, MEMORY, BYTES = 3.4, 32.0, 9.0


def control(entries, rate, name="control"):
    for line in open("docs/measurements/%s.txt" % name):
        found = re.match(r"entries=%d .*changes/s=%.1f core%%: p50=([\d.]+) max=([\d.]+) "
                         r"resident_mb=([\d.]+) sent_kB/s: p50=([\d.]+) max=([\d.]+) "
                         r"received_kB/s: p50=([\d.]+) max=([\d.]+) store_calls/s=([\d.]+)" %
                         (entries, rate), line)
        if found:
            return [float(x) for x in found.groups()]
    raise SystemExit("no measurement for %d entry hosts at %.1f" % (entries, rate))


def memory(hosts):
    for line in open("docs/measurements/fleet-memory.txt"):
        found = re.match(r"entries=\d+ hosts=%d .*resident_mb=([\d.]+)" % hosts, line)
        if found:
            return float(found.group(1))
    raise SystemExit("no measurement of memory")


def task_memory(tasks):
    for line in open("docs/measurements/tasks.txt"):
        found = re.match(r"entries=3 hosts=23000 tasks=%d .*resident_mb=([\d.]+)" % tasks, line)
        if found:
            return float(found.group(1))
    raise SystemExit("no measurement with %d tasks" % tasks)


def decision(name):
    for line in open("docs/measurements/decisions.txt"):
        words = line.split()
        if words and words[0] == name:
            return float(words[1]) * {"ns": 1e-3, "us": 1, "ms": 1e3}[words[2]]
    raise SystemExit("no measurement " + name)


idle, busy = control(ENTRIES, 0.0), control(ENTRIES, 5.0)
per_change = (busy[0] - idle[0]) / 5
plan = decision("bench_wave_plan/23000") / 1e6
plans = 0.2 + EVENTS + WAVE
rows = [
    ("membership and anti-entropy, idle", idle[0], idle[3], idle[5]),
    ("configuration spread, %.2f changes/s" % CHANGES, per_change * CHANGES,
     (busy[3] - idle[3]) / 5 * CHANGES, (busy[5] - idle[5]) / 5 * CHANGES),
    ("fleet duty (its holder), %.2f plans/s" % plans, plan * plans * 100, 0, 0),
]
print("| role | core % | sent kB/s | received kB/s |\n| --- | --- | --- | --- |")
for row in rows:
    print("| %s | %.2f | %.2f | %.2f |" % row)
total = [sum(row[i] for row in rows) for i in (1, 2, 3)]
print("| sum, median host | %.2f of %.1f | %.2f | %.2f, together %.1f of %.1f |" %
      (total[0], CORE, total[1], total[2], total[1] + total[2], BYTES))
print("| busiest host, idle | %.2f | %.2f | %.2f, together %.1f |" %
      (idle[1], idle[4], idle[6], idle[4] + idle[6]))
print()
slope = (memory(23000) - memory(2000)) / 21000 * 1024
contracts = control(ENTRIES, 0.0)[2] - control(9, 0.0)[2]
print("memory: %.1f MB with 23,000 hosts, %.2f kB a host; 220 contracts and 64 entry hosts add "
      "%.1f MB: %.1f of %.0f MB" % (memory(23000), slope, contracts, memory(23000) + contracts,
                                    MEMORY))
nine = control(9, 0.0)
print("store calls: %.2f a second an entry host, %.0f for %d and one waiting watch each; a change "
      "adds one write; a maintained host three" % (idle[7] / ENTRIES, idle[7], ENTRIES))
print("writes: %.2f changes, %.2f reports of failures and restarts, %.2f of the wave a second" %
      (CHANGES, EVENTS, WAVE))
print("bytes a second grow by %.3f kB an entry host each way (9: %.2f, 64: %.2f)" %
      ((idle[3] - nine[3]) / 55, nine[3], idle[3]))

whole = control(24, 0.5, "tasks")
still = control(24, 0.0, "tasks")
holder = (task_memory(33000) - task_memory(0)) / (33000 / 3) * 1024
print()
print("| 24 entry hosts, 23,000 hosts, 33,000 tasks, 220 contracts | bound | idle | 0.5 changes/s |")
print("| --- | --- | --- | --- |")
print("| core %%, median and busiest | %.1f | %.2f, %.2f | %.2f, %.2f |" %
      (CORE, still[0], still[1], whole[0], whole[1]))
print("| resident MB, busiest | %.0f | %.1f | %.1f |" % (MEMORY, still[2], whole[2]))
print("| kB/s between entry hosts, both ways, busiest | %.1f | %.2f | %.2f |" %
      (BYTES, still[4] + still[6], whole[4] + whole[6]))
print("| store calls a second, all hosts, and one waiting watch each | 2000 | %.1f | %.1f |" %
      (still[7], whole[7]))
print()
print("- memory of a pool's holder: %.2f kB a task" % holder)
