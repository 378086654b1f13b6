#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_CXX_FLAGS_RELEASE=-O1
ninja -C target/review
