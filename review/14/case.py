"""A machine is partitioned from all searchers and passes its clients' requests on to the others, while some searchers
fail requests that they have run, with status 503. A request that must not run twice must not be passed on again."""

import asyncio
import os
import random
import socket
import struct
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import lib_4  # noqa: E402
import wire  # noqa: E402

SEARCHERS, FAULTY = 5, 4  # srv_grey: a share of up to 0.8 of the searchers
FAIL_SHARE = 0.5  # of their requests; up to 0.6 on the site's days
SLOTS = 4
WORK_S = 0.16  # of a label-audit
CLIENTS = 4  # at each gateway
STRANDED_S = 12  # as in deploy/days/stranded.toml
CALM_S = 4  # traffic before that


class Stranded:
    """Tells which gateway a connection at a searcher comes from, and cuts the one that is partitioned."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.cut = None
        self.open = {}  # writer -> its gateway

    def gateway_of(self, writer):
        port, own = writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1]
        with open("/proc/net/tcp", encoding="ascii") as table:
            fields = [line.split() for line in table.readlines()[1:]]
        ends = [(it[9], int(it[1].split(":")[1], 16), int(it[2].split(":")[1], 16)) for it in fields]
        name = next((f"socket:[{inode}]" for inode, near, far in ends if (near, far) == (port, own)), None)
        for it in self.gateways:
            folder = f"/proc/{it.process.pid}/fd"
            for fd in os.listdir(folder):
                try:
                    if os.readlink(f"{folder}/{fd}") == name:
                        return it
                except OSError:
                    pass
        return None

    @staticmethod
    def reset(writer):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def begin(self, gateway):
        self.cut = gateway
        for writer, it in list(self.open.items()):
            if it is gateway:
                self.reset(writer)

    def end(self):
        self.cut = None


class Searcher:
    """Runs each request once; a faulty one then fails part of them. Its liveness check stays good."""

    def __init__(self, name, faulty, record, runs, network):
        self.name, self.faulty, self.record, self.runs, self.network = name, faulty, record, runs, network
        self.random = random.Random(name)
        self.failing = False
        self.slots = asyncio.Semaphore(SLOTS)

    async def serve(self, reader, writer):
        gateway = self.network.gateway_of(writer)
        self.network.open[writer] = gateway
        try:
            if gateway is not None and gateway is self.network.cut:
                self.network.reset(writer)
                return
            while True:
                first, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                if first.startswith("GET /health"):
                    writer.write(wire.response(200, headers={"X-Instance-Id": self.name}))
                    continue
                request_id = headers["x-request-id"]
                if headers.get("x-expect-instance") != self.name:
                    writer.write(wire.response(421, headers={"X-Instance-Id": self.name}))
                    continue
                async with self.slots:
                    if reader.at_eof():
                        return
                    self.runs.setdefault(request_id, []).append(self.name)
                    self.record.note(f"{self.name} runs {request_id} for gateway {gateway.n if gateway else 'unknown'}")
                    await asyncio.sleep(WORK_S)
                proof = {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.name}.{request_id}"}
                if self.failing and self.faulty and self.random.random() < FAIL_SHARE:
                    self.record.note(f"{self.name} fails {request_id} with 503, without X-Not-Executed")
                    writer.write(wire.response(503, b"index unavailable", proof))
                else:
                    writer.write(wire.response(200, b"done", proof))
        except (wire.Closed, ConnectionError):
            pass
        finally:
            del self.network.open[writer]
            writer.close()


async def client(n, gateway, record, end):
    loop, count = asyncio.get_running_loop(), 0
    while loop.time() < end:
        request_id = f"{gateway.n}-{n}-{count}"
        count += 1
        headers = {"X-Request-Id": request_id, "X-Deadline-Milliseconds": "4000"}
        answer = await lib_4.request(gateway.address, "POST", "/audit/x", headers, b"charge " + request_id.encode())
        record.note(f"client got {answer.status} for {request_id} from gateway {gateway.n}")
        await asyncio.sleep(0.1)


async def case(record):
    deployment = lib_4.Deployment()
    deployment.route("audit", "unsafe", service="compliance-desk")
    deployment.publish()
    runs, searchers, network = {}, [], Stranded(deployment.gateways)
    for n in range(SEARCHERS):
        it = Searcher(f"i-{n}", n < FAULTY, record, runs, network)
        server = await asyncio.start_server(it.serve, "127.0.0.1", 0)
        deployment.register(it.name, "compliance-desk", server.sockets[0].getsockname()[1], lib_4.ZONES[n % 3])
        searchers.append(it)

    async def trouble():
        await asyncio.sleep(CALM_S)
        if lib_4.TROUBLE:
            record.note("gateway 0 is partitioned from all searchers, and some searchers begin to fail requests")
            network.begin(deployment.gateways[0])
            for it in searchers:
                it.failing = True
        await asyncio.sleep(STRANDED_S)
        network.end()

    try:
        await deployment.start()
        await asyncio.sleep(6)  # StableWindowMs
        end = asyncio.get_running_loop().time() + CALM_S + STRANDED_S + 2
        await asyncio.gather(trouble(), *[client(n, gateway, record, end) for gateway in deployment.gateways
                                          for n in range(CLIENTS)])
    finally:
        deployment.stop()
    twice = {it: names for it, names in runs.items() if len(names) > 1}
    for it, names in twice.items():
        record.note(f"{it} ran at {' and '.join(names)}")
    record.note(f"{len(runs)} requests ran, {len(twice)} of them more than once")
    if len(runs) < 100:
        raise lib_4.CouldNotRun("too few requests ran")
    return not twice


lib_4.run_case(os.path.dirname(os.path.abspath(__file__)), case)
