"""Tests that an answer whose status line is none of HTTP/1 never reaches a caller, and delays no request.

Run: odd_status.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Replica, call, request_text

EVENTS = "text/event-stream"
# Far below the time limits of the routes, which an entry would wait for if it took the line for an interim answer.
ANSWER_S = 1.0
# Status lines that are no status line of an answer in HTTP/1.
LINES = {
    "zero": "HTTP/1.1 000 OK", "one": "HTTP/1.1 001 OK", "below-interim": "HTTP/1.1 099 OK",
    "two-digits": "HTTP/1.1 20 OK", "four-digits": "HTTP/1.1 0200 OK", "six-hundred": "HTTP/1.1 600 OK",
    "seven-hundred": "HTTP/1.1 700 OK", "largest": "HTTP/1.1 999 OK", "two-spaces": "HTTP/1.1  200 OK",
    "upgrade": "HTTP/1.1 101 Switching Protocols", "version-2": "HTTP/2.0 200 OK", "version-0": "HTTP/0.9 200 OK",
    "version-9": "HTTP/9.9 200 OK",
}
FRAMINGS = {
    "length": ("Content-Length: {size}\r\n\r\n", "{body}"),
    "chunks": ("Transfer-Encoding: chunked\r\n\r\n", "{size:x}\r\n{body}\r\n0\r\n\r\n"),
    "none": ("\r\n", "{body}"),
}


class OddReplica(Replica):
    """Answers the first run of a request with the status line it is told, and leaves the connection open."""

    line = ""
    framing = "length"
    runs_of = None

    async def execute(self, method, target, headers, body, fault, writer):
        request = headers["fennelline-request-id"]
        if not self.line or self.runs_of(request):
            await super().execute(method, target, headers, body, fault, writer)
            return
        self.runs.append({"id": request, "at": time.monotonic()})
        is_stream = "text/event-stream" in headers.get("accept", "")
        text = (self.event_of(request, 1) if is_stream else self.body_of(request)).decode()
        kind = f"Content-Type: {EVENTS}\r\n" if is_stream else ""
        sealed = "".join(f"{name}: {value}\r\n" for name, value in self.seal_headers(request))
        end, parts = FRAMINGS[self.framing]
        writer.write((f"{self.line}\r\n{kind}{sealed}" + end.format(size=len(text))
                      + parts.format(size=len(text), body=text)).encode())


class OddFleet(Fleet):
    async def start_replica(self, name, service, **more):
        replica = await OddReplica(self.store, name, service, **more).start()
        replica.runs_of = self.runs
        self.replicas.append(replica)
        return replica

    def answer_with(self, line="", framing="length"):
        for replica in self.replicas:
            replica.line, replica.framing = line, framing


class OddStatus(unittest.IsolatedAsyncioTestCase):
    async def check(self, fleet, path, check, accept=""):
        for name, line in LINES.items():
            for framing in FRAMINGS:
                request = f"{path[1:5]}-{name}-{framing}"
                fleet.answer_with(line, framing)
                answer = await call(fleet.front, path, request, accept=accept)
                with self.subTest(request):
                    check(answer, request)
                    self.assertLess(answer.took_s, ANSWER_S)
                # The budget of retries is a share of the requests.
                fleet.answer_with()
                sound = await call(fleet.front, path, f"sound-{request}", accept=accept)
                self.assertEqual((sound.status, sound.whole), (200, True))

    async def test_a_request_that_may_be_repeated_is_answered_by_another_server(self):
        """Guards against status lines that are taken for interim answers, or passed on."""
        async with OddFleet(app=3) as fleet:
            def check(answer, request):
                self.assertEqual((answer.status, answer.body), (200, Replica.body_of(request)))
                self.assertEqual(len(fleet.runs(request)), 2)
            await self.check(fleet, "/plain/x", check)

    async def test_a_request_that_may_run_once_fails_at_once(self):
        """Guards against callers that wait for their time limit, or get an answer that is none."""
        async with OddFleet(app=3) as fleet:
            def check(answer, request):
                self.assertEqual(answer.status, 502)
                self.assertEqual(len(fleet.runs(request)), 1)
            await self.check(fleet, "/once/x", check)

    async def test_a_stream_begins_at_another_server(self):
        async with OddFleet(pool=3) as fleet:
            def check(answer, request):
                whole = b"".join(Replica.event_of(request, number) for number in range(1, 6))
                self.assertEqual((answer.status, answer.whole, answer.body), (200, True, whole))
            await self.check(fleet, "/stream/x", check, accept=EVENTS)


class NoBody(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_behind_an_answer_that_has_no_body_reach_no_caller(self):
        """Guards against bytes that a caller takes for its next answer, as 204 and 304 end with their heads."""
        async with OddFleet(app=1) as fleet:
            for status in (204, 304):
                for framing in FRAMINGS:
                    request = f"r-{status}-{framing}"
                    fleet.answer_with(f"HTTP/1.1 {status} Status", framing)
                    reader, writer = await asyncio.open_connection(*fleet.front.split(":"))
                    writer.write(request_text("/once/x", request, headers=[("Connection", "close")]))
                    received = await asyncio.wait_for(reader.read(), ANSWER_S)
                    writer.close()
                    self.assertTrue(received.startswith(f"HTTP/1.1 {status}".encode()), received)
                    self.assertTrue(received.endswith(b"\r\n\r\n"), received)
                    # The connection to the server is out of step, and the next request gets its own answer.
                    fleet.answer_with()
                    sound = await call(fleet.front, "/once/x", f"sound-{request}")
                    self.assertEqual((sound.status, sound.body), (200, Replica.body_of(f"sound-{request}")))


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
