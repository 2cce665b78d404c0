"""Stand-ins of the cases 7 and 10: a store, searchers and clients, and the gateways as processes."""

import asyncio
import copy
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "skylarkseam")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
PORTS = ("callers", "readiness", "admin", "peers")


class CannotRun(Exception):
    """The case could not be played; it says nothing of the rule."""


async def read_message(reader):
    """The first line, the headers with names in lower case, and the body of one message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(handle):
    """Calls `handle(first line, headers, body, writer)` for each request; returns the port on 127.0.0.1."""

    async def connection(reader, writer):
        try:
            while True:
                await handle(*await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[1]


class Store:
    """Objects by kind and name with one revision counter, their listings and watches, and the era of the store."""

    def __init__(self):
        self.objects, self.events, self.revision, self.era = {}, [], 1, 1
        self.up = True
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, deleted=False):
        self.revision += 1
        item = {"meta": {"Name": name, "Revision": self.revision, "Created": 1, "Finalizers": [], "Deleting": False},
                "spec": spec, "status": None}
        if deleted:
            self.objects[kind].pop(name)
        else:
            self.objects.setdefault(kind, {})[name] = item
        self.events.append((self.revision, kind, {"Deleted": deleted, "Object": item}))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return copy.deepcopy((self.objects, self.events, self.revision))

    def restore(self, saved):
        """Comes back from an older copy: later revisions are gone and are given out again."""
        self.objects, self.events, self.revision = saved
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, first, headers, body, writer):
        era = {"Store-Era": str(self.era), "Content-Type": "application/json"}
        if not self.up:
            writer.write(response(503, headers=era))
            return
        await asyncio.sleep(0.004)
        if not first.startswith(("GET /", "POST /", "DELETE /")):
            raise ConnectionError("no request: " + first)
        method, target, _ = first.split(" ")
        parts = urlsplit(target)
        kind = parts.path.split("/")[3]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, answer = 200, {}
        if method == "POST":
            given = json.loads(body)
            self.put(kind, given["meta"]["Name"], given["spec"])
            answer = self.objects[kind][given["meta"]["Name"]]
        elif method == "DELETE":
            self.put(kind, parts.path.split("/")[4], None, deleted=True)
        elif "Watch" in query:
            status, answer = await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)) / 1000)
        else:
            answer = {"items": list(self.objects.get(kind, {}).values()), "HasMore": False, "AsOf": self.revision}
        era["Store-Era"] = str(self.era)
        writer.write(response(status if self.up else 503, json.dumps(answer).encode(), era))

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while since <= self.revision:
            found = [event for revision, of, event in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return 410, {}


class World:
    """One small deployment on loopback: a store, searchers and gateways."""

    def __init__(self, case):
        self.record = open(os.path.join(case, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.arrivals = []  # (time, searcher, id, first line) of each run
        self.ran = set()  # the ids of them
        self.gateways = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        print(f"{self.now():8.3f}", *words, file=self.record)

    async def searcher(self, name, service, zone, work_s, headers_of_answer=None, slots=4):
        """Starts a sound searcher and registers it. `work_s` is a time, or gives one for a request's body."""
        free = asyncio.Semaphore(slots)

        async def handle(first, headers, body, writer):
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance") not in (None, name):
                writer.write(response(421, headers={"X-Instance-Id": name}))
                return
            if first.startswith("GET /health "):
                writer.write(response(200, headers={"X-Instance-Id": name}))
                return
            if not request_id:
                writer.write(response(400, headers={"X-Not-Executed": "1"}))
                return
            async with free:
                self.arrivals.append((self.now(), name, request_id, first))
                self.ran.add(request_id)
                self.note("searcher", name, "runs", request_id, first.split("?")[0])
                await asyncio.sleep(work_s(body) if callable(work_s) else work_s)
            writer.write(response(200, b"%016d" % len(body), {"X-Request-Id": request_id, "X-Server-Stamp": f"{name}.{request_id}",
                                                             **(headers_of_answer or {})}))

        port = await serve(handle)
        self.register(name, service, zone, port, slots=slots)
        return port

    def register(self, name, service, zone, port, cold_s=0.0, sequence=1, slots=4):
        self.store.put("servers", name, {
            "Service": service, "Address": f"127.0.0.1:{port}", "Zone": zone, "Version": "v1", "Slots": slots,
            "State": "ready", "WarmupLeftMs": max(0, int(cold_s * 1000)), "Sequence": sequence, "born": 1700000000000})

    def configure(self, routes, services, **of_service):
        """`routes` holds (path prefix, kind, service, time limit in ms, target latency in ms)."""
        self.store.put("config", "main", {
            "Version": 7,
            "Routes": [{"Name": f"r{n}", "Host": "leno12.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout,
                        "TargetLatencyMs": target, "Priority": 1, "Service": service, "MaxAttempts": 2, "HomeRegions": []}
                       for n, (prefix, kind, service, timeout, target) in enumerate(routes)],
            "Services": [{"Name": it, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False,
                          "WarmupS": 3.0, "WarmupPerS": 0.0, **of_service} for it in services],
            "Limits": LIMITS})

    async def start(self, zones):
        """Starts one gateway in each of `zones` with the command of the deploy file, and waits until all are ready."""
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/skylarkseam is missing")
        store_port = await serve(self.store.handle)
        ips = self.free_addresses(len(zones))
        names = sorted(set(zones))
        for n, (zone, ip) in enumerate(zip(zones, ips)):
            path = os.path.join(self.folder, f"settings-{n}.yaml")
            places = "\n".join(f'  - {{ name: "{it}", region: "region-{it}" }}' for it in names)
            seeds = ", ".join(f'"{it}:{self.port["admin"]}"' for it in ips[:3])
            at = {name: f"{ip}:{port}" for name, port in self.port.items()}
            with open(path, "w", encoding="utf-8") as out:
                out.write(f"""node: {{ name: "frontend-{zone}-{n}", availability_zone: "{zone}", region: "region-{zone}" }}
listen: {{ callers: "{at['callers']}", admin: "{at['admin']}", peers: "{at['peers']}" }}
platform: {{ url: "http://127.0.0.1:{store_port}" }}
seeds: [{seeds}]
limits: {{ header_bytes: 32768, body_bytes: 1048576, connections: 3000, open_requests: 2500, held_bytes: 50331648, upstream_body_bytes: 4194304 }}
gateway:
  readiness: "{at['readiness']}"
  zones:
{places}
  extra_ratio: 0.2
  extra_slack: 56
  extra_window_ms: 10000
  first_start: true
  stop_grace_ms: 6000
  configuration_in_force_ms: 4000
  evacuation_in_force_ms: 5000
  drain_in_force_ms: 4000
""")
            with open(os.path.join(self.folder, f"gateway-{n}.log"), "wb") as log:
                process = subprocess.Popen([PROGRAM, "gateway"], cwd=ROOT, stdout=log, stderr=log,
                                           env={"PATH": os.environ["PATH"], "SKYLARKSEAM_CONFIG": path})
            self.gateways.append((ip, process))
        for ip, process in self.gateways:
            await self.wait_ready(ip, process)
        self.note("gateways are ready:", ", ".join(zones))

    def free_addresses(self, count):
        net = random.randrange(1, 250)
        ips = [f"127.77.{net}.{n + 1}" for n in range(count)]
        for _ in range(50):
            base = random.randrange(20000, 32000)
            try:
                for port in range(base, base + len(PORTS)):
                    for ip in ips:
                        with socket.socket() as probe:
                            probe.bind((ip, port))
            except OSError:
                continue
            self.port = {name: base + n for n, name in enumerate(PORTS)}
            return ips
        raise CannotRun("no free ports")

    async def wait_ready(self, ip, process):
        for _ in range(200):
            if process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(ip, self.port["readiness"])
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                first, _, _ = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("a gateway did not become ready")

    def connect(self, n=0):
        return asyncio.open_connection(self.gateways[n][0], self.port["callers"])

    async def ask(self, stream, method, target, body=b"", limit_ms=8000, more=""):
        """Sends one request; returns its id, its status and the time to wait that the answer names.

        The status is 0 if the connection ended without an answer, -1 if the client's time limit has passed.
        """
        reader, writer = stream
        request_id = f"{random.getrandbits(64):016x}"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.note("client sends", request_id, method, target.split("?")[0])
        headers = {}
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: leno12.example\r\nX-Request-Id: {request_id}\r\n"
                         f"X-Deadline-Milliseconds: {limit_ms}\r\n{length}{more}\r\n".encode() + body)
            first, headers, _ = await asyncio.wait_for(read_message(reader), limit_ms / 1000)
            status = int(first.split(" ")[1])
        except asyncio.TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.note("client got", status, "for", request_id, "stamp", headers.get("x-server-stamp", "-"))
        return request_id, status, float(headers.get("retry-after", 0))

    def end(self):
        for _, process in self.gateways:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(case, story):
    """Plays `story(world)`, which returns what broke the rule, or nothing; exits with 1, 0 or 2."""
    world = World(os.path.dirname(os.path.abspath(case)))
    code = 2
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(asyncio.wait_for(story(world), 110))
        world.note("rule broken:" if broken else "rule held", broken or "")
        print("rule broken: " + broken if broken else "rule held")
        code = 1 if broken else 0
    except Exception as fault:  # a fault of the script says nothing of the rule
        world.note("could not run:", repr(fault))
        print("could not run:", repr(fault))
    finally:
        world.end()
    sys.stdout.flush()
    os._exit(code)  # connections that are still open need no orderly end
