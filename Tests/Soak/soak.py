"""Randomized fault soak of fennelline-edge: real processes, faults from outside, promises checked.

Run: soak.py BIN --seed N [--seeds COUNT] [--seconds S] [--entries N]. Each seed draws a series of
faults that overlap: entries are stopped, paused, killed and restarted by signals; the store fails,
loses its history or is cut off from single entries by a proxy; servers fail, leave, restart and hang
behind proxies. What callers and servers see is checked against the promises in Checker.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "Edge"))
from standin import Entry, Proxy, Replica, Store, call, configuration, free_port, wait_until

EVENTS = "text/event-stream"
# Bounds of the settings that Entry writes, in seconds, and how far callers' clocks may be off.
APPLY_S = 2.0
DRAIN_S = 2.0
SLACK_S = 0.5
# A machine counts as in touch only if it was undisturbed for so long (the deployment's contact time).
TOUCH_S = 3.0
RECOVER_S = 12.0


class Checker:
    """What must hold of every request, from what its caller and the servers have seen."""

    def __init__(self):
        self.broken = []
        self.counts = {}
        self.requests = {}

    def fail(self, rule, request, detail):
        self.broken.append(f"{rule}: {request}: {detail}")

    def on_answer(self, kind, request, answer):
        self.requests[request] = (kind, answer)
        name = f"{kind}-{answer.status}" + ("" if answer.whole else "-cut")
        self.counts[name] = self.counts.get(name, 0) + 1
        if answer.status != 200 or not answer.whole:
            if answer.status in (400, 401, 403, 404, 413, 431):
                self.fail("DENIED", request, f"status {answer.status}")
            return
        if kind == "stream":
            expected = b"".join(Replica.event_of(request, n) for n in range(1, 9))
        else:
            expected = Replica.body_of(request)
        if answer.body != expected:
            self.fail("MIXED", request, f"body {answer.body[:80]!r}")
        if "fennelline-response-seal" not in answer.headers:
            self.fail("MIXED", request, "no seal")

    def check_runs(self, replicas):
        runs = {}
        for replica in replicas:
            for run in replica.runs:
                runs.setdefault(run["id"], []).append((replica, run))
        for request, done in runs.items():
            if request not in self.requests:
                self.fail("UNASKED", request, "no caller sent it")
                continue
            kind, answer = self.requests[request]
            if kind == "once" and len(done) > 1:
                self.fail("TWICE", request, f"{len(done)} runs")
            if kind == "once" and answer.status in (429, 503, 408, 421):
                self.fail("REFUSED", request, f"{answer.status}, but it ran")
            if len(done) > 3:
                self.fail("BUDGET", request, f"{len(done)} runs")
            for replica, run in done:
                if run["body"] != b"question":
                    self.fail("UNASKED", request, "another body")
                if run["leaving"] and run["at"] - run["leaving"] > DRAIN_S + TOUCH_S + SLACK_S:
                    self.fail("DRAIN", request, f"{run['at'] - run['leaving']:.2f} s after {replica.name} left")


class Soak:
    def __init__(self, binary, seed, seconds, entries):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = tempfile.mkdtemp(prefix=f"fennelline-soak-{seed}-")
        self.binary = binary
        self.count = entries
        self.store = Store()
        self.checker = Checker()
        self.replicas, self.entries, self.proxies, self.tasks = [], [], [], []
        self.version = 1
        self.number = 0
        self.running = True
        self.log = []

    def note(self, text):
        self.log.append(f"{time.monotonic() - self.started:7.3f} {text}")

    async def add_replica(self, service):
        self.number += 1
        replica = Replica(self.store, f"i-{service}-{self.number}", service, events=8, work_s=0.01)
        replica.random = random.Random(self.random.random())
        await replica.start()
        proxy = await Proxy(replica.address).start()
        replica.public_address = proxy.address
        replica.proxy = proxy
        self.replicas.append(replica)
        self.proxies.append(proxy)
        replica.register()

    async def start(self):
        self.started = time.monotonic()
        await self.store.start()
        self.store.put("op/config", configuration(1))
        for _ in range(3):
            await self.add_replica("app")
            await self.add_replica("pool")
        port = free_port()
        for number in range(self.count):
            proxy = await Proxy(self.store.address).start()
            self.proxies.append(proxy)
            seeds = [entry.address("control") for entry in self.entries[:3]]
            entry = Entry(self.binary, self.folder, number, proxy.address, port, seeds, first=False)
            entry.proxy = proxy
            entry.disturbed = time.monotonic()
            entry.down = False
            self.entries.append(await entry.start())
        for entry in self.entries:
            await wait_until(lambda e=entry: os.path.exists(e.log_path) and e.lines("ready"))

    async def caller(self, seed):
        """Keeps calling entries that are up, as a caller does that has their addresses."""
        rng = random.Random(seed)
        while self.running:
            await asyncio.sleep(rng.expovariate(12))
            up = [entry for entry in self.entries if not entry.down]
            if not up:
                continue
            entry = rng.choice(up)
            kind = rng.choice(["plain", "once", "stream"])
            self.number += 1
            request = f"{kind}-{seed}-{self.number}"
            self.checker.requests[request] = (kind, _pending())
            leaves = kind == "stream" and rng.random() < 0.05
            answer = await call(entry.address("front"), f"/{kind}/x", request, key="key-2",
                                accept=EVENTS if kind == "stream" else "",
                                stop_after=60 if leaves else None)
            if not leaves:
                self.checker.on_answer(kind, request, answer)

    async def restart(self, entry, wait_s):
        await entry.process.wait()
        await asyncio.sleep(wait_s)
        if self.running:
            await entry.start()
            await asyncio.sleep(0.5)
            entry.down = False
            entry.disturbed = time.monotonic()

    async def fault(self):
        kind = self.random.choice(["term", "kill", "pause", "hup", "store", "store-cut", "compact",
                                   "server-fault", "server-net", "leave", "reborn", "config", "odd"])
        entry = self.random.choice(self.entries)
        replica = self.random.choice(self.replicas)
        for_s = self.random.uniform(0.5, 3.0)
        self.note(f"{kind} {entry.name} {replica.name} {for_s:.2f} s")
        entry.disturbed = max(entry.disturbed, time.monotonic() + for_s)
        if kind in ("term", "kill") and not entry.down:
            entry.down = kind == "kill"
            entry.signal(signal.SIGTERM if kind == "term" else signal.SIGKILL)
            if kind == "term":
                await asyncio.sleep(2.0)
                entry.down = True
            await self.restart(entry, self.random.uniform(0, 1))
        elif kind == "pause":
            entry.signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            entry.signal(signal.SIGCONT)
        elif kind == "hup":
            entry.signal(signal.SIGHUP)
        elif kind == "store":
            self.store.mode = self.random.choice(["silent", "busy", "reset"])
            await asyncio.sleep(for_s)
            self.store.mode = "up"
        elif kind == "store-cut":
            entry.proxy.mode = self.random.choice(["silent", "refuse", "cut-in", "cut-out"])
            await asyncio.sleep(for_s)
            entry.proxy.mode = "pass"
            entry.proxy.reset_all()
        elif kind == "compact":
            self.store.compact()
        elif kind == "server-fault":
            replica.fault_share = self.random.uniform(0.1, 1.0)
            replica.fault = self.random.choice(["lost", "half", "garbage", "stray", "shed", "error",
                                                "break", "hang"])
            await asyncio.sleep(for_s)
            replica.fault = None
        elif kind == "server-net":
            replica.proxy.mode = self.random.choice(["silent", "refuse", "cut-in", "cut-out", "pass"])
            replica.proxy.delay_s = self.random.choice([0, 0.02, 0.2])
            await asyncio.sleep(for_s)
            replica.proxy.mode, replica.proxy.delay_s = "pass", 0
            replica.proxy.reset_all()
        elif kind == "leave" and replica.leaving_since is None:
            await self.add_replica(replica.service)
            if self.random.random() < 0.5:
                replica.register("draining")
            else:
                replica.leave()
        elif kind == "reborn" and replica.leaving_since is None:
            await replica.stop(reset=True)
            await replica.start()
            replica.born += 1000
            replica.register()
        elif kind == "config":
            self.version += self.random.randint(1, 3)
            self.store.put("op/config", configuration(self.version))
        elif kind == "odd":
            self.store.put("servers/i-odd", self.random.randbytes(20))

    async def run(self):
        await self.start()
        callers = [asyncio.create_task(self.caller(seed)) for seed in range(12)]
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            self.tasks.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.expovariate(1.6))
        await asyncio.gather(*self.tasks)
        await self.check_recovery()
        self.running = False
        await asyncio.gather(*callers)
        self.checker.check_runs(self.replicas)
        for entry in self.entries:
            await entry.end()
        for proxy in self.proxies:
            await proxy.stop()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()

    async def check_recovery(self):
        """With all faults over, every entry serves each kind, and forgets a key that is taken away."""
        self.note("calm")
        deadline = time.monotonic() + RECOVER_S
        for entry in self.entries:
            for kind in ("plain", "once", "stream"):
                while True:
                    self.number += 1
                    request = f"{kind}-after-{self.number}"
                    self.checker.requests[request] = (kind, _pending())
                    answer = await call(entry.address("front"), f"/{kind}/x", request, key="key-2",
                                        accept=EVENTS if kind == "stream" else "")
                    self.checker.on_answer(kind, request, answer)
                    if answer.status == 200:
                        break
                    if time.monotonic() > deadline:
                        self.checker.fail("RECOVER", request, f"{entry.name} answers {answer.status}")
                        break
                    await asyncio.sleep(0.2)
        self.version += 1
        self.store.put("op/config", configuration(self.version, keys=("key-2",)))
        await asyncio.sleep(APPLY_S)
        for entry in self.entries:
            answer = await call(entry.address("front"), "/plain/x", f"revoked-{entry.name}", key="key-1")
            if answer.status != 401:
                self.checker.fail("CONFIG", entry.name, f"a revoked key gets {answer.status}")


def _pending():
    class Pending:
        status = 0
        whole = False
    return Pending


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--cases", help="file of seeds that once failed, one a line before a #")
    options = parser.parse_args()
    seeds = list(range(options.seed, options.seed + options.seeds))
    if options.cases:
        with open(options.cases, encoding="utf-8") as file:
            seeds = [int(line.split("#")[0]) for line in file if line.split("#")[0].strip()]
    failed = 0
    for seed in seeds:
        soak = Soak(os.path.join(options.binaries, "fennelline-edge"), seed, options.seconds,
                    options.entries)
        await soak.run()
        broken = soak.checker.broken
        print(f"seed {seed}: {'BROKEN' if broken else 'kept'} {dict(sorted(soak.checker.counts.items()))}",
              flush=True)
        if broken:
            failed += 1
            print("\n".join(broken[:10]))
            print("\n".join(soak.log))
            print(f"logs: {soak.folder}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
