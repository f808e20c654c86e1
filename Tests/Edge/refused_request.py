"""Tests that a request which an entry refuses ends its connection and nothing else.

Run: refused_request.py BIN [CASE...]
"""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import call, request_text, wait_until

GRACE_S = 4.0
# Within this time the others are answered, also beside a busy machine.
ANSWER_S = 1.0
IDLE_S = 1.0
# Of a core. An idle entry uses some hundredths.
MOST_IDLE_SHARE = 0.25

HOST_LINE = "Host: a.example\r\n"
# Heads that the parser accepts and the entry refuses.
REFUSED = {
    "no-host": "GET /plain/a HTTP/1.1\r\n\r\n",
    "two-hosts": f"GET /plain/a HTTP/1.1\r\n{HOST_LINE}{HOST_LINE}\r\n",
    "absolute-target": f"GET http://a.example/plain/a HTTP/1.1\r\n{HOST_LINE}\r\n",
    "connect": f"CONNECT a.example:80 HTTP/1.1\r\n{HOST_LINE}\r\n",
    "asterisk": f"OPTIONS * HTTP/1.1\r\n{HOST_LINE}\r\n",
    "two-codings": f"POST /plain/a HTTP/1.1\r\n{HOST_LINE}Transfer-Encoding: chunked\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "other-coding": f"POST /plain/a HTTP/1.1\r\n{HOST_LINE}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "length-and-coding": f"POST /plain/a HTTP/1.1\r\n{HOST_LINE}Content-Length: 5\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}


def processor_s(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class RefusedRequest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        self.entry = self.fleet.entries[0]

    async def asyncTearDown(self):
        await self.fleet.__aexit__()

    async def exchange(self, address, text):
        """Sends bytes and reads until the entry ends the connection, which its caller then closes."""
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(text)
        received = await asyncio.wait_for(reader.read(), GRACE_S)
        writer.close()
        return received

    async def check_others(self):
        started = time.monotonic()
        answers = await asyncio.wait_for(asyncio.gather(
            call(self.fleet.front, "/plain/x", f"other-{started}"),
            call(self.entry.address("ready"), "/fennelline/readyz", "check", method="GET", body=b"")), GRACE_S)
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertLess(time.monotonic() - started, ANSWER_S)

    async def check_idle(self):
        before, started = processor_s(self.entry.process.pid), time.monotonic()
        await asyncio.sleep(IDLE_S)
        used = processor_s(self.entry.process.pid) - before
        self.assertLess(used / (time.monotonic() - started), MOST_IDLE_SHARE)

    async def check_stop(self):
        self.entry.signal(signal.SIGTERM)
        await asyncio.wait_for(self.entry.process.wait(), GRACE_S + ANSWER_S)
        self.assertEqual(self.entry.process.returncode, 0)

    async def test_a_refused_request_with_another_behind_it_stops_nothing(self):
        """Guards against an event loop that rejects one message without end and does nothing else."""
        behind = request_text("/once/b", "inner")
        # Entries listen for each other on the port of their datagrams, too.
        addresses = [self.entry.address(role) for role in self.entry.ports]
        addresses.append(f"{self.entry.ip}:{self.fleet.datagram_port}")
        for address in addresses:
            for name, refused in REFUSED.items():
                received = await self.exchange(address, refused.encode() + behind)
                self.assertTrue(received.startswith(b"HTTP/1.1 400"), (address, name, received))
                self.assertEqual(received.count(b"HTTP/1.1 "), 1, (address, name, received))
                await self.check_others()
        self.assertEqual(self.fleet.runs("inner"), [])
        await self.check_idle()
        await self.check_stop()

    async def test_requests_of_others_that_are_in_progress_are_answered(self):
        """Guards against losing the answers of all callers to one refused request."""
        for replica in self.fleet.of("app"):
            replica.work_s = 0.5
        calls = [asyncio.create_task(call(self.fleet.front, "/once/x", f"r-{number}")) for number in range(12)]
        await wait_until(lambda: all(self.fleet.runs(f"r-{number}") for number in range(12)))
        reader, writer = await asyncio.open_connection(*self.fleet.front.split(":"))
        writer.write(REFUSED["two-codings"].encode() + request_text("/once/b", "inner"))
        # Its caller leaves without reading.
        writer.close()
        answers = await asyncio.gather(*calls)
        self.assertEqual([(answer.status, answer.whole) for answer in answers], [(200, True)] * 12)
        await self.check_others()
        await self.check_stop()


class BehindClose(unittest.IsolatedAsyncioTestCase):
    """Requests behind one whose answer closes the connection."""

    async def check(self, fleet, first, status):
        entry = fleet.entries[0]
        for number in range(5):
            reader, writer = await asyncio.open_connection(*entry.address("front").split(":"))
            writer.write(first + b"".join(request_text("/once/b", f"behind-{number}-{place}")
                                          for place in range(3)))
            received = await asyncio.wait_for(reader.read(), GRACE_S)
            writer.close()
            self.assertTrue(received.startswith(f"HTTP/1.1 {status}".encode()), received)
            self.assertIn(b"connection: close", received.lower())
            self.assertEqual(received.count(b"HTTP/1.1 "), 1)
        await asyncio.sleep(0.2)
        ran = [run["id"] for replica in fleet.replicas for run in replica.runs]
        self.assertEqual([request for request in ran if request.startswith("behind")], [])

    async def test_what_follows_an_answer_of_the_entry_that_closes_does_not_run(self):
        """Guards against requests that run while their answers can no longer be sent."""
        async with Fleet() as fleet:
            await self.check(fleet, request_text("/none/a", "first", headers=[("Connection", "close")]), 404)

    async def test_what_follows_an_answer_of_a_server_that_closes_does_not_run(self):
        async with Fleet() as fleet:
            await self.check(fleet, request_text("/plain/a", "first", headers=[("Connection", "close")]), 200)

    async def test_what_follows_an_answer_of_the_entry_in_a_planned_stop_does_not_run(self):
        """Guards against losing answers in a planned stop, where each answer closes its connection."""
        async with Fleet() as fleet:
            entry = fleet.entries[0]
            entry.signal(signal.SIGTERM)
            await wait_until(lambda: entry.lines("stop"))
            await self.check(fleet, request_text("/none/a", "first"), 404)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
