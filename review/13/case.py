"""A stream whose server has left in the middle of it, at an entry that stood still meanwhile."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))

from deployment import HOST_NAME, KEY, Deployment, configuration_of, route, run_case  # noqa: E402
from ports import free_port  # noqa: E402

SERVER = os.path.join(os.path.dirname(FOLDER), "lib-3", "server.py")
ENTRIES = 10
EVENTS = 60
PAUSE_S = 0.1
STREAMS = 5


async def start_server(deployment, record, name, address, service):
    process = await deployment.start_process(SERVER, name, address, str(EVENTS), str(PAUSE_S), "close")
    line = (await asyncio.wait_for(process.stdout.readline(), 5)).decode()
    assert "listens" in line, line
    asyncio.get_running_loop().create_task(copy_lines(process, record, name))
    record(f"server {name} of {service} starts at {address}")
    return process


async def copy_lines(process, record, name):
    while line := (await process.stdout.readline()).decode():
        record(f"server {name}: {line.strip().partition(' ')[2]}")


async def read_stream(address, request, record):
    """Returns the status, the last event's number and whether the answer was complete."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(f"POST /draft/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nFennelline-Request-Id: {request}\r\n"
                 f"Fennelline-Deadline-Ms: 25000\r\nAuthorization: Bearer {KEY}\r\n"
                 "Accept: text/event-stream\r\nContent-Length: 8\r\n\r\nquestion".encode())
    record(f"client sends {request}")
    status, body, is_whole = 0, b"", False
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split(" ")[1])
        if "chunked" in head.lower():
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = [line for line in head.split("\r\n") if line.lower().startswith("content-length")]
            body = await reader.readexactly(int(length[0].partition(":")[2]))
        is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError) as problem:
        record(f"{request}: the answer is broken off ({type(problem).__name__})")
    writer.close()
    numbers = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
    record(f"client has for {request}: status {status}, events {numbers[:1]} to {numbers[-1:]}, "
           f"{'complete' if is_whole else 'not complete'}")
    return status, numbers, is_whole


async def play(record, has_trouble):
    routes = [route("draft", "streaming", "pool", **{"timeout-ms": 25000, "goal-ms": 3000,
                                                     "gap-target-ms": 1500, "attempts": 3,
                                                     "resumable": True})]
    services = [{"name": name, "health-path": "/healthz", "max-connections": 370}
                for name in ("pool", "shop")]
    async with Deployment(configuration_of(1, routes, services), ENTRIES) as deployment:
        address = f"127.{deployment.net}.100:{free_port()}"
        leaver = await start_server(deployment, record, "i-first", address, "pool")
        deployment.register("i-first", "pool", address)
        await asyncio.sleep(0.5)
        entry = deployment.entries[0]
        streams = [asyncio.create_task(read_stream(entry.address("front"), f"stream-{number}", record))
                   for number in range(STREAMS)]
        await asyncio.sleep(1.0)
        other = f"127.{deployment.net}.101:{free_port()}"
        await start_server(deployment, record, "i-second", other, "pool")
        deployment.register("i-second", "pool", other)
        deployment.register("i-first", "pool", address, state="draining")
        record("i-first reports that it is draining")
        await asyncio.sleep(0.5)
        if has_trouble:
            entry.signal(signal.SIGSTOP)
            record(f"{entry.name} stands still, one of {ENTRIES} entries")
        await asyncio.sleep(1.7)
        leaver.terminate()
        deployment.unregister("i-first")
        record("i-first stops to listen, 2.2 s after it reported that it is draining, and exits 0.1 s later")
        await asyncio.sleep(2.3)
        await start_server(deployment, record, "i-other", address, "shop")
        deployment.register("i-other", "shop", address)
        await asyncio.sleep(0.3)
        if has_trouble:
            entry.signal(signal.SIGCONT)
            record(f"{entry.name} goes on")
        problems = []
        for number, (status, numbers, is_whole) in enumerate(await asyncio.gather(*streams)):
            if status == 200 and is_whole and numbers != list(range(1, EVENTS + 1)):
                problems.append(f"ORDER: stream-{number} ends as complete after {len(numbers)} of "
                                f"{EVENTS} events")
        return problems


run_case(FOLDER, play, os.environ["TROUBLE"] != "0")
