#!/usr/bin/env bash
# Installs the packages, builds everything and runs all tests. Arguments are passed on to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install-packages.sh
./Meta/build.sh
exec ./Meta/run-tests.sh "$@"
