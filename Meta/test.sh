#!/usr/bin/env bash
# Installs the packages, builds everything and runs every test. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install-packages.sh
./Meta/build.sh
exec ./Meta/run-tests.sh "$@"
