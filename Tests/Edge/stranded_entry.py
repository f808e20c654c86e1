"""Tests that callers of entries without a path to the backend servers are served by other entries.

Run: stranded_entry.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import CONTACT_S, is_served
from fleet import Fleet
from standin import call
from stranded_fleet import StrandedFleet

EVENTS = "text/event-stream"
# Bounds of the platform's rule, from the contact time after the beginning of the cut on.
LEAST_OF_OTHERS = 2 / 3
MOST_FAILED = 10
MOST_FAILED_SHARE = 1 / 50
ROUTES = ("/plain/x", "/once/x", "/stream/x")


async def send_to(entries, seconds, prefix, per_second=16):
    """Sends requests on all routes to each of the entries; returns rows (sent at, entry, answer)."""
    calls = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        for entry in entries:
            path = ROUTES[number % len(ROUTES)]
            calls.append((time.monotonic(), entry, asyncio.create_task(
                call(entry.address("front"), path, f"{prefix}-{number}",
                     accept=EVENTS if path.startswith("/stream") else ""))))
            number += 1
        await asyncio.sleep(1 / per_second)
    return [(at, entry, await task) for at, entry, task in calls]


class StrandedEntry(unittest.IsolatedAsyncioTestCase):
    async def check_served_while_cut(self, how):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            await fleet.until_members_known()
            traffic = asyncio.create_task(send_to(fleet.entries, 8.0, how))
            await asyncio.sleep(1.0)
            await fleet.cut(how)
            cut_at = time.monotonic()
            rows = [row for row in await traffic if row[0] > cut_at + CONTACT_S]
            served = {entry.name: [is_served(answer) for _, at_entry, answer in rows
                                   if at_entry is entry] for entry in fleet.entries}
            stranded = sum((served[entry.name] for entry in fleet.stranded), [])
            others = sum((served[entry.name] for entry in fleet.others), [])
            self.assertGreater(len(stranded), 50)
            self.assertGreaterEqual(sum(stranded) / len(stranded),
                                    LEAST_OF_OTHERS * sum(others) / len(others))
            self.assertLessEqual(stranded.count(False),
                                 MOST_FAILED + MOST_FAILED_SHARE * len(stranded))

    async def test_callers_are_served_where_connections_to_servers_hang(self):
        await self.check_served_while_cut("hang")

    async def test_callers_are_served_where_connections_to_servers_are_reset(self):
        await self.check_served_while_cut("reset")

    async def test_callers_are_served_where_only_new_connections_are_refused(self):
        await self.check_served_while_cut("refuse")


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
