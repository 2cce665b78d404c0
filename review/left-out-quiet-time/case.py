"""Fifteen machines of one zone have sent nothing to a cold searcher for six seconds; then requests come again."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lib_3  # noqa: E402

MACHINES = 15
HEARTBEAT_S = 1.2
PER_S = 4.0  # WarmupPerS
BOUND = PER_S * 1.5 + 5  # requests in one second: WarmupBurstFactor 1.5, WarmupSlack 5
COLD_S = 12.0
QUIET_S = 6.0 if lib_3.TROUBLE else 0.0


async def story(world):
    ports = {zone: await world.searcher(f"i-{zone}", "huvo11a", zone, 0.005) for zone in "ab"}
    world.configure([("/goka902/", "safe", "huvo11a", 2000, 200)], ["huvo11a"], WarmupS=COLD_S, WarmupPerS=PER_S)
    await world.start(["a"] * MACHINES)
    await asyncio.sleep(3.0)

    async def one(n):
        stream = await world.connect(n)
        await world.ask(stream, "GET", "/goka902/2f", limit_ms=2000)
        stream[1].close()

    async def rounds(count, each):
        for _ in range(count):
            await asyncio.gather(*[one(n) for n in range(MACHINES) for _ in range(each)])
            await asyncio.sleep(0.2)

    await rounds(3, 1)
    began = world.now()

    async def reports():
        sequence = 2
        while True:
            world.register("i-a", "huvo11a", "a", ports["a"], COLD_S - (world.now() - began), sequence)
            sequence += 1
            await asyncio.sleep(HEARTBEAT_S)

    task = asyncio.ensure_future(reports())
    await asyncio.sleep(0.5)
    await rounds(3, 1)
    world.note("nothing is sent for", QUIET_S, "s")
    await asyncio.sleep(QUIET_S)
    await rounds(1, 6)
    await asyncio.sleep(1.0)
    task.cancel()
    times = [at for at, name, _, _ in world.arrivals if name == "i-a" and at >= began + 0.3]
    most = max((sum(1 for other in times if at <= other < at + 1.0) for at in times), default=0)
    world.note("the cold searcher got", most, "requests in one second; the bound is", BOUND)
    return f"FAILBACK: a cold searcher got {most} requests in one second, bound {BOUND}" if most > BOUND else ""


lib_3.play(__file__, story)
