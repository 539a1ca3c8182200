#!/usr/bin/env bash
# Formats our own sources in place; with --check only reports.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' | sort)
[[ ${#files[@]} -eq 0 ]] && exit 0
if [[ "${1:-}" == --check ]]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
