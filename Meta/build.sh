#!/usr/bin/env bash
# Configures and builds the project in ${BUILD_DIR:-Build}. Arguments are passed on to ninja.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-Build}"
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" -- "$@"
