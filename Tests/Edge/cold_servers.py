"""Tests that cold backend servers get no more than their bound, from all entries together.

Run: cold_servers.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
import fleet as fleets
from fleet import Fleet
from standin import Entry, call, configuration, wait_until

PER_S, OVERAGE, SLACK, START_S = 7.6, 1.5, 5, 3.0
BOUND = PER_S * OVERAGE + SLACK
# Of the rate that the bound allows, the part that must be used while there are enough requests. The
# decision is checked for 0.8 in simulated time; these processes share a busy machine.
LEAST_USED = 0.7


def cold_configuration(version, **more):
    document = configuration(version, **more)
    for service in document["backends"]:
        service.update({"cold-start-s": START_S, "cold-per-s": PER_S})
    return document


def arrivals(server):
    return sorted(run["at"] for run in server.runs + server.refused)


def most_in_a_second(times):
    return max((sum(1 for at in times if start <= at < start + 1.0) for start in times), default=0)


class ColdServers(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        Entry.bounds = {"cold-overage": OVERAGE, "cold-slack": SLACK}
        fleets.configuration = cold_configuration

    def tearDown(self):
        Entry.bounds = {}
        fleets.configuration = configuration

    async def send(self, fleet, rate, seconds, path="/plain/x", prefix="r", **more):
        calls = []
        start = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
            entry = fleet.entries[number % len(fleet.entries)]
            calls.append(asyncio.create_task(call(entry.address("front"), path, f"{prefix}-{number}", **more)))
        return await asyncio.gather(*calls)

    def check_bound(self, server, since=0.0):
        times = [at for at in arrivals(server) if at >= since]
        self.assertLessEqual(most_in_a_second(times), BOUND, server.name)

    async def until_cold(self, fleet, server):
        await wait_until(lambda: all(any(line["backend"] == server.name for line in entry.lines("server-cold"))
                                     for entry in fleet.entries), 5, "every entry knows that it is cold")

    async def test_a_server_that_is_added_is_not_rushed_to_and_callers_notice_nothing(self):
        """Guards against 17 to 20 requests a second to a server that looks empty to all entries."""
        async with Fleet(entries=5, app=5) as fleet:
            await fleet.until_members_known()
            await asyncio.sleep(2.0)
            load = asyncio.create_task(self.send(fleet, 60, 5.0))
            await asyncio.sleep(1.0)
            added = await fleet.start_replica("i-app-new", "app")
            added.cold_left_ms = 3000
            since = time.monotonic()
            added.register()
            answers = await load
            self.assertTrue(all(answer.status == 200 for answer in answers))
            times = [at for at in arrivals(added) if at < since + START_S]
            self.assertLessEqual(most_in_a_second(times), BOUND)

    async def test_cold_servers_get_what_they_may_and_the_rest_is_refused_at_once(self):
        """Guards against starved cold servers, and against requests that are held, where all are cold."""
        async with Fleet(entries=3, app=2) as fleet:
            await fleet.until_members_known()
            await asyncio.sleep(1.0)
            servers = fleet.of("app")
            for server in servers:
                server.cold_left_ms = 8000
                server.register()
            for server in servers:
                await self.until_cold(fleet, server)
            since, seconds = time.monotonic(), 5.0
            answers = await self.send(fleet, 100, seconds)
            for server in servers:
                self.check_bound(server, since)
            served = [answer for answer in answers if answer.status == 200]
            refused = [answer for answer in answers if answer.status == 503]
            self.assertEqual(len(served) + len(refused), len(answers))
            self.assertGreaterEqual(len(served), LEAST_USED * PER_S * OVERAGE * len(servers) * seconds)
            self.assertTrue(all(float(answer.headers["retry-after"]) > 0 for answer in refused))
            self.assertLess(max(answer.took_s for answer in refused), 0.5)

    async def test_coldness_that_one_answer_tells_of_is_known_to_all_entries(self):
        """Guards against entries that wait for the record, which comes up to 2 s later."""
        async with Fleet(entries=3, app=2) as fleet:
            await fleet.until_members_known()
            server = fleet.of("app")[0]
            server.cold_ms = [1500]
            await self.send(fleet, 50, 0.2, prefix="first")
            await self.until_cold(fleet, server)

    async def test_unreadable_coldness_is_logged_once_and_changes_nothing(self):
        """Guards against a server that is shunned, or a log that is flooded, for a malformed header."""
        async with Fleet(entries=1, app=1) as fleet:
            server, = fleet.of("app")
            for values in (["soon"], ["-1"], ["nan"], ["inf"], [""]):
                server.cold_ms = values
                answers = await self.send(fleet, 50, 0.2, prefix=f"odd-{len(server.runs)}")
                self.assertTrue(all(answer.status == 200 for answer in answers), values)
            self.assertEqual(len(fleet.entries[0].lines("server-cold-unreadable")), 1)
            self.assertEqual(fleet.entries[0].lines("server-cold"), [])

    async def test_where_all_servers_get_many_requests_none_is_refused(self):
        """Guards against a bound for servers that are not cold: 60 requests a second at two servers."""
        async with Fleet(entries=3, app=2) as fleet:
            await fleet.until_members_known()
            await asyncio.sleep(1.0)
            answers = await self.send(fleet, 60, 4.0)
            self.assertTrue(all(answer.status == 200 for answer in answers))

    async def test_a_server_that_turns_cold_unknown_to_all_gets_no_burst(self):
        """Guards against a burst to one server while others are free: all entries prefer its prefix."""
        async with Fleet(entries=5, pool=6) as fleet:
            await fleet.until_members_known()
            await asyncio.sleep(1.0)
            answers = await self.send(fleet, 25, 4.0, "/stream/x", accept="text/event-stream", headers=[
                ("Fennelline-Prompt-Prefix", "a1:3000,b2:10"), ("Fennelline-Token-Usage", "3010,5")])
            self.assertTrue(all(answer.status == 200 for answer in answers))
            for server in fleet.of("pool"):
                self.check_bound(server)

    async def test_without_the_bound_or_the_configuration_nothing_is_cold(self):
        """Guards against any change for deployments that do not configure it."""
        Entry.bounds = {}
        async with Fleet(entries=1, app=1) as fleet:
            server, = fleet.of("app")
            server.cold_left_ms, server.cold_ms = 5000, [5000]
            server.register()
            answers = await self.send(fleet, 60, 2.0)
            self.assertTrue(all(answer.status == 200 for answer in answers))
            self.assertEqual(fleet.entries[0].lines("permit"), [])


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
