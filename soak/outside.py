"""What is outside of the gateways: the platform's store and the searchers, with their faults."""

import asyncio
import copy
import hashlib
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import wire

ZONES = ["a", "b", "c"]
RECORD = 16


class Store:
    """Objects by kind and name with one revision counter, listings in pages, and watches."""

    PAGE, PAGE_BYTES = 20, 1 << 20
    HISTORY = 400

    def __init__(self):
        self.objects = {"config": {}, "servers": {}, "evacuations": {}}
        self.revision = 1
        self.events = []
        self.oldest = 1
        self.changed = asyncio.Event()
        self.mode = "up"  # up, busy, reset, silent
        self.delay = 0.004
        self.troubled = -1e9  # when it was last out of order
        self.calls = 0
        self.era = 1
        self.malform = None  # makes bytes that are no answer of an answer; then it sends nothing else
        self.repeats_page = False  # each page of a listing is the first one, and says that there is more

    def copy(self):
        return copy.deepcopy((self.objects, self.revision, self.events, self.oldest))

    def restore(self, saved):
        """Comes back from an older copy: what was written since is gone, and its revisions are given out again."""
        self.objects, self.revision, self.events, self.oldest = saved
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        item = {"meta": {"Name": name, "Revision": self.revision, "Created": 1, "Finalizers": [],
                         "Deleting": False}, "spec": spec, "status": None}
        self.objects[kind][name] = item
        self.note(kind, item, False)

    def delete(self, kind, name):
        item = self.objects[kind].pop(name, None)
        if item:
            self.revision += 1
            self.note(kind, item, True)

    def note(self, kind, item, deleted):
        # As it is sent, so that a change is encoded once and not for each watch.
        event = json.dumps({"Deleted": deleted, "Object": item}).encode()
        self.events.append((self.revision, kind, event))
        while len(self.events) > self.HISTORY:
            self.oldest = self.events.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.events.clear()
        self.oldest = self.revision

    async def handle(self, method, target, headers, body, writer):
        self.calls += 1
        if self.mode != "up":
            self.troubled = time.monotonic()
        if self.mode == "silent":
            await asyncio.sleep(60)
            return False
        if self.mode == "reset":
            writer.transport.abort()
            return False
        await asyncio.sleep(self.delay)
        if self.mode == "busy":
            writer.write(wire.response(503, headers={"Store-Era": str(self.era)}))
            return True
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind = parts.path.split("/")[3]
        if method != "GET":
            status, answer = self.change(kind, method, [unquote(it) for it in parts.path.split("/")[4:]], body)
        else:
            status, answer = await (self.watch(kind, query) if "Watch" in query else self.list(kind, query))
        encoded = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        sent = wire.response(status, encoded, {"Content-Type": "application/json", "Store-Era": str(self.era)})
        if self.malform:
            return await send_malformed(self.malform, sent, writer)
        writer.write(sent)
        return True

    def change(self, kind, method, names, body):
        """Creates or removes an object of the gateways' own kinds."""
        if kind in ("config", "servers", "evacuations"):
            return 400, {}
        objects = self.objects.setdefault(kind, {})
        if method == "POST":
            given = json.loads(body)
            if given["meta"]["Name"] in objects:
                return 409, objects[given["meta"]["Name"]]
            self.put(kind, given["meta"]["Name"], given["spec"])
            return 201, objects[given["meta"]["Name"]]
        found = objects.get(names[0])
        self.delete(kind, names[0])
        return (200, found) if found else (404, {})

    async def list(self, kind, query):
        objects = self.objects.get(kind, {})
        after = "" if self.repeats_page else query.get("after", "")
        names = sorted(name for name in objects if name > after)
        items, size = [], 0
        while len(items) < min(len(names), self.PAGE) and size < self.PAGE_BYTES:
            items.append(objects[names[len(items)]])
            size += len(json.dumps(items[-1]))
        return 200, {"items": items, "HasMore": len(names) > len(items) or self.repeats_page, "AsOf": self.revision}

    async def watch(self, kind, query):
        since = int(query["Watch"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if since < self.oldest or since > self.revision:
                return 410, {}
            found = [event for revision, of, event in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, b'{"events":[%b],"AsOf":%d}' % (b",".join(found), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


async def send_malformed(malform, answer, writer):
    """Sends what `malform` makes of an answer: bytes to begin with, and bytes to repeat until the connection ends."""
    begin, repeated = malform(answer)
    writer.write(begin)
    while repeated and not writer.is_closing():
        writer.write(repeated)
        await writer.drain()
    return not repeated


def records_of(instance, request_id, count=8):
    """The records that a searcher finds for a request."""
    digest = hashlib.sha256(f"{instance}/{request_id}".encode()).digest()
    return [hashlib.sha256(digest + bytes([n])).digest()[:RECORD] for n in range(count)]


class Searcher:
    """One searcher: slots, a queue, and faults; it notes every arrival and every run."""

    SLOTS, QUEUE = 4, 24

    def __init__(self, world, service, zone, name):
        self.world, self.service, self.zone, self.name = world, service, zone, name
        self.running, self.queued = 0, 0
        self.slow, self.sheds, self.loses, self.garbles = 1.0, 0.0, 0.0, 0.0
        self.dark = False
        self.draining_since = None
        self.leaving = False  # says so in its answers
        self.wants_nothing_s = 0.0  # refuses, and names this time
        self.told = {}  # writer -> when it got the first answer that says so
        self.refused_until = {}  # writer -> (begin, end) of the time that was named to it, and arrivals in it
        self.limit = None  # states in its answers that it takes so many requests a second
        self.limited_since = 0.0  # time of the first answer that stated it
        self.limit_told = {}  # writer -> time of the first answer that stated it there
        self.limited_arrivals = []  # of the last window, on connections that were told
        self.endless = 0.0  # share of the answers that never end
        self.malform = None  # makes bytes that are no answer of an answer; then it sends nothing else
        self.spec = None  # what it has registered; None: it has left
        self.server, self.port = None, 0
        self.writers = set()  # of its connections
        self.ended = False  # no process listens at its address
        self.free = asyncio.Semaphore(self.SLOTS)

    async def start(self, port=0):
        self.server = await wire.serve("127.0.0.1", port, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]
        self.ended = False
        self.register("ready")

    def forget(self):
        """What a new process does not know of the one before."""
        self.running, self.queued = 0, 0
        self.leaving, self.told, self.refused_until = False, {}, {}
        self.limit, self.limit_told, self.limited_arrivals = None, {}, []
        self.free = asyncio.Semaphore(self.SLOTS)

    def register(self, state):
        self.spec = {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                     "Version": "v1", "Slots": self.SLOTS, "State": state, "WarmupLeftMs": 0, "Sequence": 1,
                     "born": 1}
        self.world.store.put("servers", self.name, self.spec)

    def announcements(self, writer):
        now, out = time.monotonic(), {}
        if self.leaving:
            self.told.setdefault(writer, now)
            out["Server-Leaving"] = "1"
        if self.limit is not None:
            self.limited_since = self.limited_since or now
            self.limit_told.setdefault(writer, now)
            out["Server-Limit"] = f"{self.limit:.2f}"
        return out

    def state_limit(self, limit):
        self.limit, self.limited_since, self.limit_told, self.limited_arrivals = limit, 0.0, {}, []

    async def handle(self, method, target, headers, body, writer):
        random, own = self.world.random, self.name  # a searcher of another service may get the address later
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") not in (None, self.name):
            writer.write(wire.response(421, headers={"X-Instance-Id": self.name}))
            return True
        self.writers.add(writer)
        while self.dark:
            await asyncio.sleep(0.2)
            if writer.is_closing():
                return False
        if (method, target, request_id, body) == ("GET", "/health", "", b""):
            return await self.answer_liveness(writer)
        self.world.checks.arrived(self, request_id, method, target, body)
        deadly = self.world.deadly.get(target)
        if deadly:
            deadly.arrived(self)
        self.world.checks.arrived_despite(self, request_id, writer)
        self.world.checks.arrived_under_limit(self, writer)
        if self.wants_nothing_s > 0:
            now = time.monotonic()
            self.refused_until[writer] = [now + 0.5, now + self.wants_nothing_s, 0]
            writer.write(wire.response(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id,
                                                     "Retry-After": f"{self.wants_nothing_s:.2f}"}))
            return True
        if random.random() < self.sheds or self.queued >= self.QUEUE:
            writer.write(wire.response(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id}))
            return True
        if self.malform:
            self.world.checks.ran(self, request_id)
            return await send_malformed(self.malform, self.answer_to(request_id, writer), writer)
        self.queued += 1
        async with self.free:
            if self.ended or self.name != own:
                return False
            self.queued -= 1
            self.world.checks.ran(self, request_id)
            work = self.world.work[target.split("/")[1]] * (0.5 + random.random()) * self.slow
            await asyncio.sleep(work / 3 if deadly else work)
            if self.ended or self.name != own:
                return False
            if deadly:
                deadly.ends.append(time.monotonic())
                self.world.crash(self)
                return False
        answer = self.answer_to(request_id, writer)
        if random.random() < self.loses:
            writer.transport.abort()
            return False
        if random.random() < self.endless:
            writer.write(random.choice([b"", b"HTTP/1.1 200 OK\r\n", answer[:40], b"HTTP/1.1 200 OK\r\n\r\n"]))
            while not writer.is_closing():
                writer.write(random.choice([b"x" * 4096, b"X-More: yes\r\n" * 300]))
                await writer.drain()
            return False
        if random.random() < self.garbles:
            how = random.choice(["cut", "extra", "noise", "crossed"])
            if how == "cut":
                writer.write(answer[: len(answer) // 2])
                return False
            if how == "noise":
                writer.write(b"\x00\x01 no answer \r\n\r\n")
                return False
            if how == "crossed":
                writer.write(answer.replace(f"X-Request-Id: {request_id}".encode(), b"X-Request-Id: another"))
                return True
            writer.write(answer + answer)
            return True
        writer.write(answer)
        return True

    def answer_to(self, request_id, writer):
        return wire.response(200, b"".join(records_of(self.name, request_id)),
                             {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.name}.{request_id}",
                              **self.announcements(writer)})

    async def answer_liveness(self, writer):
        """Answers a liveness request, which waits for a slot or is refused as any other request."""
        own = self.name
        if self.malform:
            return await send_malformed(self.malform, wire.response(200, headers={"X-Instance-Id": own}), writer)
        self.world.checks.arrived_under_limit(self, writer)
        if self.wants_nothing_s > 0 or self.queued >= self.QUEUE:
            writer.write(wire.response(503, headers={"X-Not-Executed": "1"}))
            return True
        self.queued += 1
        async with self.free:
            if self.ended or self.name != own:
                return False
            self.queued -= 1
        writer.write(wire.response(200, headers={"X-Instance-Id": own, **self.announcements(writer)}))
        return True

    async def leave(self):
        """Drains, goes on serving for a while, and ends."""
        self.leaving = True
        self.register("draining")
        self.draining_since = time.monotonic()
        await asyncio.sleep(self.world.drain_s + 1.0)
        self.spec = None
        self.world.store.delete("servers", self.name)
        await asyncio.sleep(1.0)
        self.server.close()
