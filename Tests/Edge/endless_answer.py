"""Tests that answers without end, and answers that end with their connection, harm nobody.

Run: endless_answer.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import ENDLESS, MOST_MEMORY_KB, Replica, Store, call, configuration, wait_until

EVENTS = "text/event-stream"
DEADLINE_MS = 1500


class FaultCheck(unittest.IsolatedAsyncioTestCase):
    async def check_bytes_without_end(self, path, service, accept=""):
        for fault in ENDLESS:
            async with Fleet(pool=3, app=3) as fleet:
                for replica in fleet.of(service):
                    replica.fault = fault
                other = "/stream/x" if service == "app" else "/plain/x"
                bad = [asyncio.create_task(call(fleet.front, path, f"bad-{number}", accept=accept,
                                                deadline_ms=DEADLINE_MS)) for number in range(4)]
                sound = [await call(fleet.front, other, f"sound-{number}",
                                    accept=EVENTS if service == "app" else "")
                         for number in range(5)]
                for number, answer in enumerate(await asyncio.gather(*bad)):
                    whole = Replica.event_of(f"bad-{number}", 1) if accept else b"bytes"
                    self.assertLess(answer.took_s, DEADLINE_MS / 1000 + 0.5, fault)
                    self.assertTrue(answer.whole or answer.status != 503, fault)
                    if fault == "endless-after":
                        self.assertEqual((answer.status, answer.body), (200, whole))
                    elif fault not in ("endless-body", "endless-chunks"):
                        self.assertIn(answer.status, (0, 502, 503, 504), fault)
                self.assertEqual([answer.status for answer in sound], [200] * 5, fault)
                self.assertLess(max(answer.took_s for answer in sound), 0.5, fault)
                self.assertTrue(any(replica.serving for replica in fleet.of(service)), fault)
                # Not those on which the entry only checked that the server accepts connections.
                await wait_until(lambda f=fleet: not any(replica.has_open_peers_with_requests()
                                                         for replica in f.of(service)), 1.0,
                                 f"all connections that carried a request are closed after {fault}")
                self.assertLess(fleet.entries[0].peak_memory_kb(), MOST_MEMORY_KB, fault)


class IdempotentRoute(FaultCheck):
    async def test_bytes_without_end_on_an_idempotent_route_are_cut_off(self):
        await self.check_bytes_without_end("/plain/x", "app")


class EndlessAnswer(FaultCheck):
    async def test_bytes_without_end_on_a_non_idempotent_route_are_cut_off(self):
        await self.check_bytes_without_end("/once/x", "app")

    async def test_bytes_without_end_in_a_stream_are_cut_off(self):
        await self.check_bytes_without_end("/stream/x", "pool", EVENTS)

    async def test_an_event_that_comes_again_without_end_is_cut_off(self):
        async with Fleet(pool=3, app=3) as fleet:
            for replica in fleet.of("pool"):
                replica.fault = "endless-same"
            bad = [asyncio.create_task(call(fleet.front, "/stream/x", f"bad-{number}", accept=EVENTS,
                                            deadline_ms=DEADLINE_MS)) for number in range(6)]
            sound = [await call(fleet.front, "/plain/x", f"sound-{number}") for number in range(5)]
            for number, answer in enumerate(await asyncio.gather(*bad)):
                self.assertEqual(answer.body, Replica.event_of(f"bad-{number}", 1))
                self.assertFalse(answer.whole)
                self.assertLess(answer.took_s, 0.5)
            self.assertEqual([answer.status for answer in sound], [200] * 5)
            self.assertLess(max(answer.took_s for answer in sound), 0.5)

    async def test_a_body_without_end_to_a_caller_that_does_not_read_takes_no_memory(self):
        async with Fleet(app=3) as fleet:
            for fault in ("endless-body", "endless-chunks"):
                for replica in fleet.of("app"):
                    replica.fault = fault
                ip, port = fleet.front.split(":")
                writers = []
                for number in range(5):
                    _, writer = await asyncio.open_connection(ip, int(port), limit=1024)
                    writer.transport.pause_reading()
                    writer.write(b"POST /plain/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
                                 b"Authorization: Bearer key-1\r\nFennelline-Deadline-Ms: 2000\r\n"
                                 b"Fennelline-Request-Id: %s-%d\r\n\r\n" % (fault.encode(), number))
                    writers.append(writer)
                for number in range(5):
                    await fleet.until_logged(f"{fault}-{number}")
                for writer in writers:
                    writer.transport.abort()
            self.assertLess(fleet.entries[0].peak_memory_kb(), MOST_MEMORY_KB)

    async def test_a_rejection_without_end_is_passed_on_at_once_as_not_run(self):
        async with Fleet(app=2) as fleet:
            for replica in fleet.of("app"):
                replica.fault = "endless-rejection"
            answer = await call(fleet.front, "/once/x", "r1")
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.took_s, 0.5)

    async def test_a_stream_without_length_or_chunks_that_ends_with_its_connection_is_whole(self):
        async with Fleet() as fleet:
            for replica in fleet.of("pool"):
                replica.fault = "unframed"
            answer = await call(fleet.front, "/stream/x", "s1", accept=EVENTS)
            whole = b"".join(Replica.event_of("s1", event) for event in range(1, 6))
            self.assertEqual((answer.status, answer.body, answer.whole), (200, whole, True))
            self.assertEqual(len(fleet.runs("s1")), 1)

    async def test_a_stream_without_length_or_chunks_that_ends_within_an_event_is_resumed(self):
        for fault in ("unframed-partial", "unframed-reset"):
            async with Fleet() as fleet:
                fleet.of("pool")[0].fault = fault
                for number in range(6):
                    request = f"s{number}"
                    answer = await call(fleet.front, "/stream/", request, accept=EVENTS)
                    whole = b"".join(Replica.event_of(request, event) for event in range(1, 6))
                    self.assertEqual((answer.status, answer.body, answer.whole), (200, whole, True))


class EndlessStore(Store):
    """Answers calls without end: "body" in the body, "head" in the head, "trickle" slowly."""

    endless = None

    async def handle(self, line, headers, body, reader, writer):
        if not self.endless:
            await super().handle(line, headers, body, reader, writer)
            return
        self.calls += 1
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        first, more, pause_s = {
            "body": (head + b"\r\n[", b"0," * 32000, 0),
            "head": (head, b"X-More: header\r\n" * 4000, 0),
            "trickle": (head + b"\r\n[", b"0,", 0.05),
        }[self.endless]
        writer.write(first)
        while not writer.transport.is_closing():
            writer.write(more)
            await writer.drain()
            await asyncio.sleep(pause_s)


class EndlessStoreFleet(Fleet):
    def __init__(self, **more):
        super().__init__(**more)
        self.store = EndlessStore()


class EndlessStoreAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_of_the_store_without_end_takes_no_memory_and_harms_no_caller(self):
        for endless in ("body", "head", "trickle"):
            with self.subTest(endless):
                async with EndlessStoreFleet(pool=1, app=2) as fleet:
                    fleet.store.endless = endless
                    before = fleet.store.calls
                    end = time.monotonic() + 5.0
                    number = 0
                    while time.monotonic() < end:
                        answer = await call(fleet.front, "/plain/x", f"sound-{number}")
                        self.assertEqual(answer.status, 200)
                        self.assertLess(answer.took_s, 0.5)
                        number += 1
                        await asyncio.sleep(0.02)
                    self.assertGreater(fleet.store.calls, before)
                    self.assertLess(fleet.entries[0].peak_memory_kb(), MOST_MEMORY_KB)
                    fleet.store.endless = None
                    document = configuration(2)
                    fleet.store.put("op/config", document)
                    await fleet.until_version(2)

    async def test_changes_that_are_too_long_for_one_answer_are_read_from_a_listing(self):
        async with Fleet(pool=1, app=2) as fleet:
            fleet.store.mode = "busy"
            await wait_until(lambda: fleet.entries[0].lines("dependency-lost"))
            for version in range(2, 10):
                document = configuration(version, extra_routes=[f"more-{number}" for number in range(4000)])
                fleet.store.put("op/config", document)
            fleet.store.mode = "up"
            await fleet.until_version(9)
            self.assertTrue(fleet.entries[0].lines("store-answer-too-long"))
            self.assertLess(fleet.entries[0].peak_memory_kb(), MOST_MEMORY_KB)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
