#!/usr/bin/env bash
# The stand-ins of cases 6, 7 and 9 are Python and need no build; this checks
# that they can be read. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [0-9]*/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/platform/marjoramslip-platform ||
  echo 'target/ is not built; run the build of the deploy file' >&2
