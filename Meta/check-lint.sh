#!/usr/bin/env bash
# Runs clang-tidy over the sources (or over those named) that differ from the last clean run.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-Build}"
stamps="$build/lint"
mkdir -p "$stamps"
export build stamps
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
# A source is linted again when it, any header of the project, or the rules have changed.
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-32)
export headers
lint_one() {
  local stamp
  stamp="$stamps/$( (echo "$headers"; cat "$1"; echo "$1") | sha256sum | cut -c1-40)"
  [ -f "$stamp" ] && return 0
  local output
  if output=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null) && [ -z "$output" ]; then
    touch "$stamp"
  else
    printf '%s\n' "$output"
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -r -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
