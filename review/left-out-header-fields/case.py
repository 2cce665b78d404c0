"""Requests on kept connections with headers of 12 KB in many fields, below the limit of 16 KB."""

import asyncio
import itertools
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lib_3  # noqa: E402

FIELDS = range(280, 320) if lib_3.TROUBLE else range(40, 80)  # of 41 or 42 bytes each: 11.5 to 13.4 KB, or 1.6 to 3.3 KB
VALUES = (24, 25)  # bytes of a field's value
ALLOWED = 3
ANSWER = {"Content-Type": "application/octet-stream", "Cache-Control": "no-store", "Server": "searcher/4.2.1",
          "Date": "Mon, 07 Dec 2026 06:00:00 GMT", "ETag": '"5a2600c9f2a4d1"', "Vary": "Accept-Encoding"}


async def story(world):
    for n, zone in enumerate("abcabc"):
        await world.searcher(f"i-{n}", "kafi81c", zone, 0.01, ANSWER)
    world.configure([("/goka902/", "safe", "kafi81c", 8000, 800)], ["kafi81c"])
    await world.start(["a", "b"])
    answers = []
    for length, fields in itertools.product(VALUES, FIELDS):
        stream = await world.connect()
        _, status, _ = await world.ask(stream, "GET", "/goka902/2f")
        if status != 200:
            raise lib_3.CannotRun(f"an ordinary request got {status}")
        more = "".join(f"X-Filter-{n:04d}: {'v' * length}\r\n" for n in range(fields))
        answers.append(await world.ask(stream, "GET", "/goka902/2f", more=more))
        world.note("the second request had", fields, "more fields,", len(more), "bytes")
        stream[1].close()
        await asyncio.sleep(0.02)
    ran = {request_id for _, _, request_id, _ in world.arrivals}
    lost = [request_id for request_id, status, _ in answers if status == 0 and request_id in ran]
    world.note(len(answers), "requests on kept connections,", len(lost), "ran and their connection ended without an answer")
    return f"LOST: {len(lost)} of {len(answers)} requests" if len(lost) > ALLOWED else ""


lib_3.play(__file__, story)
