#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15: Python programs, among them the project's own store. Checks
# that they compile and that the program of the deploy file has been built.
set -eu
cd "$(dirname "$0")/.."
test -x target/bin/fennelline-edge || {
  echo "target/bin/fennelline-edge is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
python3 - <<'PROGRAM'
import glob
for path in ["Tests/Edge/standin.py", "Tests/Edge/ports.py", *sorted(glob.glob("review/lib-3/*.py")),
             *sorted(glob.glob("review/1[1-5]/*.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("ok", path)
PROGRAM
