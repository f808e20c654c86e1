"""Tests that a part of prompts which crashes servers is soon refused, and only that part.

Run: crashing_part.py BIN [CASE...]
"""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import CONTACT_S, CRASHES_OF_PART, MOST_LATE_RUNS, CrashingFleet, is_served
from fleet import Fleet
from standin import call, wait_until

EVENTS = "text/event-stream"
DEADLY = "dead01"
POPULAR = "50de"
# Sound requests with the same first part are served at least this often, from twice the contact
# time after the fifth crash.
LEAST_SERVED = 0.5


class Traffic:
    """Requests with prompts, no two alike, sent to the entries in turn."""

    def __init__(self, fleet, path="/stream/report"):
        self.fleet = fleet
        self.path = path
        self.calls = []

    def send(self, *parts, path=None):
        """Sends a request whose prompt has these parts before its own; returns its id."""
        number = len(self.calls)
        request = f"r{number}"
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        prompt = ",".join(f"{part}:400" for part in (*parts, f"{number + 1:x}"))
        headers = [("Fennelline-Prompt-Prefix", prompt), ("Fennelline-Token-Usage", "1200,50")]
        self.calls.append((parts, time.monotonic(), asyncio.create_task(
            call(entry.address("front"), path or self.path, request, body=request.encode(),
                 accept=EVENTS, headers=headers, deadline_ms=6000))))
        return request

    async def answers(self, is_wanted):
        """Answers to the requests that is_wanted(parts, sent_at) chooses."""
        return [await task for parts, sent_at, task in self.calls if is_wanted(parts, sent_at)]


class CrashingPart(unittest.IsolatedAsyncioTestCase):
    async def check_is_refused(self, fleet, deadly_prompt, seconds=22.0):
        """Sends 20 requests a second, every eighth with the deadly part."""
        await fleet.until_members_known()
        traffic = Traffic(fleet)
        for number in range(int(seconds * 20)):
            if number == 20:
                fleet.crash_under(DEADLY)
            own = f"70{number % 12:x}"
            traffic.send(*([POPULAR, own] if number % 8 else deadly_prompt))
            await asyncio.sleep(0.05)
        deadly = await traffic.answers(lambda parts, _: DEADLY in parts)
        crashes = fleet.crashes()
        self.assertLessEqual(len(fleet.late_runs_with(DEADLY)), MOST_LATE_RUNS,
                             f"{len(crashes)} crashes")
        settled = (crashes + crashes[-1:] * CRASHES_OF_PART)[CRASHES_OF_PART - 1] + 2 * CONTACT_S
        sound = await traffic.answers(lambda parts, at: DEADLY not in parts and at > settled)
        served = sum(is_served(answer) for answer in sound)
        self.assertGreater(len(sound), 20)
        self.assertGreater(served / len(sound), LEAST_SERVED, f"{len(crashes)} crashes")
        self.assertEqual({answer.status for answer in deadly[-10:]}, {503})
        self.assertTrue(all("retry-after" in answer.headers for answer in deadly[-10:]))

    async def test_a_part_that_crashes_servers_is_refused_by_all_entries(self):
        async with CrashingFleet(entries=3, pool=8) as fleet:
            await self.check_is_refused(fleet, [POPULAR, DEADLY])

    async def test_a_part_that_crashes_servers_is_refused_by_a_single_entry(self):
        async with CrashingFleet(entries=1, pool=8) as fleet:
            await self.check_is_refused(fleet, [POPULAR, DEADLY])

    async def test_a_part_that_crashes_servers_is_refused_wherever_it_stands(self):
        async with CrashingFleet(entries=3, pool=8) as fleet:
            await self.check_is_refused(fleet, [DEADLY, POPULAR, "7001"])

    async def test_a_popular_part_beside_crashes_of_other_causes_is_served(self):
        async with CrashingFleet(entries=3, pool=9) as fleet:
            await fleet.until_members_known()
            traffic = Traffic(fleet)
            for replica in fleet.of("pool"):
                replica.work_s = 0.05

            def busy():
                return [replica for replica in fleet.of("pool")
                        if replica.has_open_peers() and not replica.crash_times]

            async def crash_six():
                for _ in range(6):
                    await wait_until(busy)
                    await busy()[0].crash()
                    await asyncio.sleep(0.3)

            for number in range(24):
                traffic.send(POPULAR, f"70{number % 4}")
            await traffic.answers(lambda *_: True)
            crashes = asyncio.create_task(crash_six())
            for number in range(120):
                traffic.send(POPULAR, f"70{number % 4}")
                await asyncio.sleep(0.02)
            await crashes
            last = time.monotonic()
            for number in range(72):
                traffic.send(POPULAR, f"70{number % 4}")
                await asyncio.sleep(0.02)
            answers = await traffic.answers(lambda _, at: at >= last)
            self.assertEqual([answer.status for answer in answers if not is_served(answer)], [])

    async def test_a_stream_under_way_when_its_server_crashes_goes_on_elsewhere(self):
        async with CrashingFleet(entries=1, pool=6) as fleet:
            for replica in fleet.of("pool"):
                replica.events, replica.work_s = 30, 0.1
            traffic = Traffic(fleet)
            for number in range(12):
                traffic.send(POPULAR, f"70{number}")
            # Their servers have been answering for longer than it takes to clear the parts.
            await asyncio.sleep(1.5)
            fleet.crash_under(DEADLY)
            # It crashes two servers, and a stream may run on three.
            traffic.send(POPULAR, DEADLY)
            sound = await traffic.answers(lambda parts, _: DEADLY not in parts)
            self.assertEqual([answer.status for answer in sound if not is_served(answer)], [])

    async def test_a_part_whose_callers_leave_before_the_crash_is_refused(self):
        async with CrashingFleet(entries=1, pool=8) as fleet:
            for replica in fleet.of("pool"):
                replica.events, replica.work_s, replica.crash_after_head_s = 10, 0.1, 0.05
            traffic = Traffic(fleet)
            for number in range(300):
                if number == 40:
                    fleet.crash_under(DEADLY)
                if number % 8 == 0:
                    traffic.send(POPULAR, DEADLY)
                    leaving = traffic.calls[-1][2]
                    asyncio.get_running_loop().call_later(0.04, leaving.cancel)
                else:
                    traffic.send(POPULAR, f"70{number % 12:x}")
                await asyncio.sleep(0.05)
            await asyncio.gather(*(task for *_, task in traffic.calls), return_exceptions=True)
            self.assertLessEqual(len(fleet.late_runs_with(DEADLY)), MOST_LATE_RUNS,
                                 f"{len(fleet.crashes())} crashes")


class RefusedPart(unittest.IsolatedAsyncioTestCase):
    async def refuse(self, fleet):
        """Makes all entries refuse DEADLY; returns the traffic."""
        await fleet.until_members_known()
        traffic = Traffic(fleet, "/once/report")
        # A part that has never run well cannot be told from one that crashes the servers it is on.
        for _ in fleet.entries:
            traffic.send(POPULAR)
        for answer in await traffic.answers(lambda *_: True):
            self.assertTrue(is_served(answer))
        fleet.crash_under(DEADLY)
        for _ in range(6):
            traffic.send(POPULAR)
            traffic.send(POPULAR, DEADLY)
            await asyncio.gather(*(task for *_, task in traffic.calls[-2:]))
        await wait_until(lambda: all(any(line["content"].startswith(f"part-{DEADLY}")
                                         for line in entry.lines("content-refused"))
                                     for entry in fleet.entries))
        return traffic

    async def test_only_one_request_in_the_fleet_tries_a_refused_part(self):
        async with CrashingFleet(entries=3, app=8) as fleet:
            traffic = await self.refuse(fleet)
            refused_at = time.monotonic()
            while time.monotonic() < refused_at + 8.0:
                traffic.send(POPULAR, DEADLY)
                await asyncio.sleep(0.02)
            await traffic.answers(lambda parts, _: DEADLY in parts)
            # The refusals last 5 s and 60 s.
            self.assertEqual(sum(at > refused_at for at in fleet.crashes()), 1)

    async def test_a_refused_part_that_no_longer_crashes_servers_is_served_again(self):
        async with CrashingFleet(entries=3, app=4) as fleet:
            traffic = await self.refuse(fleet)
            fleet.crash_under()
            served_at = []
            for _ in range(60):
                traffic.send(POPULAR)
                traffic.send(POPULAR, DEADLY)
                answer = await traffic.calls[-1][2]
                served_at += [time.monotonic()] if is_served(answer) else []
                if len(served_at) == 6:
                    break
                await asyncio.sleep(0.2)
            self.assertEqual(len(served_at), 6)

    async def test_a_part_is_still_refused_after_all_entries_were_killed(self):
        async with CrashingFleet(entries=2, app=4) as fleet:
            await self.refuse(fleet)
            await wait_until(lambda: any(key.startswith("fennelline/crash/part-")
                                         for key in fleet.store.items))
            for entry in fleet.entries:
                await entry.end()
            ran = len(fleet.crashes())
            for entry in fleet.entries:
                await entry.start()
                await wait_until(lambda e=entry: len(e.lines("ready")) == 2)
            late = Traffic(fleet, "/once/late")
            for _ in range(4):
                late.send(POPULAR, DEADLY)
            statuses = [answer.status for answer in await late.answers(lambda *_: True)]
            self.assertEqual((statuses, len(fleet.crashes()) - ran), ([503] * 4, 0))


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
