"""FAILBACK: a searcher that is cold gets full traffic at the moment at which its zone's evacuation ends.

The searcher of the evacuated zone becomes cold 0.3 s before the evacuation is removed. It says so in its next status
report, which is due within HeartbeatMs. Until then the gateways send to it as if it were warm.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lib  # pylint: disable=wrong-import-position

WARMUP_PER_S, BURST_FACTOR, SLACK = 4, 1.5, 5  # the last two as WarmupBurstFactor and WarmupSlack of the site
HEARTBEAT_S = 1.2  # HeartbeatMs of the settings
COLD_S = 3.0       # WarmupS
EVACUATED_S = 5.0  # for_s of `evacuate`
PER_S = 100        # requests of the clients at each of the three gateways


async def case(record, scratch):
    store = lib.Store(record)
    await store.start()
    store.put("config", "main", lib.config(7, [lib.route("r-log", "/log/", "desk")], [lib.service("desk", warmup=WARMUP_PER_S)]))
    searchers = [lib.Searcher(record, store, "desk", f"i-{zone}", zone, slots=8) for zone in list(lib.ZONES)[:2]]
    for it in searchers:
        await it.start()
        it.register()
    cold = searchers[0]
    gateways = lib.gateways(record, scratch, store.port, 3)
    for it in gateways:
        it.start()
    clients = [lib.Client(record, it, "desk.example") for it in gateways]
    going = True

    async def ask(client):
        open_requests = set()
        n = 0
        while going:
            n += 1
            one = asyncio.ensure_future(client.request("GET", f"/log/{n}", wait_ms=2000))
            open_requests.add(one)
            one.add_done_callback(open_requests.discard)
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*open_requests)

    try:
        for it in gateways:
            if not await it.ready():
                raise RuntimeError("a gateway does not become ready")
        asking = [asyncio.ensure_future(ask(it)) for it in clients]
        await asyncio.sleep(4.0)
        if lib.TROUBLE:
            store.put("evacuations", "kochi-a", {})
        await asyncio.sleep(EVACUATED_S - 0.3)
        cold_at = record.now()
        if lib.TROUBLE:
            record.note(f"searcher {cold.name} becomes cold for {COLD_S} s")
        await asyncio.sleep(0.3)
        if lib.TROUBLE:
            store.delete("evacuations", "kochi-a")
        await asyncio.sleep(HEARTBEAT_S - 0.3)
        if lib.TROUBLE:  # the next status report
            cold.register(WarmupLeftMs=int(1000 * (COLD_S - HEARTBEAT_S)), Sequence=2)
        await asyncio.sleep(3.0)
        going = False
        await asyncio.gather(*asking)
        if not lib.TROUBLE:
            return None
        sent = {request: when for client in clients for request, when in client.sent.items()}
        arrivals = [(when, sent[request]) for when, request in cold.arrived if cold_at <= when <= cold_at + COLD_S]
        most = max((sum(1 for when, began in arrivals if begin <= began and when < begin + 1.0)
                    for begin in (began for _, began in arrivals)), default=0)
        bound = WARMUP_PER_S * BURST_FACTOR + SLACK
        record.note(f"the cold searcher got {len(arrivals)} requests while it was cold, {most} in one second; the bound is {bound:g}")
        return f"FAILBACK broken: {most} requests in one second at a cold searcher, bound {bound:g}" if most > bound else None
    finally:
        for it in gateways:
            it.kill()


lib.main(case, FOLDER)
