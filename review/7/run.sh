#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. Exits with 1 if the rule was broken, with 0
# if it held, with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Before: the build of the deploy file, then review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/cut_event
[ -x "$program" ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
exec "$program" "$here/record.txt"
