#!/usr/bin/env python3
"""Plays the days of cases.txt again on the users' bench, by hand:

    Tests/Days/replay.py BENCH_PROGRAM FOLDER_WITH_SITES [PART_OF_A_LINE]

Prints a line for each case; ends with 1 if a rule is broken that is not known to be.
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
    for place, _, names in os.walk(folder):
        if f"{site}.toml" in names:
            return os.path.join(place, f"{site}.toml")
    raise SystemExit(f"no {site}.toml below {folder}")


def play(bench, site, arguments):
    verb, *rest = arguments.split()
    run = subprocess.run([bench, verb, site, *rest, "--why", "A day that once broke a rule, again"],
                         capture_output=True, text=True, check=False)
    broken = [line for line in run.stdout.splitlines() if "BROKEN" in line]
    return "worth" in run.stdout, broken[0].split("BROKEN:")[1].strip() if broken else ""


def main():
    bench, folder, *part = sys.argv[1:]
    wrong = 0
    cases = os.path.join(os.path.dirname(os.path.abspath(__file__)), "cases.txt")
    for site, arguments, rule, cause in read_cases(cases):
        if part and part[0] not in f"{site} {arguments} {rule} {cause}":
            continue
        was_played, broken = play(bench, find_site(folder, site), arguments)
        is_known = cause.startswith(KNOWN_RED)
        state = "not played" if not was_played else f"broken ({broken})" if broken else "kept"
        print(f"{state}{', known red' if broken and is_known else ''}: {site} {arguments} "
              f"(was {rule}: {cause})", flush=True)
        wrong += not was_played or (bool(broken) and not is_known)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
