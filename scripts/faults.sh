#!/usr/bin/env bash
# Runs load and tasks through nine entry hosts as separate processes while faults happen in a
# seeded order, then checks every single request and task. Usage: scripts/faults.sh [SEED] [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=${1:-1}
ROUNDS=${2:-8}
RANDOM=$SEED
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
start_process platform "$BUILD/guavabay-standins" platform --store "127.0.0.1:$store_port" \
    --pools conversion:8,administrative:4 --record "$WORK/tasks" --run-ms 700
sleep 2

requests=$((ROUNDS * 2 * 250))
start_process get "$BUILD/guavabay-standins" caller --targets "$targets" --rate 250 \
    --requests "$requests" --name get --record "$WORK/get.told" --seed "$SEED"
start_process post "$BUILD/guavabay-standins" caller --targets "$targets" --rate 250 \
    --requests "$requests" --name post --method post --record "$WORK/post.told" --seed "$SEED"
start_process keyed "$BUILD/guavabay-standins" caller --targets "$targets" --rate 100 \
    --requests $((ROUNDS * 2 * 100)) --name keyed --method post --keyed yes --repeat 3 \
    --record "$WORK/keyed.told" --seed "$SEED"

dead=""
left=""
for round in $(seq 1 "$ROUNDS"); do
    victim=$((RANDOM % 9 + 1))
    endpoint=$((base_port + 101 + RANDOM % 6))
    "$BUILD/guavabay" task submit --operators "$operators" --pool conversion --wait 8 \
        --customer registrars --kind convert --cpu-millis 2000 \
        $(seq -f "t$round-%g" 1 10) >>"$WORK/submitted" 2>>"$WORK/refused" &
    submitter=$!
    case $((RANDOM % 11)) in
    0) echo "kill h$victim" && stop_process "h$victim" KILL && dead=$victim ;;
    1) echo "freeze h$victim" && stop_process "h$victim" STOP && sleep 1.5 &&
        stop_process "h$victim" CONT ;;
    2) echo "store away" && set_switch "$store_port" outage 1 ;;
    3) echo "endpoint $endpoint silent on open connections" &&
        fetch "127.0.0.1:$endpoint/-/silence" >/dev/null ;;
    4) echo "endpoint $endpoint cuts answers short" && set_switch "$endpoint" truncate 5 ;;
    5) echo "endpoint $endpoint breaks connections" && set_switch "$endpoint" break 5 ;;
    6) echo "endpoint $endpoint answers late" && set_switch "$endpoint" stall 1500 && sleep 0.5 &&
        set_switch "$endpoint" stall 0 ;;
    7) echo "planned stop of h$victim" && stop_process "h$victim" TERM && dead=$victim ;;
    8) echo "store loses answers and leases" && set_switch "$store_port" lose 3 &&
        set_switch "$store_port" lapse 1 ;;
    9) echo "endpoint $endpoint leaves for 6 s" && fetch "127.0.0.1:$endpoint/-/leave" >/dev/null &&
        left=$endpoint && sleep 6 ;;
    10) echo "store's watches silent" && set_switch "$store_port" silent_watch 1 &&
        list_elsewhere "$round" && sleep 5 ;;
    esac
    sleep 1
    set_switch "$store_port" outage 0
    set_switch "$store_port" silent_watch 0
    if [ -n "$left" ]; then
        fetch "127.0.0.1:$left/-/return" >/dev/null
        left=""
    fi
    wait "$submitter" || true
    sleep 0.5
    if [ -n "$dead" ]; then
        stop_process "h$dead" KILL || true
        wait_process "h$dead" 2>/dev/null || true
        start_entry "$dead"
        dead=""
    fi
done
for name in get post keyed; do
    wait_process $name
    cat "$WORK/$name.out"
done
accepted=$(grep -c '"task"' "$WORK/submitted" || true)
for _ in $(seq 1 300); do
    "$BUILD/guavabay" task list --operators "$operators" --pool conversion --wait 8 >"$WORK/listed"
    grep -q "\"states\":{\"done\":[0-9]*}" "$WORK/listed" && break
    sleep 0.2
done
echo "silent watches found: $(cat "$WORK"/h*.out | grep -c 'watch is silent' || true)"
echo "tasks accepted $accepted, $(grep -o '"states":{[^}]*}' "$WORK/listed")," \
    "runs started $(grep -c start "$WORK/tasks"), doubled $(grep -c double "$WORK/tasks" || true)"
"$BUILD/guavabay-standins" check --runs "$run_files" \
    --told "$WORK/get.told,$WORK/post.told,$WORK/keyed.told"
