#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Run it after the build of the deploy file, whose
# packages are all that it needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
jobs=()
for source in review/harness-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -I. -Isrc -Istandins "$source" standins/platform/platform_service.cpp \
        src/core/endpoint.cpp -o "target/review-2/$name" -lboost_json -lboost_thread -lpthread &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
