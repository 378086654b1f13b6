#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
jobs=()
objects=()
for source in review/standins-3/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -c "$source" -o "$object" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
g++ "${objects[@]}" -lboost_json -lpthread -o "$out/installation"
