"""Tests that entries send nothing to the servers of a data centre that is evacuated.

Run: evacuation.py BIN [CASE...]
"""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import KeptConnections, call, configuration, wait_until

EVENTS = "text/event-stream"
ZONE = "zone-b"
KEY = f"op/evacuate/{ZONE}"
# Time within which an entry that hears of an order must keep to it. The bound in the settings is
# 5 s; an entry applies an order as soon as it knows of it, and a delay of over 1 s costs.
FORCE_S = 1.0
# An entry believes what a copy of the store has so long after the store came back.
SETTLE_S = 5.6
REFUSED_AT_ONCE_S = 0.2
# Tries to let an order arrive between a request for a permit and its answer, 60 ms later at most.
TRIES = 20
# Fleets in which that is tried.
MOST_FLEETS = 5
LOG_FLUSH_S = 0.15
PATHS = (("/plain/x", ""), ("/once/x", ""), ("/stream/x", EVENTS))


class ZoneFleet(Fleet):
    """Two data centres, each with entries and with servers of both services."""

    async def start_store(self):
        self.store.era = 4
        await super().start_store()

    def entry_options(self, number):
        return {"zone": ("zone-a", ZONE)[number % 2]}

    async def add_replica(self, name, service, **more):
        replica = await self.start_replica(name, service, **more)
        replica.zone = ("zone-a", ZONE)[len(self.of(service)) % 2]
        replica.register()
        return replica

    def inside(self, service=None):
        return [replica for replica in self.replicas
                if replica.zone == ZONE and service in (None, replica.service)]

    def runs_inside(self, since=0.0):
        return [run["id"] for replica in self.inside() for run in replica.runs if run["at"] > since]

    def evacuate(self):
        self.store.put(KEY, {})
        return time.monotonic()

    def is_in_force(self, entry, state="begun"):
        return [line["state"] for line in entry.lines("evacuation")][-1:] == [state]

    async def until_in_force(self, state="begun"):
        await wait_until(lambda: all(self.is_in_force(entry, state) for entry in self.entries),
                         FORCE_S, f"the evacuation has {state} at every entry")

    async def send_all(self, name, turns=6):
        """Requests of each kind through each entry, together."""
        return await asyncio.gather(*(
            call(entry.address("front"), path, f"{name}-{turn}-{entry.name}-{path[1:3]}", accept=accept)
            for turn in range(turns) for entry in self.entries for path, accept in PATHS))

    async def gauge(self, entry, name):
        answer = await call(entry.address("control"), "/metrics", "m", method="GET")
        return next(float(line.split()[1]) for line in answer.body.decode().splitlines()
                    if line.startswith(name + " "))


class Evacuation(unittest.IsolatedAsyncioTestCase):
    def check_served(self, answers):
        self.assertEqual({(answer.status, answer.whole) for answer in answers}, {(200, True)})

    async def test_an_order_stops_all_requests_and_lets_what_runs_end(self):
        """Guards against any kind of request or entry that does not go by the order, streams that it
        cuts, and a data centre that stays out of use after the removal."""
        async with ZoneFleet(entries=4, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            self.check_served(await fleet.send_all("before"))
            self.assertTrue(fleet.runs_inside())
            for replica in fleet.of("pool"):
                replica.events, replica.work_s = 60, 0.05
            streams = asyncio.gather(*(call(entry.address("front"), "/stream/x", f"long-{number}-{entry.name}",
                                            accept=EVENTS, deadline_ms=8000)
                                       for number in range(6) for entry in fleet.entries))
            await asyncio.sleep(0.5)
            running = {run["id"] for replica in fleet.inside("pool") for run in replica.runs
                       if run["id"].startswith("long")}
            self.assertTrue(running, "streams run in the data centre")
            fleet.evacuate()
            await fleet.until_in_force()
            since = time.monotonic()
            self.assertEqual(sum([await fleet.gauge(entry, "fennelline_requests_in_evacuated_zones")
                                  for entry in fleet.entries]), len(running))
            for replica in fleet.of("pool"):
                replica.events = 5
            self.check_served(await fleet.send_all("during"))
            self.check_served(await streams)
            for request in running:
                self.assertEqual(len(fleet.runs(request)), 1, "a running stream was moved")
            self.assertEqual(fleet.runs_inside(since), [])
            for entry in fleet.entries:
                self.assertEqual(await fleet.gauge(entry, "fennelline_requests_in_evacuated_zones"), 0)
                self.assertEqual(await fleet.gauge(entry, "fennelline_evacuated_zones"), 1)
            fleet.store.delete(KEY)
            await fleet.until_in_force("ended")
            back = time.monotonic()
            self.check_served(await fleet.send_all("after"))
            self.assertTrue(fleet.runs_inside(back))

    async def test_retries_and_resumed_streams_stay_out(self):
        """Guards against a retry, a resumed stream or an escalation that goes by other rules than the first
        attempt."""
        async with ZoneFleet(entries=2, app=4, pool=6) as fleet:
            await fleet.until_members_known()
            fleet.evacuate()
            await fleet.until_in_force()
            outside = [replica for replica in fleet.replicas if replica.zone != ZONE]
            for replica in outside:
                replica.confidence = 5
            fleet.of("app")[1].fault = "shed"
            next(replica for replica in outside if replica.service == "pool").fault = "break"
            for turn in range(10):
                await fleet.send_all(f"r-{turn}", turns=1)
                await asyncio.gather(*(call(entry.address("front"), "/sized/x", f"sized-{turn}-{entry.name}",
                                            accept=EVENTS) for entry in fleet.entries))
            self.assertTrue(any(entry.lines("attempt-end") for entry in fleet.entries))
            self.assertTrue(any(entry.lines("escalate") for entry in fleet.entries))
            self.assertEqual(fleet.runs_inside(), [])

    async def test_a_request_that_was_chosen_for_a_server_but_not_written_goes_elsewhere(self):
        """Guards against requests that wait for a connection when the order arrives."""
        async with ZoneFleet(entries=1, app=4, pool=2) as fleet:
            entry = fleet.entries[0]
            callers = [KeptConnections() for _ in range(12)]
            for number, kept in enumerate(callers):
                await call(entry.address("front"), "/once/x", f"first-{number}", kept=kept)
            # The entry finds the requests first, and the order after it has chosen their servers.
            entry.signal(signal.SIGSTOP)
            requests = [asyncio.create_task(call(entry.address("front"), "/once/x", f"second-{number}", kept=kept))
                        for number, kept in enumerate(callers)]
            await asyncio.sleep(0.1)
            ordered = fleet.evacuate()
            await asyncio.sleep(0.1)
            entry.signal(signal.SIGCONT)
            self.check_served(await asyncio.gather(*requests))
            await fleet.until_in_force()
            self.assertTrue([line for line in entry.lines("attempt-end") if line["outcome"] == "not-sent"],
                            "a request waited for its connection when the order arrived")
            self.assertEqual(fleet.runs_inside(ordered), [])

    def permits_after_order(self, fleet, entry):
        """Permits for servers of the data centre that the entry got after it knew of the order."""
        names = {replica.name for replica in fleet.inside()}
        known_at = entry.lines("evacuation")[-1]["at"]
        return [line for line in entry.lines("permit")
                if line["granted"] and line["backend"] in names and line["at"] > known_at]

    async def is_granted_after_order(self):
        """Orders an evacuation while requests wait for permits; returns whether one was granted after it."""
        async with ZoneFleet(entries=2, app=8) as fleet:
            await fleet.until_members_known()
            # The entry in the data centre prefers the servers there.
            issuer, asking = fleet.entries
            for replica in fleet.of("app"):
                replica.limits = [400]
            granted = []
            for turn in range(TRIES):
                await fleet.send_all(f"learn-{turn}", turns=8)
                # The issuer stands still for less than the wait for a permit, and the order arrives meanwhile.
                issuer.signal(signal.SIGSTOP)
                requests = [asyncio.create_task(call(asking.address("front"), "/plain/x", f"p-{turn}-{number}"))
                            for number in range(16)]
                await asyncio.sleep(0.015)
                fleet.evacuate()
                await asyncio.sleep(0.02)
                since = time.monotonic()
                issuer.signal(signal.SIGCONT)
                # Without a permit, some are refused.
                self.assertLessEqual({answer.status for answer in await asyncio.gather(*requests)}, {200, 503})
                await fleet.until_in_force()
                await asyncio.sleep(LOG_FLUSH_S)
                known_at = asking.lines("evacuation")[-1]["at"] / 1000 - time.time() + time.monotonic()
                if known_at < since:
                    self.assertEqual(fleet.runs_inside(since), [])
                    granted += self.permits_after_order(fleet, asking)
                fleet.store.delete(KEY)
                await fleet.until_in_force("ended")
                if granted:
                    return True
        return False

    async def test_a_permit_granted_after_the_order_is_not_used(self):
        """Guards against requests that wait for a permit when the order arrives."""
        # Which entry issues a server's permits follows from random ids. In one fleet of 16 the asking entry issues
        # those of all servers in the data centre itself, and no request waits.
        for _ in range(MOST_FLEETS):
            if await self.is_granted_after_order():
                return
        self.fail("no permit was granted after the order")

    async def test_without_a_server_elsewhere_requests_are_refused_at_once(self):
        """Guards against requests that are held or sent there because no other server is left."""
        async with ZoneFleet(entries=2, app=2, pool=2) as fleet:
            await fleet.until_members_known()
            fleet.evacuate()
            fleet.store.put("op/evacuate/zone-a", {})
            await wait_until(lambda: all(len(entry.lines("evacuation")) == 2 for entry in fleet.entries), FORCE_S)
            since = time.monotonic()
            for answer in await fleet.send_all("refused", turns=2):
                self.assertEqual(answer.status, 503)
                self.assertLess(float(answer.headers["retry-after"]), 2.0)
                self.assertLess(answer.took_s, REFUSED_AT_ONCE_S)
            self.assertEqual([run for replica in fleet.replicas for run in replica.runs if run["at"] > since], [])
            await wait_until(lambda: all(entry.lines("refused") for entry in fleet.entries))
            self.assertEqual({line["servers"] for entry in fleet.entries for line in entry.lines("refused")},
                             {"evacuated:2"})

    async def test_a_request_that_waits_for_room_is_refused_when_the_order_arrives(self):
        """Guards against requests that wait for a server which is no longer to be used."""
        async with ZoneFleet(entries=1, app=1) as fleet:
            server = fleet.of("app")[0]
            server.brittle, server.slots, server.work_s = 3, 1, 0.8
            server.register()
            await call(fleet.front, "/plain/x", "learn")
            running = asyncio.create_task(call(fleet.front, "/plain/x", "running"))
            await wait_until(lambda: fleet.runs("running"))
            waiting = asyncio.create_task(call(fleet.front, "/plain/x", "waiting"))
            await asyncio.sleep(0.1)
            self.assertFalse(waiting.done(), "it waits for room")
            fleet.evacuate()
            answer = await waiting
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.took_s, 0.1 + REFUSED_AT_ONCE_S)
            self.check_served([await running])
            self.assertEqual(fleet.runs("waiting"), [])

    async def test_an_order_that_cannot_be_read_or_names_no_data_centre_changes_nothing(self):
        """Guards against damaged or mistaken keys that take servers out of service, or bring them back."""
        async with ZoneFleet(entries=2, app=2, pool=2) as fleet:
            await fleet.until_members_known()
            fleet.store.put(KEY, b"\xff{")
            fleet.store.put("op/evacuate/nowhere", {})
            fleet.store.put("op/evacuate/", {})
            await wait_until(lambda: all(len(entry.lines("evacuation-ignored")) == 2 and
                                         any(line["key"] == KEY for line in entry.lines("unreadable"))
                                         for entry in fleet.entries))
            self.check_served(await fleet.send_all("served"))
            self.assertTrue(fleet.runs_inside())
            fleet.evacuate()
            await fleet.until_in_force()
            fleet.store.put(KEY, b"[]")
            # A record that no longer says where its server is does not take it out of the data centre.
            for replica in fleet.inside():
                fleet.store.put(f"servers/{replica.name}", {**replica.entry(), "zone": ""})
            await wait_until(lambda: all(len(entry.lines("unreadable")) == 2 and
                                         entry.lines("backend")[-1]["zone"] == "" for entry in fleet.entries))
            since = time.monotonic()
            self.check_served(await fleet.send_all("still"))
            self.assertEqual(fleet.runs_inside(since), [])

    async def test_settings_without_the_bound_ignore_the_order_until_they_have_it(self):
        """Guards against deployments without evacuations that obey a key, and a bound that a reload brings."""
        async with ZoneFleet(entries=1, app=2, pool=2) as fleet:
            entry = fleet.entries[0]
            entry.evacuate_ms = None
            entry.write_settings()
            await wait_until(lambda: entry.lines("reload"))
            fleet.evacuate()
            await wait_until(lambda: entry.lines("evacuation-ignored"))
            self.check_served(await fleet.send_all("served"))
            self.assertTrue(fleet.runs_inside())
            entry.evacuate_ms = 5000
            entry.write_settings()
            await wait_until(lambda: fleet.is_in_force(entry), 3.0)
            since = time.monotonic()
            self.check_served(await fleet.send_all("later"))
            self.assertEqual(fleet.runs_inside(since), [])

    async def test_orders_reach_entries_that_start_and_pass_compactions_and_outages(self):
        """Guards against an entry that starts without the order, and orders lost with the store's history."""
        async with ZoneFleet(entries=3, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            fleet.evacuate()
            await fleet.until_in_force()
            since = time.monotonic()
            fleet.store.compact()
            fleet.store.go_away()
            self.check_served(await fleet.send_all("away", turns=2))
            fleet.store.mode = "up"
            new = await fleet.add_entry().start()
            await fleet.until_ready(new)
            self.check_served(await fleet.send_all("new", turns=2))
            self.assertEqual(fleet.runs_inside(since), [])
            # Taken back and given again while the store's history is compacted: the newest counts.
            fleet.store.go_away()
            fleet.store.delete(KEY)
            fleet.store.put(KEY, {})
            fleet.store.delete(KEY)
            fleet.store.compact()
            fleet.store.mode = "up"
            await wait_until(lambda: all(fleet.is_in_force(entry, "ended") for entry in fleet.entries), 5.0)

    async def until_era_known(self, fleet):
        await wait_until(lambda: all(entry.lines("store-returned") and
                                     entry.lines("store-returned")[-1]["era"] == fleet.store.era
                                     for entry in fleet.entries), 3.0, "every entry knows the new era")

    async def test_an_evacuation_that_the_copy_lacks_stays_in_force(self):
        """Guards against requests sent there after the store came back from a copy without the order, also
        by an entry that starts then."""
        async with ZoneFleet(entries=3, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            saved = fleet.store.copy()
            fleet.evacuate()
            await fleet.until_in_force()
            since = time.monotonic()
            fleet.store.come_back_from(saved)
            await self.until_era_known(fleet)
            new = await fleet.add_entry().start()
            await fleet.until_ready(new)
            self.check_served(await fleet.send_all("copy"))
            # The operators write it again, under a lower revision than before.
            fleet.evacuate()
            await fleet.until_in_force()
            await asyncio.sleep(SETTLE_S)
            self.check_served(await fleet.send_all("settled"))
            self.assertEqual(fleet.runs_inside(since), [])
            fleet.store.delete(KEY)
            await fleet.until_in_force("ended")

    async def test_what_only_the_copy_has_or_lacks_counts_once_the_store_has_settled(self):
        """Guards against an order of an old copy that empties a data centre, and one that is never believed."""
        async with ZoneFleet(entries=2, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            fleet.evacuate()
            await fleet.until_in_force()
            saved = fleet.store.copy()
            fleet.store.delete(KEY)
            await fleet.until_in_force("ended")
            fleet.store.come_back_from(saved)
            returned = time.monotonic()
            await self.until_era_known(fleet)
            self.check_served(await fleet.send_all("copy"))
            self.assertTrue(fleet.runs_inside(returned), "an order that was removed is not applied")
            # Nobody writes it again, so it holds.
            await wait_until(lambda: all(fleet.is_in_force(entry) for entry in fleet.entries), SETTLE_S + 2.0)
            self.assertGreater(time.monotonic() - returned, SETTLE_S - 1.0)
            since = time.monotonic()
            self.check_served(await fleet.send_all("settled"))
            self.assertEqual(fleet.runs_inside(since), [])
            # The next copy was made before the order, which nobody writes again.
            saved = fleet.store.copy()
            saved[0].pop(KEY)
            fleet.store.come_back_from(saved)
            await wait_until(lambda: all(fleet.is_in_force(entry, "ended") for entry in fleet.entries),
                             SETTLE_S + 3.0)

    async def test_an_order_of_the_copy_that_this_entry_never_heard_of_holds_at_once(self):
        """Guards against an order that waits for the store to settle although nobody has removed it."""
        async with ZoneFleet(entries=2, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            fleet.store.go_away()
            fleet.evacuate()
            fleet.store.put("op/config", configuration(2))
            saved = fleet.store.copy()
            fleet.store.put("op/config", configuration(3))
            await asyncio.sleep(0.3)
            fleet.store.come_back_from(saved)
            returned = time.monotonic()
            await wait_until(lambda: all(fleet.is_in_force(entry) for entry in fleet.entries), SETTLE_S - 2.0)
            since = time.monotonic()
            self.assertLess(since - returned, SETTLE_S - 2.0)
            self.check_served(await fleet.send_all("served"))
            self.assertEqual(fleet.runs_inside(since), [])


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
