#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -I. -Isrc -Istandins "$source" standins/platform/platform_service.cpp \
        src/core/endpoint.cpp -o "target/review-2/$name" -lboost_json -lboost_thread -lpthread
done
