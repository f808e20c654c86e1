"""A backend server crashes while it answers a request whose long body it has not read yet. See
claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stage
from standin import Store, call, configuration

BODY = b"x" * 1_000_000
MAX_BODY_BYTES = 4194304
EVENTS = 10
ROUNDS = 10
CRASH_AFTER_S = 0.45


def expected(request):
    return b"".join(f"id: {number}\ndata: {request} piece {number} of {EVENTS}\n\n".encode()
                    for number in range(1, EVENTS + 1))


class Server:
    """A process of replica.py, registered in the store."""

    def __init__(self, store, name, service):
        self.store, self.name, self.service = store, name, service
        self.ran = []

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(HERE, "replica.py"), self.name,
            stdout=asyncio.subprocess.PIPE)
        port = int(await self.process.stdout.readline())
        self.reading = asyncio.create_task(self.read())
        self.store.put(f"servers/{self.name}", {
            "backend": self.service, "address": f"127.0.0.1:{port}", "zone": "midrand-a",
            "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)})

    async def read(self):
        while line := await self.process.stdout.readline():
            self.ran.append(line.decode().strip())

    async def crash(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


async def play(record):
    store = await Store().start()
    document = configuration(1)
    document["limits"].update({"max-body-bytes": MAX_BODY_BYTES})
    for route in document["routes"]:
        # A stream that may not be resumed runs once at most, as the route once does.
        route["resumable"] = False
        route["timeout-ms"] = 8000
    store.put("op/config", document)
    fleet = stage.Fleet(3, store.address)
    servers = []
    wrong = 0
    try:
        await fleet.start()
        record.write("3 entries are ready")
        for number in range(ROUNDS):
            target = "/once/" if number % 2 else "/stream/"
            server = Server(store, f"i-{number}", "app" if number % 2 else "pool")
            servers.append(server)
            await server.start()
            await asyncio.sleep(0.5)
            machine = fleet.machines[number % 3]
            request = f"r{number}"
            task = asyncio.create_task(call(machine.address(), target, request, body=BODY,
                                            accept="text/event-stream", deadline_ms=7000))
            while f"runs {request}" not in server.ran and not task.done():
                await asyncio.sleep(0.01)
            if stage.HAS_TROUBLE:
                await asyncio.sleep(CRASH_AFTER_S)
                record.write(f"{server.name} is killed while it answers {request}")
                await server.crash()
            answer = await task
            is_whole = answer.status == 200 and answer.whole
            pieces = answer.body.count(b"\n\n")
            record.write(f"{target} {request} at {machine.name}: status {answer.status}, "
                         f"{'complete' if answer.whole else 'broken off'}, {pieces} of {EVENTS} "
                         f"pieces; server: {server.ran}")
            if is_whole and answer.body != expected(request):
                wrong += 1
                record.write(f"{request} looks complete, but is not the server's whole answer")
            if not stage.HAS_TROUBLE and not is_whole:
                record.write(f"{request} was not answered whole")
            await server.crash()
            store.delete(f"servers/{server.name}")
        record.write(f"{wrong} of {ROUNDS} answers look complete and lack pieces")
        return stage.RULE_BROKEN if wrong else stage.RULE_HELD
    finally:
        await fleet.end()
        for server in servers:
            await server.crash()
        await store.stop()


stage.run_case(HERE, play)
