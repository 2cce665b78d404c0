"""A machine stands still for 4 s; others of its zone send a searcher that has become cold more than it bears."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lib_2 import *  # noqa: E402

HOST = "desk.example"
PER_S = 60
STILL_S = 4.0  # node_freeze, for_s = 4.0
WARMUP_S, WARMUP_PER_S = 3.0, 4.0
BOUND = WARMUP_PER_S * BOUNDS["WarmupBurstFactor"] + BOUNDS["WarmupSlack"]


async def play(world):
    world.config([route("look", HOST, "/look/", "desk", timeout_ms=5000, target_ms=300)],
                 [service("desk", connections=36, warmup_s=WARMUP_S, warmup_per_s=WARMUP_PER_S)])
    for zone in ZONES:
        it = Searcher(world, "desk", zone, slots=4, queue=16, work_s=0.02)
        await it.start()
        world.searchers.append(it)
    world.add_gateways(["zone-a", "zone-a", "zone-a", "zone-b", "zone-c"])
    for it in world.gateways:
        it.start()
    await world.wait_ready()
    first, takers = world.gateways[0], world.gateways[1:3]
    answered, tasks = {}, []

    async def one(node):
        request = world.new_id()
        world.note("sent", request, f"gateway-{node.n}")
        status, _, _ = await exchange(node.callers, request, f"/look/{request}", HOST, 5000)
        answered[request] = status
        world.note(f"answered {status}", request, f"gateway-{node.n}")

    async def load(for_s):
        end, due = time.monotonic() + for_s, time.monotonic()
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(one(takers[len(tasks) % 2])))
            due += 1 / PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))

    await load(5)
    if world.trouble:
        first.signal(signal.SIGSTOP)
        world.note("stopped", "", "gateway-1")
    await load(0.3)
    cold = world.searchers[0]
    begin = time.monotonic() - world.began
    cold.cold_until = time.monotonic() + WARMUP_S
    cold.report()
    world.note("becomes cold", "", cold.id)
    await load(STILL_S - 0.3)
    if world.trouble:
        first.signal(signal.SIGCONT)
        world.note("continued", "", "gateway-1")
    await load(2)
    await asyncio.gather(*tasks)
    times = sorted(when for when, what, _, of in world.events
                   if what == "arrives" and of == cold.id and begin <= when <= begin + WARMUP_S)
    most = max((sum(1 for it in times[n:] if it - when <= 1.0) for n, when in enumerate(times)), default=0)
    counts = {}
    for status in answered.values():
        counts[status] = counts.get(status, 0) + 1
    return most > BOUND, [f"sent {len(answered)}, answers by status {dict(sorted(counts.items()))}",
                          f"most requests at the cold searcher in one second: {most}; bound {BOUND:g}",
                          "FAILBACK broken" if most > BOUND else "FAILBACK held"]


main(__file__, play)
