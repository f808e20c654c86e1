#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all. Skips those that have not changed since they passed.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-Build}"
cache="$build/lint"
mkdir -p "$cache"
export build cache
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
# A result is reused until the source, any header of the project or .clang-tidy changes.
headers_hash=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-32)
export headers_hash
lint_one() {
  local marker
  marker="$cache/$( (echo "$headers_hash"; cat "$1"; echo "$1") | sha256sum | cut -c1-40)"
  [ -f "$marker" ] && return 0
  local output
  if output=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null) && [ -z "$output" ]; then
    touch "$marker"
  else
    printf '%s\n' "$output"
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -r -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
