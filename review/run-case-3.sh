#!/usr/bin/env bash
# Runs a scenario of the third review's stand-ins: run-case-3.sh FOLDER SCENARIO TROUBLE
# Writes FOLDER/record.txt. With TROUBLE 0 the disturbance is left out.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null; rm -rf "$work"' EXIT
[ -x target/guavabay ] && [ -x target/review-3/installation ] || exit 2
timeout -s KILL 110 target/review-3/installation "$2" target/guavabay "$work" \
    "$case_folder/record.txt" "$3" &
pid=$!
wait "$pid"
outcome=$?
pid=
[ "$outcome" -le 2 ] || outcome=2
exit "$outcome"
