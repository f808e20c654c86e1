"""Tests what entries learn of the store while the entries that watch it stand still.

Run: silent_watchers.py BIN [CASE...]
"""

import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import call, configuration, wait_until

# The bounds of the entries' settings on servers that leave and on configurations.
DRAIN_S = 2.0
APPLY_S = 2.0
# A request may wait for a connection for as long before it reaches the server.
CONNECT_S = 0.3


class TwoZones(Fleet):
    """The first two entries by name, one of each zone, watch the store for all."""

    def entry_options(self, number):
        return {"zone": ("zone-a", "zone-b")[number % 2]}

    async def until_two_watch(self):
        await self.until_members_known()
        # Ends the watches that entries began before they knew each other.
        self.store.put("unused", b"")
        await wait_until(lambda: self.store.watching == 2, 10, "two entries watch the store")

    async def until_leaving_known(self, entries, replica, bound_s):
        await wait_until(lambda: all(any(line["backend"] == replica.name
                                         and line["state"] == "draining"
                                         for line in entry.lines("backend"))
                                     for entry in entries), bound_s,
                         f"every other entry knows that {replica.name} leaves")


class SilentWatchers(unittest.IsolatedAsyncioTestCase):
    async def stand_still(self, fleet, watchers, rounds=3):
        """Stops the watchers several times, with a leaving server and a new configuration each."""
        others = [entry for entry in fleet.entries if entry not in watchers]
        for number in range(rounds):
            await fleet.until_two_watch()
            # The watchers have just had an answer of the store.
            fleet.store.put("unused", str(number).encode())
            await wait_until(lambda: fleet.store.watching == 2)
            for entry in watchers:
                entry.signal(signal.SIGSTOP)
            changed = time.monotonic()
            leaving = fleet.of("app")[number]
            leaving.register("draining")
            key = f"key-{number + 3}"
            fleet.store.put("op/config", configuration(number + 2, keys=(key,)))
            await fleet.until_leaving_known(others, leaving, DRAIN_S - CONNECT_S)
            await wait_until(lambda: all(any(line["version"] == number + 2
                                             for line in entry.lines("configuration"))
                                         for entry in others),
                             APPLY_S - (time.monotonic() - changed),
                             "every other entry has the configuration")
            for entry in others:
                answer = await call(entry.address("front"), "/plain/", f"r-{number}-{entry.name}",
                                    key=key)
                self.assertEqual(answer.status, 200)
            for entry in watchers:
                entry.signal(signal.SIGCONT)
            await fleet.until_leaving_known(fleet.entries, leaving, 10)

    async def test_changes_are_known_in_time_if_both_entries_that_watch_the_store_stand_still(self):
        async with TwoZones(entries=6, app=5) as fleet:
            await self.stand_still(fleet, fleet.entries[:2])

    async def test_changes_are_known_in_time_if_most_entries_stand_still(self):
        async with TwoZones(entries=8, app=5) as fleet:
            await self.stand_still(fleet, fleet.entries[:6])


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
