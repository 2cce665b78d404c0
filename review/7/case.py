"""Requests with many query parameters are abandoned; others on new connections are in progress three seconds later."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lib_3  # noqa: E402

PARAMETERS = 600 if lib_3.TROUBLE else 100  # of 7 bytes: about 4 KB, or 0.6 KB, of a limit of 16 KB
WAVES = 3
ABANDONED = 60  # requests with so many parameters in each wave
CLIENTS = 30  # that begin after each wave: unsafe requests, each on one kept connection
WORK_S = 0.6
PLAY_S = 6.0
PROMISES = (408, 421, 429, 503)  # not run, and never will be


async def story(world):
    for n, zone in enumerate("abcabc"):
        await world.searcher(f"i-{n}", "huvo11a", zone, WORK_S)
    world.configure([("/goka902/", "unsafe", "huvo11a", 8000, 1600), ("/nono601/", "safe", "huvo11a", 3000, 300)], ["huvo11a"])
    await world.start(["a", "b"])
    query = "&".join(f"id={n:04d}" for n in range(PARAMETERS))

    async def abandon():
        try:
            stream = await world.connect()
        except OSError:
            return
        await asyncio.wait([asyncio.ensure_future(world.ask(stream, "GET", f"/nono601/2f?{query}", limit_ms=3000))], timeout=1.0)
        stream[1].close()  # a client leaves a node that has not read its request after one second

    answers, playing = [], True

    async def client():
        try:
            stream = await world.connect()
            while playing:
                answers.append(await world.ask(stream, "POST", "/goka902/2f", b"0123456789"))
                if answers[-1][1] != 200:
                    stream[1].close()
                    stream = await world.connect()
        except OSError as fault:
            world.note("the gateway takes no more connections:", fault, "exit code", world.gateways[0][1].poll())

    clients = []
    for _ in range(WAVES):
        await asyncio.gather(*[abandon() for _ in range(ABANDONED)])
        clients += [asyncio.ensure_future(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(PLAY_S)
    playing = False
    await asyncio.gather(*clients)
    ran = {request_id for _, _, request_id, first in world.arrivals if first.startswith("POST")}
    false = [f"{request_id} got {status} and has run" for request_id, status, _ in answers
             if status in PROMISES and request_id in ran]
    lost = [it for it in answers if it[1] == 0]
    world.note(len(answers), "unsafe requests,", len(false), "with a false promise,", len(lost), "with no answer")
    return f"REFUSED: {len(false)} of {len(answers)} unsafe requests: {'; '.join(false[:3])}" if false else ""


lib_3.play(__file__, story)
