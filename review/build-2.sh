#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs that use the standard library only, so
# that there is nothing to compile. Checks that they can be loaded.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
python3 -B -c "
import sys
sys.path.insert(0, '$here/standins-2')
import fleet
if sys.version_info < (3, 9):
    sys.exit('Python 3.9 or later is needed')
"
echo "stand-ins: ok"
