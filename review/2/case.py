"""The store comes back from a copy some seconds old; then the operator takes a key away and moves a
route. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stage
from drill import RestorableStore
from standin import Replica, call, configuration

CONTACT_S = stage.BOUNDS["contact-ms"] / 1000
APPLY_S = stage.BOUNDS["config-apply-ms"] / 1000
STORM_CHANGES, STORM_GAP_S = 12, 0.33
AWAY_S = 0.5

BEFORE = {"tenant-1": ("key-1", "key-2", "key-3"), "tenant-2": ("key-4",)}
# key-2 is taken away, and key-3 changes hands.
AFTER = {"tenant-1": ("key-1",), "tenant-2": ("key-3", "key-4")}


def version(number, service, tenants):
    """A configuration with the route once to the service, and tenants with their keys."""
    document = configuration(number)
    document["tenants"] = [{"name": name, "api-keys": list(keys)}
                           for name, keys in tenants.items()]
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
    store.put("op/config", version(number, "app", BEFORE))
    fleet = stage.Fleet(3, store.address)
    try:
        await fleet.start()
        record.write(f"3 entries are ready; the store is at revision {store.revision}")
        await asyncio.sleep(1.0)

        saved = store.copy()
        record.write(f"a copy of the store is made at revision {store.revision}")
        for _ in range(STORM_CHANGES):
            number += 1
            store.put("op/config", version(number, "app", BEFORE))
            await asyncio.sleep(STORM_GAP_S)
        record.write(f"configurations up to version {number}, revision {store.revision}")

        if stage.HAS_TROUBLE:
            record.write("the store goes away")
            store.go_away()
            await asyncio.sleep(AWAY_S)
            store.come_back_from(saved)
            store.put("op/config", version(number, "app", BEFORE))
            record.write(f"the store is back from the copy; the operator has written version {number}"
                         f" again, revision {store.revision}, era {store.era}")
        # From here on, the store is stable and all machines are in touch.
        await asyncio.sleep(AWAY_S + CONTACT_S + 1.0)

        number += 1
        revision = store.put("op/config", version(number, "stock", AFTER))
        record.write(f"version {number} is confirmed at revision {revision}: key-2 is taken away, "
                     "key-3 goes to tenant-2, route once moves from app to stock")
        broken = foreign = 0
        await asyncio.sleep(APPLY_S)
        for turn in range(8):
            await asyncio.sleep(1.0)
            for machine in fleet.machines:
                for key in ("key-1", "key-2", "key-3"):
                    request = f"{key}-{machine.name}-{turn}"
                    answer = await call(machine.address(), "/once/", request, key=key,
                                        deadline_ms=1000)
                    runs = [(replica.service, run["headers"].get("fennelline-tenant"))
                            for replica in replicas for run in replica.runs
                            if run["id"] == request]
                    is_old = any(service == "app" for service, _ in runs)
                    is_old = is_old or (key == "key-2" and answer.status != 401)
                    broken += is_old
                    foreign += any(key == "key-3" and tenant != "tenant-2" for _, tenant in runs)
                    record.write(f"{request}: status {answer.status}, run as {runs or 'nothing'}"
                                 + (" - as only an older version allows" if is_old else ""))
        record.write(f"{foreign} requests ran as those of a tenant that does not hold their key")
        record.write(f"{broken} requests were handled as only an older version allows; "
                     f"the store is at revision {store.revision}")
        return stage.RULE_BROKEN if broken else stage.RULE_HELD
    finally:
        await fleet.end()
        for replica in replicas:
            await replica.stop()
        await store.stop()


stage.run_case(HERE, play)
