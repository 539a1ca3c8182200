#!/usr/bin/env bash
# Plays every day of deploy/days on a site and prints a line for each: day, score line, broken rules.
# Usage: FLEETBENCH=PROGRAM scripts/play-days.sh SITE WHY [day...]
set -euo pipefail
cd "$(dirname "$0")/.."
site="$1" why="$2"
shift 2
days=("$@")
[[ ${#days[@]} -gt 0 ]] || days=(deploy/days/*.toml)
play() {
    local name out
    name="$(basename "$3" .toml)"
    out="$("$FLEETBENCH" run "$1" "$3" --jobs 1 --why "$2: $name" 2>&1)" || true
    printf '%-30s %s\n' "$name" "$(grep -E "^$name +" <<< "$out" | cut -c25-180 || true)"
    grep -E 'BROKEN|the first that is wrong|fault:' <<< "$out" | head -3 || true
}
export -f play
printf '%s\n' "${days[@]}" | xargs -P 4 -I{} bash -c 'play "$@"' _ "$site" "$why" {}
