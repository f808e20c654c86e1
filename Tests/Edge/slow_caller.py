"""Tests that callers who read slowly get their answers whole, and from one server.

Run: slow_caller.py BIN [CASE...]
"""

import asyncio
import os
import signal
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import call, configuration, request_text, wait_until

EVENTS = "text/event-stream"
RECEIVE_BUFFER = 4_096
# Larger than what the system and an entry keep for one connection.
LARGE_ANSWER = 6_000_000
# As large in all, in events of 250 kB. Reading more takes a busy machine longer than the stream may last.
STREAM_EVENTS = 24
# Less than what the system and an entry keep for one connection.
LEFT_UNREAD = 64_000
# Larger than the caller's window, and less than what the system keeps for one connection.
SMALL_ANSWER = 30_000
# Longer than what tells that a peer is gone, and within the time limit of the route.
LONG_PAUSE_S = 2.3
GRACE_S = 4.0
IDLE_END_S = 0.7 * GRACE_S


class SlowCaller:
    """A caller with a small receive buffer that reads when it is told to."""

    async def connect(self, entry):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.socket.setblocking(False)
        self.received = b""
        await asyncio.get_running_loop().sock_connect(self.socket, (entry.ip, entry.ports["front"]))
        return self

    async def send(self, path, request, headers=()):
        text = request_text(path, request, deadline_ms=8000, headers=headers, body=b"")
        await asyncio.get_running_loop().sock_sendall(self.socket, text)

    async def read(self, most, at_once=1 << 20):
        """Reads until it has this much, or the connection ends."""
        while len(self.received) < most:
            part = await asyncio.get_running_loop().sock_recv(self.socket, at_once)
            if not part:
                break
            self.received += part

    def body(self):
        return self.received.partition(b"\r\n\r\n")[2]


class SlowCallers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        self.entry = self.fleet.entries[0]
        self.caller = await SlowCaller().connect(self.entry)

    async def asyncTearDown(self):
        self.caller.socket.close()
        await self.fleet.__aexit__()

    def answer_with(self, size):
        for replica in self.fleet.of("app"):
            replica.body_of = lambda _: b"a" * size

    async def test_an_answer_that_is_read_late_is_whole_and_ran_once(self):
        self.answer_with(LARGE_ANSWER)
        await self.caller.send("/plain/x", "r1")
        await asyncio.sleep(1.2)
        await self.caller.read(LARGE_ANSWER)
        await wait_until(lambda: any(line["id"] == "r1" for line in self.entry.lines("request")))
        self.assertGreater(len(self.caller.body()), LARGE_ANSWER - 1)
        self.assertEqual(len(self.fleet.runs("r1")), 1)

    async def read_until_unsent_rest(self, request):
        """Reads until the entry has the whole answer, but not all of it has left the entry."""
        while not any(line["id"] == request for line in self.entry.lines("request")):
            if len(self.caller.received) < LARGE_ANSWER - LEFT_UNREAD:
                await self.caller.read(len(self.caller.received) + 1, LEFT_UNREAD // 2)
            else:
                await asyncio.sleep(0.01)
        self.assertLess(len(self.caller.received), LARGE_ANSWER)

    async def test_an_answer_is_whole_if_its_connection_closes_and_its_rest_is_read_late(self):
        self.answer_with(LARGE_ANSWER)
        await self.caller.send("/plain/x", "r1", headers=[("Connection", "close")])
        await self.read_until_unsent_rest("r1")
        await asyncio.sleep(1.25)
        await self.caller.read(2 * LARGE_ANSWER)
        self.assertTrue(self.caller.received.endswith(b"0\r\n\r\n"), "the last chunk is there")

    async def test_a_stream_that_is_read_late_is_whole_and_ran_once(self):
        for replica in self.fleet.of("pool"):
            replica.events, replica.work_s = STREAM_EVENTS, 0.02
            replica.event_of = lambda request, number: (f"id: {number}\ndata: {'a' * 250_000}\n\n").encode()
        await self.caller.send("/stream/x", "s1", headers=[("Accept", EVENTS)])
        await asyncio.sleep(1.3)
        await self.caller.read(STREAM_EVENTS * 250_000)
        await wait_until(lambda: any(line["id"] == "s1" for line in self.entry.lines("request")))
        self.assertEqual([line["end"] for line in self.entry.lines("request")], ["answered"])
        self.assertEqual(len(self.fleet.runs("s1")), 1)

    async def test_a_stream_after_one_that_was_read_late_is_answered(self):
        """Guards against connections to servers that are kept while they are not read."""
        server, other = self.fleet.of("pool")
        other.leave()
        await wait_until(lambda: any(line["backend"] == other.name and line["state"] == "gone"
                                     for line in self.entry.lines("backend")))
        usual = server.stream

        async def stream_at_once(run, seal, fault, writer):
            writer.write(server.stream_head(seal))
            for number in range(1, events + 1):
                event = f"id: {number}\ndata: {'a' * 250_000}\n\n".encode()
                # The end of the stream comes with its last event.
                end = b"0\r\n\r\n" if number == events else b""
                writer.write(b"%x\r\n%s\r\n%s" % (len(event), event, end))
                await writer.drain()

        # Which of these ends while the entry waits for its caller depends on the system's buffers.
        for events in range(13, 25):
            server.stream, self.caller.received = stream_at_once, b""
            await self.caller.send("/stream/x", f"s-{events}", headers=[("Accept", EVENTS)])
            await wait_until(lambda: self.fleet.runs(f"s-{events}"))
            await asyncio.sleep(0.1)
            while not self.caller.received.endswith(b"0\r\n\r\n"):
                await self.caller.read(len(self.caller.received) + 1)
            server.stream = usual
            answer = await call(self.entry.address("front"), "/stream/x", f"after-{events}", accept=EVENTS)
            self.assertEqual((answer.status, answer.whole), (200, True), f"after {events} events")

    async def read_rest(self, size):
        """Reads until the body has this size; fails if the connection ends before."""
        while len(self.caller.body()) < size:
            known = len(self.caller.received)
            await asyncio.wait_for(self.caller.read(known + 1), 1.0)
            self.assertGreater(len(self.caller.received), known, "the connection is open")

    async def check_read_after(self, pause_s, size, headers=()):
        # Leaves time to read a large answer through the small window on a busy machine.
        document = configuration(2)
        for route in document["routes"]:
            route["timeout-ms"] = 8000
        self.fleet.store.put("op/config", document)
        await self.fleet.until_version(2)
        self.answer_with(size)
        await self.caller.send("/plain/x", "r1", headers=headers)
        await wait_until(lambda: self.fleet.runs("r1"))
        await asyncio.sleep(pause_s)
        await self.read_rest(size)
        self.assertTrue(self.caller.received.startswith(b"HTTP/1.1 200"))
        self.assertEqual(len(self.fleet.runs("r1")), 1)

    async def test_an_answer_that_is_not_read_for_most_of_its_time_is_whole(self):
        """Guards against taking a caller that does not read for one that is gone."""
        await self.check_read_after(LONG_PAUSE_S, SMALL_ANSWER)

    async def test_a_large_answer_that_is_not_read_for_most_of_its_time_is_whole(self):
        await self.check_read_after(LONG_PAUSE_S, LARGE_ANSWER)

    async def test_an_answer_that_closes_and_is_not_read_for_most_of_its_time_is_whole(self):
        await self.check_read_after(LONG_PAUSE_S, SMALL_ANSWER, headers=[("Connection", "close")])

    async def test_an_answer_with_a_short_one_behind_it_that_is_read_late_is_whole(self):
        """Guards against the next request bringing back the usual time-out while an answer is unread."""
        self.answer_with(SMALL_ANSWER)
        await self.caller.send("/plain/x", "r1")
        await self.caller.send("/none/x", "r2")
        await wait_until(lambda: self.fleet.runs("r1"))
        await asyncio.sleep(LONG_PAUSE_S)
        await self.read_rest(SMALL_ANSWER + 20)
        self.assertIn(b"HTTP/1.1 404", self.caller.received)

    async def test_an_answer_that_is_not_read_for_long_in_a_planned_stop_is_whole(self):
        """Guards against losing what slow callers have not read yet when the entry stops."""
        for replica in self.fleet.of("app"):
            replica.work_s = 0.5
        self.answer_with(SMALL_ANSWER)
        await self.caller.send("/plain/x", "r1")
        await wait_until(lambda: self.fleet.runs("r1"))
        self.entry.signal(signal.SIGTERM)
        await asyncio.sleep(LONG_PAUSE_S)
        await self.read_rest(SMALL_ANSWER)
        await asyncio.wait_for(self.entry.process.wait(), GRACE_S)

    async def test_a_planned_stop_waits_for_an_answer_whose_rest_is_read_late(self):
        self.answer_with(LARGE_ANSWER)
        self.entry.signal(signal.SIGTERM)
        await wait_until(lambda: self.entry.lines("stop"))
        ordered = time.monotonic()
        await asyncio.sleep(IDLE_END_S - 1.5)
        await self.caller.send("/plain/x", "r1")
        await self.read_until_unsent_rest("r1")
        await asyncio.sleep(max(0.0, ordered + IDLE_END_S + 0.3 - time.monotonic()))
        await self.caller.read(2 * LARGE_ANSWER)
        self.assertTrue(self.caller.received.endswith(b"0\r\n\r\n"), "the last chunk is there")
        await asyncio.wait_for(self.entry.process.wait(), GRACE_S)
        self.assertLess(time.monotonic() - ordered, GRACE_S)

    async def test_a_caller_that_never_reads_holds_a_planned_stop_up_for_the_grace_time_at_most(self):
        self.answer_with(LARGE_ANSWER)
        await self.caller.send("/plain/x", "r1")
        self.entry.signal(signal.SIGTERM)
        await asyncio.wait_for(self.entry.process.wait(), GRACE_S)
        self.assertEqual((await call(self.entry.address("front"), "/plain/x", "r2")).status, 0)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
