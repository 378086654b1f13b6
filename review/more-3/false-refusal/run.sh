#!/usr/bin/env bash
# TROUBLE=0 leaves the disturbance out.
exec "$(dirname "$0")/../../run-case-3.sh" "$(dirname "$0")" false-refusal "${TROUBLE:-1}"
