"""A replica as a process of its own, so that its end is that of a real process.

Usage: replica.py NAME PORT RUNS. Writes a line to the file RUNS for each request that it runs, when it begins
and when half of its answer has been sent. One answer in UNFRAMED_EVERY has neither a length nor chunks and ends
with its channel; the others have a length, or chunks in the case of streams.
"""

import asyncio
import sys

WORK_S = 0.1
EVENTS = 64
EVENT_S = 0.06
# The share of the site's days for answers without a length is 0.05.
UNFRAMED_EVERY = 20


def body_of(request):
    return "".join(f"line {number} of the answer to {request}\n" for number in range(40)).encode()


def event_of(request, number):
    return f"id: {number}\ndata: {number:04d} {request:.>50}\n\n".encode()


class ReplicaProcess:
    def __init__(self, name, runs):
        self.name = name
        self.runs = runs
        self.count = 0

    def note(self, what, request, framing):
        print(what, request, framing, file=self.runs, flush=True)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                if await self.answer(headers, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, headers, writer):
        """Answers a request; returns whether its answer ends with the channel."""
        request = headers["fennelline-request-id"]
        if headers.get("fennelline-expect-replica") != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected\r\nFennelline-Request-Id: {request}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return False
        self.count += 1
        is_unframed = self.count % UNFRAMED_EVERY == 0
        framing = "unframed" if is_unframed else "framed"
        self.note("run", request, framing)
        head = (f"HTTP/1.1 200 OK\r\nFennelline-Request-Id: {request}\r\n"
                f"Fennelline-Response-Seal: seal-{self.name}\r\n")
        if "text/event-stream" in headers.get("accept", ""):
            await self.stream(request, int(headers.get("last-event-id", 0)), head, is_unframed, writer)
        else:
            await self.plain(request, head, is_unframed, writer)
        self.note("end", request, framing)
        return is_unframed

    async def plain(self, request, head, is_unframed, writer):
        body = body_of(request)
        length = "" if is_unframed else f"Content-Length: {len(body)}\r\n"
        writer.write(f"{head}Content-Type: text/plain\r\n{length}\r\n".encode() + body[:len(body) // 2])
        await writer.drain()
        self.note("half", request, "unframed" if is_unframed else "framed")
        await asyncio.sleep(WORK_S)
        writer.write(body[len(body) // 2:])
        await writer.drain()

    async def stream(self, request, after, head, is_unframed, writer):
        chunked = "" if is_unframed else "Transfer-Encoding: chunked\r\n"
        writer.write(f"{head}Content-Type: text/event-stream\r\n{chunked}\r\n".encode())
        for number in range(after + 1, EVENTS + 1):
            event = event_of(request, number)
            writer.write(event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        if not is_unframed:
            writer.write(b"0\r\n\r\n")


async def main():
    name, port, path = sys.argv[1:4]
    with open(path, "a", encoding="utf-8") as runs:
        server = await asyncio.start_server(ReplicaProcess(name, runs).serve, "127.0.0.1", int(port))
        print("listening", file=runs, flush=True)
        async with server:
            await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
