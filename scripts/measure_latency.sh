#!/usr/bin/env bash
# Measures the latency that an entry host adds, against a direct connection to the endpoint and
# against a bare relay, in one run. Usage: scripts/measure_latency.sh
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
WORK=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_all; rm -rf "$WORK"' EXIT
start_store
start_endpoint 1 z1 --service-us 1 --slots 600 --connections 2000
plan_entries 3
for number in 1 2 3; do start_entry "$number"; done
start_process relay "$BUILD/guavabay-standins" relay --port $((base_port + 90)) \
    --target "127.0.0.1:$((base_port + 101))"
wait_ready 1 2 3
sed -e 's/"concurrency": 200/"concurrency": 1000/' examples/contracts/registrars.json \
    >"$WORK/registrars.json"
"$BUILD/guavabay" contract apply --operators "$operators" --wait 8 "$WORK/registrars.json" >/dev/null
sleep 2
for connections in 1 64 512; do
    for way in direct relay entry; do
        case $way in
        direct) target=127.0.0.1:$((base_port + 101)) ;;
        relay) target=127.0.0.1:$((base_port + 90)) ;;
        entry) target=127.0.0.1:$((base_port + 201)) ;;
        esac
        began=$(date +%s%N)
        "$BUILD/guavabay-standins" caller --targets "$target" --closed "$connections" \
            --requests $((connections == 1 ? 3000 : 20000)) --name "$way$connections" >"$WORK/out"
        passed=$((($(date +%s%N) - began) / 1000000))
        echo "connections=$connections way=$way ms=$passed $(cat "$WORK/out")"
    done
done
