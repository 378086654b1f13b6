#!/usr/bin/env bash
# Runs the formatter and the linter over every source file; fails on the first difference.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' |
    xargs clang-format --dry-run --Werror
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
# The linter does not read the compiler's precompiled header and its own warning flags.
mkdir -p build/tidy
sed -e 's/-Winvalid-pch//g; s/-include [^ ]*cmake_pch.hxx//g; s/-Wno-mismatched-new-delete//g; s/-Wno-error=[a-z-]*//g' \
    build/compile_commands.json >build/tidy/compile_commands.json
git ls-files --cached --others --exclude-standard '*.cpp' |
    xargs -P "$(nproc)" -n 2 clang-tidy-16 -p build/tidy --quiet 2>/dev/null
echo "style clean"
