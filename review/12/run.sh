#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=build-review-3/unframed_crash
[ -x "$program" ] || review/build-3.sh || exit 2
[ -x target/packages/entry/mustardline ] || exit 2
timeout -k 1 118 "$program" review/12
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
