"""Tests what entries do with values of the store that another writer has left there.

Run: odd_entries.py BIN [CASE...]
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Replica, call, configuration, wait_until


def server(**fields):
    row = {"backend": '"app"', "address": '"127.0.0.1:9"', "zone": '"zone-a"', "version": '"v1"',
           "slots": "8", "state": '"ready"', "cold-left-ms": "0", "sequence": "1", "born": "1"}
    row.update({name.replace("_", "-"): value for name, value in fields.items()})
    return ("{" + ",".join(f'"{name}":{value}' for name, value in row.items()) + "}").encode()


LARGE_INTEGER = "9" * 400
DEEP = 200_000

ODD_SERVERS = {
    "number-too-large": server(slots="1e400"),
    "integer-too-large": server(slots=LARGE_INTEGER),
    "start-too-large": server(born=LARGE_INTEGER),
    "start-above-signed": server(born="18446744073709551615"),
    "start-negative-overflow": server(born="-" + LARGE_INTEGER),
    "fraction-too-large": server(cold_left_ms="-1e999"),
    "unknown-field-too-large": server(unknown="[1e400]"),
    "sequence-too-large": server(sequence="1e400"),
    "deep-array": b"[" * DEEP + b"]" * DEEP,
    "deep-array-open": b"[" * DEEP,
    "deep-object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "deep-field": server(zone="[" * DEEP + "]" * DEEP),
    "port-too-large": server(address='"127.0.0.1:70000"'),
    "port-overflow": server(address=f'"127.0.0.1:{LARGE_INTEGER}"'),
    "port-negative": server(address='"127.0.0.1:-1"'),
    "port-zero": server(address='"127.0.0.1:0"'),
    "port-missing": server(address='"127.0.0.1"'),
    "address-nul": server(address='"127.0.0.1\\u0000:80"'),
    "bytes-nul": b"\x00\x00",
    "bytes-not-utf8": server(zone='"\xff\xfe"').decode().encode("latin-1"),
    "surrogate": server(zone='"\\ud800"'),
    "empty": b"",
    "null": b"null",
    "number": b"1e400",
    "state-unknown": server(state='"asleep"'),
}


class OddEntries(unittest.IsolatedAsyncioTestCase):
    async def expect_alive(self, fleet, name):
        """The entries run, and follow a change that comes later."""
        late = await fleet.add_replica(f"i-late-{name}", "app")
        await wait_until(lambda: all(any(line.get("backend") == late.name
                                         for line in entry.lines("backend"))
                                     or entry.process.returncode is not None
                                     for entry in fleet.entries), 10, f"all follow after {name}")
        for entry in fleet.entries:
            self.assertIsNone(entry.process.returncode, f"{entry.name} has ended after {name}")
        fleet.store.delete(f"servers/{late.name}")
        await late.stop()
        fleet.replicas.remove(late)

    async def test_no_odd_entry_of_a_server_ends_an_entry(self):
        async with Fleet(entries=3) as fleet:
            await fleet.until_members_known()
            for name, value in ODD_SERVERS.items():
                with self.subTest(name):
                    fleet.store.put(f"servers/i-odd-{name}", value)
                    await self.expect_alive(fleet, name)
            for number in range(6):
                answer = await call(fleet.entries[number % 3].address("front"), "/once/", f"r{number}")
                self.assertEqual(answer.status, 200)

    async def test_a_known_server_with_an_odd_entry_gets_no_requests_until_it_is_readable(self):
        async with Fleet(entries=1) as fleet:
            odd, other = fleet.of("app")
            fleet.store.put(f"servers/{odd.name}", server(slots="1e400"))
            await wait_until(lambda: fleet.entries[0].lines("unreadable"))
            for number in range(10):
                self.assertEqual((await call(fleet.front, "/once/", f"a{number}")).status, 200)
            self.assertEqual((len(odd.runs), len(other.runs)), (0, 10))
            odd.register()
            await wait_until(lambda: len([line for line in fleet.entries[0].lines("backend")
                                          if line["backend"] == odd.name]) == 2)
            for number in range(20):
                self.assertEqual((await call(fleet.front, "/once/", f"b{number}")).status, 200)
            self.assertGreater(len(odd.runs), 0)

    async def test_no_odd_value_under_another_key_ends_an_entry(self):
        async with Fleet(entries=3) as fleet:
            await fleet.until_members_known()
            values = (b'{"version":1e400}', b'{"target":"v2","duration-s":1e400}',
                      f'{{"refusals":{LARGE_INTEGER}}}'.encode(), b"[" * DEEP, b"", b"\xff")
            keys = ("op/rollout/app", "op/config", "status/rollout/app", "fennelline/crash/x",
                    "fennelline/rollout/app", "unknown/key")
            for key in keys:
                for number, value in enumerate(values):
                    with self.subTest(key=key, value=value[:40]):
                        fleet.store.put(key, value)
                        await self.expect_alive(fleet, f"{key.replace('/', '-')}-{number}")
            fleet.store.put("op/config", configuration(2, keys=("key-2",)))
            await fleet.until_version(2)
            self.assertEqual((await call(fleet.front, "/plain/", "r1", key="key-1")).status, 401)
            self.assertEqual((await call(fleet.front, "/plain/", "r2", key="key-2")).status, 200)

    async def test_numbers_that_arithmetic_does_not_hold_leave_requests_as_they_are(self):
        async with Fleet(entries=1) as fleet:
            odd = configuration(2)
            for route in odd["routes"]:
                route.update({"attempts": 2 ** 31 - 1, "priority": 2 ** 31 - 1})
            fleet.store.put("op/config", odd)
            await fleet.until_version(2)
            full = fleet.of("app")[0]
            full.fault = "shed"
            for number in range(10):
                self.assertEqual((await call(fleet.front, "/plain/", f"r{number}")).status, 200)
            await call(fleet.front, "/stream/", "s1", accept="text/event-stream")
            priorities = [run["headers"].get("fennelline-request-priority")
                          for replica in fleet.of("pool") for run in replica.runs]
            self.assertEqual(priorities, ["9"])


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
