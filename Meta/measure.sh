#!/usr/bin/env bash
# Runs the policy experiments, writes their results to docs/measurements/policy (or $RESULTS) and
# prints the table of targets. $SEEDS and $THREADS override the number of seeds and of threads.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-Build}"
results="${RESULTS:-docs/measurements/policy}"
seeds="${SEEDS:-20}"
threads="${THREADS:-3}"
mkdir -p "$results"
cmake --build "$build" --target fennelline-policy >/dev/null
for experiment in replicas overload fairness plans exposure decision-cost; do
  "$build/bin/fennelline-policy" "$experiment" --seeds "$seeds" --threads "$threads" \
    --json "$results/$experiment.json" --svg "$results/$experiment.svg" >"$results/$experiment.md"
done
echo "commit $(git rev-parse --short HEAD), $seeds seeds from 1"
echo "| measure | policy | median | 5th to 95th of seeds | target | |"
echo "| --- | --- | --- | --- | --- | --- |"
grep -hE '\| (met|missed) \|$' "$results"/*.md
