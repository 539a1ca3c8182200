#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test: plain, then under the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh

run_suite() {
    local preset="$1"
    scripts/build.sh "$preset"
    scripts/run-tests.sh "$preset"
}

run_suite release
run_suite sanitize
# Short runs of the fault soak; docs/FAULTS.md says how to run it long.
build/release/bench-soak --seed 1 --seconds 5
build/release/bench-soak --seed 30102 --seconds 5 --store_stalls 300
