#!/usr/bin/env bash
# Shows the whole path on loopback: a contract is applied, requests are served, the contract is
# ended, and the proof that its traffic has stopped is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
WORK=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_all; rm -rf "$WORK"' EXIT

echo "== a store, three endpoints in three zones, three entry hosts"
start_store
for number in 1 2 3; do start_endpoint "$number" "z$number"; done
plan_entries 3
for number in 1 2 3; do start_entry "$number"; done
wait_ready 1 2 3

echo "== apply a contract"
"$BUILD/guavabay" contract apply --operators "$operators" --wait 8 examples/contracts
"$BUILD/guavabay" status --operators "$operators" registrars

echo "== one request, as a caller sends it"
fetch "127.0.0.1:$((base_port + 201))/convert/feast" -H 'Authorization: Bearer demo-key' \
    -H 'X-Caller-Id: first'
echo

echo "== 600 requests, a third of them through each entry host"
"$BUILD/guavabay-standins" caller --targets "$targets" --rate 300 --requests 400 --name get \
    --record "$WORK/get.told"
"$BUILD/guavabay-standins" caller --targets "$targets" --rate 200 --requests 200 --name post \
    --method post --keyed yes --record "$WORK/post.told"
"$BUILD/guavabay-standins" check --runs "$run_files" --told "$WORK/get.told,$WORK/post.told"

"$BUILD/guavabay" status --operators "$operators" --histograms yes

echo "== a maintenance wave over twelve hosts of the fleet"
start_process platform "$BUILD/guavabay-standins" platform --store "127.0.0.1:$store_port" \
    --pools conversion:8,administrative:4 --record "$WORK/tasks"
for _ in $(seq 1 100); do
    "$BUILD/guavabay" fleet status --operators "$operators" >"$WORK/fleet"
    [ "$(grep -o '"host":' "$WORK/fleet" | wc -l)" = 12 ] && break
    sleep 0.1
done
"$BUILD/guavabay" wave start --operators "$operators" --number 1 --spare administrative \
    --wait 8
for _ in $(seq 1 300); do
    "$BUILD/guavabay" wave status --operators "$operators" >"$WORK/wave"
    grep -q '"done":12' "$WORK/wave" && break
    sleep 0.1
done
cat "$WORK/wave"
grep -q '"done":12' "$WORK/wave"
"$BUILD/guavabay" fleet move --operators "$operators" --pool conversion --dry-run yes administrative-1

echo "== twenty tasks; one is cancelled, one can never run"
tasks="--operators $operators --pool conversion"
request="--customer registrars --kind convert"
# shellcheck disable=SC2086
"$BUILD/guavabay" task submit $tasks --wait 8 $request $(seq -f 't%g' 1 20) >"$WORK/submitted"
# shellcheck disable=SC2086
"$BUILD/guavabay" task submit $tasks $request --memory-mb 20000 giant && exit 1
# shellcheck disable=SC2086
"$BUILD/guavabay" task cancel $tasks --wait 8 t20
for _ in $(seq 1 200); do
    # shellcheck disable=SC2086
    "$BUILD/guavabay" task list $tasks --wait 8 >"$WORK/listed"
    grep -q '"done":19' "$WORK/listed" && break
    sleep 0.1
done
grep -o '"states":{[^}]*}' "$WORK/listed"
grep -q '"done":19' "$WORK/listed"
# shellcheck disable=SC2086
"$BUILD/guavabay" task explain $tasks --wait 8 t1 t20
! grep double "$WORK/tasks"

echo "== end the contract and prove that its traffic has stopped"
"$BUILD/guavabay" contract end --operators "$operators" --wait 8 registrars
"$BUILD/guavabay" contract proof --operators "$operators" --wait 8 registrars
for number in 1 2 3; do
    fetch "127.0.0.1:$((base_port + 200 + number))/convert/feast" \
        -H 'Authorization: Bearer demo-key' >"$WORK/refused"
    cat "$WORK/refused"
    echo
    grep -q '"error":"no_contract"' "$WORK/refused"
done

echo "== planned stop of all entry hosts"
for number in 1 2 3; do stop_process "h$number" TERM; done
for number in 1 2 3; do wait_process "h$number"; done
echo "demo finished"
