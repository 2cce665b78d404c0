"""More clients than usual send bodies of the greatest size that the limits allow."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lib_3  # noqa: E402

USUAL_CLIENTS = 120
BURST = 1.8 if lib_3.TROUBLE else 1.0  # times as many users
BODY = b"b" * lib_3.LIMITS["MaxBodyBytes"]
SEARCHERS = 20
WORK_S = 1.0
WARM_UP_ROUNDS = 12
PLAY_S = 10.0
PROMISES = (408, 421, 429, 503)  # not run, and never will be


async def story(world):
    for n in range(SEARCHERS):
        await world.searcher(f"i-{n}", "kafi81c", "abc"[n % 3], lambda body: WORK_S if len(body) > 100 else 0.01, slots=16)
    world.configure([("/goka902/", "unsafe", "kafi81c", 8000, 8000)], ["kafi81c"])
    await world.start(["a", "b"])
    answers, twice = [], 0

    async def small():
        stream = await world.connect()
        await world.ask(stream, "POST", "/goka902/warm", b"0123456789")
        stream[1].close()

    for _ in range(WARM_UP_ROUNDS):
        await asyncio.gather(*[small() for _ in range(40)])
    end = world.now() + PLAY_S

    async def client():
        """Sends work items one after the other; one that was refused is sent again when the answer says so."""
        nonlocal twice
        runs = 0  # of the current item
        while world.now() < end:
            stream = await world.connect()
            request_id, status, retry_after = await world.ask(stream, "POST", "/goka902/2f", BODY)
            stream[1].close()
            answers.append((request_id, status))
            runs += request_id in world.ran
            twice += runs == 2
            if status == 503:
                await asyncio.sleep(min(retry_after, 2.0))
            else:
                runs = 0

    await asyncio.gather(*[client() for _ in range(int(USUAL_CLIENTS * BURST))])
    false = [f"{request_id} got {status}" for request_id, status in answers if status in PROMISES and request_id in world.ran]
    refused = sum(1 for _, status in answers if status in PROMISES)
    world.note(len(answers), "unsafe requests,", refused, "refused,", len(false), "of these have run;", twice,
               "work items ran a second time")
    return (f"REFUSED: {len(false)} of {refused} refused requests have run ({'; '.join(false[:2])}); "
            f"{twice} work items ran a second time") if false else ""


lib_3.play(__file__, story)
