#!/bin/sh
# The stand-ins are Python programs: this only checks that they compile.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [0-9]/*.py ../Tests/Edge/standin.py ../Tests/Edge/ports.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
