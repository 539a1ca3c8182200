#!/usr/bin/env bash
# Builds everything. Usage: scripts/build.sh [release|sanitize] [target...]
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
shift || true
sanitize=OFF
[[ "$preset" == sanitize ]] && sanitize=ON
cmake -S . -B "build/$preset" -G Ninja -DBAOBABTRAIL_SANITIZE="$sanitize" -DBAOBABTRAIL_WERROR=ON \
    > "build-$preset.log" 2>&1 || {
    cat "build-$preset.log"
    exit 1
}
rm -f "build-$preset.log"
if [[ $# -gt 0 ]]; then
    cmake --build "build/$preset" --target "$@"
else
    cmake --build "build/$preset"
fi
