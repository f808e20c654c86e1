"""The platform's store with the drill of NEWS.md: it can come back from a copy of itself."""

import asyncio
import copy
import json
import urllib.parse

import stage  # noqa: F401 (makes the project's stand-ins importable)
from standin import Store, encode_response


class RestorableStore(Store):
    """A store that can come back from a copy of itself, as NEWS.md tells."""

    def __init__(self):
        super().__init__()
        self.era = 1

    async def handle(self, line, headers, body, reader, writer):
        self.calls += 1
        if self.mode == "reset":
            writer.transport.abort()
            return
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        era = self.era
        status, answer = await self.answer(method, path, parameters, body)
        if era != self.era:
            writer.transport.abort()
            return
        writer.write(encode_response(status, json.dumps(answer).encode(),
                                     [("Content-Type", "application/json"),
                                      ("Store-Era", str(self.era))]))

    async def watch(self, prefix, after, wait_ms):
        if after > self.revision:
            return 410, {}
        return await super().watch(prefix, after, wait_ms)

    def copy(self):
        return copy.deepcopy((self.items, self.events, self.revision))

    def go_away(self):
        self.mode = "reset"
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back_from(self, saved):
        self.items, self.events, self.revision = copy.deepcopy(saved)
        self.era += 1
        self.mode = "up"
        self.changed.set()
        self.changed = asyncio.Event()
