"""A fleet in which the entries of one zone can lose their path to all backend servers, for tests."""

import asyncio
import base64
import json
import socket

from fleet import Fleet
from standin import HOST, Proxy, Store


class Path(Proxy):
    """The path of one zone's entries to one server.

    cut("hang"): its connections and new ones hang; cut("reset"): they are reset and refused;
    cut("refuse"): new ones are refused, the others live on.
    """

    def __init__(self, target):
        super().__init__(target)
        self.port = 0
        self.plugs = []

    async def start(self):
        await super().start()
        self.port = int(self.address.split(":")[1])
        return self

    async def cut(self, how):
        self.server.close()
        if how == "reset":
            self.reset_all()
        if how == "hang":
            self.mode = "silent"
            # Once the queue of a listening socket is full, further connections get no answer.
            plug = socket.socket()
            plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            plug.bind((HOST, self.port))
            plug.listen(0)
            self.plugs = [plug]
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((HOST, self.port))
                self.plugs.append(filler)

    async def heal(self):
        for plug in self.plugs:
            plug.close()
        self.plugs = []
        self.mode = "pass"
        self.server = await asyncio.start_server(self._accept, HOST, self.port, reuse_address=True)

    async def stop(self):
        for plug in self.plugs:
            plug.close()
        await super().stop()


class MappedStore(Store):
    """Shows the same items as another store, with other addresses of the servers."""

    def __init__(self, base, paths):
        super().__init__()
        self.base = base
        self.paths = paths

    async def answer(self, method, path, parameters, body):
        status, answer = await self.base.answer(method, path, parameters, body)
        for rows in ("items", "events"):
            if rows in answer:
                answer = {**answer, rows: [self.map(row) for row in answer[rows]]}
        return status, answer

    def map(self, row):
        if not row["key"].startswith("servers/") or "value" not in row:
            return row
        entry = json.loads(base64.b64decode(row["value"]))
        entry["address"] = self.paths[entry["address"]].address
        return {**row, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


class StrandedFleet(Fleet):
    """The first entry is in a zone of its own and reaches each server through a Path.

    Of two entries in two zones each watches the store itself, so that neither learns the addresses
    of the other one.
    """

    def __init__(self, **more):
        super().__init__(**more)
        self.paths = {}
        self.mapped_store = MappedStore(self.store, self.paths)

    async def start_store(self):
        await super().start_store()
        await self.mapped_store.start()

    async def __aexit__(self, *arguments):
        await super().__aexit__(*arguments)
        await self.mapped_store.stop()
        for path in self.paths.values():
            await path.stop()

    async def add_replica(self, name, service, **more):
        replica = await self.start_replica(name, service, **more)
        self.paths[replica.address] = await Path(replica.address).start()
        replica.register()
        return replica

    def entry_options(self, number):
        if number == 0:
            return {"zone": "zone-a", "store_address": self.mapped_store.address}
        return {"zone": "zone-b"}

    @property
    def stranded(self):
        return self.entries[:1]

    @property
    def others(self):
        return self.entries[1:]

    async def cut(self, how):
        for path in self.paths.values():
            await path.cut(how)

    async def heal(self):
        for path in self.paths.values():
            await path.heal()
