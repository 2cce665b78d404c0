"""The promises of the gateways, checked from what clients and searchers see."""

import asyncio
import time
from collections import defaultdict

import outside


class Checks:
    BUDGET_RATIO, BUDGET_WINDOW = 0.2, 10.0
    EVACUATED_S, IN_TOUCH_S = 5.0, 6.0
    LATE_IN_STOP_S = 3.0
    LIMIT_WINDOW, LIMIT_FACTOR, LIMIT_SLACK, LIMIT_ADAPT_S, LIMIT_TOLD_S = 4.0, 1.5, 5, 5.0, 0.5

    def __init__(self, world):
        self.world = world
        self.broken = []
        self.asked = {}  # request id -> (method, target, body, route)
        self.sent_to = {}  # request id -> its gateway and when it was sent
        self.deadly_asked = {}  # the same of requests that crash searchers
        self.runs = defaultdict(int)
        self.refused = set()  # ids that were said not to have run
        self.arrivals = defaultdict(list)  # (service, id) -> times
        self.requests = defaultdict(list)  # service -> times
        self.answers = defaultdict(int)
        self.latest = {}  # client task -> its last request id

    def fail(self, rule, text):
        self.broken.append(f"{rule}: {text}")

    def asks(self, request_id, method, target, body, route, client, gateway):
        self.asked[request_id] = (method, target, body, route)
        self.sent_to[request_id] = (gateway, time.monotonic())
        self.latest[client] = request_id
        for service in route["FanoutServices"] or [route["Service"]]:
            self.requests[service].append(time.monotonic())

    def asked_deadly(self, request_id, method, target, body, route):
        """A request that is not counted among those that should be served."""
        self.deadly_asked[request_id] = (method, target, body, route)

    def arrived(self, searcher, request_id, method, target, body):
        asked = self.asked.get(request_id) or self.deadly_asked.get(request_id)
        if asked is None or asked[:3] != (method, target, body):
            self.fail("unasked", f"{searcher.name} got {method} {target} as {request_id}")
            return
        if searcher.service not in self.world.services_ever[asked[3]["Name"]]:
            self.fail("route", f"{request_id} of {asked[3]['Name']} reached {searcher.service}")
        self.arrivals[searcher.service, request_id].append(time.monotonic())
        since = searcher.draining_since
        calm = time.monotonic() - self.world.last_trouble() > 6.0
        if since and calm and time.monotonic() - since > self.world.drain_s:
            self.fail("drain", f"{request_id} reached {searcher.name} {time.monotonic() - since:.1f} s after")

        gateway = self.sent_to.get(request_id, (None, 0.0))[0]
        evacuated_since = self.world.evacuated_since.get(searcher.zone)
        if gateway and evacuated_since and time.monotonic() - evacuated_since > self.EVACUATED_S:
            if gateway.in_touch(self.IN_TOUCH_S) and time.monotonic() - self.world.store.troubled > self.IN_TOUCH_S:
                self.fail("evacuation", f"{request_id} reached {searcher.name} in zone {searcher.zone} from gateway-"
                          f"{gateway.n} {time.monotonic() - evacuated_since:.1f} s after")

    def arrived_despite(self, searcher, request_id, writer):
        """On a connection whose gateway was told that the searcher leaves, or wants nothing for a time."""
        now = time.monotonic()
        told = searcher.told.get(writer)
        if told and now - told > self.world.drain_s:
            self.fail("drain", f"{request_id} reached {searcher.name} {now - told:.1f} s after its announcement")
        refused = searcher.refused_until.get(writer)
        if refused and refused[0] <= now < refused[1]:
            refused[2] += 1
            if refused[2] > 2:
                self.fail("budget", f"{request_id} reached {searcher.name} before the time that it named")

    def arrived_under_limit(self, searcher, writer):
        """On connections on which the searcher has stated a limit; a host that has started again has new ones."""
        now = time.monotonic()
        told = searcher.limit_told.get(writer)
        if searcher.limit is None or not told or now - told < self.LIMIT_TOLD_S:
            return
        if now - searcher.limited_since < self.LIMIT_ADAPT_S:
            return
        searcher.limited_arrivals = [it for it in searcher.limited_arrivals if now - it < self.LIMIT_WINDOW] + [now]
        allowed = self.LIMIT_FACTOR * searcher.limit * self.LIMIT_WINDOW + self.LIMIT_SLACK
        if len(searcher.limited_arrivals) > allowed:
            self.fail("limit", f"{searcher.name} got {len(searcher.limited_arrivals)} in 4 s, {allowed:.0f} allowed")

    def ran(self, searcher, request_id):
        self.runs[searcher.service, request_id] += 1
        asked = self.asked.get(request_id) or self.deadly_asked.get(request_id)
        if asked and asked[3]["Kind"] == "unsafe":
            if self.runs[searcher.service, request_id] > 1:
                self.fail("twice", request_id)
            if request_id in self.refused:
                self.fail("refused", f"{request_id} ran after it was refused")

    def answered(self, request_id, status, headers, body):
        self.answers[status] += 1
        route = self.asked[request_id][3]
        gateway, sent = self.sent_to[request_id]
        if status in (502, 504) and b"draining" in body and time.monotonic() - gateway.hurt >= 8.0:
            late = sent - gateway.ending_since > self.LATE_IN_STOP_S
            if late and any(self.arrivals.get((it, request_id)) for it in route["FanoutServices"] or [route["Service"]]):
                self.fail("lost", f"{request_id} came late in the stop of gateway-{gateway.n}, ran and was cut off")
        if status in (429, 503) and route["Kind"] == "unsafe":
            self.refused.add(request_id)
            if self.runs[route["Service"], request_id]:
                self.fail("refused", f"{request_id} had run")
        if status == 503 and float(headers.get("retry-after", 0)) <= 0:
            self.fail("retry-after", f"{request_id} names no time")
        if status == 404:
            self.fail("denied", f"{request_id} on {route['Name']}")
        if status != 200:
            return
        if route["FanoutServices"]:
            self.merged(request_id, route, headers, body)
        else:
            name = headers.get("x-server-stamp", ".").split(".")[0]
            if body != b"".join(outside.records_of(name, request_id)):
                self.fail("mixed", f"{request_id}: another body than that of {name}")

    def cut(self, gateway):
        """A client's connection ended without an answer; a stop alone must not do that to a request passed on."""
        request_id = self.latest.get(asyncio.current_task())
        if gateway is None or request_id is None or time.monotonic() - gateway.hurt < 8.0:
            return
        route = self.asked[request_id][3]
        passed_on = [service for service in route["FanoutServices"] or [route["Service"]]
                     if self.arrivals.get((service, request_id))]
        if passed_on:
            self.fail("lost", f"{request_id} was passed on by gateway-{gateway.n} and its connection ended")

    def merged(self, request_id, route, headers, body):
        proofs = [proof.strip() for proof in headers["x-part-stamps"].split(",")]
        names = [proof.split(".", 1)[0] for proof in proofs]
        if any(proof.split(".", 1)[1] != request_id for proof in proofs):
            self.fail("mixed", f"{request_id}: the proof of another request")
        services = [self.world.service_of[name] for name in names]
        missing = int(headers.get("x-missing-parts", 0))
        sets = self.world.shard_sets[route["Name"]]
        if len(set(services)) != len(services) or not any(
                set(services) <= set(one) and len(services) + missing == len(one) for one in sets):
            self.fail("mixed", f"{request_id}: {services} and {missing} missing make up no set")
        if len(services) < route["MinimumShare"] * (len(services) + missing) - 1e-9:
            self.fail("mixed", f"{request_id}: less than the least share")
        found = sorted((one for name in names for one in outside.records_of(name, request_id)), reverse=True)
        if body != b"".join(found[: route["ResultLimit"]]):
            self.fail("mixed", f"{request_id}: not the greatest records")

    def at_end(self):
        """The budget: arrivals beyond the first of each request, in every window."""
        extra = defaultdict(list)
        for (service, _), times in self.arrivals.items():
            extra[service] += times[1:]
        for service, times in extra.items():
            for begin in times:
                window = [it for it in times if begin <= it < begin + self.BUDGET_WINDOW]
                owed = max(sum(1 for it in self.requests[service]
                               if begin - back <= it < begin - back + self.BUDGET_WINDOW)
                           for back in (0, self.BUDGET_WINDOW / 2, self.BUDGET_WINDOW))
                allowed = self.BUDGET_RATIO * owed + self.world.budget_slack
                if len(window) > allowed:
                    self.fail("budget", f"{service}: {len(window)} extra arrivals, {allowed:.0f} allowed")
                    break
