"""Tests a backend server that writes an earlier refusal once more on a kept connection.

Run: repeated_refusal.py BIN [CASE...]
"""

import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import call, encode_response

NOT_RUN = (408, 421, 429, 503)


def without_id(refusal):
    return b"\r\n".join(line for line in refusal.split(b"\r\n")
                        if not line.lower().startswith(b"fennelline-request-id"))


async def write_parts(writer, *parts):
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)


class RepeatedRefusal(unittest.IsolatedAsyncioTestCase):
    async def expect_no_false_refusal(self, repeats, path="/plain/", servers=1, rounds=12):
        """A request that a server ran is not told that it has not run, nor does it run again."""
        async with Fleet(entries=1, app=servers) as fleet:
            entry = fleet.entries[0]
            for number in range(rounds):
                for replica in fleet.of("app"):
                    replica.repeats_refusal = repeats
                    replica.fault = "shed"
                await call(fleet.front, path, f"refused-{number}")
                for replica in fleet.of("app"):
                    replica.fault = None
                # The refusals keep requests from the servers for a moment.
                await asyncio.sleep(0.1)
                request = f"run-{number}"
                answer = await call(fleet.front, path, request)
                # A server may begin to run it after the copy.
                await asyncio.sleep(0.1)
                runs = fleet.runs(request)
                self.assertLessEqual(len(runs), 1, request)
                if runs:
                    self.assertNotIn(answer.status, NOT_RUN, request)
                if answer.status in NOT_RUN:
                    self.assertEqual(runs, [], request)
            self.assertEqual(entry.process.returncode, None)
            return [fleet.runs(f"run-{number}") for number in range(rounds)]

    async def test_a_copy_with_its_id_belongs_to_no_other_request(self):
        runs = await self.expect_no_false_refusal(write_parts)
        self.assertTrue(any(runs))

    async def test_a_copy_without_an_id_belongs_to_no_other_request(self):
        runs = await self.expect_no_false_refusal(
            lambda writer, refusal: write_parts(writer, without_id(refusal)))
        self.assertTrue(any(runs))

    async def test_a_request_does_not_run_at_a_second_server_for_a_copy_without_an_id(self):
        await self.expect_no_false_refusal(
            lambda writer, refusal: write_parts(writer, without_id(refusal)), servers=2)

    async def test_a_copy_in_parts_belongs_to_no_other_request(self):
        def in_parts(writer, refusal):
            copy = without_id(refusal)
            return write_parts(writer, copy[:9], copy[9:40], copy[40:])
        await self.expect_no_false_refusal(in_parts)

    async def test_a_copy_without_an_id_that_says_misdirected_belongs_to_no_other_request(self):
        misdirected = encode_response(421, headers=[("Fennelline-Replica-Id", "i-other")])
        await self.expect_no_false_refusal(
            lambda writer, refusal: write_parts(writer, misdirected))

    async def test_two_copies_belong_to_no_other_request(self):
        await self.expect_no_false_refusal(
            lambda writer, refusal: write_parts(writer, without_id(refusal), without_id(refusal)))

    async def test_a_request_that_runs_once_is_not_answered_by_a_copy(self):
        await self.expect_no_false_refusal(
            lambda writer, refusal: write_parts(writer, without_id(refusal)), path="/once/")

    async def test_a_refusal_without_an_id_is_no_promise_that_the_request_has_not_run(self):
        async with Fleet(entries=1, app=1) as fleet:
            replica = fleet.of("app")[0]
            refusal = replica.rejection
            replica.rejection = lambda request: without_id(refusal(request))
            replica.fault = "shed"
            answer = await call(fleet.front, "/once/", "r1")
            self.assertEqual(answer.status, 502)


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
