"""The store comes back from a copy some seconds old; then the operator takes a key away and moves a
route. See claim.txt."""

import asyncio
import copy
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stage
from standin import Replica, Store, call, configuration, encode_response

CONTACT_S = stage.BOUNDS["contact-ms"] / 1000
APPLY_S = stage.BOUNDS["config-apply-ms"] / 1000
STORM_CHANGES, STORM_GAP_S = 12, 0.33
AWAY_S = 0.5


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
        import urllib.parse
        parameters = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        era = self.era
        status, answer = await self.answer(method, path, parameters, body)
        if era != self.era:
            writer.transport.abort()
            return
        import json
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


def version(number, keys, service):
    document = configuration(number, keys)
    for route in document["routes"]:
        if route["name"] == "once":
            route["backend"] = service
    document["backends"].append({"name": "stock", "health-path": "/healthz",
                                 "max-connections": 200})
    return document


async def play(record):
    store = await RestorableStore().start()
    replicas = []
    for name, service in (("i-app1", "app"), ("i-app2", "app"), ("i-stock1", "stock"),
                          ("i-stock2", "stock")):
        replica = await Replica(store, name, service).start()
        replica.register()
        replicas.append(replica)
    number = 1
    store.put("op/config", version(number, ("key-1", "key-2"), "app"))
    fleet = stage.Fleet(3, store.address)
    try:
        await fleet.start()
        record.write(f"3 entries are ready; the store is at revision {store.revision}")
        await asyncio.sleep(1.0)

        saved = store.copy()
        record.write(f"a copy of the store is made at revision {store.revision}")
        for _ in range(STORM_CHANGES):
            number += 1
            store.put("op/config", version(number, ("key-1", "key-2"), "app"))
            await asyncio.sleep(STORM_GAP_S)
        record.write(f"configurations up to version {number}, revision {store.revision}")

        if stage.HAS_TROUBLE:
            record.write("the store goes away")
            store.go_away()
            await asyncio.sleep(AWAY_S)
            store.come_back_from(saved)
            store.put("op/config", version(number, ("key-1", "key-2"), "app"))
            record.write(f"the store is back from the copy; the operator has written version {number}"
                         f" again, revision {store.revision}, era {store.era}")
        # From here on, the store is stable and all machines are in touch.
        await asyncio.sleep(AWAY_S + CONTACT_S + 1.0)

        number += 1
        revision = store.put("op/config", version(number, ("key-1",), "stock"))
        record.write(f"version {number} is confirmed at revision {revision}: key-2 is taken away, "
                     "route once moves from app to stock")
        broken = 0
        await asyncio.sleep(APPLY_S)
        for turn in range(8):
            await asyncio.sleep(1.0)
            for machine in fleet.machines:
                for key in ("key-1", "key-2"):
                    request = f"{key}-{machine.name}-{turn}"
                    answer = await call(machine.address(), "/once/", request, key=key,
                                        deadline_ms=1000)
                    by = [r.service for r in replicas for run in r.runs if run["id"] == request]
                    is_old = (key == "key-2" and (by or answer.status not in (401,))) or \
                             (key == "key-1" and "app" in by)
                    broken += bool(is_old)
                    record.write(f"{request}: status {answer.status}, run by {by or 'nobody'}"
                                 + (" - as only an older version allows" if is_old else ""))
        record.write(f"{broken} requests were handled as only an older version allows; "
                     f"the store is at revision {store.revision}")
        return stage.RULE_BROKEN if broken else stage.RULE_HELD
    finally:
        await fleet.end()
        for replica in replicas:
            await replica.stop()
        await store.stop()


stage.run_case(HERE, play)
