#!/usr/bin/env bash
# Plays a scenario with the program of the deploy file: run-scenario.sh NAME RECORD, in the root of
# the repository.
set -euo pipefail
scenario=target/review/review-scenario
program=target/guavabay
if [ ! -x "$scenario" ] || [ ! -x "$program" ]; then
    echo "build the program of deploy/system.toml, then run review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0
timeout --signal=KILL 118 "$scenario" "$1" "$program" "$folder" "$2" || status=$?
[ "$status" -le 2 ] || status=2
echo "$1: exit $status, record in $2"
exit "$status"
