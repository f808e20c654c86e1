"""Tests that sessions keep their version while a new one is on trial, whichever entry they come to.

Run: session_versions.py BIN [CASE...]
"""

import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import call, wait_until

EVENTS = "text/event-stream"
SESSION_S = 8.0
# The trial begins once sessions from before the order have ended or been seen.
TRIAL_AFTER_S = SESSION_S + 0.5
ORDER_S = 60
# A tenth of them is selected for the trial.
SESSIONS = 160


class SessionVersions(unittest.IsolatedAsyncioTestCase):
    async def until_known_to(self, fleet, entries):
        """Waits until each of these entries lists all members."""
        for entry in entries:
            await wait_until(lambda entry=entry: len({line["member"] for line in entry.lines("member")})
                             >= len(fleet.entries), 30, f"{entry.name} knows all members")

    async def call_sessions(self, entries, prefix, sessions):
        """Sends a request of each session, to the entries in turn; returns when each began and ended."""
        now = asyncio.get_running_loop().time
        times = {}

        async def call_one(entry, session):
            began = now()
            await call(entry.address("front"), "/stream/", f"{prefix}-{session}", accept=EVENTS,
                       headers=[("Session", session)])
            times[session] = (began, now())

        for start in range(0, len(sessions), 20):
            await asyncio.gather(*(call_one(entries[number % len(entries)], session)
                                   for number, session in enumerate(sessions[start:start + 20], start)))
        return times

    async def check(self, entries):
        async with Fleet(entries=entries, pool=3, session_s=SESSION_S) as fleet:
            # By name, since the entries told of sessions must not depend on it.
            by_name = sorted(fleet.entries, key=lambda entry: entry.name)
            await self.until_known_to(fleet, [by_name[0], by_name[-1]])
            fleet.store.put("op/rollout/pool", {"backend": "pool", "target": "v2",
                                                "duration-s": ORDER_S})
            new = [await fleet.add_replica(f"i-new-{number}", "pool", version="v2")
                   for number in range(2)]
            ordered = asyncio.get_running_loop().time()

            def seconds():
                return asyncio.get_running_loop().time() - ordered

            old = [f"old-{number}" for number in range(SESSIONS)]
            await wait_until(lambda: seconds() > TRIAL_AFTER_S - 5.0)
            first = await self.call_sessions(by_name, "first", old)
            await wait_until(lambda: seconds() > TRIAL_AFTER_S + 0.2)
            second = await self.call_sessions(by_name[-2:], "second", old)
            running = {session for session in old
                       if second[session][0] < first[session][1] + SESSION_S}
            self.assertGreater(len(running), SESSIONS / 2)
            moved = {run["id"].split("-", 1)[1] for replica in new for run in replica.runs}
            self.assertEqual(moved & running, set())
            fresh = [f"fresh-{number}" for number in range(SESSIONS)]
            await self.call_sessions(by_name, "third", fresh)
            on_new = {run["id"].split("-", 1)[1] for replica in new for run in replica.runs
                      if run["id"].startswith("third")}
            self.assertGreater(len(on_new), 0, "new sessions are on trial")
            for replica in new:
                replica.runs.clear()
            await self.call_sessions(list(reversed(by_name)), "fourth", sorted(on_new))
            again = {run["id"].split("-", 1)[1] for replica in new for run in replica.runs}
            self.assertEqual(again, on_new)

    async def test_with_three_entries(self):
        await self.check(entries=3)

    async def test_with_so_many_entries_that_not_all_are_told_of_each_session(self):
        await self.check(entries=84)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
