#!/usr/bin/env bash
# Fails where clang-format would change a source file. With --fix it rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format "${mode[@]}"
