"""Starts, registers and ends replicas that are processes of their own."""

import asyncio
import os
import signal
import sys
import time

from bed import START_S, standin, wait_until

HERE = os.path.dirname(os.path.abspath(__file__))


class OwnReplica:
    """A replica in a process of its own; the test keeps its entry in the store."""

    def __init__(self, bed, name, service):
        self.bed = bed
        self.name = name
        self.service = service
        self.port = standin.reserve_port("127.0.0.1")
        self.runs_path = os.path.join(bed.folder, f"{name}.runs")
        self.process = None
        self.born = 0
        self.server = None

    def lines(self):
        if not os.path.exists(self.runs_path):
            return []
        with open(self.runs_path, encoding="utf-8") as file:
            return [line.split() for line in file.read().splitlines()]

    async def start(self):
        self.born = int(time.time() * 1000)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(HERE, "replica.py"), self.name, str(self.port), self.runs_path)
        self.server = self.process
        await wait_until(lambda: ["listening"] in self.lines(), START_S, f"{self.name} listens")

    def register(self, state="ready"):
        self.bed.store.put(f"servers/{self.name}", {
            "backend": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "v1",
            "slots": 64, "state": state, "cold-left-ms": 0, "sequence": 1, "born": self.born})

    def kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def stop(self):
        self.kill()
        await self.process.wait()
