#!/usr/bin/env bash
# Runs clang-tidy over our own sources. Usage: scripts/lint.sh [file...]
set -euo pipefail
cd "$(dirname "$0")/.."
[[ -f build/release/compile_commands.json ]] || scripts/build.sh release
if [[ $# -gt 0 ]]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' | grep -v '\.pb\.')
fi
[[ ${#files[@]} -eq 0 ]] && exit 0
printf '%s\n' "${files[@]}" | xargs -P 10 -n 2 clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option --warnings-as-errors='*' 2> /dev/null
