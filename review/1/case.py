"""REFUSED: a request that must not run twice is answered 503 at its deadline, and runs afterwards.

Each of 24 services has two searchers, FULL and GREY. GREY resets two requests in a row, so that the gateway opens its
next connection there with a short watch before it sends. Then a client's request, which has a second, waits in FULL's
queue and is turned away late, as the queue fills. The gateway sends it to GREY at the last moment.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lib  # pylint: disable=wrong-import-position

SERVICES = 24
WAIT_MS = 1000
# FULL turns the requests of the services away after 974, 974.5, .. 985.5 ms. The gateway's own deadline is 15 ms before
# the client's, so that the last of these come before or just after it.
FIRST_REFUSAL_S, STEP_S = 0.974, 0.0005


async def one_service(record, store, client, n):
    name = f"desk-{n}"
    grey = lib.Searcher(record, store, name, f"i-grey-{n}", "kochi-a")
    full = lib.Searcher(record, store, name, f"i-full-{n}", "kochi-a")
    await grey.start()
    await full.start()
    grey.register()
    await asyncio.sleep(1.0)

    async def resets(searcher, request, writer):
        record.note(f"searcher {searcher.name} resets the connection of request {request}")
        writer.transport.abort()
        return False

    async def turns_away(searcher, request, writer):
        await asyncio.sleep(FIRST_REFUSAL_S + n * STEP_S)
        record.note(f"searcher {searcher.name} is full and turns request {request} away, not executed")
        writer.write(lib.response(503, headers={"X-Not-Executed": "1", "X-Request-Id": request}))
        return True

    for k in range(4):
        await client.request("POST", f"/{name}/x", body=b"before", name=f"{name}-before-{k}")
    if lib.TROUBLE:
        grey.handler = resets
    for k in range(2):
        await client.request("POST", f"/{name}/x", body=b"during", name=f"{name}-during-{k}")
    grey.handler = None
    full.handler = turns_away
    full.register()
    if not lib.TROUBLE:
        grey.work = 0.02
    await asyncio.sleep(0.4)
    request, status = await client.request("POST", f"/{name}/x", wait_ms=WAIT_MS, body=b"charge", name=f"{name}-charge")
    await asyncio.sleep(1.0)
    ran = [when for when, of in grey.runs + full.runs if of == request]
    if status in (429, 503, 408, 421) and ran:
        return f"{request} was answered {status} and ran"
    return None


async def case(record, scratch):
    store = lib.Store(record)
    await store.start()
    names = [f"desk-{n}" for n in range(SERVICES)]
    store.put("config", "main", lib.config(7, [lib.route(f"r-{it}", f"/{it}/", it, "unsafe") for it in names],
                                           [lib.service(it) for it in names]))
    gateway = lib.gateways(record, scratch, store.port, 1)[0]
    gateway.start()
    try:
        if not await gateway.ready():
            raise RuntimeError("the gateway does not become ready")
        client = lib.Client(record, gateway, "desk.example")

        async def later(n):
            await asyncio.sleep(n * 0.15)  # so that few things happen at once
            return await one_service(record, store, client, n)

        found = [it for it in await asyncio.gather(*(later(n) for n in range(SERVICES))) if it]
        for it in found:
            record.note(it)
        return f"REFUSED broken {len(found)} times in {SERVICES}: {found[0]}" if found else None
    finally:
        gateway.kill()


lib.main(case, FOLDER)
