"""Tests that servers which say in their answers that they leave, or want to be left alone for a while, get no requests.

Run: server_wishes.py BIN [CASE...]
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
# The platform's rule: an entry that has passed on such an answer sends the server nothing that a caller sends later
# than this. These entries keep to it from the next request on.
DRAIN_S = 2.0
# A rejection with a wait binds the entry from this long after it.
NOTICE_S = 0.5
# Requests that an entry may send within the wait all the same.
MOST_IN_WAIT = 2
# Part of the requests that must be served while other servers are free.
LEAST_SERVED = 0.99


def is_served(answer):
    return answer.status == 200 and answer.whole


class Traffic:
    """Requests sent to the entries in turn; knows which entry passed on which server's answers."""

    def __init__(self, fleet, path, accept):
        self.fleet = fleet
        self.path = path
        self.accept = accept
        self.sent = {}
        self.answers = {}

    async def send_one(self, number, entry):
        request = f"r{len(self.sent)}"
        self.sent[request] = (number, time.monotonic())
        self.answers[request] = await call(entry.address("front"), self.path, request,
                                           accept=self.accept, deadline_ms=6000)

    async def send(self, rate, seconds, entries=None):
        tasks = []
        start = time.monotonic()
        entries = entries or list(range(len(self.fleet.entries)))
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
            which = entries[number % len(entries)]
            tasks.append(asyncio.create_task(self.send_one(which, self.fleet.entries[which])))
        await asyncio.gather(*tasks)

    def first_passed_on(self, server):
        """When each entry first passed on an answer of the server that says that it leaves."""
        first = {}
        for request, answer in self.answers.items():
            entry, sent_at = self.sent[request]
            is_from = answer.headers.get("fennelline-response-seal") == f"seal-{server.name}"
            if is_from and "server-leaving" in answer.headers:
                first[entry] = min(first.get(entry, 1e18), sent_at + answer.took_s)
        return first

    def arrivals(self, server):
        """The entry and time of sending of the requests that the server got."""
        return [self.sent[run["id"]] for run in server.runs + server.refused]

    def served_share(self):
        return sum(map(is_served, self.answers.values())) / len(self.answers)


class ServerWishes(unittest.IsolatedAsyncioTestCase):
    def check_left_alone(self, traffic, server, after_s=0.0):
        first = traffic.first_passed_on(server)
        self.assertTrue(first, "an entry passed such an answer on")
        late = [(entry, at) for entry, at in traffic.arrivals(server)
                if at > first.get(entry, 1e18) + after_s]
        self.assertEqual(late, [])

    async def check_leaving(self, path, accept="", entries=3, service="app"):
        async with Fleet(entries=entries, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            server = fleet.of(service)[0]
            traffic = Traffic(fleet, path, accept)
            await traffic.send(60, 1.0)
            server.says_leaving = True
            await traffic.send(60, 4.0)
            self.check_left_alone(traffic, server)
            self.assertGreaterEqual(traffic.served_share(), LEAST_SERVED)

    async def test_a_server_that_says_it_leaves_gets_no_plain_requests(self):
        await self.check_leaving("/plain/x")

    async def test_a_server_that_says_it_leaves_gets_no_requests_that_cannot_be_repeated(self):
        await self.check_leaving("/once/x")

    async def test_a_server_that_says_it_leaves_gets_no_streams(self):
        await self.check_leaving("/stream/x", EVENTS, service="pool")

    async def test_a_server_that_says_it_leaves_gets_no_requests_of_a_single_entry(self):
        await self.check_leaving("/plain/x", entries=1)

    async def test_a_server_that_says_so_while_it_turns_requests_away_or_fails_them_is_left_alone(self):
        for fault in ("shed", "error"):
            with self.subTest(fault):
                async with Fleet(entries=1, app=3) as fleet:
                    server = fleet.of("app")[0]
                    server.says_leaving, server.fault = True, fault
                    traffic = Traffic(fleet, "/plain/x", "")
                    await traffic.send(60, 2.0)
                    self.assertEqual(len(traffic.arrivals(server)), 1)
                    self.assertGreaterEqual(traffic.served_share(), LEAST_SERVED)

    async def test_entries_that_got_no_such_answer_learn_it_from_the_others(self):
        async with Fleet(entries=3, app=3) as fleet:
            await fleet.until_members_known()
            server = fleet.of("app")[0]
            server.says_leaving = True
            traffic = Traffic(fleet, "/plain/x", "")
            await traffic.send(60, 0.5, entries=[0])
            before = len(traffic.arrivals(server))
            self.assertGreater(before, 0)
            await wait_until(lambda: all(entry.lines("server-leaving") for entry in fleet.entries))
            await traffic.send(60, 2.0, entries=[1, 2])
            self.assertEqual(len(traffic.arrivals(server)), before)

    async def test_a_server_that_says_it_leaves_is_left_alone_through_an_outage_and_older_entries(self):
        async with Fleet(entries=2, app=3) as fleet:
            await fleet.until_members_known()
            server = fleet.of("app")[0]
            server.says_leaving = True
            traffic = Traffic(fleet, "/plain/x", "")
            await traffic.send(60, 1.0)
            fleet.store.mode = "silent"
            await traffic.send(60, 2.0)
            fleet.store.mode = "up"
            fleet.store.delete(f"servers/{server.name}")
            await traffic.send(60, 1.0)
            # An older entry of the same start of the server.
            server.register()
            await traffic.send(60, 2.0)
            self.check_left_alone(traffic, server)
            self.assertGreaterEqual(traffic.served_share(), LEAST_SERVED)

    async def test_a_server_that_left_and_started_again_under_its_id_is_used(self):
        async with Fleet(entries=2, app=3) as fleet:
            await fleet.until_members_known()
            server = fleet.of("app")[0]
            server.says_leaving = True
            traffic = Traffic(fleet, "/plain/x", "")
            await traffic.send(60, 1.0)
            before = len(traffic.arrivals(server))
            server.says_leaving = False
            server.born += 1000
            server.register()
            await traffic.send(60, 2.0)
            self.assertGreater(len(traffic.arrivals(server)), before + 20)

    async def test_callers_are_refused_at_once_if_all_servers_say_that_they_leave(self):
        async with Fleet(entries=1, app=2) as fleet:
            for server in fleet.of("app"):
                server.says_leaving = True
            traffic = Traffic(fleet, "/plain/x", "")
            await traffic.send(40, 1.0)
            refused = [answer for answer in traffic.answers.values() if answer.status == 503]
            self.assertEqual(len(refused), len(traffic.answers) - 2)
            self.assertTrue(all(float(answer.headers["retry-after"]) > 0 for answer in refused))
            self.assertLess(max(answer.took_s for answer in refused), 0.5)

    async def check_wait(self, path, accept="", service="app"):
        wait_s = 3.0
        async with Fleet(entries=3, app=4, pool=4) as fleet:
            await fleet.until_members_known()
            server = fleet.of(service)[0]
            traffic = Traffic(fleet, path, accept)
            await traffic.send(60, 0.5)
            server.fault, server.retry_after = "shed", wait_s
            began = time.monotonic()
            await traffic.send(60, wait_s)
            told = {}
            for rejection in server.refused:
                entry = traffic.sent[rejection["id"]][0]
                told.setdefault(entry, rejection["at"])
            self.assertEqual(len(told), 3)
            for entry, at in told.items():
                within = [rejection for rejection in server.refused
                          if traffic.sent[rejection["id"]][0] == entry
                          and at + NOTICE_S < rejection["at"] < at + wait_s]
                self.assertLessEqual(len(within), MOST_IN_WAIT)
            server.fault = None
            runs = len(server.runs)
            await traffic.send(60, 4.0)
            self.assertGreater(len(server.runs), runs + 10, "it is used again after the wait")
            self.assertGreaterEqual(traffic.served_share(), LEAST_SERVED)
            self.assertLess(began, time.monotonic())

    async def test_a_server_that_asks_to_be_left_alone_gets_no_plain_requests(self):
        await self.check_wait("/plain/x")

    async def test_a_server_that_asks_to_be_left_alone_gets_no_requests_that_cannot_be_repeated(self):
        await self.check_wait("/once/x")

    async def test_a_server_that_asks_to_be_left_alone_gets_no_streams(self):
        await self.check_wait("/stream/x", EVENTS, service="pool")

    async def test_callers_are_told_when_the_first_of_the_servers_wants_to_be_asked_again(self):
        async with Fleet(entries=1, app=2) as fleet:
            for server, wait_s in zip(fleet.of("app"), (3.0, 6.0)):
                server.fault, server.retry_after = "shed", wait_s
            traffic = Traffic(fleet, "/plain/x", "")
            await traffic.send(40, 1.0)
            answers = list(traffic.answers.values())[4:]
            self.assertEqual({answer.status for answer in answers}, {503})
            self.assertLess(max(answer.took_s for answer in answers), 0.5)
            waits = [float(answer.headers["retry-after"]) for answer in answers]
            self.assertGreater(min(waits), 1.5)
            self.assertLess(max(waits), 5.0)
            self.assertEqual(sum(len(server.refused) for server in fleet.of("app")), 2)

    async def test_the_entries_do_not_all_return_at_the_same_moment(self):
        async with Fleet(entries=5, app=3) as fleet:
            await fleet.until_members_known()
            server = fleet.of("app")[0]
            server.fault, server.retry_after = "shed", 2.0
            traffic = Traffic(fleet, "/plain/x", "")
            await traffic.send(200, 1.0)
            server.fault = None
            await traffic.send(200, 4.0)
            back = {}
            for run in server.runs:
                back.setdefault(traffic.sent[run["id"]][0], run["at"])
            self.assertEqual(len(back), 5)
            first = {}
            for rejection in server.refused:
                first.setdefault(traffic.sent[rejection["id"]][0], rejection["at"])
            delays = sorted(back[entry] - first[entry] - 2.0 for entry in back)
            self.assertGreater(delays[0], -0.05)
            self.assertGreater(delays[-1] - delays[0], 0.05)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
