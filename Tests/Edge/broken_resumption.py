"""Tests streams that broke off and whose next server answers with something else.

Run: broken_resumption.py BIN [CASE...]
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Replica, call, configuration

EVENTS = "text/event-stream"
ERROR = b'event: error\ndata: {"error":"overloaded"}\n\n'

FOREIGN = {
    "error-event": [ERROR],
    "comment": [b": still there\n\n"],
    "plain-text": [b"upstream error\n\ntry later\n\n"],
    "whole-head": [b"HTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\nfailed"],
    "unfinished-text": [b"upstream error"],
    "error-in-parts": [b"event: err", b"or\ndata: x\n", b"\n"],
    "id-that-is-no-number": [b"id: none\ndata: x\n\n"],
}


def genuine(request, count):
    return b"".join(Replica.event_of(request, number) for number in range(1, count + 1))


class BrokenResumption(unittest.IsolatedAsyncioTestCase):
    async def stream(self, fleet, resumption, request):
        """The first server of the stream breaks off, the others resume it with the given parts."""
        for replica in fleet.of("pool"):
            replica.runs.clear()
            replica.resumption = resumption
            replica.fault = "break"
        return await call(fleet.front, "/stream/", request, accept=EVENTS)

    async def test_what_is_no_event_of_the_stream_neither_reaches_the_caller_nor_ends_it(self):
        async with Fleet(entries=1, pool=2) as fleet:
            for name, parts in FOREIGN.items():
                with self.subTest(name):
                    answer = await self.stream(fleet, parts, f"r-{name}")
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.body, genuine(f"r-{name}", 2))
                    self.assertFalse(answer.whole)

    async def test_a_stream_that_may_not_be_resumed_is_passed_on_from_its_beginning(self):
        class WholeReplica(Replica):
            async def stream(self, run, seal, fault, writer):
                await super().stream({**run, "first": 1}, seal, fault, writer)

        async with Fleet(entries=1, pool=0) as fleet:
            replica = await WholeReplica(fleet.store, "i-whole", "pool").start()
            fleet.replicas.append(replica)
            replica.register()
            document = configuration(2)
            for route in document["routes"]:
                route["resumable"] = False
            fleet.store.put("op/config", document)
            await fleet.until_version(2)
            answer = await call(fleet.front, "/stream/", "r1", accept=EVENTS,
                                headers=[("Last-Event-Id", "3")])
            self.assertEqual((answer.status, answer.body, answer.whole), (200, genuine("r1", 5), True))

    async def test_events_before_an_error_reach_the_caller_and_the_error_does_not(self):
        async with Fleet(entries=1, pool=2) as fleet:
            answer = await self.stream(fleet, [Replica.event_of("r1", 3) + ERROR], "r1")
            self.assertEqual(answer.body, genuine("r1", 3))
            self.assertFalse(answer.whole)

    async def test_a_third_server_goes_on_after_an_error_of_the_second(self):
        async with Fleet(entries=1, pool=3) as fleet:
            servers = fleet.of("pool")
            for replica in servers:
                replica.resumption = [ERROR]
                replica.fault = "break"

            def recover_for_third_run(replica, send_stream):
                async def stream(run, seal, fault, writer):
                    if len(fleet.runs("r1")) >= 3:
                        replica.resumption, fault = None, None
                    await send_stream(run, seal, fault, writer)
                return stream
            for replica in servers:
                replica.stream = recover_for_third_run(replica, replica.stream)
            answer = await call(fleet.front, "/stream/", "r1", accept=EVENTS)
            self.assertEqual(answer.body, genuine("r1", 5))
            self.assertTrue(answer.whole)

    async def test_a_resumption_without_further_events_ends_the_stream(self):
        async with Fleet(entries=1, pool=2) as fleet:
            for replica in fleet.of("pool"):
                replica.events = 2
                replica.fault = "break"
                replica.resumption = []
            answer = await call(fleet.front, "/stream/", "r1", accept=EVENTS)
            self.assertEqual((answer.body, answer.whole), (genuine("r1", 1), True))


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
