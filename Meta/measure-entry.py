#!/usr/bin/env python3
"""Measures one entry among three on loopback: processor time and memory when idle at several
numbers of backend servers, processor time for each request at several rates, and the time that
an entry adds to a direct call. Prints tables; bounded in time. Needs a finished build."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

BIN = os.path.join(os.environ.get("BUILD_DIR", "Build"), "bin")
SECRET = "loopback-measure-secret"
IDLE_SECONDS = 8
LOAD_MS = 8000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def wait_until(condition, what, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    sys.exit(f"measure-entry: {what}: not within {seconds} s")


def call(method, url, body=None, secret=None):
    headers = {"Authorization": f"Bearer {secret}"} if secret else {}
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, headers=headers, method=method)
    with urllib.request.urlopen(request, timeout=5) as reply:
        return json.load(reply)


class Cluster:
    """A platform, backend servers and three entries; ends all of them on exit."""

    def __init__(self, services, engines):
        self.folder = tempfile.mkdtemp()
        self.processes = []
        self.platform = self.stand_in("platform", ["--reads_per_second", "100000"])
        self.services = [self.stand_in(f"service-{n}", ["--work_ms", "2"], "service")
                         for n in range(services)]
        self.engines = [self.stand_in(f"engine-{n}", ["--versions", "small@3,medium@2,large@5"],
                                      "engine") for n in range(engines)]
        with open("examples/demo.json", encoding="utf-8") as file:
            document = json.load(file)
        for contract in document["contracts"]:
            contract["spend_limit_micros"] = 10**12
        call("PUT", f"http://{self.platform}/kv/fennelline%2Fconfiguration",
             {"value": json.dumps(document), "expected_revision": 0})
        self.entries = [self.entry(n) for n in range(3)]
        self.list_vms()
        for ports, _ in self.entries:
            wait_until(lambda p=ports: self.is_ready(p), "a ready entry")

    def start(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        self.processes.append(subprocess.Popen(arguments, stdout=log, stderr=log))
        return self.processes[-1]

    def stand_in(self, name, flags, kind="platform"):
        path = os.path.join(self.folder, name + ".json")
        self.start(name, [f"{BIN}/fennelline-standin-{kind}", "--ports_file", path] + flags)
        wait_until(lambda: os.path.exists(path), name)
        with open(path, encoding="utf-8") as file:
            return f"127.0.0.1:{json.load(file)['port']}"

    def entry(self, number):
        name = f"entry-{number}"
        path = os.path.join(self.folder, name + ".json")
        settings = {"name": name, "data_centre": f"dc-{number}", "ports_file": path,
                    "platform_address": self.platform, "shared_secrets": [SECRET],
                    "session_keys": ["loopback-session-key"], "entry_list_life_ms": 500,
                    "leave_margin_ms": 100,
                    "distances": [{"data_centre": f"dc-{n}", "one_way_us": 0} for n in range(3)]}
        file_name = os.path.join(self.folder, name + "-settings.json")
        with open(file_name, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        process = self.start(name, [f"{BIN}/fennelline-entry", "--settings", file_name])
        wait_until(lambda: os.path.exists(path), name)
        with open(path, encoding="utf-8") as file:
            return json.load(file), process

    def list_vms(self):
        vms = [{"name": f"entry-{n}", "address": ports["datagram_address"],
                "data_centre": f"dc-{n}", "role": "entry", "state": "live"}
               for n, (ports, _) in enumerate(self.entries)]
        for n, address in enumerate(self.services):
            vms.append({"name": f"service-{n}", "address": address, "data_centre": "dc-0",
                        "role": "service:counter", "state": "live"})
        for n, address in enumerate(self.engines):
            vms.append({"name": f"engine-{n}", "address": address, "data_centre": "dc-0",
                        "role": "model", "state": "live"})
        call("POST", f"http://{self.platform}/control", {"vms": vms})

    def is_ready(self, ports):
        status = call("GET", f"http://{ports['admin_address']}/admin/status", secret=SECRET)
        servers = len(status["backend_servers"])
        return (len(status["members"]) == 3 and status["standing"] == "current" and
                servers == len(self.services) + len(self.engines) and
                status["claims"]["shards_served"] >= 64)

    def counters(self):
        return call("GET", f"http://{self.platform}/counters")

    def close(self):
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(30)
            except subprocess.TimeoutExpired:
                process.kill()


def processor_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_megabytes(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def over(seconds, process):
    before = processor_seconds(process)
    time.sleep(seconds)
    return processor_seconds(process) - before


def measure_idle():
    print("| backend servers | % of a core | resident MB |\n| --- | --- | --- |")
    for count in (4, 12, 36):
        cluster = Cluster(count - 2, 2)
        try:
            process = cluster.entries[0][1]
            share = over(IDLE_SECONDS, process) / IDLE_SECONDS * 100
            print(f"| {count} | {share:.2f} | {resident_megabytes(process):.0f} |", flush=True)
        finally:
            cluster.close()


def run_load(cluster, rate, direct):
    report = os.path.join(cluster.folder, "report.json")
    target = (["--direct", "--engine", cluster.engines[0], "--service", cluster.services[0]]
              if direct else ["--entries", cluster.entries[0][0]["caller_address"]])
    subprocess.run([f"{BIN}/fennelline-load", "--experiment", "Meta/measure-entry.json",
                    "--requests_per_second", str(rate), "--length_ms", str(LOAD_MS),
                    "--report", report] + target, check=True, timeout=60,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    with open(report, encoding="utf-8") as file:
        return json.load(file)


def measure_requests():
    print("\n| requests/s to three entries | answered | processor ms a request, one entry |"
          "\n| --- | --- | --- |")
    cluster = Cluster(3, 2)
    try:
        process = cluster.entries[0][1]
        idle = over(4, process) / 4
        for rate in (60, 150, 300):
            before = processor_seconds(process)
            start = time.monotonic()
            report = run_load(cluster, rate, False)
            used = processor_seconds(process) - before - idle * (time.monotonic() - start)
            answered = row_of(report)["answered"]
            print(f"| {rate} | {answered} | {used / max(answered / 3, 1) * 1000:.2f} |", flush=True)
        through = run_load(cluster, 60, False)
        floor = run_load(cluster, 60, True)
        print("\nThrough an entry: " + json.dumps(summary(through)))
        print("Direct:           " + json.dumps(summary(floor)))
    finally:
        cluster.close()


def row_of(report):
    return next(row for row in report["kinds"] if row["kind"] == "all")


def summary(report):
    row = row_of(report)
    return {name: row[name] for name in ("answered", "latency_ms") if name in row}


if __name__ == "__main__":
    measure_idle()
    measure_requests()
