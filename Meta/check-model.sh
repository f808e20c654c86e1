#!/usr/bin/env bash
# Usage: check-model.sh MODEL pass|fail [-DFLAG...]
# Verifies Models/MODEL.pml with an exhaustive spin search in ${BUILD_DIR:-Build}/models. "fail" is for
# a variant with a deliberate defect: the search must find a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
model="$1"
expected="$2"
shift 2
source="$PWD/Models/$model.pml"
work="${BUILD_DIR:-$PWD/Build}/models/$model-$expected$(printf '%s' "$@")"
memory_mb=1800
depth=200000
rm -rf "$work"
mkdir -p "$work"
cd "$work"
spin -a "$@" "$source" > spin.out
gcc -O2 -w -DSAFETY -DMEMLIM="$memory_mb" -o pan pan.c
timeout 110 ./pan -E -m"$depth" > pan.out 2>&1 || true
grep -E 'State-vector|states, stored|errors:|elapsed|total actual memory' pan.out || true
if grep -qE 'max search depth too small|out of memory|memory limit' pan.out; then
  echo "$model $*: the search was incomplete (depth or memory limit reached)"
  exit 1
fi
errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out)
if [ -z "$errors" ]; then
  echo "$model $*: the verifier printed no result"
  exit 1
fi
if [ "$expected" = pass ]; then [ "$errors" -eq 0 ]; else [ "$errors" -gt 0 ]; fi
