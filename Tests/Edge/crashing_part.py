"""Tests that a part of prompts which crashes servers is soon refused, and only that part.

Run: crashing_part.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import CONTACT_S, CRASHES_OF_PART, MOST_LATE_RUNS, CrashingFleet, is_served
from fleet import Fleet
from standin import call, wait_until

EVENTS = "text/event-stream"
DEADLY = "dead01"
POPULAR = "50de"
# Sound requests with the same first part are served at least this often, from twice the contact
# time after the fifth crash.
LEAST_SERVED = 0.5


class Traffic:
    """Requests with prompts, no two alike, sent to the entries in turn."""

    def __init__(self, fleet, path="/stream/report"):
        self.fleet = fleet
        self.path = path
        self.calls = []

    def send(self, *parts, path=None):
        """Sends a request whose prompt has these parts before its own; returns its id."""
        number = len(self.calls)
        request = f"r{number}"
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        prompt = ",".join(f"{part}:400" for part in (*parts, f"{number + 1:x}"))
        headers = [("Fennelline-Prompt-Prefix", prompt), ("Fennelline-Token-Usage", "1200,50")]
        self.calls.append((parts, time.monotonic(), asyncio.create_task(
            call(entry.address("front"), path or self.path, request, body=request.encode(),
                 accept=EVENTS, headers=headers))))
        return request

    async def answers(self, is_wanted):
        """Answers to the requests that is_wanted(parts, sent_at) chooses."""
        return [await task for parts, sent_at, task in self.calls if is_wanted(parts, sent_at)]


class CrashingPart(unittest.IsolatedAsyncioTestCase):
    async def check_is_refused(self, fleet, deadly_prompt, seconds=22.0):
        """Sends 20 requests a second, every eighth with the deadly part."""
        await fleet.until_members_known()
        traffic = Traffic(fleet)
        for number in range(int(seconds * 20)):
            if number == 20:
                fleet.crash_under(DEADLY)
            own = f"70{number % 12:x}"
            traffic.send(*([POPULAR, own] if number % 8 else deadly_prompt))
            await asyncio.sleep(0.05)
        deadly = await traffic.answers(lambda parts, _: DEADLY in parts)
        crashes = fleet.crashes()
        self.assertLessEqual(len(fleet.late_runs_with(DEADLY)), MOST_LATE_RUNS,
                             f"{len(crashes)} crashes")
        settled = (crashes + crashes[-1:] * CRASHES_OF_PART)[CRASHES_OF_PART - 1] + 2 * CONTACT_S
        sound = await traffic.answers(lambda parts, at: DEADLY not in parts and at > settled)
        served = sum(is_served(answer) for answer in sound)
        self.assertGreater(len(sound), 20)
        self.assertGreater(served / len(sound), LEAST_SERVED, f"{len(crashes)} crashes")
        self.assertEqual({answer.status for answer in deadly[-10:]}, {503})
        self.assertTrue(all("retry-after" in answer.headers for answer in deadly[-10:]))

    async def test_a_part_that_crashes_servers_is_refused_by_all_entries(self):
        async with CrashingFleet(entries=3, pool=8) as fleet:
            await self.check_is_refused(fleet, [POPULAR, DEADLY])

    async def test_a_part_that_crashes_servers_is_refused_by_a_single_entry(self):
        async with CrashingFleet(entries=1, pool=8) as fleet:
            await self.check_is_refused(fleet, [POPULAR, DEADLY])

    async def test_a_part_that_crashes_servers_is_refused_wherever_it_stands(self):
        async with CrashingFleet(entries=3, pool=8) as fleet:
            await self.check_is_refused(fleet, [DEADLY, POPULAR, "7001"])


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
