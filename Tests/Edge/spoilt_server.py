"""A fake backend server that puts bytes into its answers that are no event of the run, or no answer to it."""

import asyncio

from standin import Replica

ERROR = b'event: error\ndata: {"error":"overloaded"}\n\n'

# Bytes that are no event of the run, complete or glued to the event after them.
NOISE = {
    "text": b"no answer at all\n\n",
    "text-with-returns": b"no answer at all\r\n\r\n",
    "binary": bytes(range(128, 160)) + b"\n\n",
    "head": b"HTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\nfailed\n\n",
    "error": ERROR,
    "data-alone": b"data: noise\n\n",
    "unknown-field": b"name: noise\n\n",
    "id-alone": b"id: 3\n\n",
    "id-empty": b"id:\ndata: noise\n\n",
    "id-no-number": b"id: none\ndata: noise\n\n",
    "id-negative": b"id: -7\ndata: noise\n\n",
    "id-with-tail": b"id: 3GARBAGE\ndata: noise\n\n",
    "id-too-large": b"id: 99999999999999999999\ndata: noise\n\n",
    "id-of-no-event": b"id: 99\ndata: noise\n\n",
    "id-zero": b"id: 0\ndata: noise\n\n",
    "ids-two": b"id: 3\nid:\ndata: noise\n\n",
    "ids-apart": b"id: 3\ndata: noise\nid: 4\n\n",
    "glued-text": b"no answer at all\n",
    "glued-data": b"data: noise\n",
    "glued-comment": b": noise\n",
    "glued-id": b"id: 3\n",
    "glued-weights": b"fennelline-weight-versions: noise\n",
    "unfinished": b"no answer at all",
}
# An answer without an id, which a connection brings beside those that are due.
SECOND_ANSWERS = [b"HTTP/1.1 200 OK\r\n" + seal + b"Content-Length: 5\r\n\r\nnoise"
                  for seal in (b"Fennelline-Response-Seal: seal\r\n", b"")]
# How the noise comes: as a chunk of its own or with the event after it, in chunks, in a body with a length,
# or in one that ends with its connection.
FRAMINGS = ("chunk", "joined", "length", "none")
SPOILT_SHARE = 0.4


class SpoiltReplica(Replica):
    """A fake server that puts bytes into its streams, then goes on or ends them."""

    noise = None
    place = 0
    framing = "chunk"
    goes_on = True
    # Which run of a request it spoils with noise, counted over all servers.
    spoilt_run = 1
    # Numbers of the events that a run sends in place of all.
    numbers = {}
    # A line before each event.
    leading_line = b""
    # Returns the runs of a request; without it, each is the first.
    runs_of = None
    # Generator of numbers by which it spoils some of its answers; None while it spoils only as told above.
    spoiler = None
    # Streams with noise and second answers that it sent by the generator.
    spoilt = 0

    def event_of_run(self, run, number):
        return self.leading_line + self.event_of(run["id"], number)

    def draw_noise(self, run):
        due = max(0, self.events + 1 - run["first"])
        place = self.spoiler.choice([0, due // 2, due])
        again = self.event_of_run(run, run["first"] + place - 1)
        noise = self.spoiler.choice([*NOISE.values(), again, again])
        return noise, place, self.spoiler.choice(FRAMINGS), self.spoiler.random() < 0.6

    async def execute(self, method, target, headers, body, fault, writer):
        is_doubled = fault is None and self.spoiler is not None and self.spoiler.random() < SPOILT_SHARE
        second = self.spoiler.choice(SECOND_ANSWERS) if is_doubled else None
        comes_late = is_doubled and self.spoiler.random() < 0.5
        if comes_late and writer in self.serving:
            self.write_second(second, writer)
        await super().execute(method, target, headers, body, fault, writer)
        if is_doubled and not comes_late and not writer.transport.is_closing():
            self.write_second(second, writer)

    def write_second(self, answer, writer):
        writer.write(answer)
        self.spoilt += 1

    def parts(self, run, numbers, noise, place, framing, goes_on):
        """The parts in which it sends the body of a stream."""
        numbers = range(run["first"], self.events + 1) if numbers is None else numbers
        parts = [self.event_of_run(run, number) for number in numbers]
        if noise is not None and place <= len(parts):
            if framing == "joined" and goes_on and place < len(parts):
                parts[place] = noise + parts[place]
            else:
                parts[place:] = [noise] + (parts[place:] if goes_on else [])
        return parts

    async def stream(self, run, seal, fault, writer):
        run_number = len(self.runs_of(run["id"])) if self.runs_of else 1
        is_drawn = self.spoiler is not None and fault is None and self.spoiler.random() < SPOILT_SHARE
        noise, place, framing, goes_on = self.draw_noise(run) if is_drawn else (
            self.noise if run_number == self.spoilt_run else None, self.place, self.framing, self.goes_on)
        numbers = self.numbers.get(run_number)
        is_sound = noise is None and numbers is None and not self.leading_line
        if fault is not None or (is_sound and framing == "chunk"):
            await super().stream(run, seal, fault, writer)
            return
        parts = self.parts(run, numbers, noise, place, framing, goes_on)
        self.spoilt += is_drawn
        is_chunked = framing in ("chunk", "joined")
        head = {"none": "", "length": f"Content-Length: {sum(map(len, parts))}\r\n"}
        writer.write(self.stream_head(seal) if is_chunked else self.stream_head(seal, head[framing]))
        for part in parts:
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
            await writer.drain()
            await asyncio.sleep(0.002)
        writer.write(b"0\r\n\r\n" if is_chunked else b"")
        if framing == "none":
            await writer.drain()
            writer.close()
