"""Stand-ins and helpers of the cases 6 to 10: the platform's store, searchers, clients and the gateways' processes.

Everything runs on loopback addresses. The store, searchers and clients follow PROTOCOL.md; the gateways are started
with the command of deploy/system.toml and settings that are filled in from its template."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 5000, "AcknowledgeMs": 6000, "CatchUpS": 4,
          "DrainMs": 4000, "GraceS": 6, "LossSlackMs": 200, "ConfigPropagationMs": 4000, "RollbackSlackMs": 250,
          "MaxStretchMs": 15000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 56,
          "WarmupBurstFactor": 1.5, "WarmupSlack": 5, "EvacuationMs": 5000, "RecoveryS": 12}
HEARTBEAT_S = 1.2
RECORD = 16


class CannotRun(Exception):
    """The case could not run; says nothing of the rule."""


# ---------------------------------------------------------------------------------------------- HTTP/1.1


class Closed(Exception):
    """The other side ended the connection before a whole message."""


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError) as ec:
        raise Closed(str(ec)) from ec
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += chunk[:-2]
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as ec:
        raise Closed(str(ec)) from ec


def response(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(ip, port, handle):
    """Calls `handle(method, target, headers, body, writer)` for each request; False ends the connection."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if not await handle(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, limit=1 << 20)


# ---------------------------------------------------------------------------------------------- the store


class Store:
    """The platform's store: objects by kind and name, one revision counter, listings in pages, watches."""

    PAGE = 50

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.events = []
        self.oldest = 1
        self.changed = asyncio.Event()
        self.silent = False  # answers nothing
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await serve("127.0.0.1", 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["meta"]["Created"] if known else self.revision
        item = {"meta": {"Name": name, "Revision": self.revision, "Created": created, "Finalizers": [],
                         "Deleting": False}, "spec": spec, "status": None}
        self.objects[kind][name] = item
        self.note(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            self.note(kind, item, True)
        return item

    def note(self, kind, item, deleted):
        self.events.append((time.monotonic(), self.revision, kind,
                            {"Deleted": deleted, "Object": json.loads(json.dumps(item))}))
        while self.events and time.monotonic() - self.events[0][0] > 20:
            self.oldest = self.events.pop(0)[1]
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        if self.silent:
            while self.silent and not writer.is_closing():
                await asyncio.sleep(0.05)
            return False
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(it) for it in parts.path.split("/")[3:]]
        if method == "GET" and "Watch" in query:
            status, answer = await self.watch(path[0], query)
        elif method == "GET" and len(path) == 1:
            status, answer = self.list(path[0], query)
        else:
            status, answer = self.single(method, path, body)
        if self.silent:
            return False
        writer.write(response(status, json.dumps(answer).encode(), {"Content-Type": "application/json"}))
        return True

    def single(self, method, path, body):
        objects = self.objects.setdefault(path[0], {})
        if method == "GET":
            return (200, objects[path[1]]) if path[1] in objects else (404, {})
        if method == "POST":
            given = json.loads(body)
            name = given["meta"]["Name"]
            return (409, objects[name]) if name in objects else (201, self.put(path[0], name, given["spec"]))
        if method == "DELETE":
            item = self.delete(path[0], path[1])
            return (200, item) if item else (404, {})
        if method == "PUT" and path[1] in objects:
            given = json.loads(body)
            if given.get("meta", {}).get("Revision") not in (None, objects[path[1]]["meta"]["Revision"]):
                return 409, objects[path[1]]
            return 200, self.put(path[0], path[1], given["spec"])
        return 404, {}

    def list(self, kind, query):
        objects = self.objects.get(kind, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        return 200, {"items": [objects[it] for it in names[:self.PAGE]], "HasMore": len(names) > self.PAGE,
                     "AsOf": self.revision}

    async def watch(self, kind, query):
        since = int(query["Watch"])
        end = time.monotonic() + min(30000, int(query.get("WaitMs", 0))) / 1000
        while not self.silent:
            if since < self.oldest or since > self.revision:
                return 410, {}
            found = [event for _, revision, of, event in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return 503, {}


# ---------------------------------------------------------------------------------------------- searchers


class Searcher:
    """A sound searcher: slots, a queue, an entry in the store, and a log of what arrived and ran."""

    def __init__(self, world, service, zone, slots=4, queue=24, work_s=0.02, spread=0.2):
        self.world, self.service, self.zone = world, service, zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.slots, self.queue_room, self.work_s, self.spread = slots, queue, work_s, spread
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.cold_until = 0.0
        self.draining = False
        self.sheds = 0.0  # share of the requests that are turned away as not run
        self.server, self.port = None, 0
        self.writers = set()
        self.answer_body = None  # what to answer for a request; records if none is set
        self.beat_task = None

    async def start(self, port=0):
        self.server = await serve("127.0.0.1", port, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat_task = asyncio.create_task(self.beat())

    def warmup_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def report(self):
        """One status report; a store that is away takes none."""
        if self.world.store.silent:
            return
        self.sequence += 1
        self.world.store.put("servers", self.id, {
            "Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": "draining" if self.draining else "ready",
            "WarmupLeftMs": self.warmup_left_ms(), "Sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """The process ends: its listener and connections go, it reports nothing more."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def start_again(self, cold_s):
        """A new process with the same id at the same address; it knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.sequence, self.waiting = 0, 0
        self.free = asyncio.Semaphore(self.slots)
        self.cold_until = time.monotonic() + cold_s
        await self.start(self.port)

    async def handle(self, method, target, headers, body, writer):
        self.writers.add(writer)
        request = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") not in (None, self.id):
            writer.write(response(421, headers={"X-Instance-Id": self.id, "X-Not-Executed": "1"}))
            return True
        if (method, target) == ("GET", "/health"):
            extra = {"X-Instance-Id": self.id}
            if self.warmup_left_ms():
                extra["X-Warmup-Milliseconds"] = str(self.warmup_left_ms())
            writer.write(response(503 if self.draining else 200, headers=extra))
            return True
        echo = {"X-Request-Id": request}
        self.world.note("arrives", request, self.id, method=method, target=target)
        if not request:
            writer.write(response(400, headers={"X-Not-Executed": "1"}))
            return True
        if self.waiting >= self.queue_room or random.random() < self.sheds:
            self.world.note("turned away", request, self.id)
            writer.write(response(503, headers={"X-Not-Executed": "1", **echo}))
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if writer.is_closing():
                return False  # dropped: its connection has closed
            self.world.note("runs", request, self.id)
            await asyncio.sleep(self.work_s * max(0.2, random.gauss(1.0, self.spread)))
        answer = self.answer_body(request, body) if self.answer_body else os.urandom(8 * RECORD)
        writer.write(response(200, answer, {"X-Server-Stamp": f"{self.id}.{request}", **echo}))
        self.world.note("answers", request, self.id, bytes=len(answer))
        return True


# ---------------------------------------------------------------------------------------------- clients


async def exchange(address, request_id, path, host, limit_ms, method="GET", body=b"", connection=None):
    """One client attempt. Returns (status, headers, body); status 0 if the connection ended without an answer."""
    kept = connection is not None
    try:
        if not kept:
            ip, port = address.rsplit(":", 1)
            connection = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=1 << 20), 1.0)
        reader, writer = connection
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Milliseconds: {limit_ms}\r\n")
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        first, headers = await asyncio.wait_for(read_head(reader), limit_ms / 1000)
        answer = await asyncio.wait_for(read_body(reader, headers), limit_ms / 1000)
        return int(first.split(" ")[1]), headers, answer
    except asyncio.TimeoutError:
        return -1, {}, b""
    except (Closed, ConnectionError, OSError):
        return 0, {}, b""
    finally:
        if not kept and connection is not None:
            connection[1].close()


# ---------------------------------------------------------------------------------------------- gateways


def fill_template(text, fields):
    """Fills in the deploy file's template as DEPLOY.md describes it."""

    def look(name, scopes):
        for scope in reversed(scopes):
            if name == ".":
                return scope.get(".")
            value = scope
            for step in name.split("."):
                if isinstance(value, list) and step.isdigit() and int(step) < len(value):
                    value = value[int(step)]
                elif isinstance(value, dict) and step in value:
                    value = value[step]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def render(part, scopes):
        out, at = "", 0
        for found in iter(lambda: re.compile(r"\{\{([#^]?)([^{}]+)\}\}").search(part, at), None):
            out += part[at:found.start()]
            sign, name = found[1], found[2]
            if not sign:
                out += plain(scopes[-1].get(name) if name in (",", "@", ".") else look(name, scopes))
                at = found.end()
                continue
            close = part.index("{{/" + name + "}}", found.end())
            inner, value = part[found.end():close], look(name, scopes)
            at = close + len(name) + 5
            if sign == "^":
                out += render(inner, scopes) if not value else ""
            elif isinstance(value, (list, dict)):
                items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                for n, (key, one) in enumerate(items):
                    out += render(inner, scopes + [{".": one, "@": key, ",": "," if n + 1 < len(items) else ""}])
            elif value is not None and value is not False:
                out += render(inner, scopes)
        return out + part[at:]

    return render(text, [fields])


def free_ports(ips, count):
    """Port numbers that are free on all of the addresses."""
    chosen = []
    while len(chosen) < count:
        port = random.randint(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as one:
                    one.bind((ip, port))
            if port not in chosen:
                chosen.append(port)
        except OSError:
            continue
    return chosen


class Gateway:
    """One process of the program, signalled by its own id only."""

    def __init__(self, world, n, ip, zone, ports):
        self.world, self.n, self.ip, self.zone, self.ports = world, n, ip, zone, ports
        self.seeds = []
        self.bootstrap = True
        self.process = None
        self.path = os.path.join(world.folder, f"settings-{n}.conf")
        self.extra_bounds = {}

    @property
    def callers(self):
        return f"{self.ip}:{self.ports[0]}"

    def write_settings(self):
        callers, ready, control, internal = self.ports
        fields = {
            "NodeName": f"frontend-{self.zone}-{self.n}", "Role": "gateway", "MachineClass": "frontend",
            "IpAddress": self.ip, "Zone": self.zone, "Region": ZONES[self.zone], "Zones": ZONES,
            "ListenAddresses": {"Frontend": f"{self.ip}:{callers}", "Ready": f"{self.ip}:{ready}",
                                "Control": f"{self.ip}:{control}"},
            "InternalPortRange": [internal, internal + 15], "Seeds": self.seeds, "Bootstrap": self.bootstrap,
            "platform": {"Address": f"127.0.0.1:{self.world.store.port}"},
            "Bounds": {**BOUNDS, **self.extra_bounds}}
        with open(self.world.template, encoding="utf-8") as source:
            text = fill_template(source.read(), fields)
        with open(self.path + ".new", "w", encoding="utf-8") as out:
            out.write(text)
        os.replace(self.path + ".new", self.path)

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.world.folder, f"gateway-{self.n}.log"), "ab")
        command = self.world.deploy["roles"]["gateway"]["run"].split(" ")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                        env={**env, "SKYLARKSEAM_CONFIG": self.path})

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self):
        ip, port = self.ip, self.ports[1]
        status, _, _ = await exchange(f"{ip}:{port}", "", "/api/readiness", "ready", 500)
        return status == 200

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """One deployment on loopback, and the record of what was sent, answered and run."""

    def __init__(self, case):
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            self.deploy = tomllib.load(source)
        self.template = os.path.join(ROOT, self.deploy["roles"]["gateway"]["template"])
        self.store = Store()
        self.searchers, self.gateways = [], []
        self.began = time.monotonic()
        self.lines = []
        self.events = []
        self.last_id = random.getrandbits(40) << 20
        self.ports = None

    def note(self, what, request="", searcher="", **more):
        now = time.monotonic() - self.began
        self.events.append((now, what, request, searcher))
        rest = " ".join(f"{name}={value}" for name, value in more.items())
        self.lines.append(f"{now:9.3f} {what:12} {request:16} {searcher} {rest}".rstrip())

    def new_id(self):
        self.last_id += 1
        return f"{self.last_id:016x}"

    def config(self, routes, services, version=1):
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
        self.store.put("config", "main",
                       {"Version": version, "Routes": routes, "Services": services, "Limits": limits})

    def add_gateways(self, zones, net=None):
        net = net or random.randint(2, 250)
        first = len(self.gateways)
        ips = [f"127.{net}.0.{n + 1}" for n in range(first, first + len(zones))]
        self.ports = self.ports or free_ports(ips, 4)
        for ip, zone in zip(ips, zones):
            self.gateways.append(Gateway(self, len(self.gateways) + 1, ip, zone, self.ports))
        seeds = [f"{it.ip}:{it.ports[2]}" for it in self.gateways[:3]]
        for it in self.gateways:
            it.seeds = seeds

    async def wait_ready(self, gateways=None, limit_s=15):
        end = time.monotonic() + limit_s
        left = list(gateways or self.gateways)
        while left:
            if time.monotonic() > end:
                raise CannotRun(f"{len(left)} gateways did not become ready")
            left = [it for it in left if not await it.ready()]
            await asyncio.sleep(0.1)

    def close(self, verdict):
        for it in self.gateways:
            it.stop()
        with open(os.environ.get("RECORD", os.path.join(self.case, "record.txt")), "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines + verdict) + "\n")
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, kind="safe", timeout_ms=5000, target_ms=500, attempts=2):
    return {"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": target_ms, "Priority": 1, "Service": service, "MaxAttempts": attempts,
            "HomeRegions": []}


def service(name, connections=36, warmup_s=3.0, warmup_per_s=0.0):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1", "Tls": False,
            "WarmupS": warmup_s, "WarmupPerS": warmup_per_s}


def main(case_file, play):
    """Runs `play(world)`, which returns (broken, lines of the verdict), and exits as the issue asks."""
    case = os.path.dirname(os.path.abspath(case_file))
    if not os.path.exists(os.path.join(ROOT, "target", "skylarkseam")):
        print("target/skylarkseam is missing: run the build of deploy/system.toml")
        sys.exit(2)
    code, verdict = 2, []

    async def run():
        world = World(case)
        nonlocal code, verdict
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await world.store.start()
            broken, verdict = await asyncio.wait_for(play(world), 110)
            code = 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as ec:
            verdict = [f"the case could not run: {ec or type(ec).__name__}"]
        finally:
            world.close(verdict)

    try:
        asyncio.run(run())
    except asyncio.CancelledError:
        verdict = ["the case was stopped"]
    print("\n".join(verdict))
    sys.exit(code)
