"""Stand-ins and clients of the review's scripts: the platform's store, searchers, and gateways as real processes.

Everything listens on loopback addresses with free ports. `TROUBLE=0` in the environment leaves the disruption out.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "skylarkseam")


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")
        self.out.flush()


class Closed(Exception):
    """The other side ended the connection before a whole message."""


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(str(error)) from error
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed(str(error)) from error


def response(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def free_port(ip="127.0.0.1"):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Store:
    """The platform's metadata store: objects by kind and name, listings, watches, one revision counter."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Event()
        self.server, self.port = None, 0

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, raw=None):
        """Writes an object. `raw` is the JSON text of its spec, for what json.dumps does not write."""
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision, "Created": 1, "Finalizers": [], "Deleting": False}
        text = '{"meta":%s,"spec":%s,"status":null}' % (json.dumps(meta), raw or json.dumps(spec))
        self.objects.setdefault(kind, {})[name] = text
        self.note(kind, text, False)
        self.record.note(f"store acknowledges {kind}/{name} at revision {self.revision}: {raw or json.dumps(spec)[:150]}")

    def delete(self, kind, name):
        text = self.objects.get(kind, {}).pop(name, None)
        if text is not None:
            self.revision += 1
            self.note(kind, text, True)
            self.record.note(f"store removes {kind}/{name} at revision {self.revision}")

    def note(self, kind, text, deleted):
        self.events.append((self.revision, kind, '{"Deleted":%s,"Object":%s}' % ("true" if deleted else "false", text)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def connection(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, text = await self.answer(method, target, body)
                await asyncio.sleep(0.004)
                writer.write(response(status, text.encode("latin-1"), {"Content-Type": "application/json"}))
                await writer.drain()
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        arguments = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        names = path.split("/")[3:]
        objects = self.objects.setdefault(names[0], {})
        if method == "POST":
            given = json.loads(body)
            name = given["meta"]["Name"]
            if name in objects:
                return 409, objects[name]
            self.put(names[0], name, given.get("spec"))
            return 201, objects[name]
        if method == "DELETE":
            found = objects.get(names[1])
            self.delete(names[0], names[1])
            return (200, found) if found else (404, "{}")
        if "Watch" in arguments:
            return await self.watch(names[0], int(arguments["Watch"]), int(arguments.get("WaitMs", "0")) / 1000)
        if len(names) > 1:
            return (200, objects[names[1]]) if names[1] in objects else (404, "{}")
        listed = sorted(name for name in objects if name > arguments.get("after", ""))
        items = ",".join(objects[name] for name in listed[: self.PAGE])
        more = "true" if len(listed) > self.PAGE else "false"
        return 200, '{"items":[%s],"HasMore":%s,"AsOf":%d}' % (items, more, self.revision)

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            found = [text for revision, of, text in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, '{"events":[%s],"AsOf":%d}' % (",".join(found), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """A sound searcher. `arrived` and `runs` hold (time, request id) of what reached it and what it ran."""

    def __init__(self, record, store, service, name, zone, work=0.01, slots=4):
        self.record, self.store = record, store
        self.service, self.name, self.zone, self.work, self.slots = service, name, zone, work, slots
        self.arrived, self.runs = [], []
        self.leaving = False
        self.running = 0  # requests
        self.server, self.port = None, 0
        self.writers = set()
        self.handler = None  # replaces run() in a script
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def register(self, state="ready", **fields):
        spec = {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone, "Version": "v1",
                "Slots": self.slots, "State": state, "WarmupLeftMs": 0, "Sequence": 1, "born": self.born}
        spec.update(fields)
        self.store.put("servers", self.name, spec)

    def end(self):
        """The process ends: it listens no more, and its connections close."""
        self.server.close()
        for it in list(self.writers):
            it.close()
        self.record.note(f"searcher {self.name} ends")

    def crash(self):
        """The process is killed: its connections are reset, and nothing listens at its address."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        self.record.note(f"searcher {self.name} crashes")

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(first, headers, body, writer):
                    break
                await writer.drain()
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, first, headers, body, writer):
        method, target, _ = first.split(" ")
        request = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") not in (None, self.name):
            writer.write(response(421, headers={"X-Instance-Id": self.name}))
            return True
        if target == "/health":
            writer.write(response(503 if self.leaving else 200, headers={"X-Instance-Id": self.name}))
            return True
        self.arrived.append((self.record.now(), request))
        self.record.note(f"searcher {self.name} gets {method} {target} request {request} time limit {headers.get('x-deadline-milliseconds')}")
        if self.handler is not None:
            return await self.handler(self, request, writer)
        return await self.run(request, writer)

    async def run(self, request, writer):
        self.runs.append((self.record.now(), request))
        self.record.note(f"searcher {self.name} runs request {request}")
        self.running += 1
        await asyncio.sleep(self.work)
        self.running -= 1
        headers = {"X-Request-Id": request, "X-Server-Stamp": f"{self.name}.{request}"}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        writer.write(response(200, f"answer to {request}".encode(), headers))
        return True


class Gateway:
    """One machine: the program with the command of the deploy file and settings like those of the template."""

    def __init__(self, record, folder, name, ip, zone, zones, store_port, ports, seeds, first_start=True, grace_ms=6000):
        self.record, self.name, self.ip, self.zone, self.ports = record, name, ip, zone, ports
        self.path = os.path.join(folder, f"{name}.conf")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.zones, self.store_port, self.seeds = zones, store_port, seeds
        self.grace_ms = grace_ms
        self.process = None
        self.first_start = first_start

    def write_settings(self):
        callers, ready, admin, peers = (f"{self.ip}:{port}" for port in self.ports)
        seeds = ", ".join(f'"{it}"' for it in self.seeds)
        zones = "\n".join(f'  - {{ name: "{zone}", region: "{region}" }}' for zone, region in self.zones.items())
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(f"""node: {{ name: "{self.name}", availability_zone: "{self.zone}", region: "{self.zones[self.zone]}" }}
listen: {{ callers: "{callers}", admin: "{admin}", peers: "{peers}" }}
platform: {{ url: "http://127.0.0.1:{self.store_port}" }}
seeds: [{seeds}]
limits: {{ header_bytes: 32768, body_bytes: 1048576, connections: 3000, open_requests: 2500, held_bytes: 50331648, upstream_body_bytes: 4194304 }}
gateway:
  readiness: "{ready}"
  zones:
{zones}
  extra_ratio: 0.2
  extra_slack: 52
  extra_window_ms: 10000
  first_start: {"true" if self.first_start else "false"}
  stop_grace_ms: {self.grace_ms}
  configuration_in_force_ms: 4000
  evacuation_in_force_ms: 5000
  drain_in_force_ms: 4000
""")

    def start(self):
        self.write_settings()
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment["SKYLARKSEAM_CONFIG"] = self.path
        self.process = subprocess.Popen([BINARY, "gateway"], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.note(f"gateway {self.name} starts")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.note(f"gateway {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def ready(self, limit=15):
        """Waits until it reports that it is ready; False if that takes too long."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if (await fetch(self.ip, self.ports[1], "GET", "/api/readiness"))[0] == 200:
                    self.record.note(f"gateway {self.name} is ready")
                    return True
            except (Closed, OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        self.record.note(f"gateway {self.name} is not ready after {limit} s")
        return False


async def fetch(ip, port, method, target, headers=None, body=b"", limit=10):
    """One request on a connection of its own: status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in (headers or {"Host": "x"}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answered = await read_head(reader)
            return int(first.split(" ")[1]), answered, await read_body(reader, answered)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)


class Client:
    """Sends requests to one gateway and notes how each ended."""

    def __init__(self, record, gateway, host):
        self.record, self.gateway, self.host = record, gateway, host
        self.count = 0
        self.sent = {}  # request id -> time
        self.ends = {}  # request id -> status, or 0 for a connection that closed

    async def request(self, method, target, wait_ms=2000, body=b"", name=None):
        self.count += 1
        request = name or f"{self.gateway.name}-{self.count}"
        self.sent[request] = self.record.now()
        self.record.note(f"client sends {method} {target} request {request} to {self.gateway.name}, waits {wait_ms} ms")
        headers = {"Host": self.host, "X-Request-Id": request, "X-Deadline-Milliseconds": str(wait_ms)}
        try:
            status, answered, content = await fetch(self.gateway.ip, self.gateway.ports[0], method, target, headers, body, wait_ms / 1000 + 1)
        except (Closed, OSError, asyncio.TimeoutError) as error:
            status, answered, content = 0, {}, str(error).encode()
        self.ends[request] = status
        self.record.note(f"client gets {status} for request {request}, proof {answered.get('x-server-stamp')}, {content[:60]!r}")
        return request, status


def route(name, prefix, service, kind="safe", timeout_ms=2000, objective_ms=300, attempts=2, homes=()):
    return {"Name": name, "Host": "desk.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": objective_ms, "Priority": 1, "Service": service, "MaxAttempts": attempts, "HomeRegions": list(homes)}


def service(name, connections=38, warmup=0.0):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1", "Tls": False,
            "WarmupS": 3.0, "WarmupPerS": warmup}


def config(version, routes, services):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


ZONES = {"kochi-a": "kochi", "munnar-a": "munnar", "kozhikode-a": "kozhikode"}


def gateways(record, folder, store_port, count, seeds=None):
    """Machines on loopback addresses of their own, all with the same ports, spread over the zones."""
    ips = [f"127.0.{10 + os.getpid() % 200}.{n + 1}" for n in range(count)]
    ports = []
    while len(ports) < 4:
        port = free_port(ips[0])
        if port not in ports:
            ports.append(port)
    named = [f"{ip}:{ports[2]}" for ip in ips[:3]] if seeds is None else seeds
    zones = list(ZONES)
    return [Gateway(record, folder, f"frontend-{zones[n % 3]}-{n // 3 + 1}", ips[n], zones[n % 3], ZONES, store_port, ports, named)
            for n in range(count)]


def main(case, folder):
    """Runs `case(record, folder)`: exits with 1 if it returns a fault, 0 if it returns None, 2 if it could not run."""
    record = Record(folder)
    if not os.access(BINARY, os.X_OK):
        record.note("the program is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as scratch:
        try:
            fault = asyncio.run(case(record, scratch))
        except Exception as error:  # pylint: disable=broad-except
            record.note(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                subprocess.run(["cp", "-r", scratch, keep], check=False)
            sys.exit(2)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", scratch, keep], check=False)
    record.note(f"result: {fault or 'the rule held'}")
    print(fault or "the rule held")
    sys.exit(1 if fault else 0)
