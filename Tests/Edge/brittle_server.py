"""Tests that servers which fall over when they have to turn many requests away are not overfilled.

Run: brittle_server.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import CONTACT_S, CrashingFleet, is_served
from fleet import Fleet
from standin import call, wait_until

SERVERS = 6
SLOTS = 4
QUEUE = 2
WORK_S = 0.16
CAPACITY = SERVERS * SLOTS / WORK_S
# The platform's rule: more than two falls and a tenth of the servers are too many.
MOST_FALLS = 2 + SERVERS // 10
LEAST_USED = 0.8


class BrittleFleet(CrashingFleet):
    """A fleet whose servers are full with SLOTS + QUEUE requests, and fall over when they turn away
    more than `brittle` in a second.
    """

    def __init__(self, brittle, **more):
        super().__init__(keeps_id=True, pool=1, app=SERVERS, **more)
        self.brittle = brittle

    async def add_replica(self, name, service, **more):
        replica = await super().add_replica(name, service, **more)
        if service == "app":
            replica.slots, replica.queue, replica.brittle = SLOTS, QUEUE, self.brittle
            replica.work_s = WORK_S
            replica.register()
        return replica

    def falls_since(self, when):
        return [at for replica in self.of("app") for at in replica.crash_times if at > when]


async def send(fleet, per_second, seconds, prefix, path="/plain/x", deadline_ms=1000):
    """Sends requests to the entries in turn; returns their answers."""
    calls = []
    start = time.monotonic()
    for number in range(int(per_second * seconds)):
        entry = fleet.entries[number % len(fleet.entries)]
        calls.append(asyncio.create_task(call(entry.address("front"), path, f"{prefix}-{number}",
                                              body=f"{prefix}-{number}".encode(),
                                              deadline_ms=deadline_ms)))
        await asyncio.sleep(max(0.0, start + (number + 1) / per_second - time.monotonic()))
    return await asyncio.gather(*calls)


class BrittleServer(unittest.IsolatedAsyncioTestCase):
    async def check_does_not_fall(self, entries, brittle, path="/plain/x"):
        async with BrittleFleet(brittle, entries=entries) as fleet:
            await fleet.until_members_known()
            # Every entry hears of it from each server.
            await send(fleet, 40, CONTACT_S, "first", path)
            since = time.monotonic()
            answers = await send(fleet, 1.4 * CAPACITY, 8.0, "load", path)
            self.assertLessEqual(len(fleet.falls_since(since)), MOST_FALLS)
            served = sum(map(is_served, answers))
            self.assertGreaterEqual(served, LEAST_USED * CAPACITY * 8.0)
            refused = [answer for answer in answers if not is_served(answer)]
            self.assertEqual({answer.status for answer in refused}, {503})
            self.assertTrue(all("retry-after" in answer.headers for answer in refused))

    async def test_brittle_servers_do_not_fall_under_one_entry(self):
        await self.check_does_not_fall(1, 3)

    async def test_brittle_servers_do_not_fall_under_five_entries(self):
        await self.check_does_not_fall(5, 3)

    async def test_brittle_servers_that_bear_more_do_not_fall_under_five_entries(self):
        await self.check_does_not_fall(5, 10)

    async def test_brittle_servers_do_not_fall_under_requests_that_cannot_be_repeated(self):
        await self.check_does_not_fall(5, 3, "/once/x")

    async def test_callers_of_an_entry_without_a_part_of_the_slots_are_served(self):
        async with BrittleFleet(3, entries=5) as fleet:
            await fleet.until_members_known()
            servers = fleet.of("app")
            for replica in servers[1:]:
                replica.leave()
            servers[0].slots = 1
            servers[0].register()
            await wait_until(lambda: all(sum(line["state"] == "gone" for line in entry.lines("backend"))
                                         == SERVERS - 1 for entry in fleet.entries))
            # Each entry hears of it.
            await send(fleet, 3, 5.0, "first")
            since = time.monotonic()
            answers = await send(fleet, 2, 5.0, "then")
            self.assertEqual([answer.status for answer in answers if not is_served(answer)], [])
            self.assertEqual(fleet.falls_since(since), [])

    async def test_servers_that_are_no_longer_brittle_are_used_as_before(self):
        async with BrittleFleet(3, entries=2) as fleet:
            await fleet.until_members_known()
            await send(fleet, 40, 1.0, "first")
            for replica in fleet.of("app"):
                replica.brittle = None
            await send(fleet, 40, 1.0, "then")
            # Long enough for all of them to be under way at once, also on a busy machine.
            for replica in fleet.of("app"):
                replica.work_s = 3.0
            calls = asyncio.create_task(send(fleet, 600, 0.1, "burst", deadline_ms=10_000))
            await wait_until(lambda: max(replica.most_running for replica in fleet.of("app"))
                             > SLOTS)
            await calls


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
