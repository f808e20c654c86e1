"""Tests that less urgent streams wait at the entries, or are refused, while engines are overloaded.

Run: overload.py BIN [CASE...]
"""

import asyncio
import heapq
import itertools
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import is_served
from fleet import Fleet
from standin import Replica, call, configuration

SERVERS = 4
SLOTS = 4
WORK_S = 0.1
EVENTS = 5
CAPACITY = SERVERS * SLOTS / (WORK_S * (EVENTS + 1))


def surge_configuration(version):
    """With the routes /urgent/ and /draft/, of the highest and the lowest priority."""
    result = configuration(version)
    stream = next(route for route in result["routes"] if route["name"] == "stream")
    for name, priority, goal_ms in (("urgent", 0, 1000), ("draft", 2, 3000)):
        result["routes"].append({**stream, "name": name, "path-prefix": f"/{name}/",
                                 "priority": priority, "goal-ms": goal_ms})
    return result


class Engine(Replica):
    """Runs SLOTS requests at a time and admits by priority, then by arrival. Rejects nothing."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.slots, self.work_s, self.events = SLOTS, WORK_S, EVENTS
        self.busy = 0
        self.waiting = []
        self.arrivals = itertools.count()

    async def execute(self, method, target, headers, body, fault, writer):
        if self.busy < self.slots:
            self.busy += 1
        else:
            has_slot = asyncio.get_running_loop().create_future()
            priority = int(headers["fennelline-request-priority"])
            heapq.heappush(self.waiting, (priority, next(self.arrivals), has_slot))
            await has_slot
        try:
            await super().execute(method, target, headers, body, fault, writer)
        finally:
            self.pass_on_slot()

    def pass_on_slot(self):
        while self.waiting:
            has_slot = heapq.heappop(self.waiting)[2]
            if not has_slot.done():
                has_slot.set_result(None)
                return
        self.busy -= 1


class EngineFleet(Fleet):
    async def start_replica(self, name, service, **more):
        if service != "pool":
            return await super().start_replica(name, service, **more)
        engine = await Engine(self.store, name, service, **more).start()
        self.replicas.append(engine)
        return engine

    async def prepare(self):
        await self.until_members_known()
        self.store.put("op/config", surge_configuration(2))
        await self.until_version(2)

    async def send(self, name, per_second, seconds, prefix):
        """Sends requests of a route to the entries in turn; returns their answers by id."""
        calls = {}
        start = time.monotonic()
        for number in range(int(per_second * seconds)):
            entry = self.entries[number % len(self.entries)]
            request = f"{prefix}-{name}-{number}"
            calls[request] = asyncio.create_task(
                call(entry.address("front"), f"/{name}/x", request, accept="text/event-stream",
                     deadline_ms=8000))
            await asyncio.sleep(max(0.0, start + (number + 1) / per_second - time.monotonic()))
        return {request: await task for request, task in calls.items()}

    async def send_all(self, factor, seconds, prefix):
        """Sends each of two routes with half of the engines' capacity times the factor."""
        rate = 0.5 * factor * CAPACITY
        return await asyncio.gather(self.send("urgent", rate, seconds, prefix),
                                    self.send("draft", rate, seconds, prefix))

    def lines(self, event):
        return [line for entry in self.entries for line in entry.lines(event)]


def on_time(answers, bound_s):
    return sum(is_served(answer) and answer.took_s <= bound_s for answer in answers.values()) / len(answers)


class Overload(unittest.IsolatedAsyncioTestCase):
    async def check_surge(self, entries):
        async with EngineFleet(entries=entries, pool=SERVERS, app=1) as fleet:
            await fleet.prepare()
            await fleet.send_all(0.6, 4.0, "calm")
            self.assertEqual(fleet.lines("held"), [])
            self.assertEqual(fleet.lines("shed"), [])
            urgent, draft = await fleet.send_all(1.7, 8.0, "surge")
            held = fleet.lines("held")
            self.assertGreater(len(held), 0)
            self.assertEqual({line["urgency"] for line in held}, {2})
            self.assertEqual([answer.status for answer in urgent.values() if not is_served(answer)], [])
            answer_s = WORK_S * EVENTS
            self.assertGreaterEqual(on_time(urgent, 1.0 + answer_s) + 0.05,
                                    on_time(draft, 3.0 + answer_s))
            refused = {request: answer for request, answer in draft.items() if answer.status == 503}
            self.assertTrue(all("retry-after" in answer.headers for answer in refused.values()))
            self.assertEqual([request for request in refused if fleet.runs(request)], [])
            lost = sum(not is_served(answer) for answer in draft.values()) - len(refused)
            # Sent to the engines, and not answered before the deadline.
            self.assertLessEqual(lost, len(draft) // 20)
            await fleet.send_all(0.6, 3.0, "after")
            await asyncio.sleep(0.5)
            await fleet.send_all(0.6, 2.0, "later")
            self.assertEqual([line for line in fleet.lines("held") if line["id"].startswith("later")], [])

    async def test_one_entry_holds_the_least_urgent_in_a_surge(self):
        await self.check_surge(1)

    async def test_three_entries_hold_the_least_urgent_in_a_surge(self):
        await self.check_surge(3)

    async def test_a_caller_that_leaves_the_queue_is_not_served(self):
        async with EngineFleet(pool=SERVERS, app=1) as fleet:
            await fleet.prepare()
            surge = asyncio.create_task(fleet.send_all(1.7, 6.0, "surge"))
            for number in range(50):
                # The connection ends while the request waits, which is for at most 1.5 s.
                left = asyncio.create_task(call(fleet.front, "/draft/x", f"left-{number}",
                                                accept="text/event-stream", deadline_ms=8000))
                await asyncio.sleep(0.1)
                left.cancel()
            await surge
            waited = {line["id"] for line in fleet.lines("held") if line["id"].startswith("left")}
            self.assertGreater(len(waited), 0)
            # A few may be sent in the tenth of a second before their callers leave.
            served = sum(len(fleet.runs(request)) for request in waited)
            self.assertLessEqual(served, len(waited) // 3)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
