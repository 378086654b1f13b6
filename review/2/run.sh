#!/usr/bin/env bash
# Plays the scenario of this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the scenario could not run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec review/run-scenario.sh restart-runners "$here/record.txt"
