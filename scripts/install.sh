#!/usr/bin/env bash
# Installs what the build and the tests need, unless it is there already.
set -euo pipefail
packages="g++ cmake ninja-build ccache curl make libboost1.81-dev libboost-json1.81-dev
libcereal-dev libtclap-dev libeasyloggingpp-dev libtrompeloeil-cpp-dev catch2 libbenchmark-dev
libssl-dev clang-format clang-tidy-16 python3"
missing=""
for package in $packages; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
if [ -n "$missing" ]; then
    sudo=$([ "$(id -u)" = 0 ] || echo sudo)
    $sudo apt-get update -q
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends $missing
fi
