"""A small deployment on loopback for the cases 6 to 10: entries started as the deploy file says, with the
project's own stand-ins for the store, the replicas and the callers.

A case calls run() with a coroutine that takes a Bed and returns whether the rule held.
"""

import asyncio
import os
import random
import shutil
import socket
import sys
import tempfile
import time
import tomllib
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Edge"))

import standin  # noqa: E402
from standin import Entry, Replica, Store, call, wait_until  # noqa: E402,F401

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0
START_S = 15.0
# The bounds and limits of the small deployment mopane-fennel.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
          "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
          "rollback-slack-ms": 250, "stretch-max-ms": 5000, "strict-revoke": False, "revoke-ms": 5000,
          "retry-budget-ratio": 0.9, "budget-window-s": 10, "budget-slack": 58, "expose-share": 0.15,
          "expose-slack": 30, "rollback-ms": 5000, "recover-s": 12, "pass-ms": 120,
          "reuse-window-s": 8.8, "session-s": 5, "ttl_max_s": 5}
HOST_NAME = "a.example"
KEY = "key-1"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def unused_machine_address():
    """A loopback address of its own for a machine, so that the ports of the deploy file are free there."""
    while True:
        ip = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
                return ip
            except OSError:
                continue


def route(name, kind, backend, **more):
    row = {"name": name, "hostname": HOST_NAME, "path-prefix": f"/{name}/", "route-type": kind,
           "timeout-ms": 4000, "goal-ms": 1000, "priority": 1, "backend": backend, "attempts": 3,
           "public": False}
    row.update(more)
    return row


def configuration(version, routes, backends=("counter-api",), engines=("fennel-pool",)):
    rows = [{"name": name, "health-path": "/healthz", "max-connections": 110} for name in backends]
    rows += [{"name": name, "health-path": "/healthz", "max-connections": 370,
              "engine": {"kv-capacity": 430365, "stride": 6, "models": []}} for name in engines]
    return {"version": version, "routes": routes, "backends": rows,
            "limits": {"max-header-bytes": 8192, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 10000},
            "tenants": [{"name": "tenant-1", "api-keys": [KEY]}]}


class DeployedEntry(Entry):
    """An entry that runs the command of the deploy file, with its settings where the platform puts them."""

    def __init__(self, folder, number, store_address, datagram_port, seeds, zone):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["entry"]["run"].split()
        super().__init__(os.path.join(ROOT, self.command[0]), folder, number, store_address, datagram_port,
                         seeds, first=True, grace_s=BOUNDS["grace-s"], session_s=BOUNDS["session-s"],
                         zone=zone)
        self.ip = unused_machine_address()
        self.evacuate_ms = None
        self.bounds = BOUNDS

    async def start(self):
        self.write_settings()
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, *self.command[1:], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "FENNELLINE_NODE_FILE": self.settings_path})
        return self


class Bed:
    def __init__(self, record, entries=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="fennelline-review-")
        self.store = Store()
        self.count = entries
        self.entries = []
        self.replicas = []
        self.started = time.monotonic()

    def note(self, text):
        print(f"{time.monotonic() - self.started:8.3f} {text}", file=self.record, flush=True)

    async def start(self, document):
        await self.store.start()
        self.store.put("op/config", document)
        port = standin.free_port()
        for number in range(self.count):
            seeds = [entry.address("control") for entry in self.entries[:3]]
            self.entries.append(DeployedEntry(self.folder, number, self.store.address, port, seeds,
                                              ("zone-a", "zone-b")[number % 2]))
        for entry in self.entries:
            await entry.start()
            self.note(f"started {entry.name}: {' '.join(entry.command)}")
        for entry in self.entries:
            await wait_until(entry.is_ready, START_S, f"{entry.name} is ready")
        self.note("all entries are ready")

    async def add_replica(self, replica):
        await replica.start()
        self.replicas.append(replica)
        replica.register()
        return replica

    async def until_known(self, replica, state="ready"):
        await wait_until(lambda: all(any(line["backend"] == replica.name and line["state"] == state
                                         for line in entry.lines("backend")) for entry in self.entries),
                         START_S, f"every entry knows {replica.name} as {state}")

    async def stop(self):
        for entry in self.entries:
            await entry.end()
        for replica in self.replicas:
            if replica.server is not None:
                await replica.stop()
        if self.store.server is not None:
            await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, entries=1):
    """Runs the case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as record:
        sys.exit(asyncio.run(run_case(case, record, entries)))


async def run_case(case, record, entries):
    bed = Bed(record, entries)
    bed.note(f"disruption: {'yes' if has_trouble() else 'no'}")
    outcome = NOT_RUN
    try:
        outcome = HELD if await asyncio.wait_for(case(bed), MAX_RUN_S) else BROKEN
    except Exception:
        bed.note("the case could not run:\n" + traceback.format_exc())
    finally:
        await bed.stop()
    text = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[outcome]
    bed.note(text)
    print(text)
    return outcome
