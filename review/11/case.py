"""The operator shortens the time limit of a streaming route whose callers name the model."""

import asyncio
import collections
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))

from deployment import HOST_NAME, KEY, Deployment, configuration_of, route, run_case  # noqa: E402
from ports import free_port  # noqa: E402

SERVER = os.path.join(os.path.dirname(FOLDER), "lib-3", "server.py")
ENTRIES = 3
STREAM_CALLERS = 54
HOLD_CALLERS = 36
POOL_SERVERS = 6
EVENTS = 100
PAUSE_S = 0.02
LIMIT_MS = 5000
SHORTER_LIMIT_MS = 1500
HOLD_WORK_S = 0.1
MOST_S = 30.0


class Caller:
    """Sends one request after the other on a channel that it keeps, to one entry."""

    def __init__(self, number, address, kind, counts, lost):
        self.number = number
        self.address = address
        self.kind = kind
        self.counts = counts
        # Requests on a kept channel that was closed without any byte of an answer, with the time.
        self.lost = lost

    async def run(self):
        number = 0
        while True:
            try:
                ip, port = self.address.split(":")
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                self.counts["no connection"] += 1
                await asyncio.sleep(0.2)
                continue
            is_kept = False
            while True:
                number += 1
                request = f"{self.kind}-{self.number}-{number}"
                writer.write(self.text(request))
                answer = await self.read(reader)
                self.counts[answer] += 1
                if answer == "no answer" and is_kept:
                    self.lost.append((time.monotonic(), self.address, request))
                if not answer.endswith("whole"):
                    writer.close()
                    await asyncio.sleep(0.05)
                    break
                is_kept = True

    def text(self, request):
        is_stream = self.kind == "tag"
        head = (f"POST /{self.kind}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nFennelline-Request-Id: {request}\r\n"
                f"Fennelline-Deadline-Ms: {LIMIT_MS if is_stream else 1000}\r\nAuthorization: Bearer {KEY}\r\n"
                "Content-Length: 8\r\n")
        if is_stream:
            head += ("Accept: text/event-stream\r\nFennelline-Model: model-0\r\n"
                     f"Fennelline-Token-Usage: 568,{EVENTS}\r\n")
        return head.encode() + b"\r\nquestion"

    async def read(self, reader):
        data = b""
        try:
            data = await reader.readuntil(b"\r\n\r\n")
            status = data.split(b" ")[1].decode()
            if b"chunked" not in data:
                length = int(data.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                await reader.readexactly(length)
                return f"{self.kind} {status} whole"
            tail = b""
            while not tail.endswith(b"\r\n0\r\n\r\n"):
                part = await reader.read(65536)
                if not part:
                    return f"{self.kind} {status} broken off"
                tail = (tail + part)[-7:]
            return f"{self.kind} {status} whole"
        except (asyncio.IncompleteReadError, ConnectionError):
            return "no answer" if not data else f"{self.kind} broken off"


async def start_servers(deployment, record):
    for number in range(POOL_SERVERS + 3):
        is_pool = number < POOL_SERVERS
        name = f"i-{'pool' if is_pool else 'shop'}-{number}"
        pause_s = PAUSE_S if is_pool else HOLD_WORK_S
        address = f"127.{deployment.net}.{100 + number}:{free_port()}"
        process = await deployment.start_process(SERVER, name, address, str(EVENTS), str(pause_s), "chunked",
                                                 "quiet")
        await asyncio.wait_for(process.stdout.readline(), 5)
        deployment.register(name, "pool" if is_pool else "shop", address, slots=64)
        record(f"server {name} starts")


def configuration(version, limit_ms):
    routes = [route("tag", "streaming", "pool", **{"timeout-ms": limit_ms, "goal-ms": 1000,
                                                   "gap-target-ms": 1500, "attempts": 3,
                                                   "resumable": True, "sticky": True}),
              route("hold", "non_idempotent", "shop")]
    services = [{"name": "pool", "health-path": "/healthz", "max-connections": 370,
                 "engine": {"slots": 64, "kv-capacity": 430365, "stride": 6,
                            "models": [{"name": "model-0", "cost": 0.023}]}},
                {"name": "shop", "health-path": "/healthz", "max-connections": 110}]
    return configuration_of(version, routes, services)


async def play(record, has_trouble):
    async with Deployment(configuration(1, LIMIT_MS), ENTRIES) as deployment:
        await start_servers(deployment, record)
        await asyncio.sleep(0.5)
        counts, lost, tasks = collections.Counter(), [], []
        for number in range(STREAM_CALLERS + HOLD_CALLERS):
            front = deployment.entries[number % ENTRIES].address("front")
            kind = "tag" if number < STREAM_CALLERS else "hold"
            tasks.append(asyncio.create_task(Caller(number, front, kind, counts, lost).run()))
        record(f"{STREAM_CALLERS} callers of streams and {HOLD_CALLERS} of reservations begin")
        await asyncio.sleep(10.0)
        if has_trouble:
            deployment.store.put("op/config", configuration(2, SHORTER_LIMIT_MS))
            record(f"the operator writes version 2: timeout-ms {SHORTER_LIMIT_MS} instead of {LIMIT_MS}")
        ends = {}
        end = time.monotonic() + MOST_S
        while time.monotonic() < end and not ends:
            await asyncio.sleep(0.05)
            ends = {entry: entry.process.returncode for entry in deployment.entries
                    if entry.process.returncode is not None}
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for answer, number in sorted(counts.items()):
            record(f"clients have: {answer}: {number}")
        problems = []
        for entry, code in ends.items():
            name = signal.Signals(-code).name if code < 0 else code
            record(f"{entry.name} has ended by itself: {name}")
            mine = [request for _, address, request in lost if address == entry.address("front")]
            if len(mine) > 3:
                problems.append(f"LOST: {entry.name} ended by itself ({name}); {len(mine)} requests on kept "
                                f"channels got no answer: {' '.join(mine[:5])} ...")
        return problems


run_case(FOLDER, play, os.environ["TROUBLE"] != "0")
