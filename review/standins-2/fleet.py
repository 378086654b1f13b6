"""Stand-ins for the platform's store, workers and callers, and the start of entry hosts.

Everything runs on loopback addresses. The stand-ins do what PROTOCOL.md says; a case adds the
disturbance that it is about. Only the standard library of Python 3.9 or later is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "guavabay")
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case cannot be run here."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def note(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class HttpServer:
    """Serves HTTP/1.1 with persistent connections; the handler returns (status, object)."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self.port = 0

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 24,
                                                  backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                content = json.loads(body) if body else {}
                answer = await self._handler(method, urllib.parse.unquote(parts.path), query,
                                             headers, content)
                if answer is None:  # The channel returns nothing further.
                    await asyncio.sleep(3600)
                status, result = answer
                data = json.dumps(result).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(port, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a connection of its own; (status, object), (0, reason) without answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            given = {"Host": "x", "Connection": "close", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            if body is not None:
                lines += ["Content-Type: application/json"]
            lines += [f"Content-Length: {len(data)}", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            length = 0
            for line in head[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            text = await reader.readexactly(length)
            return status, (json.loads(text) if text else {})
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, type(error).__name__


class Store:
    """The platform's store. Each entry host gets a port of its own, so that one can be singled out."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._servers = {}
        self._waiting = {}  # Watches that wait for events, as (host, prefix), by number.
        self._silent = set()  # Numbers of watches whose channel has gone silent.
        self._next_watch = 0
        self.down = False  # All calls get 503 while it is down; leases run out meanwhile.

    async def port_for(self, name):
        async def handler(method, path, query, headers, body):
            return await self._handle(name, method, path, query, body)
        server = HttpServer(handler)
        await server.start()
        self._servers[name] = server
        return server.port

    def stop(self):
        for server in self._servers.values():
            server.stop()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self._add_event(dict(self.items[key]))

    def set_down(self, down):
        self.down = down
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def _add_event(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [number for number, held in self.leases.items() if held[1] < now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, name, method, path, query, body):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "as-of": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "has-more": len(keys) > 500, "as-of": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(name, query)
        if path == "/v1/kv-txn":
            return self._commit(body)
        if path == "/v1/kv-lease":
            ttl = max(1000, int(body["ttl-ms"]))
            self._next_lease += 1
            self.leases[self._next_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self._next_lease, "ttl-ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            held = self.leases.get(int(path.rsplit("/", 1)[1]))
            if held is None:
                return 404, {}
            held[1] = time.monotonic() + held[0]
            return 200, {"ttl-ms": int(held[0] * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def silence(self, name, prefix):
        """The channel on which a host waits for events of a prefix goes silent; new ones work."""
        found = [number for number, waiting in self._waiting.items() if waiting == (name, prefix)]
        self._silent.update(found)
        return len(found)

    async def _watch(self, name, query):
        self._next_watch += 1
        number = self._next_watch
        self._waiting[number] = (name, query["prefix"])
        try:
            answer = await self._wait_for_events(query)
        finally:
            del self._waiting[number]
        return None if number in self._silent else answer

    async def _wait_for_events(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            found = [event for event in self.events
                     if event["revision"] > after and event["key"].startswith(query["prefix"])]
            if self.down:
                return 503, {}
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as-of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, body):
        guards = body.get("expected-rev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in guards}
        if any((current[row["key"]] or {"revision": 0})["revision"] != row["revision"]
               for row in guards):
            return 412, {"items": [item for item in current.values() if item is not None]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases
               for put in body.get("puts", [])):
            return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


    def owner_of(self, service, hosts):
        """The entry host whose name the owner's record of a service holds, or None."""
        item = self.items.get("c/owner/" + service)
        value = base64.b64decode(item["value"]) if item is not None else b""
        return next((host for host in hosts if host.name.encode() in value), None)


class Worker:
    """One runner. A task-spec is JSON: `ms` how long a run takes, `fail` how many runs fail first."""

    attempts = {}  # Runs begun of each subtask, over all workers.

    def __init__(self, store, record, service, rack, cpu, machine, mem_mb=262144, stop_ms=50):
        self.stop_ms = stop_ms
        self.id = "w" + "".join(random.choice("0123456789abcdef") for _ in range(10))
        self.service, self.rack, self.machine = service, rack, machine
        self.cpu, self.mem_mb = cpu, mem_mb
        self._store, self._record = store, record
        self._server = HttpServer(self._handle)
        self._born = int(time.time() * 1000)
        self._start = time.monotonic()
        self.runs = {}
        self._ended = {}
        self._last_run = {}
        self._end_number = 0
        self._fence = 0
        self._deadline = 0
        self._wake = asyncio.Event()
        self.alive = False
        self.cut = False  # No call reaches it and no answer leaves it; its runs go on.
        self._tasks = []

    async def start(self, port=0):
        await self._server.start(port)
        self.port = self._server.port
        self.alive = True
        self._tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._work())]

    async def crash(self):
        """Ends at once; the store drops the entry after three missing reports."""
        self.alive = False
        self._record.note(f"worker {self.id} rack={self.rack} lost, runs={len(self.runs)}")
        self.runs.clear()
        self._server.stop()
        await asyncio.sleep(4.5)
        self._store.remove("servers/" + self.id)

    async def restart(self, down_s):
        """Ends at once and starts again under its id, at another port; knows nothing of before."""
        self._record.note(f"worker {self.id} ends, runs={len(self.runs)}, port={self.port}")
        self.stop()
        self.runs, self._ended, self._last_run = {}, {}, {}
        self._end_number = self._fence = self._deadline = 0
        await asyncio.sleep(down_s)
        self._born, self._start = int(time.time() * 1000), time.monotonic()
        self._server = HttpServer(self._handle)
        await self.start()
        self._record.note(f"worker {self.id} starts again, port={self.port}")

    def stop(self):
        self.alive = False
        self._server.stop()
        for task in self._tasks:
            task.cancel()

    def clock(self):
        return int((time.monotonic() - self._start) * 1000) + 1000

    def used_cpu(self):
        return sum(run["cpu"] for run in self.runs.values())

    async def _beat(self):
        sequence = 0
        while self.alive:
            sequence += 1
            entry = {"service": self.service, "address": f"{HOST}:{self._server.port}",
                     "zone": "z1", "version": "1", "slots": 8, "state": "ready",
                     "cold-left-ms": 0, "sequence": sequence, "machine": self.machine,
                     "born": self._born, "labels": ["a", self.rack],
                     "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0}}
            if not self._store.down:
                self._store.put("servers/" + self.id, json.dumps(entry).encode())
            await asyncio.sleep(1.5)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self._end_number += 1
        self._ended[self._end_number] = [self._end_number, task, run["run"], how, ""]
        self._last_run[task] = max(self._last_run.get(task, 0), run["run"])
        self._record.note(f"ended {task} run={run['run']} how={how} worker={self.id}")
        self._wake.set()
        self._wake = asyncio.Event()

    async def _work(self):
        while self.alive:
            await asyncio.sleep(0.01)
            now = self.clock()
            for task, run in list(self.runs.items()):
                if now >= self._deadline:
                    self._end(task, "lapsed")
                elif run["stop_at"] is not None and now >= run["stop_at"]:
                    self._end(task, "stopped")
                elif run["ms"] is not None and now - run["begun"] >= run["ms"]:
                    self._end(task, "failed" if run["fails"] else "done")

    async def _handle(self, method, path, query, headers, body):
        if self.cut:
            return None
        answer = await self._answer(path, headers, body)
        return None if self.cut else answer

    async def _answer(self, path, headers, body):
        if headers.get("guavabay-expect-instance", self.id) != self.id:
            return 421, {}
        clock = self.clock()
        fence = int(body.get("fencing-token", 0))
        if fence < self._fence:
            return 409, {"clock-ms": clock, "reason": "fence"}
        self._fence = fence
        if path == "/v1/run-start":
            return self._start_run(body, clock)
        if path == "/v1/run-stop":
            task, number = body["task"], body["run"]
            run = self.runs.get(task)
            if run is not None and run["run"] <= number:
                run["stop_at"] = clock + self.stop_ms
            self._last_run[task] = max(self._last_run.get(task, 0), number)
            return 200, {"clock-ms": clock}
        if path == "/v1/pace":
            return 200, {"clock-ms": clock}
        if path == "/v1/hold":
            return await self._hold(body)
        return 400, {"clock-ms": clock}

    def _extend(self, body, clock):
        if "deadline-ms" in body:
            self._deadline = max(self._deadline, min(body["deadline-ms"], clock + 10000))

    def _start_run(self, body, clock):
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {"clock-ms": clock}
        if number <= self._last_run.get(task, 0) or task in self.runs:
            self._extend(body, clock)
            return 409, {"clock-ms": clock, "reason": "old"}
        if body["deadline-ms"] <= clock:
            return 409, {"clock-ms": clock, "reason": "late"}
        self._extend(body, clock)
        spec = json.loads(body["task-spec"])
        begun = Worker.attempts.get(task, 0) + 1
        Worker.attempts[task] = begun
        self.runs[task] = {"run": number, "begun": clock, "ms": spec.get("ms"), "stop_at": None,
                           "fails": begun <= spec.get("fail", 0), "cpu": spec.get("cpu", 0)}
        if "ends" in spec:  # Times of the first runs; later ones last.
            ends = spec["ends"]
            self.runs[task]["ms"] = ends[begun - 1] if begun <= len(ends) else None
        self._record.note(f"started {task} run={number} attempt={begun} worker={self.id} "
                          f"rack={self.rack} token={body['fencing-token']}")
        return 200, {"clock-ms": clock}

    async def _hold(self, body):
        self._extend(body, self.clock())
        acked = int(body.get("acked-through", 0))
        for number in [number for number in self._ended if number <= acked]:
            del self._ended[number]
        end = time.monotonic() + int(body.get("wait-ms", 0)) / 1000
        while not self._ended and time.monotonic() < end:
            try:
                await asyncio.wait_for(self._wake.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        clock = self.clock()
        running = []
        for task, run in self.runs.items():
            done = 100 if run["ms"] is None else min(99, (clock - run["begun"]) * 100 // run["ms"])
            running.append([task, run["run"], "", done, 0])
        ended = [self._ended[number] for number in sorted(self._ended)][:500]
        return 200, {"clock-ms": clock, "born": self._born, "running-tasks": running,
                     "finished": ended}


class EntryHost:
    """One process of the command of the deploy file, with settings as the template makes them."""

    def __init__(self, name, folder, store_port, record):
        self.name, self._folder, self._store_port, self._record = name, folder, store_port, record
        self.front, self.readiness, self.control, self.metrics = (free_port() for _ in range(4))
        self.process = None

    async def start(self, seeds, output):
        settings = {
            "host": self.name, "zone": "z1", "caller-address": f"{HOST}:{self.front}",
            "readiness-address": f"{HOST}:{self.readiness}",
            "peer-address": f"{HOST}:{self.control}", "store-address": f"{HOST}:{self._store_port}",
            "machines-address": "", "advice-address": "",
            "metrics-address": f"{HOST}:{self.metrics}", "seeds": ",".join(seeds),
            "least-lease-ms": "1000", "grace-seconds": "6", "longest-hold-ms": "10000",
            "stop-ms": "400", "drain-ms": "2000", "notice-ms": "4500", "status-seconds": "120",
            "early-ms": "250", "impact-ms": "4000", "pace-ms": "100", "remote-factor": "3",
            "upkeep-seconds": "2", "move-seconds": "1.5", "machine-orders-per-second": "64",
            "processor-share": "0.25", "processor-speed": "1", "link-megabits": "1000",
            "first-start": "true"}
        path = os.path.join(self._folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self._folder,
                       "GUAVABAY_SETTINGS": path}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "dispatch", cwd=self._folder, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=output, stderr=asyncio.subprocess.STDOUT)
        self._record.note(f"entry host {self.name} started pid={self.process.pid}")

    async def ready(self):
        return (await call(self.readiness, "GET", "/v1/ready", timeout=1.0))[0] == 200

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def make_config(version, routes, services):
    """Routes are (name, prefix, service, most attempts)."""
    return json.dumps({
        "version": version,
        "routes": [{"name": name, "host": "fleet.example", "prefix": prefix, "service": service,
                    "timeout-ms": 3000, "priority": 0, "max-attempts": attempts,
                    "stretch-factor": 1.6, "target-duration-ms": 600}
                   for name, prefix, service, attempts in routes],
        "services": [{"name": name, "enforces-capacity": False} for name in services],
        "limits": {}}).encode()


def new_id():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))


async def submit(hosts, prefix, steps, spec, record, tries=8):
    """Hands a submission in as a caller does, with the same id at other hosts; the id or None."""
    number = new_id()
    body = {"task-spec": json.dumps(spec), "steps": steps}
    for attempt in range(tries):
        host = hosts[attempt % len(hosts)]
        headers = {"Host": "fleet.example", "Guavabay-Deadline-Ms": "3000"}
        status, _ = await call(host.front, "POST", prefix + number, headers, body)
        record.note(f"POST {prefix}{number} at {host.name}: {status}")
        if 200 <= status < 300:
            return number
        await asyncio.sleep(0.3)
    return None


async def state(hosts, prefix, number, record, patience=4.0):
    """Asks for the state until there is an answer of 200 or 410, or the time is over."""
    end = time.monotonic() + patience
    attempt = 0
    while time.monotonic() < end:
        host = hosts[attempt % len(hosts)]
        attempt += 1
        headers = {"Host": "fleet.example", "Guavabay-Deadline-Ms": "3000"}
        status, body = await call(host.front, "GET", prefix + number, headers)
        record.note(f"GET {prefix}{number} at {host.name}: {status} {json.dumps(body)}")
        if status == 200:
            return body["state"]
        if status == 410:
            return "unknown"
        await asyncio.sleep(0.2)
    return "no answer"


async def start_hosts(count, store, folder, record, outputs):
    hosts = []
    for index in range(count):
        name = f"edge-{index + 1}"
        hosts.append(EntryHost(name, folder, await store.port_for(name), record))
    seeds = [f"{HOST}:{host.control}" for host in hosts[:3]]
    for host, output in zip(hosts, outputs):
        await host.start(seeds, output)
    for _ in range(100):
        if all([await host.ready() for host in hosts]):
            return hosts
        await asyncio.sleep(0.1)
    raise CannotRun("the entry hosts are not ready within 10 s")


def main(case, folder):
    """Runs a case; exits with 1 if it returns a reason for a broken rule, else 0, 2 if it cannot run."""
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        # A stop from outside ends the processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        store = Store()
        leases = asyncio.ensure_future(store.expire_leases())
        with tempfile.TemporaryDirectory() as scratch:
            keep = {"hosts": [], "workers": [], "stop": []}
            try:
                return await asyncio.wait_for(case(store, scratch, record, keep), 110)
            finally:
                for stop in keep["stop"]:
                    stop()
                for host in keep["hosts"]:
                    await host.stop()
                for worker in keep["workers"]:
                    worker.stop()
                store.stop()
                leases.cancel()

    if not os.access(PROGRAM, os.X_OK):
        print("target/guavabay is not built")
        sys.exit(2)
    try:
        reason = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        record.note(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        sys.exit(2)
    record.note("rule broken: " + reason if reason else "rule held")
    print("rule broken: " + reason if reason else "rule held")
    sys.exit(1 if reason else 0)
