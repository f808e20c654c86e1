"""A deployment of fennelline-edge processes against fakes of the platform, for tests."""

import os
import tempfile

from standin import Entry, Replica, Store, configuration, free_port, wait_until


class Fleet:
    """A fake store, fake backend servers and entries; ready once entered as a context."""

    # Path of the program fennelline-edge, set by the test's main program.
    binary = ""

    def __init__(self, entries=1, pool=2, app=2, session_s=0.5):
        self.folder = tempfile.mkdtemp(prefix="fennelline-edge-")
        self.counts = (entries, pool, app)
        self.session_s = session_s
        self.store = Store()
        self.replicas = []
        self.entries = []
        self.datagram_port = 0

    async def __aenter__(self):
        entries, pool, app = self.counts
        await self.start_store()
        self.store.put("op/config", configuration(1))
        for number in range(pool):
            await self.add_replica(f"i-pool-{number}", "pool")
        for number in range(app):
            await self.add_replica(f"i-app-{number}", "app")
        self.datagram_port = free_port()
        for _ in range(entries):
            self.add_entry()
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            await self.until_ready(entry)
        return self

    async def __aexit__(self, *_):
        for entry in self.entries:
            await entry.end()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()

    async def start_store(self):
        await self.store.start()

    def entry_options(self, number):
        """Further options of the entry; for subclasses."""
        return {}

    async def start_replica(self, name, service, **more):
        replica = await Replica(self.store, name, service, **more).start()
        self.replicas.append(replica)
        return replica

    async def add_replica(self, name, service, **more):
        replica = await self.start_replica(name, service, **more)
        replica.register()
        return replica

    def add_entry(self):
        """A further entry, which is not started yet."""
        number = len(self.entries)
        seeds = [entry.address("control") for entry in self.entries[:3]]
        options = {"first": False, "session_s": self.session_s, "store_address": self.store.address,
                   **self.entry_options(number)}
        self.entries.append(Entry(self.binary, self.folder, number,
                                  datagram_port=self.datagram_port, seeds=seeds, **options))
        return self.entries[-1]

    async def until_ready(self, entry):
        await wait_until(entry.is_ready, 10, f"{entry.name} has logged that it is ready")

    async def until_members_known(self):
        await wait_until(lambda: all(len({line["member"] for line in entry.lines("member")})
                                     >= len(self.entries) for entry in self.entries), 10,
                         "every entry knows all members")

    async def until_logged(self, request):
        await wait_until(lambda: any(line["id"] == request for entry in self.entries
                                     for line in entry.lines("request")), 10,
                         f"the end of {request} is logged")

    def of(self, service):
        return [replica for replica in self.replicas if replica.service == service]

    def runs(self, request):
        return [run for replica in self.replicas for run in replica.runs if run["id"] == request]

    @property
    def front(self):
        return self.entries[0].address("front")

    async def until_version(self, version):
        await wait_until(lambda: all(any(line["version"] == version
                                         for line in entry.lines("configuration"))
                                     for entry in self.entries), 10,
                         f"every entry has configuration version {version}")
