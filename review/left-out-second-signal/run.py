"""A machine is asked to stop twice within its grace; requests that searchers are running end without an answer."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lib_2 import *  # noqa: E402

HOST = "desk.example"
PER_S = 40
SECOND_AFTER_S = 1.0
LIMIT_MS = 8000


async def play(world):
    world.config([route("audit", HOST, "/audit/", "desk", kind="unsafe", timeout_ms=8000, target_ms=800)],
                 [service("desk", connections=110)])
    for n in range(19):
        it = Searcher(world, "desk", list(ZONES)[n % 3], slots=4, queue=16, work_s=0.16, spread=0.5)
        await it.start()
        world.searchers.append(it)
    world.add_gateways(list(ZONES))
    for it in world.gateways:
        it.start()
    await world.wait_ready()
    target, answered, tasks = world.gateways[0], {}, []

    async def one():
        request = world.new_id()
        world.note("sent", request)
        status, _, _ = await exchange(target.callers, request, f"/audit/{request}", HOST, LIMIT_MS, "POST", b"l" * 300)
        answered[request] = (status, time.monotonic() - world.began)
        world.note(f"answered {status}", request)

    async def load(for_s):
        end, due = time.monotonic() + for_s, time.monotonic()
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(one()))
            due += 1 / PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))

    await load(4)
    stop = time.monotonic() - world.began
    target.signal(signal.SIGTERM)
    world.note("SIGTERM")
    await load(SECOND_AFTER_S)
    if world.trouble:
        target.signal(signal.SIGTERM)
        world.note("SIGTERM")
    await load(BOUNDS["GraceS"] - SECOND_AFTER_S)
    target.signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    passed_on = {request for _, what, request, _ in world.events if what == "arrives"}
    # What a searcher still worked on in the last sixth of the grace is excused.
    excused_from = stop + BOUNDS["GraceS"] * 5 / 6
    lost = [it for it, (status, when) in answered.items()
            if status == 0 and it in passed_on and stop <= when < excused_from]
    counts = {}
    for status, _ in answered.values():
        counts[status] = counts.get(status, 0) + 1
    return bool(lost), [f"sent {len(answered)}, answers by status {dict(sorted(counts.items()))} (0: closed or refused)",
                        f"passed on to a searcher and cut without an answer: {len(lost)} {lost[:5]}",
                        "LOST broken" if lost else "LOST held"]


main(__file__, play)
