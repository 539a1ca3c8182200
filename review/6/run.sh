#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[[ -x target/baobabtraild && -x target/review-2/late_watch ]] || exit 2
timeout --kill-after=5 110 target/review-2/late_watch review/6/record.txt "${TROUBLE:-1}"
status=$?
[[ $status -le 1 ]] || exit 2
exit $status
