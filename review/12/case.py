"""Streams without a length whose server crashes: their parts reach clients as complete streams."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))

from deployment import HEARTBEAT_S, HOST_NAME, KEY, Deployment, configuration_of, route, run_case  # noqa: E402
from ports import free_port  # noqa: E402

SERVER = os.path.join(os.path.dirname(FOLDER), "lib-3", "server.py")
ENTRIES = 3
SERVICE = "pool"
# One of four servers of the service crashes in a round.
STAYING = 3
ROUNDS = 10
STREAMS = 120
EVENTS = 20
PAUSE_S = 0.1


class Servers:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        # Streams that each server runs.
        self.running = {}

    async def start(self, name):
        address = f"127.{self.deployment.net}.{100 + len(self.deployment.processes)}:{free_port()}"
        process = await self.deployment.start_process(SERVER, name, address, str(EVENTS), str(PAUSE_S), "close")
        line = (await asyncio.wait_for(process.stdout.readline(), 5)).decode()
        assert "listens" in line, line
        self.running[name] = set()
        asyncio.get_running_loop().create_task(self.read_lines(process, name))
        self.deployment.register(name, SERVICE, address, slots=64)
        self.record(f"server {name} starts at {address}")
        return process

    async def read_lines(self, process, name):
        while words := (await process.stdout.readline()).decode().split():
            if words[1] == "runs":
                self.running[name].add(words[2])
            else:
                self.running[name].discard(words[2])

    async def crash(self, process, name):
        process.kill()
        self.deployment.beating.pop(name)
        self.record(f"server {name} crashes (SIGKILL); it runs {len(self.running[name])} streams")
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.deployment.store.delete(f"servers/{name}")


async def read_stream(address, request, record):
    """Returns the status, the numbers of the events, and whether the answer was complete."""
    ip, port = address.split(":")
    status, body, is_whole = 0, b"", False
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(f"POST /draft/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nFennelline-Request-Id: {request}\r\n"
                     f"Fennelline-Deadline-Ms: 20000\r\nAuthorization: Bearer {KEY}\r\n"
                     f"Accept: text/event-stream\r\nContent-Length: {len(request)}\r\n\r\n{request}".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split(" ")[1])
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(head.partition("content-length:")[2].partition("\r\n")[0]))
        is_whole = True
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as problem:
        record(f"{request}: the answer is broken off ({type(problem).__name__})")
    numbers = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
    record(f"client has for {request}: status {status}, {len(numbers)} events, "
           f"{'complete' if is_whole else 'not complete'}")
    return status, numbers, is_whole


async def play(record, has_trouble):
    routes = [route("draft", "streaming", SERVICE, **{"timeout-ms": 20000, "goal-ms": 3000, "gap-target-ms": 1500,
                                                      "attempts": 3, "resumable": True})]
    services = [{"name": SERVICE, "health-path": "/healthz", "max-connections": 370}]
    async with Deployment(configuration_of(1, routes, services), ENTRIES) as deployment:
        servers = Servers(deployment, record)
        for number in range(STAYING):
            await servers.start(f"i-stays-{number}")
        problems, crashes, streams = [], [], 0
        for number in range(ROUNDS):
            name = f"i-crashes-{number}"
            process = await servers.start(name)
            await asyncio.sleep(0.4)
            tasks = {}
            for stream in range(STREAMS):
                request = f"stream-{number}-{stream}"
                front = deployment.entries[stream % ENTRIES].address("front")
                tasks[request] = asyncio.create_task(read_stream(front, request, record))
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.6)
            if has_trouble:
                crashes.append(asyncio.create_task(servers.crash(process, name)))
            for request, task in tasks.items():
                status, numbers, is_whole = await task
                streams += status == 200
                if status == 200 and is_whole and numbers != list(range(1, EVENTS + 1)):
                    problems.append(f"ORDER: {request} ends as complete after {len(numbers)} of {EVENTS} events")
            if not has_trouble:
                # It leaves once it is idle.
                deployment.register(name, SERVICE, deployment.beating[name]["address"], state="draining", slots=64)
                await asyncio.sleep(0.5)
                deployment.unregister(name)
        record(f"{streams} streams had status 200")
        for crash in crashes:
            crash.cancel()
        return problems


run_case(FOLDER, play, os.environ["TROUBLE"] != "0")
