"""Tests that a request which crashes the servers that run it is soon refused by every entry.

Run: crashing_request.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Replica, call

EVENTS = "text/event-stream"
POISON = b"crashes the server"
# Bounds of the platform's rules: retries sent later than this after the third crash count, and at
# most three of them are allowed.
CONTACT_S = 3.0
MOST_LATE_RETRIES = 3
# A crashed server is back after this time; its entry in the store expires after three heartbeats.
DOWN_S = 2.0
EXPIRY_S = 3.6


class CrashingFleet(Fleet):
    """A fleet whose servers crash under requests with the body POISON and come back."""

    def __init__(self, keeps_id=False, **more):
        super().__init__(**more)
        self.keeps_id = keeps_id
        self.returns = []

    async def __aexit__(self, *arguments):
        for task in self.returns:
            task.cancel()
        await super().__aexit__(*arguments)

    async def add_replica(self, name, service, **more):
        replica = await super().add_replica(name, service, **more)
        replica.crash_bodies = frozenset([POISON])
        replica.on_crash = self.on_crash
        return replica

    def on_crash(self, replica):
        self.returns.append(asyncio.create_task(self.bring_back(replica)))

    async def bring_back(self, replica):
        await asyncio.sleep(DOWN_S)
        name = replica.name if self.keeps_id else f"{replica.name}+"
        await self.add_replica(name, replica.service)
        if not self.keeps_id:
            await asyncio.sleep(EXPIRY_S - DOWN_S)
            self.store.delete(f"servers/{replica.name}")

    def crashes(self):
        return sorted(replica.crashed_at for replica in self.replicas if replica.crashed_at)

    def late_retries(self):
        """Runs of POISON that began later than the contact time after the third crash."""
        crashes = self.crashes()
        if len(crashes) < 3:
            return []
        return [run for replica in self.replicas for run in replica.runs
                if run["body"] == POISON and run["at"] > crashes[2] + CONTACT_S]


async def send_in_turn(fleet, path, body, count, interval_s, prefix, **more):
    """Sends requests with this body to the entries in turn; returns their answers in order."""
    calls = []
    for number in range(count):
        entry = fleet.entries[number % len(fleet.entries)]
        calls.append(asyncio.create_task(call(entry.address("front"), path, f"{prefix}-{number}",
                                              body=body, **more)))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*calls)


def is_served(answer):
    return answer.status == 200 and answer.whole


class CrashingRequest(unittest.IsolatedAsyncioTestCase):
    async def check_is_refused(self, fleet, path, accept="", apart_s=(0.0, 0.25)):
        """Sends POISON for 16 s and, this long after each time, other contents on the same route."""
        await fleet.until_members_known()

        async def send_other(delay_s):
            await asyncio.sleep(delay_s)
            return await send_in_turn(fleet, path, f"question {delay_s}".encode(), 33, 0.5,
                                      f"other-{delay_s}", accept=accept)

        poison, *others = await asyncio.gather(
            send_in_turn(fleet, path, POISON, 33, 0.5, "poison", accept=accept),
            *(send_other(delay_s) for delay_s in apart_s))
        self.assertLessEqual(len(fleet.late_retries()), MOST_LATE_RETRIES,
                             f"{len(fleet.crashes())} crashes")
        for answers in others:
            self.assertEqual([answer.status for answer in answers if not is_served(answer)], [])
        self.assertEqual({answer.status for answer in poison[-10:]}, {503})
        self.assertTrue(all("retry-after" in answer.headers for answer in poison[-10:]))

    async def test_a_request_that_crashes_servers_is_refused_by_all_entries(self):
        async with CrashingFleet(entries=3, app=8) as fleet:
            await self.check_is_refused(fleet, "/plain/report")

    async def test_a_request_that_crashes_servers_is_refused_by_a_single_entry(self):
        async with CrashingFleet(entries=1, app=3) as fleet:
            await self.check_is_refused(fleet, "/plain/report")

    async def test_a_stream_that_crashes_servers_is_refused_by_all_entries(self):
        async with CrashingFleet(entries=3, pool=8) as fleet:
            await self.check_is_refused(fleet, "/stream/report", EVENTS)

    async def test_a_non_idempotent_request_that_crashes_servers_is_refused_by_all_entries(self):
        async with CrashingFleet(entries=3, app=8) as fleet:
            # A request that cannot be repeated fails if it runs beside a crash.
            await self.check_is_refused(fleet, "/once/report", apart_s=(0.25,))


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
