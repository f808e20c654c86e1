"""Tests that backend servers which name a limit on requests get no more than that, from all entries together.

Run: server_limit.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import call, wait_until

EVENTS = "text/event-stream"
# The platform's rule: in any window of this length, half as much again as the limit allows and five more.
WINDOW_S = 4.0
# An entry has to keep to the limit this long after it first passed on an answer that named it.
NOTICE_S = 0.5
# Of the requests that a limit allows, the part that must be used while there are enough.
LEAST_USED = 0.7


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def arrivals(server):
    return sorted(run["at"] for run in server.runs + server.refused)


def most_in_window(times):
    return max((sum(1 for at in times if start <= at < start + WINDOW_S) for start in times), default=0)


def is_served(answer):
    return answer.status == 200 and answer.whole


class ServerLimit(unittest.IsolatedAsyncioTestCase):
    async def send(self, fleet, rate, seconds, path="/plain/x", prefix="r", accept="", **more):
        """Sends requests at this rate to the entries in turn; returns their answers."""
        calls = []
        start = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
            entry = fleet.entries[number % len(fleet.entries)]
            calls.append(asyncio.create_task(call(entry.address("front"), path, f"{prefix}-{number}",
                                                  accept=accept, **more)))
        return await asyncio.gather(*calls)

    def check_limits(self, servers, since):
        for server in servers:
            times = [at for at in arrivals(server) if at >= since + NOTICE_S]
            self.assertLessEqual(most_in_window(times), allowed(server.limits[0]), server.name)

    async def check_all_limited(self, entries, limits, path="/plain/x", service="app", **more):
        """All servers name limits, far below the load. They are used, and what is left is refused at once."""
        async with Fleet(entries=entries, **{service: len(limits)}) as fleet:
            await fleet.until_members_known()
            servers = fleet.of(service)
            for server, limit in zip(servers, limits):
                server.limits = [limit]
            # Each entry passes on an answer of each server.
            await self.send(fleet, 100, 0.3 * entries, path, "first", **more)
            since, seconds = time.monotonic(), 8.0
            answers = await self.send(fleet, 40, seconds, path, **more)
            self.check_limits(servers, since)
            refused = [answer for answer in answers if answer.status == 503]
            self.assertEqual(len(refused) + sum(map(is_served, answers)), len(answers))
            self.assertTrue(all(float(answer.headers["retry-after"]) > 0 for answer in refused))
            self.assertLess(max(answer.took_s for answer in refused), 0.5)
            used = sum(map(is_served, answers))
            self.assertGreaterEqual(used, LEAST_USED * sum(limits) * seconds)

    async def test_servers_with_a_limit_get_no_more_from_one_entry(self):
        await self.check_all_limited(1, [2, 2, 2])

    async def test_servers_with_a_limit_get_no_more_from_three_entries_together(self):
        await self.check_all_limited(3, [1.9, 1, 4])

    async def test_servers_with_a_limit_get_no_more_from_five_entries_together(self):
        await self.check_all_limited(5, [4, 4, 2.5])

    async def test_servers_with_a_limit_get_no_more_requests_that_cannot_be_repeated(self):
        await self.check_all_limited(3, [2, 2], path="/once/x")

    async def test_servers_with_a_limit_get_no_more_streams_also_with_retries_and_escalations(self):
        async with Fleet(entries=3, pool=3) as fleet:
            await fleet.until_members_known()
            for server, fault in zip(fleet.of("pool"), ("break", "lost", "shed")):
                server.limits, server.fault, server.confidence = [2], fault, 10
            await self.send(fleet, 100, 0.9, "/sized/x", "first", EVENTS,
                            headers=[("Fennelline-Model", "*")])
            since = time.monotonic()
            await self.send(fleet, 40, 6.0, "/sized/x", "r", EVENTS, headers=[("Fennelline-Model", "*")])
            self.check_limits([server for server in fleet.of("pool") if server.fault != "lost"], since)

    async def test_callers_notice_nothing_while_another_server_is_free(self):
        async with Fleet(entries=3, app=3) as fleet:
            await fleet.until_members_known()
            limited = fleet.of("app")[0]
            limited.limits = [1]
            await self.send(fleet, 100, 0.6, prefix="first")
            since = time.monotonic()
            answers = await self.send(fleet, 40, 6.0)
            self.check_limits([limited], since)
            self.assertEqual([answer.status for answer in answers if not is_served(answer)], [])

    async def test_a_server_that_no_longer_names_a_limit_is_used_as_before(self):
        async with Fleet(entries=2, app=2) as fleet:
            await fleet.until_members_known()
            limited, free = fleet.of("app")
            limited.limits = [0.5]
            await self.send(fleet, 100, 0.4, prefix="first")
            limited.limits = []
            await self.send(fleet, 20, 6.0, prefix="while")
            before = len(arrivals(limited))
            await self.send(fleet, 40, 2.0, prefix="after")
            self.assertGreater(len(arrivals(limited)) - before, 20)

    async def test_a_limit_of_zero_is_kept_and_asked_for_again(self):
        async with Fleet(entries=3, app=2) as fleet:
            await fleet.until_members_known()
            limited, _ = fleet.of("app")
            limited.limits = [0]
            await self.send(fleet, 100, 0.6, prefix="first")
            since = time.monotonic()
            answers = await self.send(fleet, 40, 8.0)
            self.check_limits([limited], since)
            self.assertTrue(all(map(is_served, answers)))
            self.assertTrue([at for at in arrivals(limited) if at > since + NOTICE_S])

    async def test_unreadable_limits_are_logged_once_and_change_nothing(self):
        async with Fleet(entries=1, app=1) as fleet:
            server, = fleet.of("app")
            for limits in (["many"], ["-1"], ["nan"], ["inf"], ["1e999"], [""], ["many", "x" * 500]):
                server.limits = limits
                answers = await self.send(fleet, 50, 0.2, prefix=f"odd-{len(server.runs)}")
                self.assertTrue(all(map(is_served, answers)), limits)
            self.assertEqual(len(fleet.entries[0].lines("server-limit-unreadable")), 1)
            self.assertEqual(fleet.entries[0].lines("server-limit"), [])

    async def test_of_two_limits_in_an_answer_the_lower_one_counts(self):
        async with Fleet(entries=1, app=1) as fleet:
            server, = fleet.of("app")
            server.limits = [1e300, 3]
            await call(fleet.front, "/plain/x", "first")
            server.limits = [3]
            since = time.monotonic()
            await self.send(fleet, 40, 5.0)
            self.check_limits([server], since)

    async def test_a_limit_that_changes_with_each_answer_is_followed(self):
        async with Fleet(entries=3, app=2) as fleet:
            await fleet.until_members_known()
            server = fleet.of("app")[0]
            server.limits = [2]
            await self.send(fleet, 100, 0.6, prefix="first")
            since, highest = time.monotonic(), 3.0
            task = asyncio.create_task(self.send(fleet, 40, 6.0))
            while not task.done():
                server.limits = [1.0 + len(server.runs) % 3]
                await asyncio.sleep(0.01)
            answers = await task
            server.limits = [highest]
            self.check_limits([server], since)
            self.assertTrue(all(map(is_served, answers)))

    async def test_a_limit_in_an_answer_that_is_not_the_servers_own_is_ignored(self):
        async with Fleet(entries=1, app=2) as fleet:
            for server in fleet.of("app"):
                server.limits, server.fault = [1], "unsealed"
            await self.send(fleet, 20, 0.5, prefix="unsealed")
            for server in fleet.of("app"):
                server.limits, server.fault = [], None
            self.assertEqual(fleet.entries[0].lines("server-limit"), [])

    async def test_a_server_that_starts_again_under_its_id_is_not_limited(self):
        async with Fleet(entries=1, app=1) as fleet:
            server, = fleet.of("app")
            server.limits = [0.5]
            await self.send(fleet, 20, 1.0, prefix="first")
            server.limits = []
            server.born += 1000
            server.register()
            await wait_until(lambda: len([line for line in fleet.entries[0].lines("backend")
                                          if line["backend"] == server.name]) == 2)
            answers = await self.send(fleet, 20, 1.0, prefix="after")
            self.assertTrue(all(map(is_served, answers)))

    async def test_limits_are_kept_while_the_entries_are_killed_in_turn(self):
        async with Fleet(entries=4, app=2) as fleet:
            await fleet.until_members_known()
            for server in fleet.of("app"):
                server.limits = [3]
            await self.send(fleet, 100, 1.2, prefix="first")
            since = time.monotonic()
            task = asyncio.create_task(self.send(fleet, 40, 10.0))
            for entry in fleet.entries[:2]:
                await asyncio.sleep(1.0)
                await entry.end()
                await asyncio.sleep(2.0)
                ready = len(entry.lines("ready"))
                await entry.start()
                await wait_until(lambda e=entry, n=ready: len(e.lines("ready")) > n)
            await task
            self.check_limits(fleet.of("app"), since)

    async def test_the_limit_reaches_the_caller_with_the_servers_other_headers(self):
        async with Fleet(entries=1, app=1) as fleet:
            fleet.of("app")[0].limits = [2]
            answer = await call(fleet.front, "/plain/x", "r1")
            self.assertEqual((answer.status, answer.headers["server-limit"]), (200, "2"))


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
