#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: one program, review/build/case. It needs the packages
# of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
objects=()
for source in review/harness/*.cpp; do
    object="review/build/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
done
for job in $(jobs -p); do
    wait "$job"
done
g++ -pthread "${objects[@]}" -lboost_json -o review/build/case
