"""A small deployment of the project's own program on loopback, for the scripts of this review.

The store is the project's own stand-in (Tests/Edge/standin.py). Entries are separate processes, started
with the command of deploy/system.toml and settings as deploy/settings.json writes them.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Edge"))

from ports import free_port  # noqa: E402
from standin import Store, wait_until  # noqa: E402

# The bounds of the deployment mopane-fennel.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
          "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
          "rollback-slack-ms": 250, "stretch-max-ms": 5000, "strict-revoke": False, "revoke-ms": 5000,
          "retry-budget-ratio": 0.9, "budget-window-s": 10, "budget-slack": 58, "expose-share": 0.15,
          "expose-slack": 30, "rollback-ms": 5000, "recover-s": 12, "pass-ms": 120,
          "reuse-window-s": 8.8, "session-s": 5, "ttl_max_s": 5}
ZONES = ("zone-a", "zone-b", "zone-c")
HOST_NAME = "shop.example"
KEY = "key-of-tenant-1"
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to record.txt of the case, with the time since its start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.file.flush()


def entry_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return next(role["run"] for role in roles.values() if "edge" in role["serves"]).split()


class Entry:
    def __init__(self, deployment, number, is_first):
        self.name = f"edge-{number}"
        self.ip = f"127.{deployment.net}.{10 + number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ports = {role: free_port() for role in ("front", "ready", "control", "directory")}
        self.deployment = deployment
        self.is_first = is_first
        self.process = None
        self.log_path = os.path.join(deployment.folder, f"{self.name}.log")
        self.settings_path = os.path.join(deployment.folder, f"{self.name}.json")

    def address(self, role):
        return f"{self.ip}:{self.ports[role]}"

    def settings(self):
        port = self.deployment.internal_port
        return {"node-name": self.name, "role": "entry", "machine-class": "edge",
                "serves": ["edge", "registry", "control_plane"], "ip": self.ip, "zone": self.zone,
                "region": "region-a", "internal-ports": [port, port + 15],
                "seeds": self.deployment.seeds(), "bootstrap": self.is_first, "counts-as-loss": False,
                "discovery": "platform", "entry": "registry", "heartbeat-ms": int(HEARTBEAT_S * 1000),
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                              "tenants", "platform", "rollout"],
                "zones": {zone: "region-a" for zone in ZONES},
                "listen": {role: self.address(role) for role in self.ports},
                "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 110, "max-fds": 4100,
                           "link-mbps": 1000.0, "disk-mb": 0},
                "tolerate": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "provider": {"address": self.deployment.store.address, "form": "kv", "writes-per-s": 400,
                             "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                             "ttl-min-ms": 1000}}

    async def start(self):
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *entry_command(), stdout=log, stderr=log, cwd=ROOT,
                env={**os.environ, "FENNELLINE_NODE_FILE": self.settings_path})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    def lines(self, event):
        found = []
        if os.path.exists(self.log_path):
            with open(self.log_path, encoding="utf-8") as log:
                for text in log:
                    if text.startswith("{") and text.endswith("\n"):
                        line = json.loads(text)
                        if line["event"] == event:
                            found.append(line)
        return found


class Deployment:
    """Use as a context. Ends all processes that were started in it."""

    def __init__(self, configuration, entries=1):
        self.net = f"{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="fennelline-review-")
        self.configuration = configuration
        self.count = entries
        self.entries = []
        self.store = Store()
        self.internal_port = free_port()
        self.processes = []
        self.beating = {}
        self.beat_task = None

    def seeds(self):
        return [entry.address("control") for entry in self.entries[:3]]

    async def __aenter__(self):
        try:
            await self.store.start()
            self.store.put("op/config", self.configuration)
            self.beat_task = asyncio.get_running_loop().create_task(self.beat())
            for number in range(self.count):
                self.entries.append(Entry(self, number, True))
            for entry in self.entries:
                await entry.start()
            for entry in self.entries:
                await wait_until(lambda entry=entry: entry.lines("ready"), 10, f"{entry.name} is ready")
        except (AssertionError, OSError) as problem:
            await self.__aexit__()
            raise CannotRun(str(problem)) from problem
        return self

    async def __aexit__(self, *_):
        if self.beat_task:
            self.beat_task.cancel()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for entry in self.entries:
            await entry.end()
        if self.store.server:
            await self.store.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def beat(self):
        """Writes the entries of the servers that live, as they do by themselves."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, entry in self.beating.items():
                entry["sequence"] += 1
                self.store.put(f"servers/{name}", entry)

    def register(self, name, service, address, state="ready", slots=8):
        entry = {"backend": service, "address": address, "zone": "zone-a", "version": "v1",
                 "slots": slots, "state": state, "cold-left-ms": 0, "sequence": 1,
                 "born": self.beating.get(name, {}).get("born", int(time.time() * 1000))}
        self.beating[name] = entry
        self.store.put(f"servers/{name}", entry)

    def unregister(self, name):
        self.beating.pop(name, None)
        self.store.delete(f"servers/{name}")

    async def start_process(self, *words):
        process = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdout=asyncio.subprocess.PIPE)
        self.processes.append(process)
        return process


def route(name, kind, service, **more):
    return {"name": name, "hostname": HOST_NAME, "path-prefix": f"/{name}/", "route-type": kind,
            "timeout-ms": 1000, "goal-ms": 100, "priority": 1, "backend": service, "attempts": 1,
            "public": False, **more}


def configuration_of(version, routes, services):
    return {"version": version, "routes": routes, "backends": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "tenant-1", "api-keys": [KEY]}]}


def run_case(folder, play, has_trouble):
    """Plays the case, without its disruption unless has_trouble.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Record(folder)
    record("with the disruption" if has_trouble else "without the disruption")
    try:
        problems = asyncio.run(asyncio.wait_for(play(record, has_trouble), 110))
    except Exception as problem:  # Whatever else went wrong is no break of the rule.
        record(f"could not run: {problem!r}")
        sys.exit(2)
    for problem in problems:
        record(f"BROKEN: {problem}")
    record(f"{len(problems)} breaks of the rule")
    print(f"{len(problems)} breaks of the rule")
    sys.exit(1 if problems else 0)
