"""Searchers fail part of the requests that they have begun, with status 503 and without X-Not-Executed. A client whose
request must not run twice must not get a 503 for one that has run: that status promises that it has not."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import lib_4  # noqa: E402
import wire  # noqa: E402

SEARCHERS, FAULTY = 7, 3  # srv_grey: a share of up to 0.8 of the searchers
FAIL_SHARE = 0.6  # of their requests, as the largest dose of the site
CLIENTS = 4  # at each gateway
TRAFFIC_S = 15


class Searcher:
    """Runs each request that it gets; a faulty one then fails part of them. Its liveness check stays good."""

    def __init__(self, name, faulty, record, runs):
        self.name, self.faulty, self.record, self.runs = name, faulty, record, runs
        self.random = random.Random(name)

    async def handle(self, method, target, headers, body, writer):
        if target == "/health":
            writer.write(wire.response(200, headers={"X-Instance-Id": self.name}))
            return True
        request_id = headers["x-request-id"]
        if headers.get("x-expect-instance") != self.name:
            writer.write(wire.response(421, headers={"X-Instance-Id": self.name}))
            return True
        self.runs.setdefault(request_id, []).append(self.name)
        self.record.note(f"{self.name} runs {request_id}")
        await asyncio.sleep(0.05)
        proof = {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.name}.{request_id}"}
        if lib_4.TROUBLE and self.faulty and self.random.random() < FAIL_SHARE:
            self.record.note(f"{self.name} fails {request_id} with 503, without X-Not-Executed")
            writer.write(wire.response(503, b"index unavailable", proof))
        else:
            writer.write(wire.response(200, b"done", proof))
        return True


async def client(n, gateway, record, end, refused):
    loop, count = asyncio.get_running_loop(), 0
    while loop.time() < end:
        request_id = f"{gateway.n}-{n}-{count}"
        count += 1
        headers = {"X-Request-Id": request_id, "X-Deadline-Milliseconds": "4000"}
        answer = await lib_4.request(gateway.address, "POST", "/audit/x", headers, b"charge " + request_id.encode())
        record.note(f"client got {answer.status} for {request_id}")
        if answer.status in (408, 421, 429, 503):
            refused[request_id] = answer.status
        await asyncio.sleep(0.05)


async def case(record):
    deployment = lib_4.Deployment()
    deployment.route("audit", "unsafe", service="compliance-desk")
    deployment.publish()
    runs, refused = {}, {}
    for n in range(SEARCHERS):
        it = Searcher(f"i-{n}", n < FAULTY, record, runs)
        server = await wire.serve("127.0.0.1", 0, it.handle)
        deployment.register(it.name, "compliance-desk", server.sockets[0].getsockname()[1], lib_4.ZONES[n % 3])
    try:
        await deployment.start()
        await asyncio.sleep(6)  # StableWindowMs
        end = asyncio.get_running_loop().time() + TRAFFIC_S
        await asyncio.gather(*[client(n, gateway, record, end, refused) for gateway in deployment.gateways
                               for n in range(CLIENTS)])
    finally:
        deployment.stop()
    broken = [it for it in refused if it in runs]
    for it in broken:
        record.note(f"{it} was answered {refused[it]} and has run at {runs[it][0]}")
    record.note(f"{len(runs)} requests ran; {len(refused)} were refused, {len(broken)} of them although they ran")
    if len(runs) < 100:
        raise lib_4.CouldNotRun("too few requests ran")
    return not broken


lib_4.run_case(os.path.dirname(os.path.abspath(__file__)), case)
