"""Tests that streams which send bytes but no events count as stalled, and slow but sound ones do not.

Run: trickling_server.py BIN [CASE...]
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
# Bytes that are no progress, sent again and again.
TRICKLES = {"comment": b": ping\n\n", "comment line": b":\n", "blank line": b"\n", "half event": b"d"}
TRICKLE_INTERVAL_S = 0.1
# Between the events of a slow stream; the route allows 1 s.
PAUSE_S = 0.95
DEADLINE_MS = 4000
# Of a server that is slow; the routes have an objective of 1 s and time limits of 3 and 8 s.
SLOW_WORK_S = 1.1


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class TricklingServer(unittest.IsolatedAsyncioTestCase):
    def trickle(self, replica, data, events_before):
        """Lets the server answer streams with some events and then only with data."""
        async def stream(run, seal, _, writer):
            writer.write(replica.stream_head(seal))
            for number in range(1, events_before + 1):
                writer.write(chunk(replica.event_of(run["id"], number)))
            while not writer.transport.is_closing():
                writer.write(chunk(data))
                await asyncio.sleep(TRICKLE_INTERVAL_S)

        replica.stream = stream

    async def test_a_stream_that_only_trickles_is_left_for_another_server(self):
        for name, data in TRICKLES.items():
            with self.subTest(name):
                async with Fleet(pool=1) as fleet:
                    trickling = fleet.of("pool")[0]
                    self.trickle(trickling, data, 0)
                    answered = asyncio.create_task(call(fleet.front, "/stream/", "s1", accept=EVENTS,
                                                        deadline_ms=DEADLINE_MS))
                    while not trickling.runs:
                        await asyncio.sleep(0.01)
                    sound = await fleet.add_replica("i-sound", "pool")
                    answer = await answered
                    self.assertEqual((answer.status, answer.whole), (200, True))
                    self.assertEqual((len(trickling.runs), len(sound.runs)), (1, 1))

    async def test_a_begun_stream_that_only_trickles_ends_by_its_deadline_and_not_as_complete(self):
        for name, data in TRICKLES.items():
            with self.subTest(name):
                async with Fleet(pool=1) as fleet:
                    self.trickle(fleet.of("pool")[0], data, 2)
                    started = time.monotonic()
                    answer = await call(fleet.front, "/stream/", "s1", accept=EVENTS, deadline_ms=DEADLINE_MS)
                    self.assertLess(time.monotonic() - started, DEADLINE_MS / 1000 + 0.5)
                    self.assertEqual((answer.status, answer.whole), (200, False))
                    self.assertEqual(answer.body.count(b"\n\n"), 2)

    async def test_a_slow_but_sound_stream_goes_on_at_its_server(self):
        async def stream(run, seal, _, writer):
            writer.write(replica.stream_head(seal))
            for number in range(1, 6):
                writer.write(chunk(replica.event_of(run["id"], number)))
                await asyncio.sleep(PAUSE_S)
            writer.write(b"0\r\n\r\n")

        async with Fleet(pool=2) as fleet:
            for replica in fleet.of("pool"):
                replica.stream = stream
            answer = await call(fleet.front, "/stream/", "s1", accept=EVENTS, deadline_ms=7000)
            self.assertTrue(answer.whole)
            self.assertEqual(len(fleet.runs("s1")), 1)

    async def test_an_answer_that_no_other_server_can_give_is_waited_for(self):
        """Guards against giving up the work of the only server because it is slow."""
        async with Fleet(pool=1, app=1) as fleet:
            for server in fleet.replicas:
                server.work_s = SLOW_WORK_S
            for path, accept in (("/plain/x", ""), ("/stream/x", EVENTS)):
                answer = await call(fleet.front, path, f"r-{path[1:-2]}", accept=accept,
                                    deadline_ms=DEADLINE_MS + 4000)
                self.assertEqual((answer.status, answer.whole), (200, True), path)
                self.assertEqual(len(fleet.runs(f"r-{path[1:-2]}")), 1, path)

    async def test_a_request_on_trial_at_a_slow_server_goes_to_the_old_version(self):
        async with Fleet(app=2) as fleet:
            fleet.store.put("op/rollout/app", {"backend": "app", "target": "v2", "duration-s": 20})
            slow = await fleet.add_replica("i-new", "app", version="v2", work_s=2.5)
            answered = {}
            end = time.monotonic() + 15
            while not slow.runs and time.monotonic() < end:
                request = f"r-{len(answered)}"
                answered[request] = asyncio.create_task(
                    call(fleet.front, "/plain/x", request, headers=[("Session", request)],
                         deadline_ms=DEADLINE_MS))
                await asyncio.sleep(0.02)
            self.assertTrue(slow.runs)
            for run in slow.runs:
                answer = await answered[run["id"]]
                self.assertEqual((answer.status, len(fleet.runs(run["id"]))), (200, 2))
                self.assertLess(answer.took_s, slow.work_s)
            await asyncio.gather(*answered.values())

    async def test_an_answer_of_a_slow_server_is_replaced_once_another_server_is_there(self):
        async with Fleet(app=1) as fleet:
            slow = fleet.of("app")[0]
            slow.work_s = 2.5
            answered = asyncio.create_task(call(fleet.front, "/plain/x", "r1", deadline_ms=DEADLINE_MS))
            await wait_until(lambda: slow.runs)
            await asyncio.sleep(SLOW_WORK_S)
            sound = await fleet.add_replica("i-sound", "app")
            answer = await answered
            self.assertEqual((answer.status, len(sound.runs)), (200, 1))
            self.assertLess(answer.took_s, slow.work_s)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
