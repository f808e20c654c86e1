#!/usr/bin/env python3
"""Measures one of three entries on loopback.

Prints tables of the idle CPU usage and resident memory for several numbers of backend servers, of the
CPU time per request at several request rates, and the latencies of calls through an entry and of
direct calls. Bounded in time. Requires a finished build.
"""

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
    sys.exit(f"measure-entry: timed out after {seconds} s waiting for {what}")


def call(method, url, body=None, secret=None):
    headers = {"Authorization": f"Bearer {secret}"} if secret else {}
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, headers=headers, method=method)
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.load(response)


class Cluster:
    """Processes of a platform stand-in, backend servers and three entries; close() stops them all."""

    def __init__(self, services, engines):
        self.directory = tempfile.mkdtemp()
        self.processes = []
        self.platform = self.start_standin("platform", ["--reads_per_second", "100000"])
        self.services = [self.start_standin(f"service-{n}", ["--work_ms", "2"], "service")
                         for n in range(services)]
        self.engines = [self.start_standin(f"engine-{n}", ["--versions", "small@3,medium@2,large@5"],
                                      "engine") for n in range(engines)]
        with open("examples/demo.json", encoding="utf-8") as file:
            document = json.load(file)
        for contract in document["contracts"]:
            contract["spend_limit_micros"] = 10**12
        call("PUT", f"http://{self.platform}/kv/fennelline%2Fconfiguration",
             {"value": json.dumps(document), "expected_revision": 0})
        self.entries = [self.start_entry(n) for n in range(3)]
        self.publish_vms()
        for ports, _ in self.entries:
            wait_until(lambda p=ports: self.is_ready(p), "an entry to become ready")

    def start(self, name, arguments):
        log = open(os.path.join(self.directory, name + ".log"), "w", encoding="utf-8")
        self.processes.append(subprocess.Popen(arguments, stdout=log, stderr=log))
        return self.processes[-1]

    def start_standin(self, name, flags, kind="platform"):
        path = os.path.join(self.directory, name + ".json")
        self.start(name, [f"{BIN}/fennelline-standin-{kind}", "--ports_file", path] + flags)
        wait_until(lambda: os.path.exists(path), f"the ports file of {name}")
        with open(path, encoding="utf-8") as file:
            return f"127.0.0.1:{json.load(file)['port']}"

    def start_entry(self, number):
        name = f"entry-{number}"
        path = os.path.join(self.directory, name + ".json")
        settings = {"name": name, "data_centre": f"dc-{number}", "ports_file": path,
                    "platform_address": self.platform, "shared_secrets": [SECRET],
                    "session_keys": ["loopback-session-key"], "entry_list_life_ms": 500,
                    "leave_margin_ms": 100,
                    "distances": [{"data_centre": f"dc-{n}", "one_way_us": 0} for n in range(3)]}
        settings_path = os.path.join(self.directory, name + "-settings.json")
        with open(settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        process = self.start(name, [f"{BIN}/fennelline-entry", "--settings", settings_path])
        wait_until(lambda: os.path.exists(path), f"the ports file of {name}")
        with open(path, encoding="utf-8") as file:
            return json.load(file), process

    def publish_vms(self):
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


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_megabytes(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def measure_cpu_seconds(seconds, process):
    before = cpu_seconds(process)
    time.sleep(seconds)
    return cpu_seconds(process) - before


def measure_idle():
    print("| backend servers | % of a core | resident MB |\n| --- | --- | --- |")
    for count in (4, 12, 36):
        cluster = Cluster(count - 2, 2)
        try:
            process = cluster.entries[0][1]
            share = measure_cpu_seconds(IDLE_SECONDS, process) / IDLE_SECONDS * 100
            print(f"| {count} | {share:.2f} | {resident_megabytes(process):.0f} |", flush=True)
        finally:
            cluster.close()


def run_load(cluster, rate, direct):
    report = os.path.join(cluster.directory, "report.json")
    target = (["--direct", "--engine", cluster.engines[0], "--service", cluster.services[0]]
              if direct else ["--entries", cluster.entries[0][0]["caller_address"]])
    subprocess.run([f"{BIN}/fennelline-load", "--experiment", "Meta/measure-entry.json",
                    "--requests_per_second", str(rate), "--length_ms", str(LOAD_MS),
                    "--report", report] + target, check=True, timeout=60,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    with open(report, encoding="utf-8") as file:
        return json.load(file)


def measure_requests():
    print("\n| requests/s to three entries | answered | CPU ms per request at one entry |"
          "\n| --- | --- | --- |")
    cluster = Cluster(3, 2)
    try:
        process = cluster.entries[0][1]
        idle = measure_cpu_seconds(4, process) / 4
        for rate in (60, 150, 300):
            before = cpu_seconds(process)
            start = time.monotonic()
            report = run_load(cluster, rate, False)
            used = cpu_seconds(process) - before - idle * (time.monotonic() - start)
            answered = total_row(report)["answered"]
            print(f"| {rate} | {answered} | {used / max(answered / 3, 1) * 1000:.2f} |", flush=True)
        proxied = run_load(cluster, 60, False)
        direct = run_load(cluster, 60, True)
        print("\nThrough an entry: " + json.dumps(summary(proxied)))
        print("Direct:           " + json.dumps(summary(direct)))
    finally:
        cluster.close()


def total_row(report):
    return next(row for row in report["kinds"] if row["kind"] == "all")


def summary(report):
    row = total_row(report)
    return {name: row[name] for name in ("answered", "latency_ms") if name in row}


if __name__ == "__main__":
    measure_idle()
    measure_requests()
