#!/usr/bin/env bash
# Checks the formatting of all C++ sources with clang-format. --fix reformats them in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format "${mode[@]}"
