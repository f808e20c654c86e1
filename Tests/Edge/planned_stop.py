"""Tests that a planned stop under load leaves no request without an answer.

Run: planned_stop.py BIN [CASE...]
"""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Answer, KeptConnections, call, configuration, read_response, request_text, wait_until

EVENTS = "text/event-stream"
GRACE_S = 4.0
# An idle process ends this long after the order to stop.
IDLE_END_S = 0.7 * GRACE_S
CALLERS = 20


def with_long_timeouts(document):
    for route in document["routes"]:
        route["timeout-ms"] = 8000
    return document


class KeptCaller:
    """Sends requests one after the other and keeps its connection for as long as the entry does."""

    def __init__(self, entry, name):
        self.entry = entry
        self.name = name
        self.unanswered = []
        self.answered = 0

    async def run(self):
        """Returns once the entry refuses connections."""
        kept = KeptConnections()
        number = 0
        while True:
            number += 1
            request = f"{self.name}-{number}"
            answer = await call(self.entry.address("front"), "/plain/x", request, deadline_ms=5000, kept=kept)
            if not answer.sent_all:
                return
            self.answered += answer.whole
            if not answer.whole:
                self.unanswered.append(request)
            await asyncio.sleep(0.005)


class PlannedStop(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        self.entry = self.fleet.entries[0]

    async def asyncTearDown(self):
        await self.fleet.__aexit__()

    async def stop(self, after_s=0.0):
        """Gives the order to stop and waits; returns when it was given."""
        self.entry.signal(signal.SIGTERM)
        await wait_until(lambda: self.entry.lines("stop"))
        ordered = time.monotonic()
        await asyncio.sleep(after_s)
        return ordered

    async def until_gone(self):
        await asyncio.wait_for(self.entry.process.wait(), 2 * GRACE_S)
        self.assertEqual(self.entry.process.returncode, 0)

    async def connect(self):
        return await asyncio.open_connection(self.entry.ip, self.entry.ports["front"])

    async def read_answer(self, reader, bound_s=2 * GRACE_S):
        answer = Answer()
        try:
            await asyncio.wait_for(read_response(reader, answer, None), bound_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        return answer

    async def test_callers_on_kept_connections_are_answered_until_the_entry_is_gone(self):
        callers = [KeptCaller(self.entry, f"c{number}") for number in range(CALLERS)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(0.5)
        await self.stop()
        await self.until_gone()
        await asyncio.wait_for(asyncio.gather(*tasks), 10)
        self.assertGreater(sum(caller.answered for caller in callers), 10 * CALLERS)
        self.assertEqual([request for caller in callers for request in caller.unanswered], [])

    async def check_half_sent(self, first, rest):
        reader, writer = await self.connect()
        await self.stop(IDLE_END_S - 0.2)
        writer.write(first)
        await asyncio.sleep(0.5)
        writer.write(rest)
        answer = await self.read_answer(reader)
        writer.close()
        self.assertIn(answer.status, (200, 503))
        self.assertEqual(len(self.fleet.runs("r1")), 1 if answer.status == 200 else 0)
        await self.until_gone()

    async def test_a_request_whose_head_is_half_read_at_the_end_is_answered(self):
        text = request_text("/plain/x", "r1")
        await self.check_half_sent(text[:40], text[40:])

    async def test_a_request_whose_body_is_half_read_at_the_end_is_answered(self):
        text = request_text("/plain/x", "r1", body=b"x" * 1000)
        await self.check_half_sent(text[:-500], text[-500:])

    async def test_a_request_that_never_arrives_whole_is_answered_and_holds_nothing_up(self):
        reader, writer = await self.connect()
        ordered = await self.stop(IDLE_END_S - 0.2)
        writer.write(request_text("/plain/x", "r1", body=b"x" * 1000)[:-500])
        answer = await self.read_answer(reader)
        writer.close()
        self.assertEqual((answer.status, len(self.fleet.runs("r1"))), (503, 0))
        await self.until_gone()
        self.assertLess(time.monotonic() - ordered, GRACE_S)

    async def check_runs_beyond_the_grace_time(self, path):
        """A request that was sent before the order is answered within the grace time."""
        for replica in self.fleet.replicas:
            replica.work_s = 5.0
        fleet, front = self.fleet, self.entry.address("front")
        fleet.store.put("op/config", with_long_timeouts(configuration(2)))
        await fleet.until_version(2)
        request = asyncio.create_task(call(front, path, "r1", deadline_ms=8000))
        await wait_until(lambda: fleet.runs("r1"))
        ordered = await self.stop()
        answer = await request
        self.assertLess(time.monotonic() - ordered, GRACE_S)
        self.assertEqual((answer.status, len(fleet.runs("r1")) > 0), (502, True))
        await self.until_gone()

    async def test_a_request_that_runs_beyond_the_grace_time_is_answered(self):
        await self.check_runs_beyond_the_grace_time("/plain/x")

    async def test_a_request_that_runs_beyond_the_grace_time_and_cannot_be_repeated_is_answered(self):
        await self.check_runs_beyond_the_grace_time("/once/x")

    async def check_sent_after_the_order(self, path, first_s):
        """Requests that arrive after the order end with an answer of their server, or were not run."""
        for replica in self.fleet.replicas:
            replica.work_s = 2.5
        ordered = await self.stop(first_s)
        calls = []
        while time.monotonic() < ordered + IDLE_END_S - 0.2:
            request = f"r{len(calls)}"
            calls.append((request, asyncio.create_task(
                call(self.entry.address("front"), path, request, deadline_ms=5000))))
            await asyncio.sleep(0.1)
        for request, task in calls:
            answer = await task
            runs = len(self.fleet.runs(request))
            self.assertIn((answer.status, answer.whole, runs), ((200, True, 1), (503, True, 0)), request)
        await self.until_gone()

    async def test_a_request_sent_after_the_order_that_cannot_be_repeated_is_not_cut_off(self):
        await self.check_sent_after_the_order("/once/x", 0.0)

    async def test_a_request_sent_late_after_the_order_is_not_cut_off(self):
        await self.check_sent_after_the_order("/plain/x", 0.3 * GRACE_S)

    async def test_a_stream_that_lasts_beyond_the_grace_time_does_not_look_complete(self):
        for replica in self.fleet.of("pool"):
            replica.events, replica.work_s = 100, 0.1
        stream = asyncio.create_task(call(self.entry.address("front"), "/stream/x", "s1", accept=EVENTS,
                                          deadline_ms=15_000))
        await wait_until(lambda: self.fleet.runs("s1"))
        ordered = await self.stop()
        answer = await stream
        self.assertGreater(time.monotonic() - ordered, 0.8 * GRACE_S)
        self.assertEqual((answer.status, answer.whole), (200, False))
        await self.until_gone()

    async def test_of_two_requests_sent_at_once_the_second_is_not_run_without_an_answer(self):
        reader, writer = await self.connect()
        await self.stop(0.1)
        writer.write(request_text("/plain/x", "r1") + request_text("/plain/x", "r2"))
        first = await self.read_answer(reader)
        self.assertEqual((first.status, first.whole), (200, True))
        second = await self.read_answer(reader)
        writer.close()
        self.assertEqual(len(self.fleet.runs("r2")), 1 if second.whole else 0)
        await self.until_gone()

    async def test_further_signals_and_a_configuration_during_the_stop_change_nothing(self):
        for replica in self.fleet.of("pool"):
            replica.events, replica.work_s = 20, 0.1
        stream = asyncio.create_task(call(self.entry.address("front"), "/stream/x", "s1", accept=EVENTS))
        await wait_until(lambda: self.fleet.runs("s1"))
        ordered = await self.stop(0.2)
        for number, sent in enumerate((signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)):
            self.entry.signal(sent)
            self.fleet.store.put("op/config", configuration(2 + number))
            await asyncio.sleep(0.1)
        answer = await stream
        self.assertTrue(answer.whole)
        plain = await call(self.entry.address("front"), "/plain/x", "r1", deadline_ms=1000)
        self.assertEqual((plain.status, plain.headers.get("connection")), (200, "close"))
        await self.until_gone()
        self.assertGreater(time.monotonic() - ordered, IDLE_END_S - 0.1)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
