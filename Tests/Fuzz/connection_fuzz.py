#!/usr/bin/env python3
"""Fuzz of the connections of an entry: seeded byte streams of callers and servers against a real process.

Usage: connection_fuzz.py BIN [--seed N] [--seconds S] [--rounds N]

Callers send requests, refused heads and bytes that are no request, pipelined and split anywhere, and end their
connections in all ways. Servers answer with sound and unsound bytes. Each seed is a round; --seconds draws rounds
until the time is up. Checked from outside:
- answers come in order, each to its request; a success has the whole body that its server meant
- nothing behind a refused head or an announced close runs, nothing inside a body, nothing twice on /once/
- a request that was sent whole is answered
- others are answered in time meanwhile, and the process is idle afterwards, bounded in memory, and ends at SIGTERM
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "Edge"))
from fleet import Fleet
from odd_status import LINES
from refused_request import REFUSED, processor_s
from standin import MOST_MEMORY_KB, Answer, Replica, call, configuration, read_response, request_text, reset

EVENTS = "text/event-stream"
EVENT_COUNT = 5
# Time within which others are answered, and the most that one of MOST_LATE in a hundred may take on a busy machine.
OTHERS_S = 0.25
MOST_LATE_SHARE = 0.02
MOST_OTHERS_S = 1.0
CONNECTIONS = 40
DEADLINE_MS = 3000
# Longer than what tells that a peer is gone, and within the deadline.
LATE_S = 2.2
LARGE_ANSWER = 30_000
GRACE_S = 4.0
MOST_IDLE_SHARE = 0.25
IDLE_S = 1.0
# Ends of callers that read all answers.
STAYING = ("wait", "slow", "late")
VERSIONS = ("HTTP/0.9", "HTTP/2.0", "HTTP/9.9")


def whole_body(request, is_stream):
    if is_stream:
        return b"".join(Replica.event_of(request, number) for number in range(1, EVENT_COUNT + 1))
    return FuzzReplica.body_of(request)


def split(text, draw):
    """The text in parts, at times of one byte each."""
    most = draw.choice([1, 7, 100, 1 << 20])
    while text:
        size = draw.randint(1, most)
        yield text[:size]
        text = text[size:]


class FuzzReplica(Replica):
    """Answers with sound bytes or, by its generator, with others. What it means stays the whole body."""

    @staticmethod
    def body_of(request):
        text = f"the answer to {request}".encode()
        return text * (LARGE_ANSWER // len(text)) if request.endswith("2") else text

    draw = random.Random(0)
    KINDS = ("sound", "split", "interim", "stray", "behind", "cut", "line", "noise", "unframed", "twice")

    async def execute(self, method, target, headers, body, fault, writer):
        request = headers["fennelline-request-id"]
        kind = self.draw.choice(self.KINDS) if self.draw.random() < 0.5 else "sound"
        if kind == "sound":
            await super().execute(method, target, headers, body, fault, writer)
            return
        self.runs.append({"id": request, "kind": kind})
        is_stream = EVENTS in headers.get("accept", "")
        first = int(headers.get("last-event-id", 0))
        text = whole_body(request, is_stream)
        if is_stream:
            text = b"".join(self.event_of(request, number) for number in range(first + 1, EVENT_COUNT + 1))
        framing = "none" if kind == "unframed" else self.draw.choice(["length", "chunks"])
        line = self.draw.choice(list(LINES.values())) if kind == "line" else "HTTP/1.1 200 OK"
        answer = self.encode(line, request, text, framing, is_stream)
        ends = kind in ("unframed", "cut", "line", "noise")
        if kind == "interim":
            answer = b"HTTP/1.1 103 Early\r\nContent-Length: 5\r\n\r\n" * self.draw.randint(1, 3) + answer
        elif kind == "stray":
            answer = self.encode(line, "another", b"noise", "length", False) + answer
        elif kind == "behind":
            answer += self.draw.choice([b"noise", b"\r\n", b"HTTP/1.1 200 OK\r\n", bytes(range(128, 160))])
        elif kind == "twice":
            answer += answer
        elif kind == "noise":
            answer = self.draw.choice([b"noise\r\n\r\n", b"\x16\x03\x01\x02", b"HTTP/1.1 \r\n\r\n", b"\0"]) + answer
        elif kind == "cut":
            answer = answer[:self.draw.randint(0, len(answer) - 1)]
        for part in split(answer, self.draw):
            writer.write(part)
            await writer.drain()
            if self.draw.random() < 0.2:
                await asyncio.sleep(0)
        if kind == "cut" and self.draw.random() < 0.5:
            reset(writer)
        elif ends:
            writer.close()

    def encode(self, line, request, text, framing, is_stream):
        head = f"{line}\r\nFennelline-Request-Id: {request}\r\nFennelline-Response-Seal: seal-{self.name}\r\n"
        head += f"Content-Type: {EVENTS if is_stream else 'text/plain'}\r\nFennelline-Confidence: 100\r\n"
        if framing == "length":
            return f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text
        if framing == "none":
            return f"{head}\r\n".encode() + text
        parts = split(text, self.draw)
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"


class Message:
    """What a caller sends, and what is expected: request, local (answered by the entry), refused or end."""

    def __init__(self, kind, text, request="", closes=False, is_stream=False):
        self.kind = kind
        self.text = text
        self.request = request
        self.closes = closes or kind in ("refused", "end")
        self.is_stream = is_stream


def chunked(text, draw):
    head, _, body = text.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in split(body, draw))
    return b"\r\n".join(lines) + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def draw_message(draw, request):
    kind = draw.choice(["plain", "once", "stream", "plain", "once", "none", "refused", "version", "noise"])
    closing = [("Connection", "close")] if draw.random() < 0.15 else []
    if kind in ("plain", "once", "none"):
        # The body looks like a request that must not run.
        body = request_text("/once/x", f"inner-{request}") if draw.random() < 0.3 else b"x" * draw.randint(0, 3000)
        text = request_text(f"/{kind}/x", request, deadline_ms=DEADLINE_MS, headers=closing, body=body)
        text = chunked(text, draw) if draw.random() < 0.3 else text
        return Message("local" if kind == "none" else "request", text, request, bool(closing))
    if kind == "stream":
        text = request_text("/stream/x", request, deadline_ms=DEADLINE_MS, accept=EVENTS, headers=closing)
        return Message("request", text, request, bool(closing), is_stream=True)
    if kind == "version":
        text = request_text("/once/x", request, body=b"")
        return Message("refused", text.replace(b"HTTP/1.1", draw.choice(VERSIONS).encode(), 1), request)
    if kind == "refused":
        return Message("refused", draw.choice(list(REFUSED.values())).encode(), request)
    noise = bytes(draw.randrange(256) for _ in range(draw.randint(1, 60)))
    return Message("refused", b"\0" + noise + b"\r\n\r\n", request)


class Caller:
    """One connection: its messages, how it sends and reads them, and how it ends."""

    def __init__(self, run, draw, name):
        self.run = run
        self.draw = draw
        self.messages = [draw_message(draw, f"{name}-{number}") for number in range(draw.randint(1, 5))]
        self.end = draw.choice(["wait", "wait", "wait", "reset", "half-close", "cut", "slow", "late"])
        if self.end == "cut":
            last = self.messages[-1]
            self.messages[-1] = Message("end", last.text[:draw.randint(0, len(last.text) - 1)], last.request)

    def expected(self):
        """The messages that may be answered; those behind must not run."""
        for count, message in enumerate(self.messages, 1):
            if message.closes:
                return self.messages[:count]
        return self.messages

    async def play(self, address):
        connection = socket.socket()
        if self.end in ("slow", "late"):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        ip, port = address.split(":")
        await asyncio.get_running_loop().sock_connect(connection, (ip, int(port)))
        # Writes have a descriptor of their own: a stream drops what it has received once a write fails.
        self.sender = connection.dup()
        self.sender.setblocking(False)
        # A small limit, so that what is not read stays in the system's window.
        limit = 4096 if self.end == "late" else 1 << 20
        reader, writer = await asyncio.open_connection(sock=connection, limit=limit)
        sending = asyncio.create_task(self.send(writer))
        try:
            await self.read(reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.sender.close()
        if self.end == "reset":
            reset(writer)
        writer.close()

    async def send(self, writer):
        loop = asyncio.get_running_loop()
        try:
            for part in split(b"".join(message.text for message in self.messages), self.draw):
                await loop.sock_sendall(self.sender, part)
                if self.draw.random() < 0.1:
                    await asyncio.sleep(0.001)
            if self.end in ("half-close", "cut"):
                await asyncio.sleep(self.draw.random() * 0.05)
                self.sender.shutdown(socket.SHUT_WR)
            elif self.end == "reset":
                await asyncio.sleep(self.draw.random() * 0.05)
                self.sender.close()
                reset(writer)
        except OSError:
            pass

    async def read(self, reader):
        if self.end == "late":
            await asyncio.sleep(LATE_S)
        for message in self.expected():
            if message.kind == "end":
                return
            if self.end == "slow":
                await asyncio.sleep(self.draw.random() * 0.3)
            answer = Answer()
            try:
                while answer.status in (0, 100):
                    answer = Answer()
                    await asyncio.wait_for(read_response(reader, answer, None), DEADLINE_MS / 1000 + 1)
            except asyncio.TimeoutError:
                self.run.fail(f"{message.request} ({message.kind}, {self.end}) has no answer in time")
                return
            except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError) as problem:
                # A stream may be cut; anything else that was sent whole is answered.
                if self.end in STAYING and (answer.status == 0 or not message.is_stream):
                    self.run.fail(f"{message.request} ({message.kind}, {self.end}) has no whole answer: {problem!r}")
                return
            self.check(message, answer)
            if answer.headers.get("connection") == "close":
                break
        if self.end in STAYING and self.expected()[-1].closes:
            rest = await asyncio.wait_for(reader.read(), GRACE_S)
            if rest:
                self.run.fail(f"bytes behind the end: {rest[:60]!r}")

    def check(self, message, answer):
        self.run.answers[answer.status] = self.run.answers.get(answer.status, 0) + 1
        if message.kind == "refused" and answer.status not in (400, 505):
            self.run.fail(f"{message.request}: {answer.status} for {message.text[:40]!r}")
        if message.kind == "local" and answer.status != 404:
            self.run.fail(f"{message.request}: {answer.status} for a route that does not exist")
        if message.kind != "request":
            return
        if answer.status not in (200, 429, 502, 503, 504):
            self.run.fail(f"{message.request}: status {answer.status}")
        if answer.status == 200 and answer.whole:
            if answer.headers.get("fennelline-request-id") != message.request:
                self.run.fail(f"{message.request} got the answer to {answer.headers.get('fennelline-request-id')}")
            if answer.body != whole_body(message.request, message.is_stream):
                self.run.fail(f"{message.request}: whole, but {answer.body[-60:]!r}")


class FuzzFleet(Fleet):
    async def start_replica(self, name, service, **more):
        replica = await FuzzReplica(self.store, name, service, **more).start()
        replica.events = EVENT_COUNT
        self.replicas.append(replica)
        return replica


class Run:
    def __init__(self, fleet):
        self.fleet = fleet
        self.findings = []
        self.answers = {}
        self.requests = 0
        self.others = []
        self.seed = 0

    def fail(self, text):
        self.findings.append(f"seed {self.seed}: {text}")
        print(self.findings[-1], flush=True)

    async def watch_others(self):
        entry = self.fleet.entries[0]
        while True:
            started = time.monotonic()
            answers = await asyncio.gather(
                call(entry.address("ready"), "/fennelline/readyz", "check", method="GET", body=b""),
                call(self.fleet.front, "/none/x", "other", body=b""))
            self.others.append(time.monotonic() - started)
            if [answer.status for answer in answers] != [200, 404]:
                self.fail(f"others got {[answer.status for answer in answers]} after {self.others[-1]:.2f} s")
                await asyncio.sleep(1.0)
            await asyncio.sleep(0.02)

    async def play_round(self, seed):
        self.seed = seed
        draw = random.Random(seed)
        for replica in self.fleet.replicas:
            replica.draw = random.Random(draw.random())
            replica.runs.clear()
        callers = [Caller(self, random.Random(draw.random()), f"{seed}-{number}") for number in range(CONNECTIONS)]
        self.requests += sum(len(caller.messages) for caller in callers)
        await asyncio.gather(*[caller.play(self.fleet.front) for caller in callers])
        ran = {}
        for replica in self.fleet.replicas:
            for run in replica.runs:
                ran[run["id"]] = ran.get(run["id"], 0) + 1
        for caller in callers:
            for message in caller.messages:
                may_run = message in caller.expected() and message.kind == "request"
                if ran.get(message.request, 0) > 0 and not may_run:
                    self.fail(f"{message.request} ({message.kind}, {caller.end}) ran")
                if b"/once/" in message.text[:20] and ran.get(message.request, 0) > 1:
                    self.fail(f"{message.request} ran {ran[message.request]} times")
        inner = [request for request in ran if request.startswith("inner-")]
        if inner:
            self.fail(f"ran though inside a body: {inner}")

    async def check_process(self):
        entry = self.fleet.entries[0]
        late = [took for took in self.others if took > OTHERS_S]
        if len(late) > MOST_LATE_SHARE * len(self.others) or max(self.others) > MOST_OTHERS_S:
            self.fail(f"others: {len(late)} of {len(self.others)} late, at most {max(self.others):.2f} s")
        before = processor_s(entry.process.pid)
        await asyncio.sleep(IDLE_S)
        used = (processor_s(entry.process.pid) - before) / IDLE_S
        if used > MOST_IDLE_SHARE:
            self.fail(f"uses {used:.0%} of a core when idle")
        if entry.peak_memory_kb() > MOST_MEMORY_KB:
            self.fail(f"used {entry.peak_memory_kb()} kB")
        entry.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(entry.process.wait(), GRACE_S + 1.0)
            if entry.process.returncode != 0:
                self.fail(f"ended with {entry.process.returncode}")
        except asyncio.TimeoutError:
            self.fail("does not end at SIGTERM")


async def fuzz(seed, seconds, rounds):
    end = time.monotonic() + seconds
    async with FuzzFleet(entries=1, pool=3, app=3) as fleet:
        document = configuration(2)
        for route in document["routes"]:
            route["timeout-ms"] = DEADLINE_MS
        fleet.store.put("op/config", document)
        await fleet.until_version(2)
        run = Run(fleet)
        others = asyncio.create_task(run.watch_others())
        played = 0
        while (played < rounds) if rounds else (time.monotonic() < end):
            await run.play_round(seed + played)
            played += 1
            if len(run.findings) > 20:
                break
        others.cancel()
        await asyncio.gather(others, return_exceptions=True)
        await run.check_process()
        print(f"seeds {seed} to {seed + played - 1}: {run.requests} messages, answers {dict(sorted(run.answers.items()))}, "
              f"others {len(run.others)}, at most {max(run.others) * 1000:.0f} ms, findings {len(run.findings)}")
        return not run.findings


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bin")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rounds", type=int, default=0)
    options = parser.parse_args()
    Fleet.binary = os.path.join(options.bin, "fennelline-edge")
    seed = random.randrange(1, 1 << 30) if options.seed is None else options.seed
    sys.exit(0 if asyncio.run(fuzz(seed, options.seconds, options.rounds)) else 1)


if __name__ == "__main__":
    main()
