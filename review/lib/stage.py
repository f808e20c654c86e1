"""Stage for the scripts of the review: entries started with the command of the deploy file, and the
project's stand-ins of the store, backend servers and callers.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Edge"))
import standin  # noqa: E402

sys.dont_write_bytecode = True
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As in the site file mopane-fennel.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
          "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
          "rollback-slack-ms": 250, "stretch-max-ms": 5000, "strict-revoke": False,
          "revoke-ms": 5000, "retry-budget-ratio": 0.9, "budget-window-s": 10, "budget-slack": 58,
          "expose-share": 0.15, "expose-slack": 30, "rollback-ms": 5000, "recover-s": 12,
          "pass-ms": 120, "reuse-window-s": 8.8, "session-s": 5, "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "platform", "rollout"]


def deploy_command():
    """The words of the entry's command in the deploy file."""
    import tomllib
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"].split()


class Record:
    """Writes record.txt in the folder of the case, with times since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ips(count):
    """Loopback addresses of which nothing uses the ports that the entries are given."""
    source = random.Random(os.getpid() ^ time.time_ns())
    while True:
        base = (source.randrange(16, 120), source.randrange(1, 250))
        ips = [f"127.{base[0]}.{base[1]}.{10 + n}" for n in range(count)]
        try:
            for ip in ips:
                for port in (9464, *PORTS.values()):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            return ips
        except OSError:
            continue


# The ports are the same on all machines, see DEPLOY.md.
PORTS = {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224}
INTERNAL_PORTS = [7340, 7355]


class Machine:
    """One machine of the deployment with its entry."""

    def __init__(self, folder, name, zone, ip, seeds, store_address, bounds=None, limits=None):
        self.name, self.zone, self.ip = name, zone, ip
        self.seeds, self.store_address = seeds, store_address
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.limits = {"cpu-share": 0.25, "cores": 1, "memory-mb": 110, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0, **(limits or {})}
        self.settings_path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None
        self.is_first_start = True

    def address(self, role="front"):
        return f"{self.ip}:{PORTS[role]}"

    def write_settings(self):
        settings = {
            "node-name": self.name, "role": "entry", "machine-class": "edge",
            "serves": ["edge", "registry", "control_plane"], "ip": self.ip, "zone": self.zone,
            "region": "gauteng",
            "zones": {zone: "gauteng" for zone in ("midrand-a", "midrand-b", "isando")},
            "listen": {role: self.address(role) for role in PORTS},
            "internal-ports": INTERNAL_PORTS,
            "seeds": [f"{ip}:{PORTS['control']}" for ip in self.seeds],
            "bootstrap": self.is_first_start, "counts-as-loss": False, "limits": self.limits,
            "data-dir": None, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
            "contracts": CONTRACTS, "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "provider": {"address": self.store_address, "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "ttl-min-ms": 1000}}
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["FENNELLINE_NODE_FILE"] = self.settings_path
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(), stdout=log, stderr=log, cwd=ROOT, env=environment)
        self.is_first_start = False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        answer = await standin.call(self.address("ready"), "/fennelline/readyz", "ready",
                                    method="GET", deadline_ms=1000, key="")
        return answer.status == 200


ZONES = ("midrand-a", "midrand-b", "isando")


class Fleet:
    """Entries on loopback addresses of their own, in three zones."""

    def __init__(self, count, store_address, bounds=None, limits=None):
        self.folder = tempfile.mkdtemp(prefix="fennelline-review-")
        ips = free_ips(count)
        self.machines = [
            Machine(self.folder, f"edge-{ZONES[n % 3]}-{n // 3 + 1}", ZONES[n % 3], ips[n],
                    ips[:3], store_address, bounds, limits) for n in range(count)]

    async def start(self, bound_s=8.0):
        for machine in self.machines:
            await machine.start()
        end = time.monotonic() + bound_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{machine.name} is not ready in time")
                await asyncio.sleep(0.05)

    async def end(self):
        for machine in self.machines:
            await machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, bound_s=110):
    """Runs play(record) and exits with what it returns; with NOT_RUN if it cannot run."""
    record = Record(folder)

    async def bounded():
        return await asyncio.wait_for(play(record), bound_s)

    try:
        outcome = asyncio.run(bounded())
    except (Exception, asyncio.TimeoutError) as problem:  # The case could not run.
        record.write(f"could not run: {problem!r}")
        outcome = NOT_RUN
    record.write({RULE_HELD: "the rule held", RULE_BROKEN: "the rule was broken",
                  NOT_RUN: "the case could not run"}[outcome])
    sys.exit(outcome)
