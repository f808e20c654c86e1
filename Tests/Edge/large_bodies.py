"""Tests that large bodies in a burst stay within the memory of an entry.

Run: large_bodies.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import MOST_MEMORY_KB, KeptConnections, call, configuration
from stranded_fleet import StrandedFleet

MAX_BODY_BYTES = 4_194_304
BODY = b"x" * 3_600_000
CALLERS = 14
SECONDS = 6.0


def with_large_bodies(document):
    document["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    return document


class LargeBodies(unittest.IsolatedAsyncioTestCase):
    async def send(self, entry, name, answers, **more):
        """Sends requests on a kept connection, and waits only where it is told to."""
        kept = KeptConnections()
        end = time.monotonic() + SECONDS
        number = 0
        while time.monotonic() < end:
            number += 1
            answer = await call(entry.address("front"), "/once/x", f"{name}-{number}", kept=kept,
                                deadline_ms=5000, **more)
            answers.append(answer)
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.01)))
        kept.close()

    async def burst(self, fleet):
        fleet.store.put("op/config", with_large_bodies(configuration(2)))
        await fleet.until_version(2)
        for replica in fleet.of("app"):
            replica.work_s = 0.1
        large, small = [], []
        await asyncio.gather(
            *(self.send(fleet.entries[0], f"large-{number}", large, body=BODY) for number in range(CALLERS)),
            *(self.send(fleet.entries[0], f"small-{number}", small) for number in range(5)))
        for entry in fleet.entries:
            self.assertLess(entry.peak_memory_kb(), MOST_MEMORY_KB, entry.name)
        self.assertEqual({answer.status for answer in small}, {200})
        self.assertLessEqual({answer.status for answer in large}, {200, 503, 0})
        served = [answer for answer in large if answer.status == 200]
        self.assertGreater(len(served), CALLERS)
        self.assertTrue(all(answer.whole for answer in served))
        self.assertTrue(all("retry-after" in answer.headers for answer in large if answer.status == 503))
        return large

    async def test_a_burst_of_large_bodies_stays_within_the_memory(self):
        async with Fleet(app=6) as fleet:
            await self.burst(fleet)

    async def test_a_burst_that_is_handed_on_stays_within_the_memory_of_both_entries(self):
        async with StrandedFleet(entries=2, app=6) as fleet:
            await fleet.until_members_known()
            await fleet.cut("reset")
            for number in range(20):
                await call(fleet.front, "/plain/x", f"lost-{number}", deadline_ms=500)
            await self.burst(fleet)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
