"""Tests that entries of tests which run at the same time never get the same port.

Run: port_blocks.py BIN [CASE...]
"""

import asyncio
import os
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import Fleet
from standin import Entry, free_port

ENTRIES = 80
TAKE_AND_WAIT = """
import sys
sys.path.insert(0, sys.argv[1])
from standin import free_port
print(*(free_port() for _ in range(200)), flush=True)
sys.stdin.read()
"""


class PortBlocks(unittest.TestCase):
    def test_the_entries_of_a_test_share_no_port(self):
        entries = [Entry("", "", number, "", free_port(), []) for number in range(ENTRIES)]
        ports = [port for entry in entries for port in (*entry.ports.values(), entry.datagram_port)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_test_processes_beside_each_other_share_no_port(self):
        command = [sys.executable, "-c", TAKE_AND_WAIT, os.path.dirname(os.path.abspath(__file__))]
        processes = [subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
                     for _ in range(4)]
        taken = [set(process.stdout.readline().split()) for process in processes]
        for process in processes:
            process.communicate()
        self.assertEqual(len(set.union(*taken)), sum(len(ports) for ports in taken))

    def test_an_entry_that_cannot_bind_is_reported_with_its_log(self):
        async def start():
            async with Fleet() as fleet:
                taken = fleet.entries[0]
                other = Entry(Fleet.binary, fleet.folder, 1, fleet.store.address, free_port(), [])
                other.ip, other.ports = taken.ip, taken.ports
                await other.start()
                await fleet.until_ready(other)

        with self.assertRaisesRegex(AssertionError, "cannot bind"):
            asyncio.run(start())


if __name__ == "__main__":
    Fleet.binary = os.path.join(sys.argv.pop(1), "fennelline-edge")
    unittest.main(verbosity=1)
