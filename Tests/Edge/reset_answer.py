"""Tests that no answer looks complete whose connection was reset.

Run: reset_answer.py BIN [CASE...]
"""

import asyncio
import os
import socket
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Replica, call, configuration, reset
from stranded_fleet import StrandedFleet

EVENTS = "text/event-stream"
# More than the buffers of a connection hold, so the rest waits in the entry while the server answers.
LONG_BODY = b"x" * 4_000_000
MAX_BODY_BYTES = 4_194_304
# Windows are as small as on the platform's links.
RECEIVE_BUFFER_BYTES = 65536
# Framings without a length: until the end of the connection, said or not, and a chunk of which a part comes.
FRAMINGS = [("", b""), ("Connection: close\r\n", b""), ("Transfer-Encoding: chunked\r\n", b"fffff\r\n")]
# Of four servers one is not chosen for so many streams in one of 10^12 runs.
MOST_STREAMS = 100
LEAST_STREAMS = 12


def with_large_bodies(document):
    document["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    for route in document["routes"]:
        if route["name"] == "stream":
            # May run once at most, like the route once.
            route["resumable"] = False
    return document


class EarlyReplica(Replica):
    """Answers after the head of a request, in a body without a length, and ends before it is complete.

    end: "reset", or "close" as the system closes for a killed process.
    """

    # What it sends of an answer, all at once, instead of events; None for events.
    part_bytes = None
    # How long it waits then.
    pause_s = 0.0
    # Headers that tell how its answer is framed, and what stands before each part of its body.
    framing = ("", b"")

    def __init__(self, *arguments, end="reset", **more):
        super().__init__(*arguments, **more)
        self.end = end

    def parts(self, request):
        """The parts of its body, each with the pause after it."""
        if self.part_bytes is None:
            return [(self.event_of(request, number), 0.05) for number in range(1, 4)]
        return [(self.framing[1] + b"x" * self.part_bytes, self.pause_s)]

    async def start(self, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        # With a small limit, the rest of a long body stays unread.
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=4096)
        self.port = listener.getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            request = headers["fennelline-request-id"]
            self.runs.append({"id": request})
            is_stream = "/stream/" in head[0]
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Type: {EVENTS if is_stream else 'text/plain'}\r\n"
                f"{self.framing[0]}Fennelline-Request-Id: {request}\r\n"
                "Fennelline-Response-Seal: seal\r\n\r\n".encode())
            for part, pause_s in self.parts(request):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
            if self.end == "reset":
                reset(writer)
            else:
                writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class EarlyFleet(Fleet):
    async def start_replica(self, name, service, **more):
        replica = await EarlyReplica(self.store, name, service, **more).start()
        self.replicas.append(replica)
        return replica


class StrandedEarlyFleet(EarlyFleet, StrandedFleet):
    pass


class ResetAnswer(unittest.IsolatedAsyncioTestCase):
    async def check(self, fleet, address, prefix):
        fleet.store.put("op/config", with_large_bodies(configuration(2)))
        await fleet.until_version(2)
        for end in ("reset", "close"):
            for replica in fleet.replicas:
                replica.end = end
            for target in ("/stream/x", "/once/x"):
                ran = 0
                for number in range(3):
                    request = f"{prefix}-{end}-{target[1:5]}-{number}"
                    answer = await call(address, target, request, body=LONG_BODY, deadline_ms=4000,
                                        accept=EVENTS if "stream" in target else "")
                    self.assertFalse(answer.status == 200 and answer.whole, request)
                    runs = len(fleet.runs(request))
                    # An entry without a path may also refuse a request, which then never runs.
                    is_refused = answer.status in (408, 421, 429, 503)
                    self.assertEqual(runs, 0 if is_refused else 1, (request, answer.status))
                    ran += runs
                self.assertGreater(ran, 0, (end, target))

    async def test_an_answer_cut_while_the_request_is_being_written_is_not_whole(self):
        async with EarlyFleet() as fleet:
            await self.check(fleet, fleet.front, "direct")

    async def test_an_early_answer_that_is_reset_while_the_request_is_being_written_is_not_whole(self):
        """Guards against a part of an answer that passes for the whole one, in each framing that has no length."""
        async with EarlyFleet() as fleet:
            fleet.store.put("op/config", with_large_bodies(configuration(2)))
            await fleet.until_version(2)
            number = 0
            for framing in FRAMINGS:
                for part_bytes in (3, 20_000, 300_000):
                    for pause_s in (0.0, 0.03):
                        for replica in fleet.replicas:
                            replica.framing, replica.part_bytes, replica.pause_s = framing, part_bytes, pause_s
                        for body in (LONG_BODY, LONG_BODY[:3_000_000]):
                            number += 1
                            answer = await call(fleet.front, "/once/x", f"early-{number}", body=body,
                                                deadline_ms=4000)
                            self.assertFalse(answer.status == 200 and answer.whole,
                                             (framing, part_bytes, pause_s, len(body)))
                            self.assertLessEqual(len(fleet.runs(f"early-{number}")), 1)
            ran = {run["id"] for replica in fleet.replicas for run in replica.runs}
            self.assertGreater(len(ran), number / 2)

    async def test_an_answer_that_another_entry_hands_on_cut_is_not_whole(self):
        async with StrandedEarlyFleet(entries=2) as fleet:
            await fleet.until_members_known()
            await fleet.cut("reset")
            for number in range(20):
                await call(fleet.front, "/plain/x", f"lost-{number}", deadline_ms=500)
            await self.check(fleet, fleet.front, "passed")
            handed_on = [line["id"] for line in fleet.entries[0].lines("passed-on")]
            self.assertTrue(any(request.startswith("passed-") for request in handed_on))

    async def test_a_stream_of_a_server_that_is_killed_between_events_is_resumed_or_not_whole(self):
        for resumable in (True, False):
            async with Fleet(pool=4) as fleet:
                document = configuration(2)
                for route in document["routes"]:
                    route["resumable"] = resumable
                fleet.store.put("op/config", document)
                await fleet.until_version(2)
                dying = fleet.of("pool")[0]
                dying.fault = "unframed-killed"
                number = 0
                # The entry chooses among the servers by chance, so it may take some until the one comes up.
                while number < LEAST_STREAMS or (number < MOST_STREAMS and not dying.runs):
                    request = f"s-{number}"
                    number += 1
                    answer = await call(fleet.front, "/stream/x", request, accept=EVENTS)
                    whole = b"".join(Replica.event_of(request, event) for event in range(1, 6))
                    if resumable:
                        self.assertEqual((answer.status, answer.whole, answer.body), (200, True, whole))
                    self.assertEqual(answer.whole, answer.body == whole)
                self.assertTrue(dying.runs)

    async def test_a_stream_without_a_length_that_ends_before_its_first_event_is_not_whole(self):
        async with Fleet(pool=2) as fleet:
            for replica in fleet.of("pool"):
                replica.fault, replica.events = "unframed", 0
            answer = await call(fleet.front, "/stream/x", "s1", accept=EVENTS)
            self.assertFalse(answer.status == 200 and answer.whole)

    async def test_a_stream_without_a_length_that_is_reset_between_events_is_not_whole(self):
        async with Fleet(pool=1) as fleet:
            document = with_large_bodies(configuration(2))
            fleet.store.put("op/config", document)
            await fleet.until_version(2)
            fleet.of("pool")[0].fault = "unframed-reset"
            for number in range(10):
                answer = await call(fleet.front, "/stream/x", f"s-{number}", accept=EVENTS)
                self.assertFalse(answer.status == 200 and answer.whole)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
