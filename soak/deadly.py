"""Requests that crash each searcher that runs them, and the promise about them."""

import asyncio
import time

import wire


class DeadlyRequest:
    """One request that its client sends again and again, at any gateway, under a new id each time."""

    ENDS, TOLD_S, RETRIES = 3, 5.0, 3

    def __init__(self, world, name):
        self.world = world
        self.route = world.routes[name]
        self.method = "POST" if name == "audit" else "GET"
        self.body = b"deadly" if name == "audit" else b""
        self.target = f"/{name}/deadly-{world.random.getrandbits(32):08x}"
        self.ends = []  # times at which a searcher ended under it
        self.late = 0  # arrivals that are not allowed any more

    def arrived(self, searcher):
        if len(self.ends) < self.ENDS or time.monotonic() - self.ends[self.ENDS - 1] < self.TOLD_S:
            return
        self.late += 1
        if self.late == self.RETRIES + 1:
            self.world.checks.fail("budget", f"{self.target} reached {searcher.name} and others {self.late} times "
                                             f"{self.TOLD_S:.0f} s after the third searcher ended, {len(self.ends)} in all")

    def forget(self):
        """What was known of it is lost for good."""
        self.ends, self.late = [], 0

    async def send(self, seconds):
        """Sends it about twice a second; the answers earn nothing and are not missed."""
        until = time.monotonic() + seconds
        while self.world.running and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.send_once(), 3.0)
            except (asyncio.TimeoutError, wire.Closed, ConnectionError, OSError):
                pass
            await asyncio.sleep(self.world.random.uniform(0.2, 0.8))

    async def send_once(self):
        gateway = self.world.random.choice(self.world.gateways)
        request_id = f"{self.world.random.getrandbits(64):016x}"
        self.world.checks.asked_deadly(request_id, self.method, self.target, self.body, dict(self.route))
        reader, writer = await asyncio.open_connection(gateway.ip, self.world.base_port)
        try:
            head = (f"{self.method} {self.target} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {request_id}\r\n"
                    f"X-Deadline-Milliseconds: 2500\r\nContent-Length: {len(self.body)}\r\n\r\n")
            writer.write(head.encode() + self.body)
            first, headers = await wire.read_head(reader)
            await wire.read_body(reader, headers)
            if first.split(" ")[1] == "200":
                self.world.checks.fail("mixed", f"{self.target} was answered")
        finally:
            writer.close()


async def crash(world, searcher):
    """Ends a searcher with all its connections; another one starts at its address some seconds later."""
    if searcher.spec is None or searcher.ended:
        return
    searcher.ended, was = True, searcher.name
    searcher.server.close()
    for writer in list(searcher.writers):
        writer.transport.abort()
    searcher.writers.clear()
    await asyncio.sleep(world.random.uniform(1.0, 3.0))
    if not world.running or searcher.draining_since is not None:
        return
    world.store.delete("servers", was)
    searcher.forget()
    searcher.name = world.name_for(searcher.service)
    await searcher.start(searcher.port)
