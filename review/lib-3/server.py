"""A sound backend server as its own process: server.py ID ADDRESS EVENTS PAUSE_S [FRAMING [quiet]].

It answers each request with a stream of EVENTS events, one every PAUSE_S, if the caller accepts one, else
with a short body after PAUSE_S. FRAMING: chunked, or close for answers that end with their connection. It
stops work on a stream before the first event that it would begin after Fennelline-Deadline-Ms, and ends the
connection. It writes a line for each request that it runs, and for each answer that it has completed, to
its standard output; with quiet, only that it listens. At SIGTERM it stops to listen, and exits EXIT_S later.
"""

import asyncio
import os
import signal
import sys
import time

EXIT_S = 0.1


def say(*words):
    if IS_QUIET and words[0] != "listens":
        return
    print(f"{time.monotonic():.3f}", *words, flush=True)


IS_QUIET = "quiet" in sys.argv[5:]


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers


class BackendServer:
    def __init__(self, name, events, pause_s, framing):
        self.name = name
        self.events = events
        self.pause_s = pause_s
        self.framing = framing

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_request(reader)
                if not await self.answer(line, headers, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, writer):
        """Returns whether the connection is kept."""
        request = headers.get("fennelline-request-id", "")
        head = f"Fennelline-Request-Id: {request}\r\n"
        if headers.get("fennelline-expect-replica") not in (None, self.name):
            say("not-run", request)
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{head}Fennelline-Replica-Id: {self.name}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        say("runs", request, line)
        head += f"Fennelline-Response-Seal: seal-{self.name}\r\n"
        if "text/event-stream" not in headers.get("accept", ""):
            await asyncio.sleep(self.pause_s)
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: 2\r\n\r\nok".encode())
            await writer.drain()
            say("done", request)
            return True
        is_chunked = self.framing == "chunked"
        framing = "Transfer-Encoding: chunked\r\n" if is_chunked else "Connection: close\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
        stop_at = time.monotonic() + int(headers.get("fennelline-deadline-ms", 25000)) / 1000
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            if time.monotonic() >= stop_at:
                say("stops", request)
                return False
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {request} piece {number} of {self.events}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        say("done", request)
        return is_chunked


async def main():
    name, address, events, pause_s = sys.argv[1:5]
    framing = sys.argv[5] if len(sys.argv) > 5 else "chunked"
    ip, port = address.split(":")
    server = BackendServer(name, int(events), float(pause_s), framing)
    listener = await asyncio.start_server(server.serve, ip, int(port))

    def leave():
        listener.close()
        asyncio.get_running_loop().call_later(EXIT_S, os._exit, 0)

    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leave)
    say("listens", address)
    await asyncio.sleep(100)


if __name__ == "__main__":
    asyncio.run(main())
