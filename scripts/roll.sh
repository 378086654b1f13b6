#!/usr/bin/env bash
# Stops and replaces all nine entry hosts one after the other under load, and checks that nothing
# is lost, doubled or cut off. Usage: scripts/roll.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=${1:-1}
WORK=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_all; [ -n "${KEEP:-}" ] && echo "logs in $WORK" || rm -rf "$WORK"' EXIT
start_store
for number in 1 2 3 4 5 6; do
    start_endpoint "$number" "z$(((number - 1) % 3 + 1))" --service-us 8000
done
plan_entries 9
for number in $(seq 1 9); do start_entry "$number"; done
wait_ready $(seq 1 9)
"$BUILD/guavabay" contract apply --operators "$operators" --wait 8 examples/contracts >/dev/null
sleep 2
for kind in get post; do
    start_process $kind "$BUILD/guavabay-standins" caller --targets "$targets" --rate 200 \
        --requests 8000 --name $kind --method $kind --record "$WORK/$kind.told" --seed "$SEED"
done
for number in $(seq 1 9); do
    sleep 0.5
    stop_process "h$number" TERM
    if ! wait_process "h$number"; then
        echo "h$number did not stop cleanly"
    fi
    grep -h "cut_off" "$WORK/h$number.out" || true
    start_entry "$number"
    wait_ready "$number"
done
for kind in get post; do
    wait_process $kind
    cat "$WORK/$kind.out"
done
"$BUILD/guavabay-standins" check --runs "$run_files" --told "$WORK/get.told,$WORK/post.told"
