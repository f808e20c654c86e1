"""Tests that entries follow a store that comes back from an older copy of itself.

Run: store_return.py BIN [CASE...]
"""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Entry, call, configuration, wait_until

EVENTS = "text/event-stream"
# The bounds of the entries' settings on configurations and on servers that leave.
APPLY_S = 2.0
DRAIN_S = 2.0
AWAY_S = 0.5
# Servers write their entries again within this time.
REREGISTRATION_S = 2.0
# The store removes the entry of a silent server after three heartbeats. An entry believes what the
# copy lists so long after the return, and the time to register again.
EXPIRY_S = 3.6
SETTLE_S = EXPIRY_S + REREGISTRATION_S


class ReturningFleet(Fleet):
    """The first two entries by name, one of each zone, watch the store for all."""

    link_mbps = 1000

    async def start_store(self):
        self.store.era = 4
        await super().start_store()

    def entry_options(self, number):
        return {"zone": ("zone-a", "zone-b")[number % 2]}

    async def return_from(self, saved, away_s=AWAY_S):
        self.store.go_away()
        await asyncio.sleep(away_s)
        self.store.come_back_from(saved)
        return time.monotonic()

    def rewrite(self, version, **more):
        self.store.put("op/config", configuration(version, **more))

    async def until_era_known(self):
        await wait_until(lambda: all(line["era"] == self.store.era
                                     for entry in self.entries
                                     for line in (entry.lines("store-returned") or [{"era": 0}])[-1:]),
                         APPLY_S, "every entry knows the new era")

    async def statuses(self, target, request, **more):
        return [(await call(entry.address("front"), target, f"{request}-{entry.name}", **more)).status
                for entry in self.entries]


class StoreReturn(unittest.IsolatedAsyncioTestCase):
    async def follow(self, fleet, returns, padding=()):
        """The store returns several times; after each, changes are in force at all entries in time."""
        await fleet.until_members_known()
        version = 1
        for turn in range(returns):
            saved = fleet.store.copy()
            for _ in range(10):
                version += 1
                fleet.rewrite(version, extra_routes=padding)
            await fleet.until_version(version)
            await fleet.return_from(saved)
            fleet.rewrite(version, extra_routes=padding)
            for replica in fleet.replicas:
                if replica.leaving_since is None:
                    replica.register()
            await fleet.until_era_known()
            version += 1
            leaving = fleet.of("app")[turn]
            fleet.rewrite(version, keys=("key-1", f"new-{turn}"),
                          extra_routes=(f"added-{turn}", *padding))
            leaving.register("draining")
            changed = time.monotonic()
            await asyncio.sleep(max(0, APPLY_S - (time.monotonic() - changed)))
            count = len(fleet.entries)
            self.assertEqual(await fleet.statuses("/plain/", f"old-key-{turn}", key="key-2"), [401] * count)
            self.assertEqual(await fleet.statuses("/plain/", f"new-key-{turn}", key=f"new-{turn}"), [200] * count)
            self.assertEqual(await fleet.statuses(f"/added-{turn}/", f"added-{turn}"), [200] * count)
            self.assertEqual([run["id"] for run in leaving.runs if run["at"] > changed + DRAIN_S], [])

    async def test_changes_after_returns_of_the_store_are_in_force_everywhere(self):
        async with ReturningFleet(entries=5, app=5) as fleet:
            await self.follow(fleet, 3)

    async def test_changes_after_returns_reach_entries_that_watch_servers_by_themselves(self):
        class NarrowFleet(ReturningFleet):
            async def __aenter__(self):
                Entry.link_mbps = 10
                return await super().__aenter__()

        try:
            async with NarrowFleet(entries=4, app=5) as fleet:
                await self.follow(fleet, 2)
        finally:
            Entry.link_mbps = 1000

    async def test_large_configurations_written_after_returns_are_in_force_everywhere(self):
        async with ReturningFleet(entries=5, app=5) as fleet:
            await self.follow(fleet, 2, padding=[f"more-{number}" for number in range(400)])

    async def test_a_store_that_returns_twice_within_a_second_is_followed(self):
        async with ReturningFleet(entries=4) as fleet:
            await fleet.until_members_known()
            saved = fleet.store.copy()
            for version in range(2, 9):
                fleet.rewrite(version)
            await fleet.until_version(8)
            await fleet.return_from(saved, away_s=0.2)
            fleet.rewrite(8)
            await asyncio.sleep(0.3)
            await fleet.return_from(saved, away_s=0.1)
            fleet.rewrite(8)
            await fleet.until_era_known()
            fleet.rewrite(9, keys=("key-1",))
            await asyncio.sleep(APPLY_S)
            self.assertEqual(await fleet.statuses("/plain/", "old", key="key-2"), [401] * 4)

    async def test_a_server_withheld_through_two_returns_is_used_once_it_proves_to_live(self):
        async with ReturningFleet(entries=3, app=3) as fleet:
            await fleet.until_members_known()
            silent = fleet.of("app")[0]
            saved = fleet.store.copy()
            # Its entry expired, and the copies have it again.
            fleet.store.delete(f"servers/{silent.name}")
            await wait_until(lambda: all(entry.lines("backend")[-1]["state"] == "gone"
                                         for entry in fleet.entries))
            for _ in range(2):
                await fleet.return_from(saved)
                await fleet.until_era_known()
            returned = time.monotonic()
            for number in range(4):
                await fleet.statuses("/plain/", f"early-{number}")
            self.assertEqual(silent.runs, [])
            await wait_until(lambda: all(entry.lines("backend")[-1]["state"] == "ready"
                                         for entry in fleet.entries),
                             returned + SETTLE_S + APPLY_S - time.monotonic(),
                             "every entry uses the server")
            # With several servers, chance would decide whether a request runs on this one.
            for other in fleet.of("app")[1:]:
                other.leave()
            await wait_until(lambda: all(
                {line["backend"] for line in entry.lines("backend") if line["state"] == "gone"}
                == {replica.name for replica in fleet.of("app")} for entry in fleet.entries))
            self.assertEqual(await fleet.statuses("/plain/", "late"), [200] * 3)
            self.assertEqual({run["id"] for run in silent.runs},
                             {f"late-{entry.name}" for entry in fleet.entries})

    async def test_what_the_copy_has_again_stays_out_until_it_is_written_again(self):
        async with ReturningFleet(entries=4, app=4) as fleet:
            await fleet.until_members_known()
            left, draining, *_ = fleet.of("app")
            saved = fleet.store.copy()
            fleet.rewrite(2, keys=("key-1",))
            left.leave()
            draining.register("draining")
            late = await fleet.add_replica("i-late", "app")
            await fleet.until_version(2)
            await asyncio.sleep(DRAIN_S)
            before = time.monotonic()
            await fleet.return_from(saved)
            await fleet.until_era_known()
            # Nothing was written again yet.
            for turn in range(3):
                self.assertEqual(await fleet.statuses("/plain/", f"old-{turn}", key="key-2"), [401] * 4)
                for number in range(4):
                    self.assertEqual(await fleet.statuses("/plain/", f"r-{turn}-{number}"), [200] * 4)
            self.assertEqual([run["id"] for replica in (left, draining) for run in replica.runs
                              if run["at"] > before], [])
            self.assertGreater(len(late.runs), 0, "a server that the copy lacks is used until it is gone")
            # A server that is back under its id, started anew, is used.
            left.born += 5000
            left.register()
            await wait_until(lambda: all(any(line["backend"] == left.name and line["state"] == "ready"
                                             for line in entry.lines("backend")[-8:])
                                         for entry in fleet.entries))

    async def test_a_server_missing_after_a_return_is_gone_after_the_time_to_register_again(self):
        async with ReturningFleet(entries=3) as fleet:
            await fleet.until_members_known()
            saved = fleet.store.copy()
            late = await fleet.add_replica("i-late", "app")
            await wait_until(lambda: all(any(line["backend"] == late.name for line in entry.lines("backend"))
                                         for entry in fleet.entries))
            await fleet.return_from(saved)
            await fleet.until_era_known()
            await asyncio.sleep(REREGISTRATION_S + 1.5)
            gone = time.monotonic()
            for number in range(6):
                self.assertEqual(await fleet.statuses("/plain/", f"r-{number}"), [200] * 3)
            self.assertEqual([run["id"] for run in late.runs if run["at"] > gone], [])

    async def test_an_entry_that_stood_still_since_a_return_uses_no_server_that_has_left(self):
        async with ReturningFleet(entries=3, app=3) as fleet:
            await fleet.until_members_known()
            saved = fleet.store.copy()
            left = fleet.of("app")[0]
            left.leave()
            await wait_until(lambda: all(entry.lines("backend")[-1]["state"] == "gone"
                                         for entry in fleet.entries))
            await fleet.return_from(saved)
            await fleet.until_era_known()
            for entry in fleet.entries:
                entry.signal(signal.SIGSTOP)
            fleet.store.go_away()
            await asyncio.sleep(EXPIRY_S)
            left.leave()
            # The entries go on when they would believe the copy, before they hear of the store again.
            await asyncio.sleep(SETTLE_S - EXPIRY_S + 0.5)
            for entry in fleet.entries:
                entry.signal(signal.SIGCONT)
            await asyncio.sleep(0.3)
            for number in range(4):
                await fleet.statuses("/plain/", f"still-{number}")
            fleet.store.mode = "up"
            await asyncio.sleep(1.0)
            for number in range(4):
                await fleet.statuses("/plain/", f"after-{number}")
            self.assertEqual(left.runs, [])

    async def test_an_entry_that_starts_after_a_return_uses_no_server_that_has_left(self):
        async with ReturningFleet(entries=3, app=3) as fleet:
            await fleet.until_members_known()
            saved = fleet.store.copy()
            left, sound, _ = fleet.of("app")
            left.leave()
            await wait_until(lambda: all(entry.lines("backend")[-1]["state"] == "gone"
                                         for entry in fleet.entries))
            await fleet.return_from(saved)
            await fleet.until_era_known()
            # The copy lists the server that has left, and the new entry knows of nothing else.
            new = await fleet.add_entry().start()
            await fleet.until_ready(new)
            for number in range(20):
                answer = await call(new.address("front"), "/plain/", f"r-{number}")
                self.assertEqual(answer.status, 200)
            self.assertEqual(left.runs, [])
            self.assertGreater(len(sound.runs), 0)

    async def load(self, fleet, stop):
        """Streams through all entries until stop is set."""
        number = 0
        while not stop.is_set():
            number += 1
            await asyncio.gather(*(call(entry.address("front"), "/stream/", f"s-{number}-{entry.name}",
                                        accept=EVENTS) for entry in fleet.entries))

    async def roll_out_a_bad_version(self, fleet, duration_s=14):
        fleet.store.put("op/rollout/pool", {"backend": "pool", "target": "v2", "duration-s": duration_s})
        bad = [await fleet.add_replica(f"i-new-{number}", "pool", version="v2") for number in range(2)]
        for replica in bad:
            replica.fault = "error"
        return bad

    def state(self, fleet):
        return (fleet.store.read("status/rollout/pool") or {}).get("state")

    async def test_a_version_that_was_rolled_back_is_not_tried_again_after_a_return(self):
        async with ReturningFleet(entries=3, pool=3) as fleet:
            await fleet.until_members_known()
            stop = asyncio.Event()
            load = asyncio.create_task(self.load(fleet, stop))
            bad = await self.roll_out_a_bad_version(fleet)
            await wait_until(lambda: any(replica.runs for replica in bad), 15, "a canary runs")
            saved = fleet.store.copy()
            await wait_until(lambda: self.state(fleet) == "rolled_back", 15, "the version is rolled back")
            await asyncio.sleep(0.5)
            runs = sum(len(replica.runs) for replica in bad)
            await fleet.return_from(saved)
            await wait_until(lambda: self.state(fleet) == "rolled_back", 5, "it is rolled back again")
            await asyncio.sleep(2)
            stop.set()
            await load
            self.assertEqual(sum(len(replica.runs) for replica in bad), runs)
            record = fleet.store.read("fennelline/rollout/pool")
            order = fleet.store.items["op/rollout/pool"]["mod-revision"]
            self.assertEqual((record["phase"], record["orderRevision"]), ("rolled-back", order))

    async def test_an_order_that_the_copy_lacks_goes_on_and_its_bad_version_is_rolled_back(self):
        async with ReturningFleet(entries=3, pool=3) as fleet:
            await fleet.until_members_known()
            stop = asyncio.Event()
            load = asyncio.create_task(self.load(fleet, stop))
            saved = fleet.store.copy()
            for version in range(2, 9):
                fleet.rewrite(version)
            bad = await self.roll_out_a_bad_version(fleet)
            await wait_until(lambda: any(replica.runs for replica in bad), 15, "a canary runs")
            await fleet.return_from(saved)
            fleet.rewrite(8)
            for replica in fleet.replicas:
                replica.register()
            fleet.store.put("op/rollout/pool", {"backend": "pool", "target": "v2", "duration-s": 14})
            await wait_until(lambda: self.state(fleet) == "rolled_back", 8, "the version is rolled back")
            await asyncio.sleep(0.5)
            runs = sum(len(replica.runs) for replica in bad)
            await asyncio.sleep(1)
            stop.set()
            await load
            self.assertEqual(sum(len(replica.runs) for replica in bad), runs)
            # Bad answers do not come in by the hundred while the entries agree again.
            self.assertLess(runs, 30)

    async def test_a_refusal_that_the_store_has_lost_is_written_again(self):
        async with ReturningFleet(entries=4) as fleet:
            await fleet.until_members_known()
            saved = fleet.store.copy()
            key = "fennelline/crash/0123456789abcdef"
            fleet.store.put(key, {"refusals": 3})
            await wait_until(lambda: all(entry.lines("content-refused") for entry in fleet.entries))
            await fleet.return_from(saved)
            await wait_until(lambda: fleet.store.read(key) is not None, 5, "the record is back")
            self.assertEqual(fleet.store.read(key), {"refusals": 3})

    async def test_an_era_that_cannot_be_read_or_that_falls_does_no_harm(self):
        async with ReturningFleet(entries=2) as fleet:
            await fleet.until_members_known()
            fleet.store.era = "many"
            fleet.rewrite(2)
            await fleet.until_version(2)
            fleet.store.era = 4
            fleet.rewrite(3)
            await fleet.until_version(3)
            fleet.store.era = 3
            await wait_until(lambda: any(entry.lines("store-era-ignored") for entry in fleet.entries))
            self.assertEqual(await fleet.statuses("/plain/", "r"), [200] * 2)
            fleet.store.era = 4
            fleet.rewrite(4)
            await fleet.until_version(4)
            self.assertLessEqual(sum(len(entry.lines("store-era-unreadable")) for entry in fleet.entries), 2)


if __name__ == "__main__":
    ReturningFleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
