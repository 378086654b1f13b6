#!/usr/bin/env python3
"""Measures what entry hosts spend on control: processor time, memory, bytes of the inner protocol
and calls to the store, idle and under changes, and how fast a change is in force everywhere.
Usage: scripts/measure_control.py ENTRY_HOSTS [--hosts N] [--tasks N] [--seconds S] [--rates 0,0.5,5]"""
import argparse, base64, json, os, subprocess, sys, tempfile, time, urllib.request

parser = argparse.ArgumentParser()
parser.add_argument("entries", type=int)
parser.add_argument("--hosts", type=int, default=0)
parser.add_argument("--contracts", type=int, default=20)
parser.add_argument("--tasks", type=int, default=0)
parser.add_argument("--seconds", type=float, default=10)
parser.add_argument("--rates", default="0,0.5,5")
given = parser.parse_args()
build = os.environ.get("BUILD", "build")
base = 10000 + os.getpid() % 5 * 3200  # below the ports of outgoing connections
ticks = os.sysconf("SC_CLK_TCK")
processes = []


def start(*words):
    log = open(os.path.join(work, "log-%d" % len(processes)), "w")
    process = subprocess.Popen(words, stdout=log, stderr=log)
    processes.append(process)
    return process


def call(port, path, method="GET", body=None, headers=None, patience=20):
    request = urllib.request.Request("http://127.0.0.1:%d%s" % (port, path), method=method,
                                     data=body.encode() if body is not None else None,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=patience) as answer:
            return answer.read().decode()
    except Exception as error:
        return "failed: %s" % error


def encode(text):
    return base64.b64encode(text.encode()).decode()


def usage(process):
    fields = open("/proc/%d/stat" % process.pid).read().rsplit(")", 1)[1].split()
    status = open("/proc/%d/status" % process.pid).read()
    resident = int(status.split("VmRSS:")[1].split()[0])
    return (int(fields[11]) + int(fields[12])) / ticks, resident


def link_bytes(port):
    sent = received = 0
    for line in call(port, "/metrics").splitlines():
        if line.startswith("guavabay_peer_sent_bytes_total"):
            sent = int(line.split()[1])
        if line.startswith("guavabay_peer_received_bytes_total"):
            received = int(line.split()[1])
    return sent, received


def contract(number, weight):
    text = json.load(open("examples/contracts/registrars.json"))
    text["customer"] = "customer-%d" % number
    text["keys_sha256"] = ["%064x" % (number + 1)]
    text["weight"] = weight
    text["hosts"] = []
    return json.dumps(text)


def apply(number, weight):
    port = base + 2000 + number % given.entries
    answer = call(port, "/v1/contracts/customer-%d" % number, "PUT", contract(number, weight),
                  {"Operation-Id": "op-%d-%d" % (number, weight), "Operator": "measure"})
    return json.loads(answer)["version"] if answer.startswith("{") else None


def time_in_force(number, weight):
    began = time.time()
    version = apply(number, weight)
    accepted = time.time()
    if version is None:
        return None
    while time.time() - accepted < 10:
        answer = call(base + 2000, "/v1/contracts/customer-%d/status" % number)
        if answer.startswith("{"):
            status = json.loads(answer)
            if status["version"] >= version and status["in_force_everywhere"]:
                return (time.time() - accepted) * 1000
        time.sleep(0.005)
    return None


with tempfile.TemporaryDirectory() as work:
    try:
        start(build + "/guavabay-standins", "store", "--port", str(base))
        time.sleep(0.3)
        for number in range(given.hosts):
            pool, rack = number % 24, number // 20
            record = {"zone": "z%d" % (rack % 8), "rack": "r%d" % rack, "pool": "pool-%d" % pool,
                      "state": "serving", "maintained": 0,
                      "changed_at": "2026-01-01T00:00:00.000Z"}
            report = {"up": True, "empty": False, "maintained": 0, "cpu_millis": 64000,
                      "memory_mb": 256000, "accelerators": 2}
            for key, value in (("host", record), ("report", report)):
                call(base, "/v3/kv/put", "POST", json.dumps(
                    {"key": encode("guavabay/%s/worker-%05d" % (key, number)),
                     "value": encode(json.dumps(value))}))
        seeds = ",".join("127.0.0.1:%d" % (base + 3000 + i) for i in range(min(3, given.entries)))
        entries = []
        for number in range(given.entries):
            entries.append(start(
                build + "/guavabay", "serve", "--host", "h%d" % number,
                "--zone", "z%d" % (number % 8),
                "--caller-address", "127.0.0.1:%d" % (base + 1000 + number),
                "--operator-address", "127.0.0.1:%d" % (base + 2000 + number),
                "--peer-address", "127.0.0.1:%d" % (base + 3000 + number), "--peers", seeds,
                "--peer-keys", "1:loopback-demo-secret-0001", "--operator-open", "yes",
                "--store", "127.0.0.1:%d" % base))
        deadline = time.time() + 120
        for number in range(given.entries):
            while "ready" not in call(base + 2000 + number, "/ready") and time.time() < deadline:
                time.sleep(0.1)
        for number in range(given.contracts):
            apply(number, 1)
        for number in range(given.tasks):
            worker = number % max(1, given.hosts)
            task = {"customer": "customer-%d" % (number % given.contracts), "kind": "convert",
                    "cpu_millis": 1000, "memory_mb": 1000, "state": "starting", "attempt": 1,
                    "worker": "worker-%05d" % worker,
                    "reserved": {"cpu_millis": 1000, "memory_mb": 1000}}
            key = "guavabay/~pool/pool-%d/task/task-%06d" % (worker % 24, number)
            call(base, "/v3/kv/put", "POST", json.dumps(
                {"key": encode(key), "value": encode(json.dumps(task))}))
        time.sleep(5)
        weight = 2
        for rate in [float(r) for r in given.rates.split(",")]:
            before = [usage(p) for p in entries]
            sent = [link_bytes(base + 2000 + i) for i in range(given.entries)]
            calls = int(call(base, "/-/calls"))
            began = time.time()
            changes = 0
            while time.time() - began < given.seconds:
                if rate > 0 and time.time() - began >= changes / rate:
                    apply(changes % given.contracts, 2 + (weight + changes) % 900)
                    changes += 1
                time.sleep(0.01)
            passed = time.time() - began
            weight += changes + 1
            calls = (int(call(base, "/-/calls")) - calls) / passed
            after = [usage(p) for p in entries]
            now = [link_bytes(base + 2000 + i) for i in range(given.entries)]
            cores = sorted((a[0] - b[0]) / passed * 100 for a, b in zip(after, before))
            resident = max(a[1] for a in after) / 1024
            out = sorted((a[0] - b[0]) / passed / 1000 for a, b in zip(now, sent))
            into = sorted((a[1] - b[1]) / passed / 1000 for a, b in zip(now, sent))
            middle = given.entries // 2
            print("entries=%d hosts=%d tasks=%d contracts=%d changes/s=%.1f core%%: p50=%.2f max=%.2f "
                  "resident_mb=%.1f sent_kB/s: p50=%.2f max=%.2f received_kB/s: p50=%.2f max=%.2f "
                  "store_calls/s=%.1f" %
                  (given.entries, given.hosts, given.tasks, given.contracts, changes / passed, cores[middle],
                   cores[-1], resident, out[middle], out[-1], into[middle], into[-1], calls))
            sys.stdout.flush()
        times = [time_in_force(i % given.contracts, 950 + i) for i in range(20)]
        known = sorted(t for t in times if t is not None)
        print("entries=%d in force everywhere after acceptance: p50=%.0f ms max=%.0f ms, "
              "%d of %d" % (given.entries, known[len(known) // 2], known[-1], len(known),
                            len(times)))
        call(base, "/-/switch/slow/300")
        times = [time_in_force(i % given.contracts, 980 + i) for i in range(5)]
        known = sorted(t for t in times if t is not None)
        print("entries=%d store slow by 300 ms: p50=%.0f ms max=%.0f ms, %d of %d" %
              (given.entries, known[len(known) // 2], known[-1], len(known), len(times)))
        call(base, "/-/switch/slow/0")
    finally:
        for process in processes:
            process.kill()
