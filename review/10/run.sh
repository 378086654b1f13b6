#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays the
# same without the disturbance.
here=$(cd "$(dirname "$0")" && pwd)
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec python3 "$here/case.py"
