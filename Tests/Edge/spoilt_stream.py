"""Tests that bytes of a faulty server that are no event of its run never get into a stream.

Run: spoilt_stream.py BIN [CASE...]
"""

import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from spoilt_server import NOISE, SECOND_ANSWERS, SpoiltReplica
from standin import Replica, call, configuration, wait_until
from stranded_fleet import StrandedFleet

EVENTS = "text/event-stream"
COUNT = 5
PLACES = {"before-the-first": 0, "in-the-middle": 2, "after-the-last": COUNT}


def genuine(request, first=1, last=COUNT):
    return b"".join(Replica.event_of(request, number) for number in range(first, last + 1))


class SpoiltServers:
    """A fleet whose servers of streams are spoilt ones."""

    async def start_replica(self, name, service, **more):
        kind = SpoiltReplica if service == "pool" else Replica
        replica = await kind(self.store, name, service, **more).start()
        replica.runs_of = self.runs
        self.replicas.append(replica)
        return replica

    async def forbid_resuming(self):
        document = configuration(2)
        for route in document["routes"]:
            route["resumable"] = False
        self.store.put("op/config", document)
        await self.until_version(2)

    def set_up(self, **fields):
        """All servers behave as the fields say."""
        for replica in self.of("pool"):
            replica.runs.clear()
            for name in ("noise", "framing", "goes_on", "spoilt_run", "numbers", "leading_line"):
                setattr(replica, name, fields.get(name, getattr(SpoiltReplica, name)))
            replica.place = fields.get("place", 0)

    async def stream(self, request, path="/stream/x", **more):
        return await call(self.front, path, request, accept=EVENTS, **more)


class SpoiltFleet(SpoiltServers, Fleet):
    """One entry."""


class StrandedSpoiltFleet(SpoiltServers, StrandedFleet):
    """Two entries, of which the first can lose its path to the servers."""

    async def lose_path(self):
        await self.until_members_known()
        await self.cut("reset")
        for number in range(40):
            await call(self.front, "/stream/x", f"lost-{number}", deadline_ms=500, accept=EVENTS)
            if self.entries[0].lines("path-lost"):
                return
        raise AssertionError("the entry does not know that its path is lost")


class SpoiltStream(unittest.IsolatedAsyncioTestCase):
    def check_is_resumed(self, answer, request):
        self.assertEqual((answer.status, answer.body, answer.whole), (200, genuine(request), True))

    def check_is_cut(self, answer, request):
        """Only true events, and nothing that looks complete without the last one."""
        if answer.status == 200:
            self.assertTrue(genuine(request).startswith(answer.body), answer.body)
            self.assertFalse(answer.whole, answer.body)
        else:
            self.assertEqual(answer.status, 502)

    async def check_noise(self, fleet, check, noises=NOISE, framings=("chunk", "joined", "none")):
        for name, noise in noises.items():
            for place, count in PLACES.items():
                for framing in framings:
                    for goes_on in (True, False):
                        if name.startswith("glued") and (place == "after-the-last" or not goes_on):
                            continue
                        request = f"{name}-{place}-{framing}-{goes_on}"
                        with self.subTest(request):
                            fleet.set_up(noise=noise, place=count, framing=framing, goes_on=goes_on)
                            check(await fleet.stream(request), request)
                        # The budget of retries is a share of the requests.
                        fleet.set_up()
                        sound = await fleet.stream(f"sound-{request}")
                        self.check_is_resumed(sound, f"sound-{request}")

    async def test_a_stream_goes_on_elsewhere_without_the_bytes_that_are_no_event(self):
        async with SpoiltFleet(pool=3) as fleet:
            await self.check_noise(fleet, self.check_is_resumed)

    async def test_a_stream_that_may_not_be_resumed_is_cut_before_bytes_that_are_no_event(self):
        async with SpoiltFleet(pool=3) as fleet:
            await fleet.forbid_resuming()
            await self.check_noise(fleet, self.check_is_cut)

    async def test_a_stream_passed_on_by_another_entry_goes_on_without_bytes_that_are_no_event(self):
        async with StrandedSpoiltFleet(entries=2, pool=3) as fleet:
            await fleet.lose_path()
            # Few, as the other entry does not count requests of this one in its budget of retries.
            await self.check_noise(fleet, self.check_is_resumed, {
                name: NOISE[name] for name in ("text", "id-negative", "glued-text")}, ["chunk"])
            self.assertTrue(fleet.entries[0].lines("passed-on"))

    async def test_a_stream_of_the_largest_model_goes_on_without_bytes_that_are_no_event(self):
        async with SpoiltFleet(pool=3) as fleet:
            for replica in fleet.of("pool"):
                replica.confidence = 0
            for name in ("text", "data-alone", "id-with-tail"):
                for place, count in PLACES.items():
                    with self.subTest(f"{name}-{place}"):
                        # The first run is dropped at its head, for the answer's low confidence.
                        fleet.set_up(noise=NOISE[name], place=count, spoilt_run=2)
                        request = f"{name}-{place}"
                        self.check_is_resumed(await fleet.stream(request, "/sized/x", headers=[
                            ("Fennelline-Model", "*")]), request)
            await wait_until(lambda: len(fleet.entries[0].lines("odd-event")) == 9, 3.0,
                             "each case is logged")

    async def test_events_that_are_missing_or_come_twice_do_not_reach_the_caller(self):
        orders = {"twice": [1, 2, 3, 3, 4, 5], "back": [1, 2, 3, 2, 3, 4, 5], "gap": [1, 2, 4, 5],
                  "from-the-second": [2, 3, 4, 5], "from-the-second-back": [2, 1, 2, 3, 4, 5],
                  "last-alone": [5], "none": []}
        async with SpoiltFleet(pool=3) as fleet:
            for name, numbers in orders.items():
                for framing in ("chunk", "none"):
                    with self.subTest(f"{name}-{framing}"):
                        fleet.set_up(numbers={1: numbers}, framing=framing)
                        request = f"{name}-{framing}"
                        self.check_is_resumed(await fleet.stream(request), request)

    async def test_a_stream_is_cut_where_nobody_knows_which_event_is_spoilt(self):
        async with SpoiltFleet(pool=3) as fleet:
            for place in (0, 2, 4):
                request = f"due-{place}"
                noise = b"id: %d\ndata: noise\n\n" % (place + 1)
                fleet.set_up(noise=noise, place=place)
                answer = await fleet.stream(request)
                self.assertEqual(answer.body, genuine(request, last=place) + noise)
                self.assertFalse(answer.whole)
            fleet.set_up(numbers={1: [6, 12, 18, 10]})
            self.assertFalse((await fleet.stream("steps-back")).whole)

    async def test_a_resumption_that_ends_before_the_last_event_of_the_caller_is_not_whole(self):
        async with SpoiltFleet(pool=2) as fleet:
            fleet.set_up(noise=NOISE["text"], place=3, numbers={2: [1, 2]})
            answer = await fleet.stream("short")
            self.assertEqual((answer.body, answer.whole), (genuine("short", last=3), False))

    async def test_no_events_on_a_route_that_may_not_be_resumed_are_no_stream(self):
        async with SpoiltFleet(pool=2) as fleet:
            await fleet.forbid_resuming()
            for framing in ("chunk", "none"):
                fleet.set_up(numbers={1: []}, framing=framing)
                answer = await fleet.stream(f"no-{framing}", headers=[("Last-Event-Id", "3")])
                self.assertEqual(answer.status, 502)

    async def test_events_of_another_kind_of_route_are_whole_or_cut_but_never_begun_again(self):
        class EventApp(Replica):
            async def execute(self, method, target, headers, body, fault, writer):
                request = headers["fennelline-request-id"]
                self.runs.append({"id": request})
                writer.write(self.stream_head(self.seal_headers(request)))
                for part in (b"data: a\n\n", b"data: b\n\n"):
                    writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                if fault != "break":
                    writer.write(b"0\r\n\r\n")
                    return
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
        async with Fleet(pool=0, app=0) as fleet:
            for number in range(2):
                replica = await EventApp(fleet.store, f"i-event-{number}", "app").start()
                fleet.replicas.append(replica)
                replica.register()
            for fault, is_whole in ((None, True), ("break", False)):
                for replica in fleet.replicas:
                    replica.fault = fault
                answer = await call(fleet.front, "/plain/x", f"plain-{fault}", accept=EVENTS)
                self.assertEqual((answer.status, answer.body, answer.whole),
                                 (200, b"data: a\n\ndata: b\n\n", is_whole))
                self.assertEqual(len(fleet.runs(f"plain-{fault}")), 1)

    async def test_the_version_of_the_weights_before_an_event_is_passed_on(self):
        line = b"fennelline-weight-versions: 2\n"
        async with SpoiltFleet(pool=3) as fleet:
            fleet.set_up(leading_line=line)
            answer = await fleet.stream("weights")
            whole = b"".join(line + Replica.event_of("weights", number) for number in range(1, 6))
            self.assertEqual((answer.status, answer.body, answer.whole), (200, whole, True))

    async def test_a_stream_that_counts_in_steps_is_passed_on_whole(self):
        async with SpoiltFleet(pool=3) as fleet:
            numbers = [6, 12, 18]
            fleet.set_up(numbers={1: numbers})
            answer = await fleet.stream("steps")
            whole = b"".join(Replica.event_of("steps", number) for number in numbers)
            self.assertEqual((answer.status, answer.body, answer.whole), (200, whole, True))

    async def test_a_success_that_is_no_stream_is_not_passed_on_for_one(self):
        bodies = {"plain": b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nnoise",
                  "chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\nnoise\r\n0\r\n\r\n",
                  "no-events": b"Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
                  "comment": b"Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n: noise\r\n\n"}
        async with SpoiltFleet(pool=3) as fleet:
            for name, body in bodies.items():
                with self.subTest(name):
                    async def stream(replica, run, seal, fault, writer, rest=body):
                        if len(fleet.runs(run["id"])) > 1:
                            await SpoiltReplica.stream(replica, run, seal, fault, writer)
                            return
                        sealed = "".join(f"{key}: {value}\r\n" for key, value in seal)
                        writer.write(f"HTTP/1.1 200 OK\r\n{sealed}".encode() + rest)
                    fleet.set_up()
                    for replica in fleet.of("pool"):
                        replica.stream = stream.__get__(replica)
                    answer = await call(fleet.front, "/stream/x", name, accept=EVENTS)
                    self.check_is_resumed(answer, name)

    async def test_an_answer_without_an_id_on_a_kept_connection_is_soon_given_up(self):
        async with Fleet(pool=0, app=2) as fleet:
            for number in range(6):
                await call(fleet.front, "/plain/x", f"sound-{number}")
            for replica in fleet.of("app"):
                async def execute(replica, method, target, headers, body, fault, writer):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoise")
                replica.execute = execute.__get__(replica)
            answer = await call(fleet.front, "/plain/x", "no-id")
            self.assertEqual(answer.status, 502)
            self.assertLess(answer.took_s, 0.4)

    async def test_a_second_answer_without_an_id_is_not_taken_for_the_next_request(self):
        class EchoingReplica(SpoiltReplica):
            echoes = 0

            async def stream(self, run, seal, fault, writer):
                if getattr(writer, "has_served", False):
                    writer.write(SECOND_ANSWERS[self.echoes % len(SECOND_ANSWERS)])
                    self.echoes += 1
                writer.has_served = True
                await super().stream(run, seal, fault, writer)
        async with Fleet(pool=0) as fleet:
            replica = await EchoingReplica(fleet.store, "i-echo", "pool").start()
            replica.runs_of = fleet.runs
            fleet.replicas.append(replica)
            replica.register()
            for number in range(8):
                request = f"echo-{number}"
                answer = await call(fleet.front, "/stream/x", request, accept=EVENTS)
                self.check_is_resumed(answer, request)
            self.assertGreater(replica.echoes, 2)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
