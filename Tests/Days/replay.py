#!/usr/bin/env python3
"""Replays the days of cases.txt on the users' bench. Run manually:

    Tests/Days/replay.py BENCH_PROGRAM FOLDER_WITH_SITES [PART_OF_A_LINE]

Prints one line per case. Exits with 1 if a case cannot be run, or breaks a rule and is not marked as
known red.
"""
import os
import subprocess
import sys

KNOWN_RED = "known red"


def read_cases(path):
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.strip() and not line.startswith("#"):
                yield [field.strip() for field in line.split("|")]


def find_site(folder, site):
    for directory, _, names in os.walk(folder):
        if f"{site}.toml" in names:
            return os.path.join(directory, f"{site}.toml")
    raise SystemExit(f"no {site}.toml found under {folder}")


def run_case(bench, site, arguments):
    verb, *rest = arguments.split()
    run = subprocess.run([bench, verb, site, *rest,
                          "--why", "Regression run of a day that broke a rule before"],
                         capture_output=True, text=True, check=False)
    violations = [line for line in run.stdout.splitlines() if "BROKEN" in line]
    return "worth" in run.stdout, violations[0].split("BROKEN:")[1].strip() if violations else ""


def main():
    bench, folder, *part = sys.argv[1:]
    failures = 0
    cases = os.path.join(os.path.dirname(os.path.abspath(__file__)), "cases.txt")
    for site, arguments, rule, cause in read_cases(cases):
        if part and part[0] not in f"{site} {arguments} {rule} {cause}":
            continue
        was_run, violation = run_case(bench, find_site(folder, site), arguments)
        is_known = cause.startswith(KNOWN_RED)
        state = "not run" if not was_run else f"failed ({violation})" if violation else "passed"
        print(f"{state}{', known red' if violation and is_known else ''}: {site} {arguments} "
              f"(before: {rule}: {cause})", flush=True)
        failures += not was_run or (bool(violation) and not is_known)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
