"""What the scripts of cases 11 to 15 share: a small deployment of gateways on loopback addresses, a store from
the project's own stand-ins, a client, and a record of what was sent, answered and run."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "soak"))
import outside  # noqa: E402
import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["milano-a", "padova-a", "torino-a"]
REGIONS = ["lombardia", "veneto", "piemonte"]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case says nothing, because the deployment did not get as far as the disruption."""


class Record:
    """Lines of record.txt, each with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.note(f"TROUBLE={'1' if TROUBLE else '0'}")

    def note(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()


def free_ports(ip, count):
    """Ports that are free at `ip` now."""
    held = []
    for _ in range(count):
        it = socket.socket()
        it.bind((ip, 0))
        held.append(it)
    ports = [it.getsockname()[1] for it in held]
    for it in held:
        it.close()
    return ports


class Gateway:
    """One process, started with the command of the deploy file."""

    def __init__(self, deployment, n):
        self.deployment, self.n = deployment, n
        self.ip = f"127.0.0.{10 + n}"
        self.process = None

    def settings(self):
        callers, ready, admin, peers = self.deployment.ports
        seeds = ", ".join(f'"{it.ip}:{admin}"' for it in self.deployment.gateways[:3])
        zones = "".join(f'  - {{ name: "{zone}", region: "{region}" }}\n' for zone, region in zip(ZONES, REGIONS))
        return f"""node: {{ name: "frontend-{self.n}", availability_zone: "{ZONES[self.n % 3]}", region: "{REGIONS[self.n % 3]}" }}
listen: {{ callers: "{self.ip}:{callers}", admin: "{self.ip}:{admin}", peers: "{self.ip}:{peers}" }}
platform: {{ url: "http://{self.deployment.store_address}" }}
seeds: [{seeds}]
limits: {{ header_bytes: 32768, body_bytes: 1048576, connections: 3000, open_requests: 2500, held_bytes: 50331648, upstream_body_bytes: 4194304 }}
gateway:
  readiness: "{self.ip}:{ready}"
  zones:
{zones}  extra_ratio: 0.2
  extra_slack: 56
  extra_window_ms: 10000
  first_start: true
  stop_grace_ms: 6000
  configuration_in_force_ms: 4000
  evacuation_in_force_ms: 5000
  drain_in_force_ms: 4000
"""

    @property
    def address(self):
        return self.ip, self.deployment.ports[0]

    def start(self):
        path = os.path.join(self.deployment.folder, f"gateway-{self.n}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings())
        log = open(os.path.join(self.deployment.folder, f"gateway-{self.n}.log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, "target", "skylarkseam"), "gateway"], cwd=ROOT,
                                        env={**os.environ, "SKYLARKSEAM_CONFIG": path}, stdout=log, stderr=log)
        log.close()

    def send_signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self):
        try:
            answer = await request((self.ip, self.deployment.ports[1]), "GET", "/api/readiness", {}, timeout=1.0)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """Gateways, the store and the temporary folder of one run."""

    def __init__(self, gateways=3):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gateways = [Gateway(self, n) for n in range(gateways)]
        self.ports = None
        self.store = outside.Store()
        self.store_address = None
        self.routes, self.services, self.version = [], {}, 1

    def route(self, name, kind, service=None, shards=(), timeout_ms=5000, target_ms=800, attempts=2, limit=10,
              share=0.75):
        self.routes.append({"Name": name, "Host": "integra.example", "PathPrefix": f"/{name}/", "Kind": kind,
                            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1,
                            "MaxAttempts": attempts, "HomeRegions": [], "FanoutServices": list(shards),
                            "Service": service or "", "ResultLimit": limit, "MinimumShare": share})
        for it in [service] if service else shards:
            self.services[it] = {"Name": it, "HealthPath": "/health", "MaxConnections": 36, "Protocol": "h1",
                                 "Tls": False, "WarmupS": 3.0, "WarmupPerS": 0.0}

    def publish(self):
        self.version += 3
        self.store.put("config", "main", {
            "Version": self.version, "Routes": self.routes, "Services": list(self.services.values()),
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}})

    def register(self, name, service, port, zone=ZONES[0], state="ready", ip="127.0.0.1"):
        self.store.put("servers", name, {
            "Service": service, "Address": f"{ip}:{port}", "Zone": zone, "Version": "v1", "Slots": 4,
            "State": state, "WarmupLeftMs": 0, "Sequence": 1, "born": 1})

    async def start(self):
        if not os.access(os.path.join(ROOT, "target", "skylarkseam"), os.X_OK):
            raise CouldNotRun("target/skylarkseam is not built")
        self.ports = free_ports("127.0.0.10", 4)
        server = await wire.serve("127.0.0.1", 0, self.store.handle)
        self.store_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for it in self.gateways:
            it.start()
        end = time.monotonic() + 25
        while not all([await it.ready() for it in self.gateways]):
            if time.monotonic() > end:
                raise CouldNotRun("a gateway is not ready after 25 s")
            await asyncio.sleep(0.1)

    def stop(self):
        for it in self.gateways:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_answer(reader):
    """One answer of a gateway; `whole` is False if the connection ended inside its body."""
    first, headers = await wire.read_head(reader)
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
        return Answer(int(first.split(" ")[1]), headers, body, True)
    except asyncio.IncompleteReadError as error:
        return Answer(int(first.split(" ")[1]), headers, error.partial, False)


def head_of(method, path, headers, length):
    lines = [f"{method} {path} HTTP/1.1", "Host: integra.example"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def request(address, method, path, headers, body=None, timeout=10.0):
    """Sends one request on a connection of its own and reads the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(head_of(method, path, headers, None if body is None else len(body)) + (body or b""))
        return await asyncio.wait_for(read_answer(reader), timeout)
    except wire.Closed:
        return Answer(0, {}, b"", False)
    finally:
        writer.close()


def run_case(folder, case):
    """Runs `case(record)`, a coroutine that returns whether the rule held; exits as issue 52 asks."""
    record = Record(folder)

    async def bounded():
        # Connections that are open at the end are cancelled, which asyncio reports for each of them.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record), 110)

    try:
        held = asyncio.run(bounded())
    except (CouldNotRun, OSError, asyncio.TimeoutError) as error:
        record.note(f"could not run: {type(error).__name__} {error}")
        sys.exit(COULD_NOT_RUN)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
