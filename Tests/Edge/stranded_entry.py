"""Tests that callers of entries without a path to the backend servers are served by other entries.

Run: stranded_entry.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import CONTACT_S, is_served
from fleet import Fleet
from standin import MOST_MEMORY_KB, Replica, call, wait_until
from stranded_fleet import StrandedFleet

EVENTS = "text/event-stream"
# Bounds of the platform's rule, from the contact time after the beginning of the cut on.
LEAST_OF_OTHERS = 2 / 3
MOST_FAILED = 10
MOST_FAILED_SHARE = 1 / 50
ROUTES = ("/plain/x", "/once/x", "/stream/x")


async def send_to(entries, seconds, prefix, per_second=16):
    """Sends requests on all routes to each of the entries; returns rows (sent at, entry, answer)."""
    calls = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        for entry in entries:
            path = ROUTES[number % len(ROUTES)]
            calls.append((time.monotonic(), entry, asyncio.create_task(
                call(entry.address("front"), path, f"{prefix}-{number}",
                     accept=EVENTS if path.startswith("/stream") else ""))))
            number += 1
        await asyncio.sleep(1 / per_second)
    return [(at, entry, await task) for at, entry, task in calls]


class StrandedEntry(unittest.IsolatedAsyncioTestCase):
    async def check_served_while_cut(self, how):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            await fleet.until_members_known()
            traffic = asyncio.create_task(send_to(fleet.entries, 8.0, how))
            await asyncio.sleep(1.0)
            await fleet.cut(how)
            cut_at = time.monotonic()
            rows = [row for row in await traffic if row[0] > cut_at + CONTACT_S]
            served = {entry.name: [is_served(answer) for _, at_entry, answer in rows
                                   if at_entry is entry] for entry in fleet.entries}
            stranded = sum((served[entry.name] for entry in fleet.stranded), [])
            others = sum((served[entry.name] for entry in fleet.others), [])
            self.assertGreater(len(stranded), 50)
            self.assertGreaterEqual(sum(stranded) / len(stranded),
                                    LEAST_OF_OTHERS * sum(others) / len(others))
            self.assertLessEqual(stranded.count(False),
                                 MOST_FAILED + MOST_FAILED_SHARE * len(stranded))

    async def test_callers_are_served_where_connections_to_servers_hang(self):
        await self.check_served_while_cut("hang")

    async def test_callers_are_served_where_connections_to_servers_are_reset(self):
        await self.check_served_while_cut("reset")

    async def test_callers_are_served_where_only_new_connections_are_refused(self):
        await self.check_served_while_cut("refuse")

    async def lose_path(self, fleet, how="reset"):
        """Cuts the stranded entry off; returns its address once it knows that."""
        await fleet.until_members_known()
        await fleet.cut(how)
        entry = fleet.stranded[0]
        for number in range(40):
            for path in ("/once/lost", "/stream/lost"):
                await call(entry.address("front"), path, f"lost-{path}-{number}", deadline_ms=500,
                           accept=EVENTS)
            if len({line["service"] for line in entry.lines("path-lost")}) == 2:
                return entry.address("front")
        raise AssertionError("the entry does not know that its path is lost")

    async def test_requests_go_the_direct_way_again_once_the_path_is_back(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            front = await self.lose_path(fleet)
            await fleet.heal()
            entry = fleet.stranded[0]
            await wait_until(lambda: len(entry.lines("path-regained")) == 2, 3.0)
            passed_on = len(entry.lines("passed-on"))
            for number, path in enumerate(ROUTES * 4):
                self.assertTrue(is_served(await call(front, path, f"back-{number}", accept=EVENTS)))
            await fleet.until_logged("back-11")
            self.assertEqual(len(entry.lines("passed-on")), passed_on)

    async def test_nothing_is_passed_on_while_the_paths_are_there(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            await fleet.until_members_known()
            await send_to(fleet.entries, 3.0, "calm")
            self.assertEqual([line for entry in fleet.entries for event in ("passed-on", "path-lost")
                              for line in entry.lines(event)], [])

    async def test_a_request_is_refused_soon_as_not_run_where_all_entries_have_lost_their_path(self):
        async with StrandedFleet(entries=2, pool=2, app=2) as fleet:
            front = await self.lose_path(fleet)
            for replica in fleet.replicas:
                await replica.stop(is_reset=True)
            for number in range(30):
                await call(fleet.others[0].address("front"), "/once/x", f"other-{number}")
                await call(fleet.others[0].address("front"), "/stream/x", f"other-s{number}")
            ran = sum(len(replica.runs) for replica in fleet.replicas)
            for number, path in enumerate(ROUTES * 3):
                answer = await call(front, path, f"all-{number}", accept=EVENTS)
                self.assertEqual(answer.status, 503, path)
                self.assertIn("retry-after", answer.headers)
                self.assertLess(answer.took_s, 0.5, path)
            self.assertEqual(sum(len(replica.runs) for replica in fleet.replicas), ran)

    async def test_a_request_that_cannot_be_repeated_runs_once_also_where_the_helper_is_killed(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            front = await self.lose_path(fleet)
            for replica in fleet.of("app"):
                replica.work_s = 1.0
            running = asyncio.create_task(call(front, "/once/x", "r1"))
            await wait_until(lambda: fleet.runs("r1"))
            await fleet.others[0].end()
            self.assertEqual((await running).status, 502)
            self.assertEqual(len(fleet.runs("r1")), 1)

    async def test_what_a_server_gets_and_a_caller_receives_is_as_on_the_direct_way(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            front = await self.lose_path(fleet)
            answer = await call(front, "/plain/a?b=%20c", "r1", deadline_ms=1000,
                                headers=[("Fennelline-Tenant", "forged"), ("X-Own", "kept")])
            self.assertEqual((answer.status, answer.body), (200, Replica.body_of("r1")))
            self.assertTrue(answer.headers["fennelline-response-seal"].startswith("seal-"))
            run = fleet.runs("r1")[0]
            self.assertEqual((run["target"], run["body"]), ("/plain/a?b=%20c", b"question"))
            self.assertEqual((run["headers"]["fennelline-tenant"], run["headers"]["x-own"]),
                             ("tenant-1", "kept"))
            self.assertLessEqual(int(run["headers"]["fennelline-deadline-ms"]), 1000)
            for name in ("authorization", "entry-runs-left", "entry-configuration"):
                self.assertNotIn(name, run["headers"])
            self.assertEqual((await call(front, "/plain/x", "r2", key="wrong")).status, 401)
            for replica in fleet.of("app"):
                replica.fault = "error"
            answer = await call(front, "/plain/x", "r3")
            self.assertEqual((answer.status, answer.body), (500, b"failed"))
            self.assertLessEqual(len(fleet.runs("r3")), 3)

    async def test_a_stream_goes_on_over_another_entry_where_its_path_is_lost(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            await fleet.until_members_known()
            for replica in fleet.of("pool"):
                replica.events, replica.work_s = 20, 0.1
            front = fleet.stranded[0].address("front")
            streams = [asyncio.create_task(call(front, "/stream/x", f"s{number}", accept=EVENTS,
                                                deadline_ms=8000)) for number in range(3)]
            await asyncio.sleep(0.6)
            await fleet.cut("reset")
            for number, task in enumerate(streams):
                answer = await task
                whole = b"".join(Replica.event_of(f"s{number}", event) for event in range(1, 21))
                self.assertEqual((answer.status, answer.body, answer.whole), (200, whole, True))

    async def test_an_error_typed_as_a_stream_does_not_get_into_a_stream_over_another_entry(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            await fleet.until_members_known()
            for replica in fleet.of("pool"):
                replica.events, replica.work_s = 20, 0.1
                replica.resumption_status = 404
                # Its text has the form of an event that would be next.
                replica.resumption = [b"id: 1000\ndata: no such model\n\n"]
            front = fleet.stranded[0].address("front")
            stream = asyncio.create_task(call(front, "/stream/x", "s1", accept=EVENTS,
                                              deadline_ms=8000))
            await asyncio.sleep(0.6)
            await fleet.cut("reset")
            answer = await stream
            self.assertNotIn(b"no such model", answer.body)
            self.assertFalse(answer.whole)

    async def test_a_caller_that_leaves_ends_the_work_at_the_server_behind_another_entry(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            front = await self.lose_path(fleet)
            for replica in fleet.of("pool"):
                replica.events, replica.work_s = 100, 0.1
            await call(front, "/stream/x", "s1", accept=EVENTS, stop_after=30, deadline_ms=8000)
            await wait_until(lambda: not any(replica.has_open_peers_of("s1")
                                             for replica in fleet.of("pool")), 0.5)

    async def test_an_answer_without_end_to_a_slow_caller_takes_no_memory_at_either_entry(self):
        async with StrandedFleet(entries=2, pool=3, app=3) as fleet:
            front = await self.lose_path(fleet)
            for replica in fleet.of("app"):
                replica.fault = "endless-body"
            ip, port = front.split(":")
            _, writer = await asyncio.open_connection(ip, int(port), limit=1024)
            writer.transport.pause_reading()
            writer.write(b"POST /plain/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
                         b"Authorization: Bearer key-1\r\nFennelline-Deadline-Ms: 2000\r\n"
                         b"Fennelline-Request-Id: r1\r\n\r\n")
            await wait_until(lambda: any(line["id"] == "r1"
                                         for line in fleet.stranded[0].lines("request")))
            writer.transport.abort()
            for entry in fleet.entries:
                self.assertLess(entry.peak_memory_kb(), MOST_MEMORY_KB)

    async def test_the_port_between_entries_serves_nobody_whom_the_callers_port_would_not(self):
        async with StrandedFleet(entries=2, pool=2, app=2) as fleet:
            await fleet.until_members_known()
            entry = fleet.others[0]
            port = f"{entry.ip}:{entry.datagram_port}"
            mark = [("Entry-Runs-Left", "1"), ("Entry-Configuration", "1")]
            self.assertEqual((await call(port, "/plain/x", "r1")).status, 400)
            self.assertEqual((await call(port, "/plain/x", "r2", key="wrong", headers=mark)).status,
                             401)
            forged = mark + [("Fennelline-Tenant", "forged"), ("Fennelline-Expect-Replica", "any")]
            self.assertEqual((await call(port, "/plain/x", "r3", headers=forged)).status, 200)
            self.assertEqual(fleet.runs("r3")[0]["headers"]["fennelline-tenant"], "tenant-1")
            newer = [("Entry-Runs-Left", "1"), ("Entry-Configuration", "7")]
            answer = await call(port, "/plain/x", "r4", headers=newer)
            self.assertEqual((answer.status, answer.headers.get("entry-not-taken")), (503, "1"))
            self.assertEqual(fleet.runs("r4"), [])

    async def test_an_entry_that_lost_its_path_does_not_pass_on_the_requests_of_others(self):
        async with StrandedFleet(entries=2, pool=2, app=2) as fleet:
            await self.lose_path(fleet)
            entry = fleet.stranded[0]
            passed_on = len(entry.lines("passed-on"))
            mark = [("Entry-Runs-Left", "1"), ("Entry-Configuration", "1")]
            answer = await call(f"{entry.ip}:{entry.datagram_port}", "/plain/x", "r1", headers=mark)
            self.assertEqual((answer.status, answer.headers.get("entry-not-taken")), (503, "1"))
            self.assertEqual((len(entry.lines("passed-on")), fleet.runs("r1")), (passed_on, []))

    async def test_a_cut_from_all_servers_makes_no_content_or_part_suspect(self):
        async with StrandedFleet(entries=2, pool=4, app=3) as fleet:
            await fleet.until_members_known()
            for replica in fleet.of("pool"):
                replica.events, replica.work_s = 20, 0.1
            front = fleet.stranded[0].address("front")
            headers = [("Fennelline-Prompt-Prefix", "aa:100,bb:50,%x:5"),
                       ("Fennelline-Token-Usage", "155,50")]
            streams = []
            for number in range(12):
                prefix = [(name, value % number if "%" in value else value)
                          for name, value in headers]
                streams.append(asyncio.create_task(
                    call(front, "/stream/x", f"s{number}", accept=EVENTS, headers=prefix,
                         body=f"{number}".encode(), deadline_ms=8000)))
            await wait_until(lambda: sum(len(replica.runs) for replica in fleet.of("pool")) == 12)
            await fleet.cut("reset")
            await asyncio.gather(*streams)
            self.assertEqual([line for entry in fleet.entries
                              for line in entry.lines("content-refused")], [])


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
