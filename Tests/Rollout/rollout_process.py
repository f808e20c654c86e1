#!/usr/bin/env python3
"""Runs two fennelline-rollout processes against stand-in services on loopback.

Usage: rollout_process.py BIN_FOLDER

Checks that a roll-out continues under another lease holder when the first is paused with SIGSTOP
and resumed, that it reaches every engine, that it is rolled back when the new version starts to
fail, and that a graceful stop releases the lease. This script acts as the entry's admin server.
"""

import http.server
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

SECRET = "a-secret-of-the-rollout-test"
OLD, NEW = "tagger@1", "tagger@2"
KEY = "fennelline%2Fconfiguration"
LIMIT_SECONDS = 20


class Entry(http.server.BaseHTTPRequestHandler):
    """A fake entry admin server whose evidence counts grow with each read."""

    clusters = 0
    bad = 0
    bad_share = 0.0

    def do_GET(self):
        address = "%s:%d" % self.server.server_address
        if self.path == "/admin/evidence":
            Entry.clusters += 100
            Entry.bad += int(100 * Entry.bad_share)
            row = {"version": NEW, "kind": "tag", "sessions": Entry.clusters, "bad_sessions": Entry.bad}
            body = {"entry": "e1#1", "evidence": [row]}
        else:
            body = {"members": [{"entry": "e1#1", "admin_address": address}]}
        text = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def log_message(self, *_arguments):
        pass


def call(address, path, body=None, method=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request("http://%s%s" % (address, path), data=data, method=method)
    request.add_header("Authorization", "Bearer " + SECRET)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=5) as reply:
        return json.loads(reply.read() or b"null")


def wait_for(what, condition):
    end = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < end:
        try:
            value = condition()
            if value:
                return value
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise SystemExit("timed out after %d s waiting for: %s" % (LIMIT_SECONDS, what))


class Run:
    def __init__(self, binaries, folder):
        self.binaries = binaries
        self.folder = folder
        self.processes = []

    def start(self, name, program, *arguments):
        log = open(os.path.join(self.folder, name + ".log"), "w")
        process = subprocess.Popen(
            [os.path.join(self.binaries, program), *arguments], stdout=log, stderr=log
        )
        self.processes.append(process)
        return process

    def start_standin(self, name, program, *arguments):
        ports = os.path.join(self.folder, name + ".json")
        self.start(name, program, "--ports_file=" + ports, *arguments)
        port = wait_for(name, lambda: json.load(open(ports))["port"])
        return "127.0.0.1:%d" % port

    def start_rollout(self, name, platform, entry):
        ports = os.path.join(self.folder, name + ".json")
        settings = os.path.join(self.folder, name + "-settings.json")
        with open(settings, "w") as file:
            json.dump(
                {
                    "name": name,
                    "platform_address": platform,
                    "entry_admin_address": entry,
                    "ports_file": ports,
                    "shared_secrets": [SECRET],
                    "all_engines_check": True,
                    "lease_life_ms": 3000,
                    "lease_poll_interval_ms": 300,
                    "least_step_time_ms": 500,
                },
                file,
            )
        process = self.start(name, "fennelline-rollout", "--settings=" + settings)
        port = wait_for(name, lambda: json.load(open(ports))["admin_port"])
        return process, "127.0.0.1:%d" % port

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def make_configuration():
    version = {
        "input_micros_per_1000_tokens": 1,
        "output_micros_per_1000_tokens": 1,
    }
    return {
        "currency": "ZAR",
        "versions": [dict(version, name=OLD), dict(version, name=NEW)],
        "rollouts": [
            {
                "name": "tagger-2",
                "from": OLD,
                "to": NEW,
                "steps": [{"percent": 5}, {"percent": 50}, {"percent": 100}],
            }
        ],
    }


def check(run):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Entry)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    entry = "%s:%d" % server.server_address
    platform = run.start_standin("platform", "fennelline-standin-platform")
    engines = [
        run.start_standin(
            "engine%d" % i, "fennelline-standin-engine", "--versions=" + OLD, "--platform=" + platform
        )
        for i in range(3)
    ]
    vms = [
        {"name": "engine%d" % i, "address": engine, "data_centre": "dc1", "role": "model", "state": "live"}
        for i, engine in enumerate(engines)
    ]
    call(platform, "/control", {"vms": vms})
    text = json.dumps(make_configuration())
    call(platform, "/kv/" + KEY, {"value": text, "expected_revision": 0}, "PUT")

    def configuration():
        return json.loads(call(platform, "/kv/" + KEY)["value"])

    def versions():
        return [set(call(engine, "/load")["versions"]) for engine in engines]

    rollouts = [run.start_rollout("vm%d" % i, platform, entry) for i in range(2)]

    def holder():
        for process, address in rollouts:
            if call(address, "/admin/status")["holds_lease"]:
                return process, address
        return None

    wait_for("the first engine to load the new version", lambda: any(NEW in loaded for loaded in versions()))
    first, _ = wait_for("a lease holder", holder)
    first.send_signal(signal.SIGSTOP)
    rest = [item for item in rollouts if item[0] is not first]
    second = wait_for(
        "another lease holder", lambda: [a for _, a in rest if call(a, "/admin/status")["holds_lease"]]
    )
    first.send_signal(signal.SIGCONT)
    wait_for("the roll-out to be done", lambda: configuration()["rollouts"][0]["state"] == "done")
    wait_for("every engine to load the new version", lambda: all(NEW in loaded for loaded in versions()))
    print("rolled out by a holder other than the first:", call(second[0], "/admin/status")["holder"])

    Entry.bad_share = 0.3
    wait_for("the roll-out to be rolled back", lambda: configuration()["rollouts"][0]["state"] == "rolled-back")
    wait_for("every engine to unload the new version", lambda: all(NEW not in loaded for loaded in versions()))
    states = {version["name"]: version.get("state", "serving") for version in configuration()["versions"]}
    assert states == {OLD: "serving", NEW: "revoked"}, states
    assert all(OLD in loaded for loaded in versions())

    for process, _ in rollouts:
        process.send_signal(signal.SIGTERM)
    for process, _ in rollouts:
        assert process.wait(timeout=20) == 0
    try:
        call(platform, "/kv/fennelline%2Frollout%2Fholder")
        raise SystemExit("the lease was not released")
    except urllib.error.HTTPError as error:
        assert error.code == 404
    print("ok")


def main():
    with tempfile.TemporaryDirectory() as folder:
        run = Run(sys.argv[1], folder)
        try:
            check(run)
        except BaseException:
            for name in sorted(os.listdir(folder)):
                if name.endswith(".log"):
                    print("==", name, open(os.path.join(folder, name)).read()[-2000:])
            raise
        finally:
            run.stop()


if __name__ == "__main__":
    main()
