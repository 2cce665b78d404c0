"""The three seeds are lost for good as machines are added; the added ones never find each other and share no limit."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lib_2 import *  # noqa: E402

HOST = "desk.example"
PER_S = 120
WARMUP_S, WARMUP_PER_S = 3.0, 20.0
BOUND = WARMUP_PER_S * BOUNDS["WarmupBurstFactor"] + BOUNDS["WarmupSlack"]


async def play(world):
    look = {**route("look", HOST, "/look/", "desk", timeout_ms=5000, target_ms=300), "HomeRegions": ["region-a"]}
    world.config([look],
                 [service("desk", connections=36, warmup_s=WARMUP_S, warmup_per_s=WARMUP_PER_S)])
    for zone in ZONES:
        it = Searcher(world, "desk", zone, slots=4, queue=16, work_s=0.02)
        await it.start()
        world.searchers.append(it)
    world.add_gateways(["zone-a", "zone-b", "zone-c"] + ["zone-a"] * 6)
    old, added = world.gateways[:3], world.gateways[3:]
    for it in old:
        it.start()
    await world.wait_ready(old)
    await asyncio.sleep(3)
    if world.trouble:
        for it in old:
            it.signal(signal.SIGKILL)
            world.note("lost", "", f"gateway-{it.n}")
    for it in added:  # their settings name the three first machines still
        it.bootstrap = False
        it.start()
        world.note("added", "", f"gateway-{it.n}")
    await asyncio.sleep(BOUNDS["SeedLagS"])
    if world.trouble:
        for it in added:  # now they name machines that run
            it.seeds = [f"{one.ip}:{one.ports[2]}" for one in added[:3]]
            it.write_settings()
        world.note("settings name machines that run")
    await world.wait_ready(added)
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
            tasks.append(asyncio.create_task(one(added[len(tasks) % len(added)])))
            due += 1 / PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))

    await load(10)
    cold = world.searchers[0]
    begin = time.monotonic() - world.began
    cold.cold_until = time.monotonic() + WARMUP_S
    cold.report()
    world.note("becomes cold", "", cold.id)
    await load(4)
    await asyncio.gather(*tasks)
    # The status report takes a moment to reach the machines; what comes in the first second is left out.
    times = sorted(when for when, what, _, of in world.events
                   if what == "arrives" and of == cold.id and begin + 1 <= when <= begin + WARMUP_S)
    most = max((sum(1 for it in times[n:] if it - when <= 1.0) for n, when in enumerate(times)), default=0)
    counts = {}
    for status in answered.values():
        counts[status] = counts.get(status, 0) + 1
    return most > BOUND, [f"sent {len(answered)}, answers by status {dict(sorted(counts.items()))}",
                          f"most requests at the cold searcher in one second: {most}; bound {BOUND:g}",
                          "FAILBACK broken" if most > BOUND else "FAILBACK held"]


main(__file__, play)
