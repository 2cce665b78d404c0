"""The gateways under test: real processes, each with a link of its own to the store."""

import asyncio
import os
import signal
import subprocess
import time

import outside
import wire


class Gateway:
    """One process of the program, which is only ever signalled by its own id."""

    def __init__(self, world, n):
        self.world, self.n = world, n
        self.ip = f"127.0.{1 + world.seed % 200}.{n + 1}"
        self.process = None
        self.store_link = None
        self.troubled = -1e9
        self.hurt = -1e9  # when it was last killed, stopped or paused
        self.ending_since = 1e9  # when it was asked to end

    async def start(self):
        if self.store_link is None:
            self.store_link = wire.Proxy(("127.0.0.1", self.world.store_port))
            self.store_port = await self.store_link.start("127.0.0.1")
        base = self.world.base_port
        path = os.path.join(self.world.folder, f"gateway-{self.n}")
        zones = ", ".join("{name: %s, region: r%s}" % (zone, zone) for zone in outside.ZONES)
        seeds = ", ".join(f'"127.0.{1 + self.world.seed % 200}.{n}:{base + 1}"' for n in (1, 2))
        with open(path + ".yaml", "w", encoding="utf-8") as out:
            out.write(f"""node: {{name: gateway-{self.n}, availability_zone: {self.zone}, region: r{self.zone}}}
listen: {{callers: "{self.ip}:{base}", admin: "{self.ip}:{base + 1}", peers: "{self.ip}:{base + 3}"}}
platform: {{url: "http://127.0.0.1:{self.store_port}"}}
seeds: [{seeds}]
gateway: {{readiness: "{self.ip}:{base + 2}", zones: [{zones}], extra_ratio: 0.2,
  extra_slack: {self.world.budget_slack}, stop_grace_ms: 6000, least_hosts: {len(self.world.gateways)}}}
""")
        log = open(path + ".log", "ab")
        self.ending_since = 1e9
        self.process = subprocess.Popen([self.world.binary, "gateway", "--settings", path + ".yaml"],
                                        stdout=log, stderr=log)

    @property
    def zone(self):
        return outside.ZONES[self.n % 3]

    def signal(self, number):
        self.troubled = time.monotonic()
        if number == signal.SIGTERM:
            self.ending_since = self.troubled
        else:
            self.hurt = self.troubled
        if self.process.poll() is None:
            self.process.send_signal(number)

    def in_touch(self, least_s):
        """Whether it ran and reached the store for so long."""
        cut = self.store_link.silent or self.store_link.one_way
        return not cut and self.process.poll() is None and time.monotonic() - self.troubled > least_s

    async def end(self, number):
        self.signal(number)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.troubled = time.monotonic()
        return self.process.returncode
