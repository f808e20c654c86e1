"""A version that was rolled back gets its service's requests again once the operator orders the next one."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))

from deployment import BOUNDS, HOST_NAME, KEY, Deployment, configuration_of, route, run_case  # noqa: E402
from ports import free_port  # noqa: E402

SERVICE = "shop"
SERVERS = 4
WORK_S = 0.13
# Of the bad version, a share of the answers takes so many times as long: longer than the routes' timeout-ms.
SLOW_X = 8
SLOW_SHARE = 0.3
CLIENTS = 60
PER_S = 200
ORDER_S = 8
# How long after rolled_back the servers of the version report that they drain.
DRAIN_AFTER_S = 5.0
END_S = 10.0
ORDER_KEY = f"op/rollout/{SERVICE}"
STATUS_KEY = f"status/rollout/{SERVICE}"


class BackendServer:
    """A sound server, but that a share of its answers are slow if its version is bad."""

    def __init__(self, name, version, record, runs):
        self.name = name
        self.version = version
        self.record = record
        self.runs = runs
        self.slow_share = 0.0
        self.address = ""
        self.server = None

    async def start(self, deployment, number):
        ip, port = f"127.{deployment.net}.{100 + number}", free_port()
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = f"{ip}:{port}"
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                await self.answer(reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("fennelline-request-id", "")
        echo = f"Fennelline-Request-Id: {request}\r\n"
        if headers.get("fennelline-expect-replica") not in (None, self.name):
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{echo}Fennelline-Replica-Id: {self.name}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return
        is_slow = random.random() < self.slow_share
        self.runs.append((time.monotonic(), self.version, request, is_slow))
        self.record(f"{self.version} {self.name} runs {request}" + (", slowly" if is_slow else ""))
        await asyncio.sleep(WORK_S * (SLOW_X if is_slow else 1))
        body = f"the answer to {request}"
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Fennelline-Response-Seal: seal.{self.name}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n{body}".encode())


class Platform:
    """Starts and drains the servers of the versions, as the operator's orders and the status ask for."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.runs = []
        self.servers = []

    async def start_version(self, version, slow_share=0.0):
        for number in range(SERVERS):
            server = await BackendServer(f"i-{version}-{number}", version, self.record, self.runs).start(
                self.deployment, len(self.servers))
            server.slow_share = slow_share
            self.servers.append(server)
            self.write(server, "ready")
        self.record(f"{SERVERS} servers of {version} are ready")

    def write(self, server, state):
        entry = {"backend": SERVICE, "address": server.address, "zone": "zone-a", "version": server.version,
                 "slots": 64, "state": state, "cold-left-ms": 0, "sequence": 1,
                 "born": int(time.time() * 1000)}
        known = self.deployment.beating.get(server.name)
        if known:
            entry.update(born=known["born"], sequence=known["sequence"] + 1)
        self.deployment.beating[server.name] = entry
        self.deployment.store.put(f"servers/{server.name}", entry)

    def drain(self, version):
        self.record(f"the servers of {version} report that they drain")
        for server in self.servers:
            if server.version == version:
                self.write(server, "draining")

    def order(self, version):
        self.deployment.store.put(ORDER_KEY, {"backend": SERVICE, "target": version, "duration-s": ORDER_S})
        self.record(f"the operator orders {version}, within {ORDER_S} s")
        return time.monotonic()

    async def status(self, version, state, within_s):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            status = self.deployment.store.read(STATUS_KEY)
            if status and status["target"] == version and status["state"] == state:
                self.record(f"the status of {version} is {state}")
                return time.monotonic()
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the status of {version} is not {state}")

    def stop(self):
        for server in self.servers:
            server.server.close()


class Clients:
    """Each sends its requests one after the other, on a kept channel to one entry."""

    def __init__(self, deployment, record):
        self.fronts = [entry.address("front") for entry in deployment.entries]
        self.record = record
        self.statuses = {}

    async def run(self, number, end):
        await asyncio.sleep(random.random() * CLIENTS / PER_S)
        address = self.fronts[number % len(self.fronts)]
        count, channel = 0, None
        while time.monotonic() < end:
            started = time.monotonic()
            name = f"{'hold' if count % 2 else 'look'}-{number}-{count}"
            count += 1
            channel = await self.send(address, channel, name)
            await asyncio.sleep(max(0.0, started + CLIENTS / PER_S - time.monotonic()))
        if channel:
            channel[1].close()

    async def send(self, address, channel, name):
        """Returns the channel if it is kept."""
        status = 0
        try:
            if channel is None:
                ip, port = address.split(":")
                channel = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            reader, writer = channel
            method = "POST" if name.startswith("hold") else "GET"
            writer.write(f"{method} /{name.partition('-')[0]}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                         f"Fennelline-Request-Id: {name}\r\nFennelline-Deadline-Ms: 1000\r\n"
                         f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n".encode())
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)).decode("latin-1").lower()
            status = int(head.split(" ")[1])
            length = int(head.partition("content-length:")[2].partition("\r\n")[0])
            await asyncio.wait_for(reader.readexactly(length), 2)
            if "connection: close" in head:
                writer.close()
                channel = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if channel:
                channel[1].close()
            channel = None
        self.statuses[name] = status
        if status != 200:
            self.record(f"client gets {status} for {name}")
        return channel


def judge(platform, clients, record, ordered, rolled_back):
    """EXPOSURE of v2."""
    share, slack = BOUNDS["expose-share"], BOUNDS["expose-slack"]
    in_time = [(version, request) for at, version, request, _ in platform.runs
               if ordered <= at <= ordered + ORDER_S]
    everything = len({request for _, request in in_time})
    exposed = len({request for version, request in in_time if version == "v2"})
    allowed = share * everything + slack
    after = [request for at, version, request, _ in platform.runs
             if version == "v2" and at > rolled_back + 0.5]
    failed = [request for request in after if clients.statuses.get(request) == 504]
    record(f"v2 got {exposed} of {everything} requests between its order and its time limit; {allowed:.0f} are "
           f"allowed")
    record(f"later than 0.5 s after it was rolled back, v2 got {len(after)} requests; {len(failed)} of them "
           "ended with 504 for their clients")
    return [f"EXPOSURE: v2 got {exposed} of {everything} requests, {allowed:.0f} are allowed"] \
        if exposed > allowed else []


async def play(record, has_trouble):
    routes = [route("hold", "non_idempotent", SERVICE), route("look", "idempotent", SERVICE, attempts=2)]
    services = [{"name": SERVICE, "health-path": "/healthz", "max-connections": 370}]
    async with Deployment(configuration_of(1, routes, services), 3) as deployment:
        platform, clients = Platform(deployment, record), Clients(deployment, record)
        await platform.start_version("v1")
        await asyncio.sleep(1.0)
        started = time.monotonic()
        sending = [asyncio.create_task(clients.run(number, started + 2 + END_S)) for number in range(CLIENTS)]
        await asyncio.sleep(2.0)
        ordered = platform.order("v2")
        await asyncio.sleep(0.4)
        await platform.start_version("v2", SLOW_SHARE)
        rolled_back = await platform.status("v2", "rolled_back", ORDER_S)
        if has_trouble:
            await asyncio.sleep(0.3)
            platform.order("v3")
            await asyncio.sleep(0.4)
            await platform.start_version("v3")
        await asyncio.sleep(max(0.0, rolled_back + DRAIN_AFTER_S - time.monotonic()))
        platform.drain("v2")
        await asyncio.gather(*sending)
        platform.stop()
        return judge(platform, clients, record, ordered, rolled_back)


run_case(FOLDER, play, os.environ["TROUBLE"] != "0")
