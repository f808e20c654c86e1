"""The operator takes the last tenant out of the configuration."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))

from deployment import BOUNDS, HOST_NAME, KEY, Deployment, configuration_of, route, run_case  # noqa: E402
from ports import free_port  # noqa: E402

SERVER = os.path.join(os.path.dirname(FOLDER), "lib-3", "server.py")
UNKNOWN_KEY = "key-that-no-configuration-held"


async def read_lines(process, record, runs):
    while words := (await process.stdout.readline()).decode().split():
        record(f"server: {' '.join(words[1:3])}")
        if words[1] == "runs":
            runs.append(words[2])


async def send(address, request, key, record):
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(f"GET /stock/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nFennelline-Request-Id: {request}\r\n"
                 f"Fennelline-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\n\r\n".encode())
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)).decode()
    writer.close()
    record(f"client sends {request} with {key}, gets status {head.split(' ')[1]}")


async def play(record, has_trouble):
    routes = [route("stock", "idempotent", "shop", attempts=2)]
    services = [{"name": "shop", "health-path": "/healthz", "max-connections": 110}]
    async with Deployment(configuration_of(1, routes, services), 3) as deployment:
        runs = []
        address = f"127.{deployment.net}.100:{free_port()}"
        process = await deployment.start_process(SERVER, "i-shop", address, "1", "0.015")
        await asyncio.wait_for(process.stdout.readline(), 5)
        asyncio.get_running_loop().create_task(read_lines(process, record, runs))
        deployment.register("i-shop", "shop", address)
        await asyncio.sleep(0.5)
        front = deployment.entries[0].address("front")
        await send(front, "held-before", KEY, record)
        await send(front, "unknown-before", UNKNOWN_KEY, record)
        configuration = configuration_of(2, routes, services)
        if has_trouble:
            configuration["tenants"] = []
        deployment.store.put("op/config", configuration)
        record(f"the operator writes version 2, with the tenants {configuration['tenants']}")
        await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + 1.0)
        await send(front, "held-after", KEY, record)
        await send(front, "unknown-after", UNKNOWN_KEY, record)
        await asyncio.sleep(0.3)
        problems = []
        for request in runs:
            if request.startswith("unknown"):
                problems.append(f"ROUTE: {request} ran, though no configuration ever held its key")
        if has_trouble and "held-after" in runs:
            problems.append("CONFIG: held-after ran 3 s after its key was dropped")
        return problems


run_case(FOLDER, play, os.environ["TROUBLE"] != "0")
